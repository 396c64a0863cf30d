#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// Delay between a failed attempt at a task and the next attempt.
constexpr Millis FailureRetryDelay{20};

} // namespace

namespace {

Size positivePart(const Size &Free) {
  constexpr std::int64_t Zero = 0;
  return Size{std::max(Free.MilliCpus_, Zero), std::max(Free.MemoryMib_, Zero),
              std::max(Free.Accelerators_, Zero)};
}

} // namespace

void Dispatcher::handleRunning(Worker &W, const RunningEntry &Entry,
                               Millis SentAt, Millis Now) {
  const auto Ref = parseTaskName(Entry.Task_);
  JobRun *FoundJob = Ref ? job(Ref.value().Job_) : nullptr;
  TaskState *Task = FoundJob ? task(*FoundJob, Ref.value()) : nullptr;
  if (!Task)
    return stopUnexpectedRun(W, Entry, Now);
  JobRun &Job = *FoundJob;
  const StepSpec &Step =
      Job.Spec_.Steps_[static_cast<std::size_t>(Ref.value().Step_)];
  const bool StillNeeded = !Task->Done_ && !isTerminal(Job.State_);
  if (!Task->Run_ && StillNeeded && Entry.Attempt_ > Task->LastAttempt_) {
    Run AdoptedRun;
    AdoptedRun.Attempt_ = Entry.Attempt_;
    AdoptedRun.Worker_ = W.Info_.Id_;
    AdoptedRun.Process_ = W.ProcessStart_;
    AdoptedRun.State_ = RunState::Running;
    AdoptedRun.OrderedAt_ = SentAt;
    AdoptedRun.StartedAt_ = SentAt;
    AdoptedRun.ProgressAt_ = Now;
    addRun(*Task, Ref.value(), Step, AdoptedRun);
    log(Job.Spec_.Id_, Entry.Task_, W.Info_.Id_, "adopted running task");
  }
  if (!Task->Run_ || Task->Run_->Attempt_ != Entry.Attempt_ ||
      Task->Run_->Worker_ != W.Info_.Id_)
    return stopUnexpectedRun(W, Entry, Now);
  Run &Attempt = *Task->Run_;
  Attempt.Process_ = W.ProcessStart_;
  markStarted(Job, Ref.value(), W.Info_.Id_, Now);
  ++Attempt.PollsWithoutProgress_;
  if (!Attempt.Reported_ || Entry.Percent_ != Attempt.Percent_) {
    Attempt.ProgressAt_ = Now;
    Attempt.PollsWithoutProgress_ = 0;
  }
  Attempt.Reported_ = true;
  Attempt.Percent_ = Entry.Percent_;
  Attempt.Gauge_ = Entry.Gauge_;
  if (!Entry.Checkpoint_.empty())
    Task->Checkpoint_ = Entry.Checkpoint_;
  if (Attempt.State_ == RunState::Uncertain) {
    Attempt.State_ = RunState::Running;
    Attempt.StartedAt_ = SentAt;
  }
  clearCrashes(Ref.value(), *Task, SentAt);
  if (Attempt.State_ == RunState::Running && !StillNeeded)
    requestStop(Ref.value(), *Task, "task no longer needed", Now);
}

void Dispatcher::stopUnexpectedRun(Worker &W, const RunningEntry &Entry,
                                   Millis Now) {
  auto UnexpectedEntry =
      std::find_if(W.UnexpectedRuns_.begin(), W.UnexpectedRuns_.end(),
                   [&](const UnexpectedRun &Existing) {
                     return Existing.Task_ == Entry.Task_ &&
                            Existing.Attempt_ == Entry.Attempt_;
                   });
  if (UnexpectedEntry == W.UnexpectedRuns_.end()) {
    UnexpectedRun NewRun{Entry.Task_, Entry.Attempt_, Size{}, Millis{}};
    const auto Ref = parseTaskName(Entry.Task_);
    if (const JobRun *Job = Ref ? findJob(Ref.value().Job_) : nullptr;
        Job && Ref.value().Step_ < static_cast<int>(Job->Spec_.Steps_.size())) {
      const StepSpec &Step =
          Job->Spec_.Steps_[static_cast<std::size_t>(Ref.value().Step_)];
      NewRun.Reserved_ = reservedSize(Step);
      NewRun.Workspace_ = Job->Spec_.Workspace_;
      NewRun.Size_ = Step.Size_;
    } else
      // The size of the run is unknown: reserve all free capacity of the
      // worker.
      NewRun.Reserved_ = positivePart(freeCapacity(W));
    W.Used_ = W.Used_ + NewRun.Reserved_;
    countUnexpectedRun(NewRun, 1);
    if (TaskState *Task = Ref ? task(Ref.value()) : nullptr)
      ++Task->UnexpectedRuns_;
    log(Entry.Task_.substr(0, Entry.Task_.find('.')), Entry.Task_, W.Info_.Id_,
        "stopping attempt " + std::to_string(Entry.Attempt_) +
            " that is not assigned to this worker");
    UnexpectedEntry = W.UnexpectedRuns_.insert(W.UnexpectedRuns_.end(), NewRun);
  }
  if (UnexpectedEntry->StopSentAt_ > Millis{} &&
      Now < UnexpectedEntry->StopSentAt_ + StopRetryInterval)
    return;
  UnexpectedEntry->StopSentAt_ = Now;
  PendingActions_.Stops_.push_back(
      StopAction{target(W), Entry.Task_, Entry.Attempt_, "foreign"});
}

void Dispatcher::releaseUnexpectedRun(Worker &W, const UnexpectedRun &Ended) {
  W.Used_ = W.Used_ - Ended.Reserved_;
  countUnexpectedRun(Ended, -1);
  const auto Ref = parseTaskName(Ended.Task_);
  TaskState *Task = Ref ? task(Ref.value()) : nullptr;
  // A job that was removed and added again has no count of its earlier runs.
  if (Task && Task->UnexpectedRuns_ > 0)
    --Task->UnexpectedRuns_;
}

// Removes runs that are missing from a poll reply. A run whose start or stop
// was confirmed before the poll was sent has ended: the worker would list it,
// unless it lists only a part of the ends. No result is applied. A run whose
// start order got no reply is stopped first, as the order may still be carried
// out.
void Dispatcher::removeMissingRuns(Worker &W, const PollReply &Reply,
                                   Millis SentAt, Millis Now) {
  if (!listsAllEnds(Reply))
    return;
  std::vector<std::pair<std::string_view, std::int64_t>> ReportedRuns;
  ReportedRuns.reserve(Reply.Running_.size());
  for (const RunningEntry &Entry : Reply.Running_)
    ReportedRuns.emplace_back(Entry.Task_, Entry.Attempt_);
  std::sort(ReportedRuns.begin(), ReportedRuns.end());
  const auto IsReported = [&](std::string_view Task, std::int64_t Attempt) {
    return std::binary_search(ReportedRuns.begin(), ReportedRuns.end(),
                              std::make_pair(Task, Attempt));
  };
  for (auto UnexpectedEntry = W.UnexpectedRuns_.begin();
       UnexpectedEntry != W.UnexpectedRuns_.end();) {
    if (IsReported(UnexpectedEntry->Task_, UnexpectedEntry->Attempt_))
      UnexpectedEntry->Expected_ = false;
    else if (!mayBegin(*UnexpectedEntry, SentAt)) {
      releaseUnexpectedRun(W, *UnexpectedEntry);
      UnexpectedEntry = W.UnexpectedRuns_.erase(UnexpectedEntry);
      continue;
    }
    ++UnexpectedEntry;
  }
  for (auto NextTask = W.Tasks_.begin(); NextTask != W.Tasks_.end();) {
    const TaskRef &Ref = *NextTask++;
    TaskState *Task = task(Ref);
    if (!Task || !Task->Run_)
      continue;
    Run &Attempt = *Task->Run_;
    if (IsReported(taskName(Ref), Attempt.Attempt_))
      continue;
    const bool StartedBeforePoll =
        Attempt.StartedAt_ > Millis{} && Attempt.StartedAt_ < SentAt;
    const bool StopConfirmedBeforePoll = Attempt.StopConfirmedAt_ > Millis{} &&
                                         Attempt.StopConfirmedAt_ < SentAt;
    if (Attempt.State_ == RunState::Uncertain) {
      requestStop(Ref, *Task, "start order unconfirmed and task not running",
                  Now);
      continue;
    }
    if (!StopConfirmedBeforePoll &&
        (Attempt.State_ != RunState::Running || !StartedBeforePoll))
      continue;
    // Removing the run removes the element of the worker's tasks.
    const TaskRef Missing = Ref;
    JobRun &Job = *job(Missing.Job_);
    const StepSpec &Step =
        Job.Spec_.Steps_[static_cast<std::size_t>(Missing.Step_)];
    log(Missing.Job_, taskName(Missing), W.Info_.Id_,
        "run is missing from the poll reply");
    rememberStart(W, Missing, Step, Attempt);
    removeRun(*Task, Missing, Step);
    if (Step.Gang_ && !Task->Done_)
      stopStepRuns(Job, Missing.Step_, "gang member missing", Now);
  }
}

void Dispatcher::handleEnd(Worker &W, const EndedTask &End, Millis Now) {
  if (End.SequenceNumber_ <= W.LastEnd_)
    return;
  W.LastEnd_ = End.SequenceNumber_;
  const auto Ref = parseTaskName(End.Task_);
  JobRun *Job = Ref ? job(Ref.value().Job_) : nullptr;
  if (Job && task(*Job, Ref.value()))
    applyEnd(*Job, Ref.value(), End, W, Now);
}

void Dispatcher::applyEnd(JobRun &Job, const TaskRef &Ref, const EndedTask &End,
                          Worker &W, Millis Now) {
  TaskState &Task = *task(Job, Ref);
  const StepSpec &Step = Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
  Task.LastAttempt_ = std::max(Task.LastAttempt_, End.Attempt_);
  markStarted(Job, Ref, W.Info_.Id_, Now);
  if (!End.Checkpoint_.empty() && !Task.Done_)
    Task.Checkpoint_ = End.Checkpoint_;
  const bool IsCurrentRun = Task.Run_ && Task.Run_->Attempt_ == End.Attempt_ &&
                            Task.Run_->Worker_ == W.Info_.Id_;
  if (IsCurrentRun && End.End_ == TaskEnd::Done) {
    recordTaskDuration(W, Step, *Task.Run_, Now);
    recordSpeedSample(W, Job.Steps_[static_cast<std::size_t>(Ref.Step_)], Step,
                      *Task.Run_, Now);
  }
  if (IsCurrentRun) {
    clearCrashes(Ref, Task, Now);
    removeRun(Task, Ref, Step);
  }
  if (End.End_ == TaskEnd::Done)
    recordSuccess(W.Health_);
  if (isTerminal(Job.State_) || Task.Done_)
    return;
  if (End.End_ == TaskEnd::Done && !Step.LongRunning_) {
    if (Task.Run_)
      requestStop(Ref, Task, "an earlier attempt has completed", Now);
    markDone(Job, Ref, Now);
    return;
  }
  log(Ref.Job_, End.Task_, W.Info_.Id_,
      "attempt=" + std::to_string(End.Attempt_) + " did not complete, end=" +
          std::to_string(static_cast<int>(End.End_)));
  if (End.End_ == TaskEnd::Failed) {
    recordFailure(W.Health_, Ref.Job_, Now);
    Task.RetryAt_ = Now + FailureRetryDelay;
    markFailed(Job, Ref, End.Attempt_, Now);
  }
  if (Step.Gang_ && IsCurrentRun && !isTerminal(Job.State_))
    stopStepRuns(Job, Ref.Step_, "gang member ended", Now);
}

} // namespace damaskglade::dispatch
