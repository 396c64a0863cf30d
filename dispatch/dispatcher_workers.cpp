#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// Worker clocks may run 2% slow, which lengthens a lease by that much.
constexpr double ClockDriftFactor = 1.02;
constexpr Millis LeaseExpiryMargin{150};

Millis withClockDrift(Millis Duration) {
  return Millis{static_cast<std::int64_t>(static_cast<double>(Duration.Value_) *
                                          ClockDriftFactor)};
}

} // namespace

WorkerTarget Dispatcher::target(const Worker &W) const {
  return WorkerTarget{W.Info_.Id_, W.Info_.Address_, Epoch_};
}

const Worker *Dispatcher::findWorker(const std::string &Id) const {
  const auto Found = Workers_.find(Id);
  return Found == Workers_.end() ? nullptr : &Found->second;
}

Worker &Dispatcher::ensureWorker(const std::string &Id) {
  const auto [Position, Added] = Workers_.try_emplace(Id);
  if (Added) {
    Position->second.Slot_ = static_cast<int>(WorkersBySlot_.size());
    WorkersBySlot_.push_back(&Position->second);
  }
  return Position->second;
}

Millis Dispatcher::leaseEnd(const Worker &W, Millis Now) const {
  if (W.WorkerClock_ == Millis{})
    return Millis{};
  return W.WorkerClock_ + (Now - W.ClockReadAt_) + Limits_.Lease_;
}

Millis Dispatcher::earlierLeaseExpiry() const {
  return StartedAt_ + Limits_.LeaderGrace_ + withClockDrift(Limits_.Lease_) +
         LeaseExpiryMargin;
}

void Dispatcher::restoreWorker(const WorkerInfo &Info) {
  const bool Added = Workers_.count(Info.Id_) == 0;
  Worker &W = ensureWorker(Info.Id_);
  if (Added) {
    W.Info_ = Info;
    W.Registered_ = false;
    W.LeaseExpiry_ = earlierLeaseExpiry();
  }
  W.Recorded_ = true;
}

void Dispatcher::markWorkerRecorded(const std::string &Id) {
  const auto Found = Workers_.find(Id);
  if (Found != Workers_.end())
    Found->second.Recorded_ = true;
}

std::vector<WorkerInfo> Dispatcher::takeUnrecordedWorkers() {
  return std::exchange(UnrecordedWorkers_, {});
}

std::vector<std::string> Dispatcher::takeForgottenWorkers() {
  return std::exchange(ForgottenWorkers_, {});
}

void Dispatcher::setWorkers(const std::vector<WorkerInfo> &Workers,
                            Millis Now) {
  RegistryReceived_ = true;
  std::set<std::string> RegisteredIds;
  for (const WorkerInfo &Info : Workers) {
    RegisteredIds.insert(Info.Id_);
    const bool Added = Workers_.count(Info.Id_) == 0;
    Worker &W = ensureWorker(Info.Id_);
    if (Added) {
      // Tasks that an earlier leader started may run until its last lease ends.
      W.LeaseExpiry_ = earlierLeaseExpiry();
      W.UnreachableSince_ = Now;
      UnrecordedWorkers_.push_back(Info);
    }
    const bool StartsDraining = Info.Draining_ && !W.Info_.Draining_ && !Added;
    // A drain that the worker itself reported outlasts an older list.
    W.Info_ = Info;
    W.Registered_ = true;
    if (StartsDraining)
      log("", "worker", Info.Id_, "draining");
  }
  for (auto Position = Workers_.begin(); Position != Workers_.end();) {
    Worker &W = Position->second;
    if (RegisteredIds.count(Position->first) > 0) {
      ++Position;
      continue;
    }
    if (W.Registered_)
      log("", "worker", Position->first, "left the registry");
    W.Registered_ = false;
    const bool MayForget = W.Tasks_.empty() && W.LeaseExpiry_ < Now &&
                           W.Reachability_ != Reachability::Reachable;
    if (MayForget && W.Recorded_)
      ForgottenWorkers_.push_back(Position->first);
    if (MayForget)
      WorkersBySlot_[static_cast<std::size_t>(W.Slot_)] = nullptr;
    Position = MayForget ? Workers_.erase(Position) : std::next(Position);
  }
}

void Dispatcher::addRun(TaskState &Task, const TaskRef &Ref,
                        const StepSpec &Step, Run Attempt) {
  Worker &W = Workers_[Attempt.Worker_];
  W.Used_ = W.Used_ + reservedSize(Step);
  W.Fillers_ += Step.Filler_ ? 1 : 0;
  W.ServingRuns_ += Step.TargetLatency_ > Millis{} ? 1 : 0;
  W.Tasks_.insert(Ref);
  Task.LastAttempt_ = std::max(Task.LastAttempt_, Attempt.Attempt_);
  Task.Run_ = std::move(Attempt);
  JobRun *Job = job(Ref.Job_);
  ++Job->Steps_[static_cast<std::size_t>(Ref.Step_)].RunCount_;
}

void Dispatcher::removeRun(TaskState &Task, const TaskRef &Ref,
                           const StepSpec &Step) {
  Worker &W = Workers_[Task.Run_->Worker_];
  W.Used_ = W.Used_ - reservedSize(Step);
  W.Fillers_ -= Step.Filler_ ? 1 : 0;
  W.ServingRuns_ -= Step.TargetLatency_ > Millis{} ? 1 : 0;
  W.Tasks_.erase(Ref);
  Task.Run_.reset();
  JobRun *Job = job(Ref.Job_);
  --Job->Steps_[static_cast<std::size_t>(Ref.Step_)].RunCount_;
  if (!isTerminal(Job->State_) || hasRuns(Ref.Job_))
    return;
  // The last run of the ended job is over, so its row can be deleted.
  markChanged(Ref.Job_);
  if (isTerminal(Job->RecordedState_))
    Active_.erase(Ref.Job_);
}

void Dispatcher::dropLostRuns(
    Worker &W, const std::function<bool(const TaskRef &, const Run &)> &Keep,
    Millis Now) {
  const std::vector<TaskRef> Tasks(W.Tasks_.begin(), W.Tasks_.end());
  for (const TaskRef &Ref : Tasks) {
    TaskState *Task = task(Ref);
    JobRun *Job = job(Ref.Job_);
    if (!Task || !Task->Run_ || (Keep && Keep(Ref, *Task->Run_)))
      continue;
    const StepSpec &Step =
        Job->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
    log(Ref.Job_, taskName(Ref), W.Info_.Id_, "run lost with its worker");
    removeRun(*Task, Ref, Step);
    if (Step.Gang_)
      stopStepRuns(*Job, Ref.Step_, "gang member lost", Now);
  }
  for (const UnexpectedRun &Unexpected : W.UnexpectedRuns_)
    W.Used_ = W.Used_ - Unexpected.Reserved_;
  W.UnexpectedRuns_.clear();
}

// Orders may have reached the restarted process before its first poll reply,
// and those without a reply may still reach it.
void Dispatcher::handleRestart(Worker &W, const PollReply &Reply, Millis SentAt,
                               Millis Now) {
  std::set<std::pair<std::string, std::int64_t>> ReportedAttempts;
  for (const RunningEntry &Entry : Reply.Running_)
    ReportedAttempts.emplace(Entry.Task_, Entry.Attempt_);
  for (const EndedTask &End : Reply.Ended_)
    ReportedAttempts.emplace(End.Task_, End.Attempt_);
  dropLostRuns(
      W,
      [&](const TaskRef &Ref, const Run &Attempt) {
        const bool Answered = Attempt.StartedAt_ > Millis{};
        return !Answered || Attempt.StartedAt_ >= SentAt ||
               ReportedAttempts.count({taskName(Ref), Attempt.Attempt_}) > 0;
      },
      Now);
  // Stops that the earlier process confirmed do not apply to the new one.
  for (const TaskRef &Ref : W.Tasks_)
    task(Ref)->Run_->StopConfirmedAt_ = Millis{};
}

void Dispatcher::updateClock(Worker &W, Millis Clock, Millis SentAt,
                             Millis Now) {
  if (Clock == Millis{})
    return;
  W.WorkerClock_ = Clock;
  W.ClockReadAt_ = Now;
  // The order may have carried a lease of the full length, counted from when it
  // was sent.
  const Millis Expiry =
      Now + withClockDrift(Limits_.Lease_ + (Now - SentAt)) + LeaseExpiryMargin;
  W.LeaseExpiry_ = std::max(W.LeaseExpiry_, Expiry);
}

void Dispatcher::handlePollFailure(const std::string &Id, const Error &Failure,
                                   Millis Now) {
  const auto Found = Workers_.find(Id);
  if (Found == Workers_.end())
    return;
  Worker &W = Found->second;
  // A refused connection does not prove that the worker has stopped: some
  // network partitions refuse connections to workers that keep running.
  if (W.Reachability_ == Reachability::Reachable) {
    log("", "look at worker", Id, "unreachable: " + Failure.Message_);
    W.Reachability_ = Reachability::Unreachable;
    W.UnreachableSince_ = Now;
  }
}

void Dispatcher::expireUnreachable(Millis Now) {
  UnresolvedWorkers_ = 0;
  for (auto &[Id, W] : Workers_) {
    if (W.Reachability_ != Reachability::Unknown &&
        W.Reachability_ != Reachability::Unreachable)
      continue;
    if (Now > W.LeaseExpiry_) {
      log("", "worker", Id,
          "unreachable until its leases expired, its runs are lost");
      W.Reachability_ = Reachability::Expired;
      dropLostRuns(W, nullptr, Now);
    } else if (W.Reachability_ == Reachability::Unknown) {
      ++UnresolvedWorkers_;
    }
  }
}

void Dispatcher::handlePollReply(const std::string &Id, const PollReply &Reply,
                                 Millis SentAt, Millis Now) {
  const auto Found = Workers_.find(Id);
  if (Found == Workers_.end())
    return;
  Worker &W = Found->second;
  if (Reply.Outcome_ == OrderOutcome::Fenced) {
    Fenced_ = true;
    return;
  }
  if (Reply.Outcome_ != OrderOutcome::Done) {
    handlePollFailure(Id,
                      Error{Reason::StartFailed, Effect::None, "look at worker",
                            Id, "worker refused the poll"},
                      Now);
    return;
  }
  if (W.ProcessStart_ != 0 && Reply.ProcessStart_ != W.ProcessStart_) {
    log("", "look at worker", Id, "worker has restarted, its runs are lost");
    handleRestart(W, Reply, SentAt, Now);
    W.LastEnd_ = 0;
  }
  W.ProcessStart_ = Reply.ProcessStart_;
  if (W.Reachability_ != Reachability::Reachable)
    log("", "look at worker", Id,
        "reachable, running=" + std::to_string(Reply.Running_.size()));
  // After this poll the worker rejects orders of earlier leaders.
  if (W.Reachability_ == Reachability::Unknown)
    W.LeaseExpiry_ = Millis{};
  W.Reachability_ = Reachability::Reachable;
  updateClock(W, Reply.Clock_, SentAt, Now);
  for (const EndedTask &End : Reply.Ended_)
    handleEnd(W, End, Now);
  for (const RunningEntry &Entry : Reply.Running_)
    handleRunning(W, Entry, SentAt, Now);
  removeMissingRuns(W, Reply, SentAt, Now);
  stopStalledRuns(W, Now);
  PaceDue_.insert(Id);
}

} // namespace damaskglade::dispatch
