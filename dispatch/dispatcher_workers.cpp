#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// Workers' clocks may be 2% slow, so a lease lasts that much longer.
constexpr double SlowClock = 1.02;
constexpr Millis LapseMargin{150};

Millis stretched(Millis Time) {
  return Millis{
      static_cast<std::int64_t>(static_cast<double>(Time.Value_) * SlowClock)};
}

} // namespace

WorkerTarget Dispatcher::target(const Worker &Where) const {
  return WorkerTarget{Where.Info_.Id_, Where.Info_.Address_, Epoch_};
}

const Worker *Dispatcher::findWorker(const std::string &Id) const {
  const auto Found = Workers_.find(Id);
  return Found == Workers_.end() ? nullptr : &Found->second;
}

Worker &Dispatcher::ensureWorker(const std::string &Id) {
  const auto [At, Added] = Workers_.try_emplace(Id);
  if (Added) {
    At->second.Slot_ = static_cast<int>(BySlot_.size());
    BySlot_.push_back(&At->second);
  }
  return At->second;
}

Millis Dispatcher::leaseEnd(const Worker &Where, Millis Now) const {
  if (Where.WorkerClock_ == Millis{})
    return Millis{};
  return Where.WorkerClock_ + (Now - Where.ClockReadAt_) + Limits_.Lease_;
}

Millis Dispatcher::firstLapse() const {
  return StartedAt_ + Limits_.LeaderGrace_ + stretched(Limits_.Lease_) +
         LapseMargin;
}

void Dispatcher::restoreWorker(const WorkerInfo &Info) {
  const bool Added = Workers_.count(Info.Id_) == 0;
  Worker &Where = ensureWorker(Info.Id_);
  if (Added) {
    Where.Info_ = Info;
    Where.Listed_ = false;
    Where.LeaseLapse_ = firstLapse();
  }
  Where.Recorded_ = true;
}

void Dispatcher::noteWorkerRecorded(const std::string &Id) {
  const auto Found = Workers_.find(Id);
  if (Found != Workers_.end())
    Found->second.Recorded_ = true;
}

std::vector<WorkerInfo> Dispatcher::takeUnrecordedWorkers() {
  return std::exchange(Unrecorded_, {});
}

std::vector<std::string> Dispatcher::takeForgottenWorkers() {
  return std::exchange(ForgottenWorkers_, {});
}

void Dispatcher::setWorkers(const std::vector<WorkerInfo> &Workers,
                            Millis Now) {
  ListSeen_ = true;
  std::set<std::string> Listed;
  for (const WorkerInfo &Info : Workers) {
    Listed.insert(Info.Id_);
    const bool Added = Workers_.count(Info.Id_) == 0;
    Worker &Where = ensureWorker(Info.Id_);
    if (Added) {
      // What an earlier leader started there may run as long as its last lease.
      Where.LeaseLapse_ = firstLapse();
      Where.SilentSince_ = Now;
      Unrecorded_.push_back(Info);
    }
    const bool Drained = Info.Draining_ && !Where.Info_.Draining_ && !Added;
    // A drain that the worker itself reported outlasts an older list.
    Where.Info_ = Info;
    Where.Listed_ = true;
    if (Drained)
      log("", "worker", Info.Id_, "draining");
  }
  for (auto At = Workers_.begin(); At != Workers_.end();) {
    Worker &Where = At->second;
    if (Listed.count(At->first) > 0) {
      ++At;
      continue;
    }
    if (Where.Listed_)
      log("", "worker", At->first, "left the registry");
    Where.Listed_ = false;
    const bool Forget = Where.Tasks_.empty() && Where.LeaseLapse_ < Now &&
                        Where.Contact_ != Contact::Good;
    if (Forget && Where.Recorded_)
      ForgottenWorkers_.push_back(At->first);
    if (Forget)
      BySlot_[static_cast<std::size_t>(Where.Slot_)] = nullptr;
    At = Forget ? Workers_.erase(At) : std::next(At);
  }
}

void Dispatcher::bookRun(TaskState &Task, const TaskRef &Ref,
                         const StepSpec &Step, Run Attempt) {
  Worker &Where = Workers_[Attempt.Worker_];
  Where.Used_ = Where.Used_ + bookedSize(Step);
  Where.Fillers_ += Step.Filler_ ? 1 : 0;
  Where.ServingRuns_ += Step.TargetLatency_ > Millis{} ? 1 : 0;
  Where.Tasks_.insert(Ref);
  Task.LastAttempt_ = std::max(Task.LastAttempt_, Attempt.Attempt_);
  Task.Run_ = std::move(Attempt);
  JobRun *Job = job(Ref.Job_);
  ++Job->Steps_[static_cast<std::size_t>(Ref.Step_)].RunCount_;
}

void Dispatcher::releaseRun(TaskState &Task, const TaskRef &Ref,
                            const StepSpec &Step) {
  Worker &Where = Workers_[Task.Run_->Worker_];
  Where.Used_ = Where.Used_ - bookedSize(Step);
  Where.Fillers_ -= Step.Filler_ ? 1 : 0;
  Where.ServingRuns_ -= Step.TargetLatency_ > Millis{} ? 1 : 0;
  Where.Tasks_.erase(Ref);
  Task.Run_.reset();
  JobRun *Job = job(Ref.Job_);
  --Job->Steps_[static_cast<std::size_t>(Ref.Step_)].RunCount_;
  if (!isTerminal(Job->State_) || holdsRoom(Ref.Job_))
    return;
  // The job's row is no longer needed.
  changed(Ref.Job_);
  if (isTerminal(Job->RecordedState_))
    Active_.erase(Ref.Job_);
}

void Dispatcher::loseRuns(
    Worker &Where,
    const std::function<bool(const TaskRef &, const Run &)> &Keep, Millis Now) {
  const std::vector<TaskRef> Tasks(Where.Tasks_.begin(), Where.Tasks_.end());
  for (const TaskRef &Ref : Tasks) {
    TaskState *Task = task(Ref);
    JobRun *Job = job(Ref.Job_);
    if (!Task || !Task->Run_ || (Keep && Keep(Ref, *Task->Run_)))
      continue;
    const StepSpec &Step =
        Job->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
    log(Ref.Job_, taskName(Ref), Where.Info_.Id_, "run lost with its worker");
    releaseRun(*Task, Ref, Step);
    if (Step.Gang_)
      stopStepRuns(*Job, Ref.Step_, "gang member lost", Now);
  }
  for (const ForeignRun &Each : Where.Foreign_)
    Where.Used_ = Where.Used_ - Each.Booked_;
  Where.Foreign_.clear();
}

// Orders may have reached the new life of the worker before its first look, and
// those without an answer may still reach it.
void Dispatcher::noteRestart(Worker &Where, const LookReply &Reply,
                             Millis SentAt, Millis Now) {
  std::set<std::pair<std::string, std::int64_t>> Known;
  for (const RunningEntry &Each : Reply.Running_)
    Known.emplace(Each.Task_, Each.Attempt_);
  for (const EndedTask &Each : Reply.Ended_)
    Known.emplace(Each.Task_, Each.Attempt_);
  loseRuns(
      Where,
      [&](const TaskRef &Ref, const Run &Attempt) {
        const bool Answered = Attempt.StartedAt_ > Millis{};
        return !Answered || Attempt.StartedAt_ >= SentAt ||
               Known.count({taskName(Ref), Attempt.Attempt_}) > 0;
      },
      Now);
  // Stops that the earlier life confirmed bind the new one to nothing.
  for (const TaskRef &Ref : Where.Tasks_)
    task(Ref)->Run_->StopConfirmedAt_ = Millis{};
}

void Dispatcher::noteClock(Worker &Where, Millis Clock, Millis SentAt,
                           Millis Now) {
  if (Clock == Millis{})
    return;
  Where.WorkerClock_ = Clock;
  Where.ClockReadAt_ = Now;
  // The order may have carried a lease end of up to the full length, counted
  // from when it was sent.
  const Millis Lapse =
      Now + stretched(Limits_.Lease_ + (Now - SentAt)) + LapseMargin;
  Where.LeaseLapse_ = std::max(Where.LeaseLapse_, Lapse);
}

void Dispatcher::noteLookFailure(const std::string &Id, const Error &Failure,
                                 Millis Now) {
  const auto Found = Workers_.find(Id);
  if (Found == Workers_.end())
    return;
  Worker &Where = Found->second;
  // A refused connection proves nothing: some partitions refuse connections to
  // workers that run on.
  if (Where.Contact_ == Contact::Good) {
    log("", "look at worker", Id, "silent: " + Failure.Message_);
    Where.Contact_ = Contact::Silent;
    Where.SilentSince_ = Now;
  }
}

void Dispatcher::expireSilent(Millis Now) {
  UnresolvedWorkers_ = 0;
  for (auto &[Id, Where] : Workers_) {
    if (Where.Contact_ != Contact::Unseen && Where.Contact_ != Contact::Silent)
      continue;
    if (Now > Where.LeaseLapse_) {
      log("", "worker", Id, "silent past its leases, its runs are lost");
      Where.Contact_ = Contact::Gone;
      loseRuns(Where, nullptr, Now);
    } else if (Where.Contact_ == Contact::Unseen) {
      ++UnresolvedWorkers_;
    }
  }
}

void Dispatcher::noteLook(const std::string &Id, const LookReply &Reply,
                          Millis SentAt, Millis Now) {
  const auto Found = Workers_.find(Id);
  if (Found == Workers_.end())
    return;
  Worker &Where = Found->second;
  if (Reply.Outcome_ == OrderOutcome::Fenced) {
    Fenced_ = true;
    return;
  }
  if (Reply.Outcome_ != OrderOutcome::Done) {
    noteLookFailure(Id,
                    Error{Reason::StartFailed, Effect::None, "look at worker",
                          Id, "worker refused the look"},
                    Now);
    return;
  }
  if (Where.Born_ != 0 && Reply.Born_ != Where.Born_) {
    log("", "look at worker", Id, "worker has restarted, its runs are lost");
    noteRestart(Where, Reply, SentAt, Now);
    Where.LastEnd_ = 0;
  }
  Where.Born_ = Reply.Born_;
  if (Where.Contact_ != Contact::Good)
    log("", "look at worker", Id,
        "in contact, running=" + std::to_string(Reply.Running_.size()));
  // From this look on, the worker takes no orders of earlier leaders.
  if (Where.Contact_ == Contact::Unseen)
    Where.LeaseLapse_ = Millis{};
  Where.Contact_ = Contact::Good;
  noteClock(Where, Reply.Clock_, SentAt, Now);
  for (const EndedTask &Each : Reply.Ended_)
    noteEnd(Where, Each, Now);
  for (const RunningEntry &Each : Reply.Running_)
    noteRunning(Where, Each, SentAt, Now);
  dropMissing(Where, Reply, SentAt, Now);
  stopStalled(Where, Now);
  PaceDue_.insert(Id);
}

} // namespace damaskglade::dispatch
