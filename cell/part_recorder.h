#ifndef DAMASKGLADE_CELL_PART_RECORDER_H
#define DAMASKGLADE_CELL_PART_RECORDER_H

#include "cell/context.h"
#include "cell/worker_rows.h"
#include "dispatch/dispatcher.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace damaskglade::cell {

/// Records rows of one partition of the store with group commit: each
/// transaction takes as many pending changes as fit. While the store is slow,
/// several transactions with different rows are in flight. Each is conditional
/// on the leader row of the partition, so it fails once there is a later
/// leader.
class PartRecorder {
public:
  /// What a recorder tells its owner.
  struct Events {
    std::function<void()> OnLeadershipLost_;
    /// Called when the open row of a worker is stored.
    std::function<void(const std::string &)> OnWorkerOpened_;
    /// Called before a transaction is built, to pass on the latest changes.
    std::function<void()> OnFlush_;
  };

  /// Nothing can be recorded before setLeaderRowVersion() has been called.
  PartRecorder(const CellPorts &Ports, dispatch::Dispatcher &Dispatcher,
               std::string Part, std::int64_t Epoch, Events Handlers);

  PartRecorder(const PartRecorder &) = delete;
  PartRecorder &operator=(const PartRecorder &) = delete;

  const std::string &part() const { return Part_; }
  /// Sets the version of the leader row, once this leader has written it.
  void setLeaderRowVersion(std::int64_t Version) {
    LeaderRowVersion_ = Version;
  }
  /// Records a new job; the callback gets the outcome. An error without effect
  /// means that the job is not recorded here and never will be.
  void recordJob(const std::string &Id, std::function<void(Status)> Done);
  /// Writes the progress of jobs, which the dispatcher knows.
  void recordProgress(const std::vector<std::string> &Ids);
  /// Writes a row whose content does not depend on the one before, or removes
  /// it if there is no value.
  void recordRow(const RowName &Name, std::optional<std::string> Value);
  /// Calls back once all changes made so far are recorded.
  void whenRecorded(std::function<void()> Done);
  /// Sets the version of a progress row that was loaded from the store.
  void setProgressRowVersion(const std::string &Id, std::int64_t Version) {
    ProgressRowVersions_[Id] = Version;
  }
  /// The same for the row of a worker.
  void setWorkerRowVersion(const std::string &Id, std::int64_t Version) {
    WorkerRowVersions_[Id] = Version;
  }
  /// Removes the rows of jobs.
  void removeJobs(const std::vector<std::string> &Ids);
  /// Writes open rows of workers.
  void recordWorkers(const std::vector<dispatch::WorkerInfo> &Workers);
  /// Closes or removes the rows of workers.
  void closeWorkers(const std::vector<dispatch::LeaseClosing> &Closings);
  /// Removes the rows of workers whose leases have expired.
  void removeWorkers(const std::vector<std::string> &Ids);
  /// Records that the leader has stopped; Record has its times on this node's
  /// clock. Calls back when the store has answered, with or without success.
  void recordResignation(Resignation Record,
                         const std::vector<dispatch::LeaseClosing> &Closings,
                         const std::function<void()> &Done);
  bool allRecorded() const {
    return oldestUnrecordedChange() > LastChangeNumber_;
  }
  /// When the last request was sent of which the reply has shown that no later
  /// leader has written the leader row of the partition.
  Millis confirmedAt() const { return ConfirmedAt_; }
  /// Called when a read sent at this time has shown it.
  void handleReadSuccess(Millis SentAt);
  /// Called when the store has told the time in a reply.
  void updateStoreClock(Millis SentAt, Millis StoreClock);
  /// Start of the current failure of the partition; zero while it works.
  Millis failingSince() const { return FailingSince_; }
  /// Whether a new job is likely to be recorded soon: the last transaction has
  /// not failed, and none has waited long for its reply.
  bool isResponsive() const;
  /// Whether the last transaction failed so long ago that the failure may be
  /// over.
  bool mayBeServedAgain() const;
  /// When the last transaction failed; zero if none has.
  Millis lastFailureAt() const { return LastFailureAt_; }
  /// When the store last answered a transaction; zero if it never has.
  Millis answeredAt() const { return AnsweredAt_; }
  /// Drops all that is not recorded yet, with its callbacks.
  void stop();

private:
  /// A submitted job that is not recorded yet.
  struct NewJob {
    std::string Id_;
    std::function<void(Status)> Done_;
    /// Set when a transaction with the job fails with unknown effect.
    bool MayBeRecorded_ = false;
  };
  /// A callback of whenRecorded().
  struct Waiter {
    /// The callback is called once all changes up to this one are recorded.
    std::uint64_t LastChange_ = 0;
    std::function<void()> Done_;
  };
  /// Changes of one job in a transaction in flight.
  struct SentChange {
    std::uint64_t OldestChange_ = 0; ///< Number of the oldest one.
    dispatch::JobState State_ = dispatch::JobState::Queued; ///< As written.
    int Crashes_ = 0; ///< JobRun::Crashes_ as written.
  };
  /// A row to write or, without a value, to remove.
  struct RowChange {
    std::optional<std::string> Value_;
    std::uint64_t OldestChange_ = 0; ///< Number of the oldest change.
  };
  /// Changes in one transaction that the store has not answered yet.
  struct Batch {
    Millis SentAt_{};
    std::vector<NewJob> Jobs_;
    std::map<std::string, SentChange> Progress_; ///< By job.
    std::vector<std::string> RemovedJobs_;
    std::map<std::string, WorkerRow> Workers_;
    std::set<std::string> RemovedWorkers_;
    std::map<RowName, RowChange> Rows_;
  };

  void updateConfirmedAt(Millis SentAt) {
    ConfirmedAt_ = std::max(ConfirmedAt_, SentAt);
  }
  void endFailure();
  /// Whether a transaction has waited long for its reply.
  bool isOverdue() const;
  void scheduleFlush(Millis Delay);
  void flushWhenIdle();
  bool canFlush() const;
  void flush();
  /// Sends the next transaction. False if there is nothing that it could hold.
  bool sendBatch();
  RowTransaction buildTransaction(Batch &NewBatch);
  void addProgress(Batch &NewBatch, RowTransaction &Transaction,
                   std::size_t &EntryCount);
  void handleOutcome(std::uint64_t BatchNumber,
                     const Result<TransactionOutcome> &Outcome);
  void handleApplied(const Batch &WrittenBatch, std::int64_t Version);
  void handleConflict(Batch RejectedBatch,
                      const std::vector<StoredRow> &CurrentRows);
  void handleFailure(Batch FailedBatch, const Error &Failure);
  void requeue(Batch &FailedBatch);
  bool queuesEmpty() const;
  bool isInFlight(const std::string &Id) const;
  bool isWorkerInFlight(const std::string &Id) const;
  RowCondition workerCondition(const std::string &Id) const;
  /// The closed row; empty if the store has not told the time yet.
  std::optional<WorkerRow>
  closedRow(const dispatch::LeaseClosing &Closing) const;
  void addWorkers(Batch &NewBatch, RowTransaction &Transaction,
                  std::size_t &EntryCount);
  void addRows(Batch &NewBatch, RowTransaction &Transaction,
               std::size_t &EntryCount);
  std::uint64_t oldestUnrecordedChange() const;
  void notifyWaiters();

  const CellPorts Ports_;
  dispatch::Dispatcher &Dispatcher_;
  const std::string Part_;
  const std::int64_t Epoch_;
  const Events Events_;
  std::int64_t LeaderRowVersion_ = 0;
  std::deque<NewJob> NewJobs_;
  /// Number of the oldest unrecorded change, by job.
  std::map<std::string, std::uint64_t> DirtyJobs_;
  std::map<std::string, std::int64_t> ProgressRowVersions_; ///< By job.
  std::map<std::string, std::int64_t> WorkerRowVersions_;   ///< By worker.
  std::set<std::string> JobsToRemove_;
  /// Rows of workers to write.
  std::map<std::string, WorkerRow> NewWorkers_;
  std::set<std::string> RemovedWorkers_;
  std::map<RowName, RowChange> NewRows_; ///< See recordRow().
  std::vector<Waiter> Waiters_;
  std::map<std::uint64_t, Batch> BatchesInFlight_; ///< By batch number.
  std::uint64_t LastBatchNumber_ = 0;
  std::uint64_t LastChangeNumber_ = 0;
  bool FlushScheduled_ = false;
  bool LastBatchFull_ = false; ///< The last transaction took all it can hold.
  bool Stopped_ = false;
  /// Expires with the object, which callbacks may outlive.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
  Millis ConfirmedAt_{};
  StoreClockReading StoreClock_; ///< The latest one.
  Millis FailingSince_{};
  Millis LastFailureAt_{};
  Millis AnsweredAt_{};
};

} // namespace damaskglade::cell

#endif
