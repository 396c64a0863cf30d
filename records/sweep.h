#ifndef DAMASKGLADE_RECORDS_SWEEP_H
#define DAMASKGLADE_RECORDS_SWEEP_H

#include "core/thread.h"
#include "ports/metrics_sink.h"
#include "records/row_reader.h"

#include <random>
#include <string>

namespace damaskglade::records {

struct SweepOptions {
  std::string Writer_;
  Millis Retention_{86400000};
  Millis Interval_{10000};
  Millis CallTimeout_{2000};
};

/// Removes the rows of jobs that finished longer ago than the retention time,
/// in at most one transaction per interval. Any number of nodes may sweep the
/// same table.
class Sweep {
public:
  Sweep(SweepOptions Options, TableStore &Table, TableBudget &Budget,
        RowReader &Rows, const Clock &Time, MetricsSink &Metrics);
  ~Sweep();
  Sweep(const Sweep &) = delete;
  Sweep &operator=(const Sweep &) = delete;

  void start();
  void stop();

private:
  void run();
  bool isStopping();
  void sweepOnce();
  std::vector<TableWrite> makeRemovals(const TableRow &Index, Millis Deadline);

  const SweepOptions Options_;
  TableStore &Table_;
  TableBudget &Budget_;
  RowReader &Rows_;
  const Clock &Time_;
  MetricsSink &Metrics_;
  // Accessed only by the sweep thread.
  std::mt19937_64 Random_;
  std::string Cursor_; ///< Id of the last index row examined.
  std::int64_t Passes_ = 0;

  Mutex Mutex_;
  Condition Wake_;
  bool Started_ = false;
  bool Stopping_ = false;
  Thread Thread_;
};

} // namespace damaskglade::records

#endif
