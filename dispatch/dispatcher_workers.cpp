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

// Time after which an order to stop is given again.
constexpr Millis StopRepeat{400};
// Time after which a failed attempt is tried again.
constexpr Millis FailureDelay{20};

} // namespace

WorkerTarget Dispatcher::target(const Worker &Where) const {
  return WorkerTarget{Where.Info_.Id_, Where.Info_.Address_, Epoch_};
}

const Worker *Dispatcher::findWorker(const std::string &Id) const {
  const auto Found = Workers_.find(Id);
  return Found == Workers_.end() ? nullptr : &Found->second;
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
  Worker &Where = Workers_[Info.Id_];
  if (Where.Info_.Id_.empty()) {
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
    const auto [At, Added] = Workers_.try_emplace(Info.Id_);
    Worker &Where = At->second;
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
  if (!isTerminal(Job->RecordedState_))
    return;
  const bool Holds =
      std::any_of(Job->Steps_.begin(), Job->Steps_.end(),
                  [](const StepRun &Each) { return Each.RunCount_ > 0; });
  if (!Holds)
    Active_.erase(Ref.Job_);
}

void Dispatcher::loseRuns(Worker &Where, bool KeepStarting, Millis Now) {
  const std::vector<TaskRef> Tasks(Where.Tasks_.begin(), Where.Tasks_.end());
  for (const TaskRef &Ref : Tasks) {
    TaskState *Task = task(Ref);
    JobRun *Job = job(Ref.Job_);
    if (!Task || !Task->Run_ ||
        (KeepStarting && Task->Run_->State_ == RunState::Starting))
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
      loseRuns(Where, false, Now);
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
    loseRuns(Where, true, Now);
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
}

void Dispatcher::noteRunning(Worker &Where, const RunningEntry &Entry,
                             Millis SentAt, Millis Now) {
  const auto Ref = parseTaskName(Entry.Task_);
  TaskState *Task = Ref ? task(Ref.value()) : nullptr;
  if (!Task)
    return stopForeign(Where, Entry, Now);
  JobRun &Job = *job(Ref.value().Job_);
  const StepSpec &Step =
      Job.Spec_.Steps_[static_cast<std::size_t>(Ref.value().Step_)];
  const bool Wanted = !Task->Done_ && !isTerminal(Job.State_);
  if (!Task->Run_ && Wanted && Entry.Attempt_ > Task->LastAttempt_) {
    Run Adopted;
    Adopted.Attempt_ = Entry.Attempt_;
    Adopted.Worker_ = Where.Info_.Id_;
    Adopted.State_ = RunState::Running;
    Adopted.OrderedAt_ = SentAt;
    Adopted.StartedAt_ = SentAt;
    Adopted.ProgressAt_ = Now;
    bookRun(*Task, Ref.value(), Step, Adopted);
    Job.Started_ = true;
    if (Job.State_ == JobState::Queued)
      Job.State_ = JobState::Active;
    log(Job.Spec_.Id_, Entry.Task_, Where.Info_.Id_, "adopted running task");
  }
  if (!Task->Run_ || Task->Run_->Attempt_ != Entry.Attempt_ ||
      Task->Run_->Worker_ != Where.Info_.Id_)
    return stopForeign(Where, Entry, Now);
  Run &Attempt = *Task->Run_;
  ++Attempt.StillLooks_;
  if (!Attempt.Seen_ || Entry.Percent_ != Attempt.Percent_) {
    Attempt.ProgressAt_ = Now;
    Attempt.StillLooks_ = 0;
  }
  Attempt.Seen_ = true;
  Attempt.Percent_ = Entry.Percent_;
  Attempt.Gauge_ = Entry.Gauge_;
  if (!Entry.Checkpoint_.empty())
    Task->Checkpoint_ = Entry.Checkpoint_;
  if (Attempt.State_ == RunState::Uncertain) {
    Attempt.State_ = RunState::Running;
    Attempt.StartedAt_ = SentAt;
  }
  if (Attempt.State_ == RunState::Running && !Wanted)
    orderStop(Ref.value(), *Task, "no longer wanted", Now);
}

void Dispatcher::stopForeign(Worker &Where, const RunningEntry &Entry,
                             Millis Now) {
  auto Known = std::find_if(Where.Foreign_.begin(), Where.Foreign_.end(),
                            [&](const ForeignRun &Each) {
                              return Each.Task_ == Entry.Task_ &&
                                     Each.Attempt_ == Entry.Attempt_;
                            });
  if (Known == Where.Foreign_.end()) {
    ForeignRun Added{Entry.Task_, Entry.Attempt_, Size{}, Millis{}};
    const auto Ref = parseTaskName(Entry.Task_);
    if (const JobRun *Job = Ref ? findJob(Ref.value().Job_) : nullptr;
        Job && Ref.value().Step_ < static_cast<int>(Job->Spec_.Steps_.size()))
      Added.Booked_ = bookedSize(
          Job->Spec_.Steps_[static_cast<std::size_t>(Ref.value().Step_)]);
    Where.Used_ = Where.Used_ + Added.Booked_;
    log(Entry.Task_.substr(0, Entry.Task_.find('.')), Entry.Task_,
        Where.Info_.Id_,
        "stopping attempt " + std::to_string(Entry.Attempt_) +
            " that should not run here");
    Known = Where.Foreign_.insert(Where.Foreign_.end(), Added);
  }
  if (Known->StopSentAt_ > Millis{} && Now < Known->StopSentAt_ + StopRepeat)
    return;
  Known->StopSentAt_ = Now;
  Pending_.Stops_.push_back(
      StopAction{target(Where), Entry.Task_, Entry.Attempt_, "foreign"});
}

// A run that the worker no longer lists has gone without an end that can be
// told: either it never began, or its end was listed before.
void Dispatcher::dropMissing(Worker &Where, const LookReply &Reply,
                             Millis SentAt, Millis Now) {
  std::set<std::string> Running;
  for (const RunningEntry &Each : Reply.Running_)
    Running.insert(Each.Task_ + '/' + std::to_string(Each.Attempt_));
  for (auto At = Where.Foreign_.begin(); At != Where.Foreign_.end();) {
    if (Running.count(At->Task_ + '/' + std::to_string(At->Attempt_)) > 0) {
      ++At;
      continue;
    }
    Where.Used_ = Where.Used_ - At->Booked_;
    At = Where.Foreign_.erase(At);
  }
  const std::vector<TaskRef> Tasks(Where.Tasks_.begin(), Where.Tasks_.end());
  for (const TaskRef &Ref : Tasks) {
    TaskState *Task = task(Ref);
    if (!Task || !Task->Run_)
      continue;
    Run &Attempt = *Task->Run_;
    if (Running.count(taskName(Ref) + '/' + std::to_string(Attempt.Attempt_)) >
        0)
      continue;
    const bool AnsweredBefore =
        Attempt.StartedAt_ > Millis{} && Attempt.StartedAt_ < SentAt;
    const bool StoppedBefore = Attempt.StopConfirmedAt_ > Millis{} &&
                               Attempt.StopConfirmedAt_ < SentAt;
    if (Attempt.State_ == RunState::Uncertain) {
      orderStop(Ref, *Task, "order unanswered and not carried out", Now);
      continue;
    }
    if (!StoppedBefore &&
        (Attempt.State_ != RunState::Running || !AnsweredBefore))
      continue;
    JobRun &Job = *job(Ref.Job_);
    const StepSpec &Step =
        Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
    log(Ref.Job_, taskName(Ref), Where.Info_.Id_, "run is no longer listed");
    releaseRun(*Task, Ref, Step);
    if (Step.Gang_ && !Task->Done_)
      stopStepRuns(Job, Ref.Step_, "gang member missing", Now);
  }
}

void Dispatcher::noteDuration(Worker &Where, const StepSpec &Step,
                              const Run &Attempt, Millis Now) {
  // Fillers run at whatever is left, gangs wait for each other, and a resumed
  // task does only part of its work.
  if (Step.Filler_ || Step.Gang_ || Step.Checkpointing_ ||
      Step.Estimate_ <= Millis{} || Attempt.StartedAt_ == Millis{})
    return;
  constexpr double Weight = 0.02;
  const double Share = static_cast<double>((Now - Attempt.StartedAt_).Value_) /
                       static_cast<double>(Step.Estimate_.Value_);
  UsualShare_ += UsualShare_ == 0 ? Share : Weight * (Share - UsualShare_);
  noteSpeed(Where, Share, Now);
}

void Dispatcher::noteEnd(Worker &Where, const EndedTask &End, Millis Now) {
  if (End.Number_ <= Where.LastEnd_)
    return;
  Where.LastEnd_ = End.Number_;
  const auto Ref = parseTaskName(End.Task_);
  if (!Ref || !task(Ref.value()))
    return;
  applyEnd(*job(Ref.value().Job_), Ref.value(), End, Where, Now);
}

void Dispatcher::applyEnd(JobRun &Job, const TaskRef &Ref, const EndedTask &End,
                          Worker &Where, Millis Now) {
  TaskState &Task = *task(Ref);
  const StepSpec &Step = Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
  Task.LastAttempt_ = std::max(Task.LastAttempt_, End.Attempt_);
  if (!End.Checkpoint_.empty() && !Task.Done_)
    Task.Checkpoint_ = End.Checkpoint_;
  const bool Current = Task.Run_ && Task.Run_->Attempt_ == End.Attempt_ &&
                       Task.Run_->Worker_ == Where.Info_.Id_;
  if (Current && End.End_ == TaskEnd::Done)
    noteDuration(Where, Step, *Task.Run_, Now);
  if (Current)
    releaseRun(Task, Ref, Step);
  if (End.End_ == TaskEnd::Done)
    noteSuccess(Where.Health_);
  if (isTerminal(Job.State_) || Task.Done_)
    return;
  if (End.End_ == TaskEnd::Done && !Step.LongRunning_) {
    if (Task.Run_)
      orderStop(Ref, Task, "an earlier attempt has ended well", Now);
    markDone(Job, Ref, Now);
    return;
  }
  log(Ref.Job_, End.Task_, Where.Info_.Id_,
      "attempt=" + std::to_string(End.Attempt_) +
          " ended badly, end=" + std::to_string(static_cast<int>(End.End_)));
  if (End.End_ == TaskEnd::Failed) {
    noteFailure(Where.Health_, Ref.Job_, Now);
    Task.RetryAt_ = Now + FailureDelay;
    markFailed(Job, Ref, End.Attempt_, Now);
  }
  if (Step.Gang_ && Current && !isTerminal(Job.State_))
    stopStepRuns(Job, Ref.Step_, "gang member ended", Now);
}

} // namespace damaskglade::dispatch
