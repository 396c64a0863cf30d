#ifndef DAMASKGLADE_CELL_RECORDER_H
#define DAMASKGLADE_CELL_RECORDER_H

#include "cell/context.h"
#include "dispatch/dispatcher.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace damaskglade::cell {

/// Decodes the row of a worker that leaders send orders to. Errors:
/// invalid_field.
Result<dispatch::WorkerInfo> decodeWorkerRow(const StoredRow &Row);

/// Writes the rows of a leader with group commit: each transaction takes as
/// many pending changes as fit. While the store is slow, several transactions
/// with different rows are in flight. Each is conditional on the leader row, so
/// it fails once there is a later leader.
class Recorder {
public:
  Recorder(const CellPorts &Ports, dispatch::Dispatcher &Jobs,
           LeaderView Leader, std::function<void()> OnLeadershipLost);

  /// Records a new job; the callback gets the outcome. An error without effect
  /// means that the job is not recorded and never will be.
  void recordJob(const std::string &Id, std::function<void(Status)> Done);
  /// Collects changed jobs and schedules a write.
  void collectChanges();
  /// Calls back once all changes made so far are recorded.
  void whenRecorded(std::function<void()> Done);
  /// Sets the version of a progress row that was loaded from the store.
  void setVersion(const std::string &Id, std::int64_t Version) {
    Versions_[Id] = Version;
  }
  void removeJobs(const std::vector<std::string> &Ids);
  void recordWorkers(const std::vector<dispatch::WorkerInfo> &Workers);
  void removeWorkers(const std::vector<std::string> &Ids);
  /// When the store last confirmed the leadership of this node.
  Millis confirmedAt() const { return ConfirmedAt_; }
  void noteConfirmed(Millis SentAt) {
    ConfirmedAt_ = std::max(ConfirmedAt_, SentAt);
  }
  /// Start of the current store failure; zero while the store works.
  Millis failingSince() const { return FailingSince_; }
  void stop() { Stopped_ = true; }

private:
  struct NewJob {
    std::string Id_;
    std::function<void(Status)> Done_;
    /// Set when a transaction with the job fails with unknown effect.
    bool MayBeRecorded_ = false;
  };
  struct Waiter {
    std::uint64_t LastChange_ = 0; ///< Last change that it waits for.
    std::function<void()> Done_;
  };
  struct SentChange {
    std::uint64_t FirstChange_ = 0; ///< Oldest change that it records.
    dispatch::JobState State_ = dispatch::JobState::Queued;
  };
  /// Content of a transaction in flight.
  struct Batch {
    Millis SentAt_{};
    std::vector<NewJob> Jobs_;
    std::map<std::string, SentChange> Progress_;
    std::vector<std::string> Removals_;
    std::map<std::string, dispatch::WorkerInfo> Workers_;
    std::set<std::string> RemovedWorkers_;
  };

  void schedule(Millis Delay);
  bool canFlush() const;
  void flush();
  RowTransaction buildTransaction(Batch &NewBatch);
  void addProgress(Batch &NewBatch, RowTransaction &Change,
                   std::size_t &Entries);
  void handleOutcome(std::uint64_t Number,
                     const Result<TransactionOutcome> &Outcome);
  void handleApplied(const Batch &Written, std::int64_t Version);
  void handleConflict(Batch Rejected, const std::vector<StoredRow> &Current);
  void handleFailure(Batch Unwritten, const Error &Failure);
  void requeue(Batch &Unwritten);
  bool queuesEmpty() const;
  bool isInFlight(const std::string &Id) const;
  std::uint64_t firstUnrecordedChange() const;
  void notifyWaiters();

  const CellPorts Ports_;
  dispatch::Dispatcher &Jobs_;
  const LeaderView Leader_;
  const std::function<void()> OnLeadershipLost_;
  std::deque<NewJob> NewJobs_;
  std::map<std::string, std::uint64_t> DirtyJobs_; ///< Oldest change by job.
  std::map<std::string, std::int64_t> Versions_;
  std::set<std::string> JobsToRemove_;
  std::map<std::string, dispatch::WorkerInfo> NewWorkers_;
  std::set<std::string> RemovedWorkers_;
  std::vector<Waiter> Waiters_;
  std::map<std::uint64_t, Batch> InFlight_;
  std::uint64_t LastBatchNumber_ = 0;
  std::uint64_t LastChangeNumber_ = 0;
  bool Scheduled_ = false;
  bool Stopped_ = false;
  Millis ConfirmedAt_{};
  Millis FailingSince_{};
};

} // namespace damaskglade::cell

#endif
