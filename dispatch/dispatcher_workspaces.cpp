// Limits of what the tasks of a workspace use on all workers.

#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// A gang or a large task that its workspace's limit has held back for this long
// gets a turn. As long as other gangs wait for capacity before they hold
// workers (GangHoldDelay).
constexpr Millis TurnDelay{2000};
// More urgent steps of the workspace are held back too once a turn has lasted
// this long, so that they do not use what becomes free for ever.
constexpr Millis UrgentTurnDelay{8000};
// A turn ends after this time with room within the limit: the step then waits
// for something else, such as capacity or advice.
constexpr Millis UnusedTurnLength{2000};
// A task counts as large if fewer than this many fit within the limit.
constexpr std::int64_t LargeTaskDivisor = 4;

// A gang of one task may be larger than the limit, as any task.
bool needsWholeGang(const StepSpec &Step) {
  return Step.Gang_ && Step.Count_ > 1;
}

// A turn ends with the first start, so that a step with many large tasks does
// not hold the others back until all of them have started.
bool hasStartedSince(const StepRun &State, Millis Since) {
  return std::any_of(State.Tasks_.begin(), State.Tasks_.end(),
                     [&](const TaskState &Task) {
                       return Task.Run_ && Task.Run_->OrderedAt_ >= Since;
                     });
}

Size startSize(const StepSpec &Step) {
  return needsWholeGang(Step) ? Step.Size_ * Step.Count_ : Step.Size_;
}

} // namespace

void Dispatcher::setWorkspaces(const WorkspacePolicies &Workspaces) {
  for (const auto &[Name, Policy] : Workspaces)
    Workspaces_[Name] = Policy;
  // A step may have found no capacity because of an earlier limit.
  PassNumber_ += 2;
}

void Dispatcher::countRun(const JobRun &Job, const StepSpec &Step, int Count) {
  if (Job.Spec_.Workspace_.empty())
    return;
  WorkspaceUsage &Usage = Usage_[Job.Spec_.Workspace_];
  Usage.Runs_ = Usage.Runs_ + Step.Size_ * Count;
  if (Step.LongRunning_)
    Usage.Lasting_ = Usage.Lasting_ + Step.Size_ * Count;
}

void Dispatcher::countUnexpectedRun(const UnexpectedRun &Entry, int Count) {
  if (Entry.Workspace_.empty())
    return;
  WorkspaceUsage &Usage = Usage_[Entry.Workspace_];
  Usage.Runs_ = Usage.Runs_ + Entry.Size_ * Count;
}

// The end of one member completes a gang while others may run on.
bool Dispatcher::isUnlocated(const StepSpec &Step, const TaskState &Task) {
  return !Task.Located_ && (!Task.Done_ || Step.Gang_);
}

// A job that has ended may have runs that an earlier leader was stopping.
void Dispatcher::countUnlocated(JobRun &Job) {
  if (Job.Spec_.Workspace_.empty() || !Job.Restored_)
    return;
  Job.Unlocated_ = Size{};
  for (std::size_t Step = 0; Step < Job.Steps_.size(); ++Step)
    for (const TaskState &Task : Job.Steps_[Step].Tasks_)
      if (isUnlocated(Job.Spec_.Steps_[Step], Task))
        Job.Unlocated_ = Job.Unlocated_ + Job.Spec_.Steps_[Step].Size_;
  WorkspaceUsage &Usage = Usage_[Job.Spec_.Workspace_];
  Usage.Unlocated_ = Usage.Unlocated_ + Job.Unlocated_;
}

void Dispatcher::locate(JobRun &Job, const TaskRef &Ref, TaskState &Task) {
  const StepSpec &Step = Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
  const bool IsCounted =
      Job.Restored_ && !Job.Spec_.Workspace_.empty() && isUnlocated(Step, Task);
  Task.Located_ = true;
  if (!IsCounted)
    return;
  WorkspaceUsage &Usage = Usage_[Job.Spec_.Workspace_];
  Usage.Unlocated_ = Usage.Unlocated_ - Step.Size_;
  Job.Unlocated_ = Job.Unlocated_ - Step.Size_;
}

void Dispatcher::forgetUnlocated(const JobRun &Job) {
  if (Job.Unlocated_ == Size{})
    return;
  WorkspaceUsage &Usage = Usage_[Job.Spec_.Workspace_];
  Usage.Unlocated_ = Usage.Unlocated_ - Job.Unlocated_;
}

// Any task that was not located may run on an unreached worker with an open
// row. Of one with a closed row that lists its runs, only these. The capacity
// of a worker that has left the registry is not known.
void Dispatcher::updatePendingUsage(Millis Now) {
  if (Workspaces_.empty())
    return;
  Size UnseenCapacity;
  bool IsCapacityKnown = true;
  for (auto &[Name, Usage] : Usage_)
    Usage.Pending_ = Usage.Awaited_ = Size{};
  for (const Worker *W : WorkersById_) {
    addLateStarts(*W, Now);
    if (W->Reachability_ != Reachability::Unknown ||
        W->LeaseExpiry_ == Millis{})
      continue;
    if (!W->UnseenRunsKnown_) {
      const Size Capacity = largest(W->Info_.Capacity_, W->LargestCapacity_);
      IsCapacityKnown = IsCapacityKnown && !(Capacity == Size{});
      UnseenCapacity = UnseenCapacity + Capacity;
    } else {
      for (const TaskRef &Ref : W->UnseenRuns_)
        if (const JobRun *Job = findJob(Ref.Job_);
            Job && !Job->Spec_.Workspace_.empty() &&
            Ref.Step_ < static_cast<int>(Job->Spec_.Steps_.size())) {
          Size &Pending = Usage_[Job->Spec_.Workspace_].Pending_;
          Pending =
              Pending +
              Job->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)].Size_;
        }
    }
  }
  for (auto &[Name, Usage] : Usage_) {
    Usage.Pending_ =
        Usage.Pending_ + (IsCapacityKnown
                              ? smallest(UnseenCapacity, Usage.Unlocated_)
                              : Usage.Unlocated_);
    if (Usage.Turn_ && !keepsTurn(Usage, limitOf(Name), Now)) {
      Usage.Turn_.reset();
      Usage.TurnEndedAt_ = Now;
    }
  }
}

Size Dispatcher::limitOf(const std::string &Workspace) const {
  const auto Policy = Workspaces_.find(Workspace);
  return Policy == Workspaces_.end() ? Size{} : Policy->second.Limit_;
}

bool Dispatcher::keepsTurn(WorkspaceUsage &Usage, const Size &Limit,
                           Millis Now) const {
  LimitTurn &Turn = *Usage.Turn_;
  const JobRun *Job = findJob(Turn.Job_);
  if (!Job || isTerminal(Job->State_))
    return false;
  const StepRun &State = Job->Steps_[static_cast<std::size_t>(Turn.Step_)];
  const StepSpec &Spec =
      Job->Spec_.Steps_[static_cast<std::size_t>(Turn.Step_)];
  const bool HasWaitingTasks = State.DoneCount_ + State.RunCount_ <
                               static_cast<int>(State.Tasks_.size());
  // Long-running tasks do not end to make room for it.
  if (!HasWaitingTasks || hasStartedSince(State, Turn.Since_) ||
      !mayHaveTurn(Usage, Spec, Limit))
    return false;
  if (!hasRoom(Usage, Spec, Limit)) {
    Turn.RoomSince_ = Millis{};
    return true;
  }
  if (Turn.RoomSince_ == Millis{})
    Turn.RoomSince_ = Now;
  return Now <= Turn.RoomSince_ + UnusedTurnLength;
}

bool Dispatcher::hasRoom(const WorkspaceUsage &Usage, const StepSpec &Step,
                         const Size &Limit) {
  return needsWholeGang(Step)
             ? isWithinLimit(Usage.total(), startSize(Step), Limit)
             : startsWithinLimit(Usage.total(), Step.Size_, Limit, 1) > 0;
}

bool Dispatcher::mayHaveTurn(const WorkspaceUsage &Usage, const StepSpec &Step,
                             const Size &Limit) {
  if (!needsWholeGang(Step) &&
      isWithinLimit(Size{}, Step.Size_ * LargeTaskDivisor, Limit))
    return false;
  return needsWholeGang(Step)
             ? isWithinLimit(Usage.Lasting_, startSize(Step), Limit)
             : startsWithinLimit(Usage.Lasting_, Step.Size_, Limit, 1) > 0;
}

int Dispatcher::allowedStarts(const RankedStep &Ranked, Millis Now) {
  const JobSpec &Job = Ranked.Job_->Spec_;
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const int Waiting = static_cast<int>(State.Tasks_.size()) - State.DoneCount_ -
                      State.RunCount_;
  const Size Limit = Job.Workspace_.empty() ? Size{} : limitOf(Job.Workspace_);
  if (Limit == Size{} || Waiting == 0)
    return Waiting;
  const StepSpec &Spec = Job.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  WorkspaceUsage &Usage = Usage_[Job.Workspace_];
  if (Usage.Turn_) {
    const LimitTurn &Turn = *Usage.Turn_;
    const bool IsItsTurn = Turn.Job_ == Job.Id_ && Turn.Step_ == Ranked.Step_;
    if (!IsItsTurn && (Ranked.Policy_->Priority_ >= Turn.Priority_ ||
                       Now > Turn.Since_ + UrgentTurnDelay))
      return 0;
  }
  if (hasRoom(Usage, Spec, Limit))
    return needsWholeGang(Spec)
               ? Waiting
               : static_cast<int>(startsWithinLimit(Usage.total(), Spec.Size_,
                                                    Limit, Waiting));
  const Millis HeldSince = std::max(State.ReadyAt_, Usage.TurnEndedAt_);
  if (!Usage.Turn_ && State.Ready_ && Now > HeldSince + TurnDelay &&
      mayHaveTurn(Usage, Spec, Limit)) {
    Usage.Turn_ = LimitTurn{Job.Id_, Ranked.Step_, Ranked.Policy_->Priority_,
                            Now, Millis{}};
    log(Job.Id_, stepName(Job.Id_, Ranked.Step_), "",
        "workspace=" + Job.Workspace_ +
            " is at its limit, other steps of it wait for this one");
  }
  return 0;
}

void Dispatcher::awaitTasks(const RankedStep &Ranked, int Count) {
  const JobSpec &Job = Ranked.Job_->Spec_;
  if (Job.Workspace_.empty())
    return;
  Size &Awaited = Usage_[Job.Workspace_].Awaited_;
  Awaited = Awaited +
            Job.Steps_[static_cast<std::size_t>(Ranked.Step_)].Size_ * Count;
}

Status Dispatcher::checkLimit(const JobSpec &Spec) const {
  const Size Limit = limitOf(Spec.Workspace_);
  for (const StepSpec &Step : Spec.Steps_)
    if (needsWholeGang(Step) && !isWithinLimit(Size{}, startSize(Step), Limit))
      return Error{Reason::NeverFits, Effect::None, "check size", "",
                   "a gang needs more than the limit of its workspace"};
  return success();
}

std::string Dispatcher::verifyUsage() const {
  std::map<std::string, WorkspaceUsage> Expected;
  for (const auto &[Id, Job] : Jobs_) {
    if (Job->Spec_.Workspace_.empty())
      continue;
    WorkspaceUsage &Sum = Expected[Job->Spec_.Workspace_];
    Size Unlocated;
    for (std::size_t Step = 0; Step < Job->Steps_.size(); ++Step) {
      const StepSpec &Spec = Job->Spec_.Steps_[Step];
      for (const TaskState &Task : Job->Steps_[Step].Tasks_) {
        if (Task.Run_)
          Sum.Runs_ = Sum.Runs_ + Spec.Size_;
        if (Task.Run_ && Spec.LongRunning_)
          Sum.Lasting_ = Sum.Lasting_ + Spec.Size_;
        if (Job->Restored_ && isUnlocated(Spec, Task))
          Unlocated = Unlocated + Spec.Size_;
      }
    }
    if (!Job->Steps_.empty() && !(Unlocated == Job->Unlocated_))
      return "job " + Id + " has a wrong size of tasks not located";
    Sum.Unlocated_ = Sum.Unlocated_ + Job->Unlocated_;
  }
  for (const auto &[Id, W] : Workers_)
    for (const UnexpectedRun &Entry : W.UnexpectedRuns_)
      if (!Entry.Workspace_.empty())
        Expected[Entry.Workspace_].Runs_ =
            Expected[Entry.Workspace_].Runs_ + Entry.Size_;
  for (const auto &[Name, Usage] : Usage_) {
    const WorkspaceUsage &Sum = Expected[Name];
    if (!(Usage.Runs_ == Sum.Runs_) || !(Usage.Lasting_ == Sum.Lasting_) ||
        !(Usage.Unlocated_ == Sum.Unlocated_))
      return "workspace " + Name + " has a wrong usage";
    Expected.erase(Name);
  }
  for (const auto &[Name, Sum] : Expected)
    if (!(Sum == WorkspaceUsage{}))
      return "workspace " + Name + " has no usage";
  return "";
}

} // namespace damaskglade::dispatch
