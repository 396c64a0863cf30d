#ifndef DAMASKGLADE_RECORDS_COMMIT_QUEUE_H
#define DAMASKGLADE_RECORDS_COMMIT_QUEUE_H

#include "core/thread.h"
#include "ports/metrics_sink.h"
#include "records/job_row.h"
#include "records/retry.h"
#include "records/row_reader.h"
#include "records/table_budget.h"

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace damaskglade::records {

struct CommitOptions {
  std::string Writer_; ///< Unique to this start of the process.
  std::size_t MaxPending_ = 2000;
  Millis CallTimeout_{2000};
  DelayRange RetryDelay_;
};

/// Writes the row changes of many callers, several in one transaction.
/// Thread-safe.
class CommitQueue {
public:
  CommitQueue(CommitOptions Options, TableStore &Table, TableBudget &Budget,
              RowReader &Rows, const Clock &Time, MetricsSink &Metrics);
  ~CommitQueue();
  CommitQueue(const CommitQueue &) = delete;
  CommitQueue &operator=(const CommitQueue &) = delete;

  void start();
  /// Refuses new changes and returns when all queued changes are decided.
  void stop();

  /// Blocks until each change is decided or Deadline (monotonic) arrives.
  /// Results are in the order of the changes. Errors: see JobStore.
  std::vector<Status> commit(std::vector<RowChange> Changes, Millis Deadline);

private:
  struct Waiter;
  struct Pending;
  using Group = std::vector<std::shared_ptr<Pending>>;
  /// A transaction in progress. It gets a new token when its content changes.
  struct Transaction {
    Group Members_;
    std::string Token_;
    int Failures_ = 0;     ///< Consecutive failed calls without progress.
    bool Isolate_ = false; ///< Split into transactions of one change.
    bool HasWriteBudget_ = false; ///< For the next call.
  };

  void dropAbandoned();
  void run();
  bool waitForWork();
  Group takeGroup();
  void commitGroup(Group Members, bool HasWriteBudget);
  bool prepareCall(Transaction &Txn);
  Status sendTransaction(const Transaction &Txn);
  void handleFailure(Transaction &Txn, const Error &Failure);
  bool readBack(Transaction &Txn);
  void handleConflict(Transaction &Txn);
  bool repairIndex(Pending &Member);
  void finish(Pending &Member, const Status &Outcome);
  void finishAll(Transaction &Txn, const Status &Outcome);
  void waitBeforeRetry(int Failures);
  std::string newToken();

  const CommitOptions Options_;
  TableStore &Table_;
  TableBudget &Budget_;
  RowReader &Rows_;
  const Clock &Time_;
  MetricsSink &Metrics_;
  // Accessed only by the commit thread.
  std::mt19937_64 Random_;
  std::int64_t TokenCount_ = 0;

  Mutex Mutex_;
  Condition WorkAvailable_;
  std::deque<std::shared_ptr<Pending>> Pending_;
  bool Running_ = false;
  bool Stopping_ = false;
  Thread Thread_;
};

} // namespace damaskglade::records

#endif
