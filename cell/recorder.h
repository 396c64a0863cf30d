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

/// Writes the rows of a leader by group commit: one transaction at a time with
/// all that waits. Each transaction depends on the leader row, so it fails once
/// there is a later leader.
class Recorder {
public:
  Recorder(const CellPorts &Ports, dispatch::Dispatcher &Jobs,
           LeaderView Leader, std::function<void()> LostLead);

  /// Records a new job; the callback gets the outcome. An error with no effect
  /// says that the job is not recorded and never will be.
  void recordJob(const std::string &Id, std::function<void(Status)> Done);
  /// Collects changes and writes them soon.
  void touch();
  /// Number of the latest change, and up to which changes are recorded.
  std::uint64_t latest() const { return Latest_; }
  std::uint64_t recorded() const { return Recorded_; }
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

  void schedule(Millis Delay);
  void flush();
  RowTransaction build();
  void finish(const Result<TransactionOutcome> &Outcome, Millis SentAt);
  void applied(std::int64_t Version);
  void conflicted(const std::vector<StoredRow> &Current);
  void failed(const Error &Failure);
  void keepUnsent();
  bool idle() const;
  std::size_t sentRows() const;
  void callWaiters();

  const CellPorts Ports_;
  dispatch::Dispatcher &Jobs_;
  const LeaderView Leader_;
  const std::function<void()> LostLead_;
  std::deque<NewJob> NewJobs_;
  std::set<std::string> Dirty_;
  std::map<std::string, std::int64_t> Versions_;
  std::set<std::string> Removing_;
  std::map<std::string, dispatch::WorkerInfo> NewWorkers_;
  std::set<std::string> OldWorkers_;
  std::vector<Waiter> Waiters_;
  // The transaction in flight.
  std::vector<NewJob> SentJobs_;
  std::map<std::string, dispatch::JobState> SentProgress_;
  std::vector<std::string> SentRemovals_;
  std::map<std::string, dispatch::WorkerInfo> SentWorkers_;
  std::set<std::string> SentOldWorkers_;
  std::uint64_t SentLatest_ = 0;
  bool SentAll_ = false;
  bool InFlight_ = false;
  bool Scheduled_ = false;
  bool Stopped_ = false;
  std::uint64_t Latest_ = 0;
  std::uint64_t Recorded_ = 0;
  Millis ConfirmedAt_{};
  Millis FailingSince_{};
};

} // namespace damaskglade::cell

#endif
