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
  std::string Writer_; ///< Node id; the store adds a part unique to itself.
  std::size_t MaxPending_ = 2000; ///< Changes that wait for the commit thread.
  double WritesPerSecond_ = 33;   ///< Transactions of this node.
  double ReadsPerSecond_ = 222;
  Millis CallTimeout_{2000};   ///< Of one call to the table.
  Millis GiveUpAfter_{8000};   ///< Upper bound of any caller's timeout.
  Millis Retention_{86400000}; ///< Time that a finished job's row is kept.
  Millis SweepInterval_{10000};
  DelayRange RetryDelay_; ///< Between calls for the same changes.
};

/// Rows of durable jobs. A commit thread groups the changes of many callers
/// into one transaction. Safe to call from several threads.
///
/// Errors of all calls: table_unavailable, with Effect::None if nothing was
/// applied and never will be, with Effect::Unknown if the change may have been
/// applied or may still be; shutting_down after stop().
class JobStore {
public:
  JobStore(StoreOptions Options, TableStore &Table, const Clock &Time,
           MetricsSink &Metrics);
  ~JobStore();
  JobStore(const JobStore &) = delete;
  JobStore &operator=(const JobStore &) = delete;

  void start();
  /// Refuses new changes, commits those that wait, and ends the threads.
  void stop();

  /// Writes the row of a new job. Errors: table_conflict if it is present.
  Result<JobRecord> create(const JobRecord &Record, Millis Timeout);

  /// Replaces the row whose version is Record.Version_. Returns the record
  /// with its new version. Errors: table_conflict if the row has moved on.
  Result<JobRecord> update(const JobRecord &Record, Millis Timeout);

  /// Updates each record on its own. Returns those that were written; the
  /// first error if none was.
  Result<std::vector<JobRecord>>
  updateAll(const std::vector<JobRecord> &Records, Millis Timeout);

  /// As updateAll, with the result of each record in the same order.
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
