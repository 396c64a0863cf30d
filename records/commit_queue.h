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
  std::string Writer_; ///< Unique to this process start.
  std::size_t MaxPending_ = 2000;
  Millis CallTimeout_{2000};
  DelayRange RetryDelay_;
};

/// Writes the row changes of many callers, several in one transaction. Safe to
/// call from several threads.
class CommitQueue {
public:
  CommitQueue(CommitOptions Options, TableStore &Table, TableBudget &Budget,
              RowReader &Rows, const Clock &Time, MetricsSink &Metrics);
  ~CommitQueue();
  CommitQueue(const CommitQueue &) = delete;
  CommitQueue &operator=(const CommitQueue &) = delete;

  void start();
  /// Refuses new changes and returns when those that wait are decided.
  void stop();

  /// Blocks until each change is decided or Deadline (monotonic) arrives.
  /// Results are in the order of the changes. Errors as of JobStore.
  std::vector<Status> commit(std::vector<RowChange> Changes, Millis Deadline);

private:
  struct Waiter;
  struct Pending;
  using Group = std::vector<std::shared_ptr<Pending>>;
  /// A transaction in progress; its token changes with its content.
  struct Transaction {
    Group Members_;
    std::string Token_;
    int Failures_ = 0;     ///< Calls in a row without progress.
    bool Isolate_ = false; ///< To be split into single changes.
    bool Granted_ = false; ///< The write budget for the next call is taken.
  };

  void dropAbandoned();
  void run();
  bool waitForWork();
  Group takeGroup();
  void commitGroup(Group Members, bool Granted);
  bool beginCall(Transaction &Work);
  Status call(const Transaction &Work);
  void handleFailure(Transaction &Work, const Error &Failure);
  bool readBack(Transaction &Work);
  void handleConflict(Transaction &Work);
  bool repairIndex(Pending &Member);
  void finish(Pending &Member, const Status &Outcome);
  void finishAll(Transaction &Work, const Status &Outcome);
  void waitBeforeRetry(int Failures);
  std::string newToken();

  const CommitOptions Options_;
  TableStore &Table_;
  TableBudget &Budget_;
  RowReader &Rows_;
  const Clock &Time_;
  MetricsSink &Metrics_;
  // Used by the commit thread alone.
  std::mt19937_64 Random_;
  std::int64_t Tokens_ = 0;

  Mutex Mutex_;
  Condition Work_;
  std::deque<std::shared_ptr<Pending>> Pending_;
  bool Running_ = false;
  bool Stopping_ = false;
  Thread Thread_;
};

} // namespace damaskglade::records

#endif
