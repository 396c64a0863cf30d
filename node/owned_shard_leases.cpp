#include "node/owned_shard.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

// One missed exchange may be a lost packet; two in a row stop new placements.
constexpr int MissesUntilUnlisted = 2;
// A listing finds tasks that worker and owner disagree on.
constexpr int ExchangesPerListing = 5;

} // namespace

std::vector<RenewalPlan> OwnedShard::dueRenewals(Moment Now, Millis Interval) {
  const MutexLock Lock(Mutex_);
  std::vector<RenewalPlan> Due;
  for (auto &[Id, Worker] : Links_) {
    if (Now.Monotonic_ < Worker.NextRenewal_)
      continue;
    Worker.NextRenewal_ = Now.Monotonic_ + Interval;
    RenewalPlan Plan;
    Plan.Worker_ = Id;
    Plan.Address_ = Worker.Vm_.Address_;
    Plan.Request_.Owner_ = Owner_;
    Plan.Request_.Epoch_ = Epoch_;
    // The lease of a worker that does not answer is left to run out, so that
    // its tasks are known to have stopped and can be placed elsewhere.
    const bool Unreachable = Worker.Misses_ >= MissesUntilUnlisted;
    const bool Lapsed = hasLapsed(Worker, Now);
    if (Unreachable && Lapsed)
      loseTasks(Id);
    const bool Extends = !Unreachable || Lapsed;
    Plan.Request_.LeaseEnd_ =
        Extends ? Now.Wall_ + Settings_.RunLease_ : Worker.LeaseEnd_;
    Plan.Request_.List_ =
        !Worker.Listed_ || ++Worker.Exchanges_ % ExchangesPerListing == 0;
    Plan.Request_.Acked_ = Worker.Acked_;
    Plan.Sent_ = Now.Monotonic_;
    // Counted as granted before it is sent, since the worker may have got it
    // even if no reply comes back.
    Worker.LeaseEnd_ = std::max(Worker.LeaseEnd_, Plan.Request_.LeaseEnd_);
    Due.push_back(std::move(Plan));
  }
  return Due;
}

void OwnedShard::applyRenewal(const RenewalPlan &Plan, const LeaseReply &Reply,
                              Moment Now) {
  const MutexLock Lock(Mutex_);
  const auto Found = Links_.find(Plan.Worker_);
  if (Found == Links_.end())
    return;
  Link &Worker = Found->second;
  Worker.Misses_ = 0;
  Worker.Known_ = true;
  Worker.Capacity_ = Reply.Capacity_;
  Worker.Leaving_ = Reply.Leaving_ || Worker.Vm_.Leaving_;
  Worker.Listed_ = Worker.Listed_ || Plan.Request_.List_;
  std::erase_if(Worker.Acked_, [&](const std::string &Attempt) {
    return std::find(Plan.Request_.Acked_.begin(), Plan.Request_.Acked_.end(),
                     Attempt) != Plan.Request_.Acked_.end();
  });
  putWorker(Worker);
  for (const AttemptReport &Report : Reply.Finished_)
    applyFinished(Plan.Worker_, Report);
  if (Plan.Request_.List_)
    applyListing(Plan, Reply, Now);
  static_cast<void>(Ledger_.setReported(Plan.Worker_, Reply.Used_));
}

void OwnedShard::applyListing(const RenewalPlan &Plan, const LeaseReply &Reply,
                              Moment Now) {
  // A listing that was made before start_by proves nothing about a start that
  // was still on its way.
  const Millis SentWall = Now.Wall_ - (Now.Monotonic_ - Plan.Sent_);
  std::set<std::string> Listed;
  for (const RunningTask &Each : Reply.Running_) {
    Listed.insert(Each.Attempt_);
    const auto Found = Tasks_.find(Each.Attempt_);
    if (Found == Tasks_.end())
      adoptLocked(Each, Plan.Worker_, Now.Monotonic_);
    else if (Found->second.Phase_ == Phase::Unresolved)
      Found->second.Phase_ = Phase::Running;
  }
  for (auto &[Attempt, Entry] : Tasks_) {
    if (Entry.Worker_ != Plan.Worker_ || Listed.count(Attempt) != 0)
      continue;
    // A start that was confirmed after the request left may be missing.
    const bool Vanished =
        Entry.Phase_ == Phase::Running && Entry.Confirmed_ < Plan.Sent_;
    // A start that has not arrived can't take effect any more.
    const bool NeverStarted = Entry.Phase_ == Phase::Unresolved &&
                              SentWall > Entry.StartBy_ + Settings_.ClockError_;
    if (Vanished || NeverStarted)
      endTask(Attempt, Entry, OwnerStatus{OwnerVerdict::Lost, {}});
  }
}

void OwnedShard::failRenewal(const RenewalPlan &Plan, Moment Now) {
  const MutexLock Lock(Mutex_);
  const auto Found = Links_.find(Plan.Worker_);
  if (Found == Links_.end())
    return;
  Link &Worker = Found->second;
  if (++Worker.Misses_ < MissesUntilUnlisted)
    return;
  Worker.Listed_ = false;
  if (Worker.Known_)
    putWorker(Worker);
  if (hasLapsed(Worker, Now))
    loseTasks(Plan.Worker_);
}

bool OwnedShard::applyReport(const std::string &Worker,
                             const AttemptReport &Report) {
  const MutexLock Lock(Mutex_);
  if (Links_.count(Worker) == 0)
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
    noteOutcome(Found->second, End);
    endTask(Report.Attempt_, Found->second, End);
    return;
  }
  // Started under an earlier owner: the home is looked up in the job's row.
  Task Entry;
  Attempt Try;
  if (!splitAttemptId(Report.Attempt_, Entry.Job_, Try))
    return;
  Entry.Phase_ = Phase::Ended;
  Entry.Worker_ = Worker;
  Entry.End_ = End;
  Tasks_.emplace(Report.Attempt_, std::move(Entry));
}

} // namespace damaskglade::node
