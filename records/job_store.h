#ifndef DAMASKGLADE_RECORDS_JOB_STORE_H
#define DAMASKGLADE_RECORDS_JOB_STORE_H

#include "core/clock.h"
#include "core/error.h"
#include "core/job.h"
#include "ports/metrics_sink.h"
#include "ports/table_store.h"
#include "records/retry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::records {

struct StoreOptions {
  std::string Writer_; ///< Node id; the store appends a unique suffix.
  std::size_t MaxPending_ = 2000; ///< Capacity of the commit queue.
  double WritesPerSecond_ = 33;   ///< Limit on transactions of this node.
  double ReadsPerSecond_ = 222;   ///< Limit on reads and lists of this node.
  Millis CallTimeout_{2000};      ///< Timeout of one call to the table.
  Millis MaxTimeout_{8000};       ///< Upper bound of callers' timeouts.
  Millis Retention_{86400000};    ///< Age limit for rows of finished jobs.
  Millis SweepInterval_{10000};
  DelayRange RetryDelay_; ///< Between calls for the same changes.
};

/// Stores the records of durable jobs in the table. A commit thread groups the
/// changes of many callers into one transaction. Thread-safe.
///
/// Errors of all calls: table_unavailable, with Effect::None if the change was
/// not applied and never will be, with Effect::Unknown if it may have been
/// applied or may still be. Writes also return shutting_down unless the store
/// is running.
class JobStore {
public:
  JobStore(StoreOptions Options, TableStore &Table, const Clock &Time,
           MetricsSink &Metrics);
  ~JobStore();
  JobStore(const JobStore &) = delete;
  JobStore &operator=(const JobStore &) = delete;

  void start();
  /// Refuses new changes, commits the queued ones, and ends the threads.
  void stop();

  /// Writes the row of a new job. Errors: table_conflict if the row exists.
  Result<JobRecord> create(const JobRecord &Record, Millis Timeout);

  /// Replaces the row whose version is Record.Version_. Returns the record
  /// with its new version. Errors: table_conflict if the row is missing or has
  /// another version.
  Result<JobRecord> update(const JobRecord &Record, Millis Timeout);

  /// Updates each record independently of the others. Returns the records that
  /// were written, or the first error if none was.
  Result<std::vector<JobRecord>>
  updateAll(const std::vector<JobRecord> &Records, Millis Timeout);

  /// Like updateAll(), but returns the result of each record, in the same
  /// order.
  std::vector<Result<JobRecord>>
  updateEach(const std::vector<JobRecord> &Records, Millis Timeout);

  Result<std::optional<JobRecord>> read(const std::string &JobId,
                                        Millis Timeout);

  /// Unfinished jobs of one incarnation of a home, for recovery.
  Result<std::vector<JobRecord>>
  listByHome(const std::string &Node, std::int64_t Incarnation, Millis Timeout);

private:
  class State;
  std::unique_ptr<State> State_;
};

} // namespace damaskglade::records

#endif
