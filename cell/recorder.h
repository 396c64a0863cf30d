#ifndef DAMASKGLADE_CELL_RECORDER_H
#define DAMASKGLADE_CELL_RECORDER_H

#include "cell/context.h"
#include "dispatch/dispatcher.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace damaskglade::cell {

/// Row of a worker that leaders give orders to. Errors: invalid_field.
Result<dispatch::WorkerInfo> decodeWorkerRow(const StoredRow &Row);

/// Writes the rows of a leader by group commit: each transaction takes all that
/// waits. While the store is slow, several are on their way, with different
/// rows. Each depends on the leader row, so it fails once there is a later
/// leader.
class Recorder {
public:
  Recorder(const CellPorts &Ports, dispatch::Dispatcher &Jobs,
           LeaderView Leader, std::function<void()> LostLead);

  /// Records a new job; the callback gets the outcome. An error with no effect
  /// says that the job is not recorded and never will be.
  void recordJob(const std::string &Id, std::function<void(Status)> Done);
  /// Collects changes and writes them soon.
  void touch();
  /// Calls back when all changes up to now are recorded.
  void whenRecorded(std::function<void()> Done);
  /// Version of a progress row that was loaded from the store.
  void setVersion(const std::string &Id, std::int64_t Version) {
    Versions_[Id] = Version;
  }
  void forget(const std::vector<std::string> &Ids);
  void recordWorkers(const std::vector<dispatch::WorkerInfo> &Workers);
  void forgetWorkers(const std::vector<std::string> &Ids);
  /// When the store last confirmed that this leader leads.
  Millis confirmedAt() const { return ConfirmedAt_; }
  void confirm(Millis SentAt) { ConfirmedAt_ = std::max(ConfirmedAt_, SentAt); }
  /// Since when the store has failed; zero while it works.
  Millis failingSince() const { return FailingSince_; }
  void stop() { Stopped_ = true; }

private:
  struct NewJob {
    std::string Id_;
    std::function<void(Status)> Done_;
    bool Unclear_ = false; ///< A transaction with it got no answer.
  };
  struct Waiter {
    std::uint64_t Until_ = 0;
    std::function<void()> Done_;
  };
  struct SentChange {
    std::uint64_t First_ = 0; ///< Number of the first change it records.
    dispatch::JobState State_ = dispatch::JobState::Queued;
  };
  /// What a transaction on its way writes.
  struct Batch {
    Millis SentAt_{};
    std::vector<NewJob> Jobs_;
    std::map<std::string, SentChange> Progress_;
    std::vector<std::string> Removals_;
    std::map<std::string, dispatch::WorkerInfo> Workers_;
    std::set<std::string> OldWorkers_;
  };

  void schedule(Millis Delay);
  bool mayFlush() const;
  void flush();
  RowTransaction build(Batch &Out);
  void addProgress(Batch &Out, RowTransaction &Change, std::size_t &Entries);
  void finish(std::uint64_t Number, const Result<TransactionOutcome> &Outcome);
  void applied(const Batch &Sent, std::int64_t Version);
  void conflicted(Batch Sent, const std::vector<StoredRow> &Current);
  void failed(Batch Sent, const Error &Failure);
  void keepUnsent(Batch &Sent);
  bool idle() const;
  bool isOnItsWay(const std::string &Id) const;
  std::uint64_t firstUnrecorded() const;
  void callWaiters();

  const CellPorts Ports_;
  dispatch::Dispatcher &Jobs_;
  const LeaderView Leader_;
  const std::function<void()> LostLead_;
  std::deque<NewJob> NewJobs_;
  std::map<std::string, std::uint64_t> Dirty_; ///< With the first change.
  std::map<std::string, std::int64_t> Versions_;
  std::set<std::string> Removing_;
  std::map<std::string, dispatch::WorkerInfo> NewWorkers_;
  std::set<std::string> OldWorkers_;
  std::vector<Waiter> Waiters_;
  std::map<std::uint64_t, Batch> InFlight_;
  std::uint64_t LastBatch_ = 0;
  std::uint64_t Latest_ = 0; ///< Number of the latest change.
  bool Scheduled_ = false;
  bool Stopped_ = false;
  Millis ConfirmedAt_{};
  Millis FailingSince_{};
};

} // namespace damaskglade::cell

#endif
