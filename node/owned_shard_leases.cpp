#include "node/owned_shard.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

// One missed exchange may be a lost packet; after two in a row nothing new is
// placed on the worker.
constexpr int MissesUntilUnlisted = 2;
// A listing reveals differences between the tasks of the worker and those that
// the owner has recorded.
constexpr int ExchangesPerListing = 5;

} // namespace

std::vector<RenewalPlan> OwnedShard::dueRenewals(Moment Now, Millis Interval) {
  const MutexLock Lock(Mutex_);
  std::vector<RenewalPlan> Due;
  for (auto &[Id, Worker] : Workers_) {
    if (Now.Monotonic_ < Worker.NextRenewal_)
      continue;
    Worker.NextRenewal_ = Now.Monotonic_ + Interval;
    RenewalPlan Plan;
    Plan.Worker_ = Id;
    Plan.Address_ = Worker.Vm_.Address_;
    Plan.Request_.Owner_ = Owner_;
    Plan.Request_.Epoch_ = Epoch_;
    // The lease of a worker that does not answer is not extended: once it has
    // expired, its tasks have stopped and can be placed elsewhere.
    const bool Unreachable = Worker.MissedExchanges_ >= MissesUntilUnlisted;
    const bool LeaseExpired = isLeaseExpired(Worker, Now);
    if (Unreachable && LeaseExpired)
      markTasksLost(Id);
    const bool ExtendsLease = !Unreachable || LeaseExpired;
    Plan.Request_.LeaseEnd_ =
        ExtendsLease ? Now.Wall_ + Settings_.RunLease_ : Worker.LeaseEnd_;
    Plan.Request_.List_ =
        !Worker.Listed_ || ++Worker.Exchanges_ % ExchangesPerListing == 0;
    Plan.Request_.Acked_ = Worker.Acked_;
    Plan.Sent_ = Now.Monotonic_;
    // Recorded before the request is sent, since the worker may receive it
    // even if the reply is lost.
    Worker.LeaseEnd_ = std::max(Worker.LeaseEnd_, Plan.Request_.LeaseEnd_);
    Due.push_back(std::move(Plan));
  }
  return Due;
}

void OwnedShard::applyRenewal(const RenewalPlan &Plan, const LeaseReply &Reply,
                              Moment Now) {
  const MutexLock Lock(Mutex_);
  const auto Found = Workers_.find(Plan.Worker_);
  if (Found == Workers_.end())
    return;
  WorkerState &Worker = Found->second;
  Worker.MissedExchanges_ = 0;
  Worker.CapacityKnown_ = true;
  Worker.Capacity_ = Reply.Capacity_;
  Worker.Leaving_ = Reply.Leaving_ || Worker.Vm_.Leaving_;
  Worker.Listed_ = Worker.Listed_ || Plan.Request_.List_;
  std::erase_if(Worker.Acked_, [&](const std::string &Attempt) {
    return std::find(Plan.Request_.Acked_.begin(), Plan.Request_.Acked_.end(),
                     Attempt) != Plan.Request_.Acked_.end();
  });
  updateLedger(Worker);
  for (const AttemptReport &Report : Reply.Finished_)
    applyFinished(Plan.Worker_, Report);
  if (Plan.Request_.List_)
    applyListing(Plan, Reply, Now);
  static_cast<void>(Ledger_.setReported(Plan.Worker_, Reply.Used_));
}

void OwnedShard::applyListing(const RenewalPlan &Plan, const LeaseReply &Reply,
                              Moment Now) {
  // A listing that was requested before start_by does not show whether a start
  // that was still in flight takes effect.
  const Millis SentWall = Now.Wall_ - (Now.Monotonic_ - Plan.Sent_);
  std::set<std::string> Listed;
  for (const RunningTask &Running : Reply.Running_) {
    Listed.insert(Running.Attempt_);
    const auto Found = Tasks_.find(Running.Attempt_);
    if (Found == Tasks_.end())
      adoptTask(Running, Plan.Worker_, Now.Monotonic_);
    else if (Found->second.Phase_ == Phase::Unresolved)
      Found->second.Phase_ = Phase::Running;
  }
  for (auto &[Attempt, Entry] : Tasks_) {
    if (Entry.Worker_ != Plan.Worker_ || Listed.count(Attempt) != 0)
      continue;
    // A listing requested before the start was confirmed may lack the task.
    const bool NoLongerRuns =
        Entry.Phase_ == Phase::Running && Entry.Confirmed_ < Plan.Sent_;
    // After start_by, a start that has not arrived can no longer take effect.
    const bool NeverStarted = Entry.Phase_ == Phase::Unresolved &&
                              SentWall > Entry.StartBy_ + Settings_.ClockError_;
    if (NoLongerRuns || NeverStarted)
      endTask(Attempt, Entry, OwnerStatus{OwnerVerdict::Lost, {}});
  }
}

void OwnedShard::failRenewal(const RenewalPlan &Plan, Moment Now) {
  const MutexLock Lock(Mutex_);
  const auto Found = Workers_.find(Plan.Worker_);
  if (Found == Workers_.end())
    return;
  WorkerState &Worker = Found->second;
  if (++Worker.MissedExchanges_ < MissesUntilUnlisted)
    return;
  Worker.Listed_ = false;
  if (Worker.CapacityKnown_)
    updateLedger(Worker);
  if (isLeaseExpired(Worker, Now))
    markTasksLost(Plan.Worker_);
}

bool OwnedShard::applyReport(const std::string &Worker,
                             const AttemptReport &Report) {
  const MutexLock Lock(Mutex_);
  if (Workers_.count(Worker) == 0)
    return false;
  applyFinished(Worker, Report);
  return true;
}

void OwnedShard::applyFinished(const std::string &Worker,
                               const AttemptReport &Report) {
  if (Report.State_ != AttemptState::Finished)
    return;
  const OwnerStatus End{OwnerVerdict::Finished, Report.Answer_};
  const auto Found = Tasks_.find(Report.Attempt_);
  if (Found != Tasks_.end()) {
    recordOutcome(Found->second, End);
    endTask(Report.Attempt_, Found->second, End);
    return;
  }
  // Started under a previous owner. The home is looked up in the row of the
  // job.
  Task NewTask;
  Attempt Try;
  if (!splitAttemptId(Report.Attempt_, NewTask.Job_, Try))
    return;
  NewTask.Phase_ = Phase::Ended;
  NewTask.Worker_ = Worker;
  NewTask.End_ = End;
  Tasks_.emplace(Report.Attempt_, std::move(NewTask));
}

} // namespace damaskglade::node
