#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

namespace {

// Each epoch has its own range of attempt numbers of this size, so that the
// numbers of a new leader exceed those of earlier leaders.
constexpr std::int64_t AttemptsPerEpoch = 1000;

} // namespace

void Dispatcher::updateFleetCapacity(Millis Now) {
  FleetFreeCapacity_ = Size{};
  FleetCapacity_ = Size{};
  resetPools();
  WorkersByFreeCapacity_.clear();
  WorkersWithGainedCapacity_.clear();
  // The index of a worker is part of the key, so that sorting does not look at
  // the workers.
  std::vector<std::tuple<std::int64_t, int, Worker *>> SortKeys;
  SortKeys.reserve(WorkersById_.size());
  for (Worker *W : WorkersById_) {
    if (!acceptsWork(*W, Now))
      continue;
    const Size Free = freeCapacity(*W);
    FleetFreeCapacity_ = FleetFreeCapacity_ + Free;
    FleetCapacity_ = FleetCapacity_ + W->Info_.Capacity_;
    if (W->Pool_ >= 0)
      addWorker(Pools_[static_cast<std::size_t>(W->Pool_)], *W);
    SortKeys.emplace_back(-Free.MilliCpus_, W->Index_, W);
    if (!fits(Free, W->OfferedCapacity_))
      WorkersWithGainedCapacity_.push_back(W);
  }
  std::sort(SortKeys.begin(), SortKeys.end(), [](const auto &A, const auto &B) {
    return std::get<0>(A) != std::get<0>(B) ? std::get<0>(A) < std::get<0>(B)
                                            : std::get<1>(A) < std::get<1>(B);
  });
  for (const auto &[UsedFirst, Index, W] : SortKeys)
    WorkersByFreeCapacity_.push_back(W);
}

// Records the free capacity at the end of the pass. Within a pass it only
// shrinks. A step that found no capacity in one pass therefore examines in the
// next pass only the workers that gained capacity in between.
void Dispatcher::recordOfferedCapacity(Millis Now) {
  constexpr Size NotOffered{-1, -1, -1};
  for (Worker *W : WorkersById_)
    W->OfferedCapacity_ = acceptsWork(*W, Now) && W->ReservedUntil_ <= Now
                              ? freeCapacity(*W)
                              : NotOffered;
  ++PassNumber_;
}

Actions Dispatcher::decide(Millis Now, std::size_t StartLimit) {
  if (std::exchange(CheckAttempts_, false))
    failExhaustedJobs(Now);
  expireUnreachable(Now);
  settleVerdicts(Now);
  probeForVerdicts();
  retryStops(Now);
  evacuate(Now);
  for (const std::string &Id : std::exchange(WorkersToPace_, {}))
    if (const auto WorkerEntry = Workers_.find(Id);
        WorkerEntry != Workers_.end())
      paceFillers(WorkerEntry->second, Now);
  updateFleetCapacity(Now);
  updatePendingUsage(Now);
  updateSpeeds(Now);
  updateShareLevels();
  FullPriority_.reset();
  PreemptingSteps_ = 0;
  if (AdviceQueue_)
    AdviceQueue_->beginPass();
  GangHold_.reset();
  RackOutlooks_.clear();
  TimesUntilReady_.clear();
  bool IsFull = false;
  StepsReached_ = 0;
  for (const RankedStep &Ranked : rankedSteps(Now)) {
    const StepRun &State =
        Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
    // The steps that follow wait for the next pass, with their advice.
    IsFull = PendingActions_.Starts_.size() >= StartLimit;
    if (IsFull)
      break;
    ++StepsReached_;
    if (State.Ready_)
      placeStep(Ranked, StartLimit, Now);
    // Tasks beyond the limit of their workspace need no capacity now.
    const int WaitingTasks = State.Ready_ ? allowedStarts(Ranked, Now) : 0;
    if (State.Ready_ && WaitingTasks > 0)
      noteWaitingStep(Ranked, Now);
    if (!State.Ready_ || WaitingTasks > 0)
      requestAdvice(Ranked, Now);
    claimCapacity(Ranked, WaitingTasks, Now);
  }
  // The steps that were left out have examined what was offered before.
  if (!IsFull)
    recordOfferedCapacity(Now);
  return std::exchange(PendingActions_, Actions{});
}

std::vector<Dispatcher::RankedStep> Dispatcher::rankedSteps(Millis Now) {
  std::vector<RankedStep> Steps;
  for (const auto &[Id, Job] : ActiveJobs_) {
    const auto HasWaitingTasks = [](const StepRun &Step) {
      return Step.DoneCount_ + Step.RunCount_ <
             static_cast<int>(Step.Tasks_.size());
    };
    if (isTerminal(Job->State_) || !RegistryReceived_ ||
        std::none_of(Job->Steps_.begin(), Job->Steps_.end(), HasWaitingTasks))
      continue;
    const QueuePolicy &Policy = policyOf(*Job);
    RankInput Input;
    Input.Priority_ = Policy.Priority_;
    Input.Age_ = Now - Job->ArrivedAt_;
    Input.Objective_ =
        Millis{std::llround(Policy.SlackFactor_ *
                            static_cast<double>(Job->CriticalPath_.Value_))} +
        Policy.Target_;
    Input.Work_ = Job->Work_;
    Input.Started_ = Job->Started_;
    Input.OverShare_ = Job->OverShare_;
    Input.ShareLevel_ = shareLevelOf(*Job);
    for (std::size_t Step = 0; Step < Job->Steps_.size(); ++Step) {
      const StepRun &State = Job->Steps_[Step];
      const StepSpec &Spec = Job->Spec_.Steps_[Step];
      if (!HasWaitingTasks(State) || (Spec.Gang_ && State.RunCount_ > 0))
        continue;
      Input.LongRunning_ = Spec.LongRunning_;
      Input.Remaining_ = Spec.Estimate_;
      Steps.push_back(
          RankedStep{Job, static_cast<int>(Step), &Policy, rankStep(Input)});
    }
  }
  std::sort(
      Steps.begin(), Steps.end(), [](const RankedStep &A, const RankedStep &B) {
        const auto SortKey = [](const RankedStep &Entry) {
          return std::make_tuple(Entry.Rank_.Priority_, Entry.Rank_.OverShare_,
                                 Entry.Rank_.Lateness_, Entry.Rank_.ShareLevel_,
                                 Entry.Rank_.Weight_, Entry.Job_->ArrivedAt_,
                                 Entry.Step_);
        };
        return SortKey(A) < SortKey(B);
      });
  return Steps;
}

// The order of the steps has hardly changed since the pass, so the position of
// a step tells whether the pass has reached it.
Backlog Dispatcher::backlog(Millis Now) {
  Backlog Result;
  Result.FreeMilliCpus_ = FleetFreeCapacity_.MilliCpus_;
  Result.MilliCpus_ = FleetCapacity_.MilliCpus_;
  std::size_t Position = 0;
  for (const RankedStep &Ranked : rankedSteps(Now)) {
    const StepRun &State =
        Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
    const bool IsSkipped = Position++ >= StepsReached_;
    if (!State.Ready_)
      continue;
    const int Tasks = static_cast<int>(State.Tasks_.size()) - State.DoneCount_ -
                      State.RunCount_;
    QueueBacklog &Queue = Result.ByPriority_[Ranked.Policy_->Priority_];
    Queue.Tasks_ += Tasks;
    if (IsSkipped)
      Queue.Skipped_ += Tasks;
    if (Ranked.Policy_->NeedsAdvice_ && State.Advice_.AllowedWorkers_.empty())
      Queue.Unadvised_ += Tasks;
  }
  return Result;
}

int Dispatcher::countTasksOfStep(const Worker &W, const JobRun &Job, int Step) {
  if (Job.Spec_.Steps_[static_cast<std::size_t>(Step)].MaxPerWorker_ == 0)
    return 0;
  int Count = 0;
  for (auto TaskOnWorker =
           W.Tasks_.lower_bound(TaskRef{Job.Spec_.Id_, Step, 0});
       TaskOnWorker != W.Tasks_.end() && TaskOnWorker->Job_ == Job.Spec_.Id_ &&
       TaskOnWorker->Step_ == Step;
       ++TaskOnWorker)
    ++Count;
  return Count;
}

Candidate Dispatcher::makeCandidate(Worker &W, const JobRun &Job, int Step,
                                    Millis Now) const {
  return Candidate{&W,
                   countTasksOfStep(W, Job, Step),
                   W.ServingRuns_ > 0,
                   W.Fillers_,
                   isSlow(W, TypicalDurationRatio_, Now),
                   isSuspect(W, Now),
                   0,
                   Size{}};
}

bool Dispatcher::isCandidate(const RankedStep &Ranked, const Worker &W,
                             Millis Now) const {
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  return acceptsWork(W, Now) && isOpenTo(W, Ranked.Job_->Spec_.Id_, Now) &&
         W.Info_.Service_ == Ranked.Policy_->Service_ &&
         mayRunOn(Spec, W.Info_);
}

std::vector<Candidate> Dispatcher::findCandidates(const RankedStep &Ranked,
                                                  bool GainedCapacityOnly,
                                                  Millis Now) {
  std::vector<Candidate> Candidates;
  if (!GainedCapacityOnly && !Ranked.Policy_->NeedsAdvice_)
    Candidates.reserve(WorkersByFreeCapacity_.size());
  const std::vector<double> KindCosts = costsByKind(Ranked, Now);
  const auto AddIfSuitable = [&](Worker &W) {
    ++WorkerChecks_;
    if (!isCandidate(Ranked, W, Now))
      return;
    Candidates.push_back(makeCandidate(W, *Ranked.Job_, Ranked.Step_, Now));
    Candidates.back().Reserved_ = reservedFor(Ranked, W, Now);
    if (!KindCosts.empty())
      Candidates.back().KindCost_ =
          KindCosts[static_cast<std::size_t>(W.Kind_)];
  };
  const StepAdvice &Advice =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)].Advice_;
  if (GainedCapacityOnly || !Ranked.Policy_->NeedsAdvice_) {
    for (Worker *W : GainedCapacityOnly ? WorkersWithGainedCapacity_
                                        : WorkersByFreeCapacity_) {
      const Ticket *WorkerTicket = Ranked.Policy_->NeedsAdvice_
                                       ? findTicket(Advice, W->Index_)
                                       : nullptr;
      if (!Ranked.Policy_->NeedsAdvice_ ||
          (WorkerTicket && WorkerTicket->ValidUntil_ > Now))
        AddIfSuitable(*W);
    }
    return Candidates;
  }
  for (const AllowedWorker &AllowedEntry : Advice.AllowedWorkers_) {
    Worker *W =
        WorkersByIndex_[static_cast<std::size_t>(AllowedEntry.WorkerIndex_)];
    if (AllowedEntry.Ticket_.ValidUntil_ > Now && W)
      AddIfSuitable(*W);
  }
  return Candidates;
}

// Whether enough of the fleet stays free after one more task of the step. Steps
// below the highest priority leave a reserve for urgent jobs, which cannot wait
// until a preempted task has ended. Fillers reserve no processors.
bool Dispatcher::keepsReserve(const RankedStep &Ranked,
                              const StepSpec &Step) const {
  if (Ranked.Policy_->Priority_ == 0 || Step.LongRunning_ || Step.Filler_)
    return true;
  const double FreeAfterStart = static_cast<double>(
      FleetFreeCapacity_.MilliCpus_ - reservedSize(Step).MilliCpus_);
  return FreeAfterStart >= Limits_.UrgentReserve_ *
                               static_cast<double>(FleetCapacity_.MilliCpus_);
}

void Dispatcher::startTask(const RankedStep &Ranked, int Index,
                           Candidate &CandidateWorker, std::int64_t Attempt,
                           Millis Now) {
  const TaskRef Ref{Ranked.Job_->Spec_.Id_, Ranked.Step_, Index};
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  TaskState &Task = State.Tasks_[static_cast<std::size_t>(Index)];
  Worker &W = *CandidateWorker.Worker_;
  Run NewRun;
  NewRun.Attempt_ = Attempt;
  NewRun.Worker_ = W.Info_.Id_;
  NewRun.Process_ = W.ProcessStart_;
  NewRun.OrderedAt_ = Now;
  NewRun.WholeTask_ = Task.Checkpoint_.empty();
  addRun(Task, Ref, Spec, NewRun);
  FleetFreeCapacity_ = FleetFreeCapacity_ - reservedSize(Spec);
  ++CandidateWorker.TasksOfStep_;
  CandidateWorker.Fillers_ = W.Fillers_;
  StartAction Action;
  Action.Target_ = target(W);
  Action.Task_ = Ref;
  Action.Gang_ = Spec.Gang_;
  Action.NeedsProbe_ =
      !attemptCounter(*Ranked.Job_, Ref).CrashedAttempts_.empty();
  Action.Order_.Task_ = taskName(Ref);
  Action.Order_.Attempt_ = Attempt;
  Action.Order_.Payload_ = Ranked.Job_->Spec_.Payload_;
  Action.Order_.LeaseEnd_ = grantLease(W.Info_.Id_, Now);
  Action.Order_.Checkpoint_ = Task.Checkpoint_;
  if (const Ticket *WorkerTicket = findTicket(State.Advice_, W.Index_))
    Action.Order_.Ticket_ = WorkerTicket->Text_;
  PendingActions_.Starts_.push_back(std::move(Action));
}

void Dispatcher::placeStep(const RankedStep &Ranked, std::size_t StartLimit,
                           Millis Now) {
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const bool FoundNoCapacity =
      std::exchange(State.NoCapacityPass_, 0) == PassNumber_ - 1;
  if (allowedStarts(Ranked, Now) == 0)
    return;
  if (Spec.Gang_) {
    const bool Placed =
        keepsReserve(Ranked, Spec) &&
        placeGang(Ranked, findCandidates(Ranked, false, Now), Now);
    if (!Placed)
      holdWorkersForGang(Ranked, Now);
    return;
  }
  if (!keepsReserve(Ranked, Spec))
    return;
  // A step that found no capacity in the last pass examines only workers that
  // gained some since. Steps with a limit per worker examine all: the limit may
  // have kept a step from workers that had free capacity before.
  const bool GainedCapacityOnly = FoundNoCapacity && Spec.MaxPerWorker_ == 0;
  std::vector<Candidate> Candidates =
      findCandidates(Ranked, GainedCapacityOnly, Now);
  if (Candidates.empty() && !GainedCapacityOnly)
    return;
  const std::int64_t FirstAttempt = (Epoch_ - 1) * AttemptsPerEpoch + 1;
  CandidateCosts Costs(Spec, Candidates);
  std::optional<int> TasksToHold; // Calculated when the rack has no room.
  int UnplacedTasks = 0;
  int UnplacedSuspects = 0;
  // Whether every waiting task is checked against every worker. False if
  // workers are reserved for a gang or if a task still has to wait after a
  // failure or starts apart from others.
  bool AllCombinationsChecked = !GangHold_;
  for (std::size_t Index = 0; Index < State.Tasks_.size(); ++Index) {
    TaskState &Task = State.Tasks_[Index];
    if (Task.Done_ || Task.Run_)
      continue;
    if (Task.RetryAt_ > Now || mayBeRunning(*Ranked.Job_, Task)) {
      AllCombinationsChecked = false;
      continue;
    }
    if (!keepsReserve(Ranked, Spec) ||
        PendingActions_.Starts_.size() >= StartLimit)
      return;
    if (allowedStarts(Ranked, Now) == 0) {
      AllCombinationsChecked = false;
      break;
    }
    const std::int64_t Attempt = std::max(Task.LastAttempt_ + 1, FirstAttempt);
    if (isCrashSuspect(Task)) {
      AllCombinationsChecked = false;
      if (!awaitsCrashRecord(*Ranked.Job_) &&
          !awaitsVerdict(Ranked.Job_->Spec_.Id_) &&
          !placeApart(Ranked, static_cast<int>(Index), Candidates, Attempt,
                      Now))
        ++UnplacedSuspects;
      Costs.updateAll();
      continue;
    }
    const int BestIndex = UnplacedTasks > 0 ? -1 : Costs.best();
    if (BestIndex < 0) {
      ++UnplacedTasks;
      continue;
    }
    if (Limits_.RemotePenalty_ > 1 && !Spec.Rack_.empty() &&
        !hasLabel(
            Candidates[static_cast<std::size_t>(BestIndex)].Worker_->Info_,
            Spec.Rack_)) {
      if (!TasksToHold)
        TasksToHold = countTasksToHold(Ranked, Now);
      // Held tasks have capacity elsewhere, so every pass examines them again.
      if (static_cast<int>(State.Tasks_.size()) - State.DoneCount_ -
              State.RunCount_ <=
          *TasksToHold) {
        AllCombinationsChecked = false;
        break;
      }
    }
    startTask(Ranked, static_cast<int>(Index),
              Candidates[static_cast<std::size_t>(BestIndex)], Attempt, Now);
    Costs.update(static_cast<std::size_t>(BestIndex));
  }
  UnplacedTasks += UnplacedSuspects;
  if (UnplacedTasks == 0)
    return;
  if (AllCombinationsChecked)
    State.NoCapacityPass_ = PassNumber_;
  UnplacedTasks = std::min(UnplacedTasks, allowedStarts(Ranked, Now));
  if (UnplacedTasks > 0 && mayPreempt(Ranked, Now))
    preemptFor(Ranked, UnplacedTasks,
               GainedCapacityOnly ? findCandidates(Ranked, false, Now)
                                  : Candidates,
               Now);
}

// Resources are reserved temporarily and released before the tasks start.
std::vector<std::size_t>
Dispatcher::chooseCandidates(const StepSpec &Spec,
                             std::vector<Candidate> &Candidates,
                             std::size_t Count) {
  std::vector<std::size_t> ChosenCandidates;
  CandidateCosts Costs(Spec, Candidates);
  while (ChosenCandidates.size() < Count) {
    const int BestIndex = Costs.best();
    if (BestIndex < 0)
      break;
    Candidate &CandidateWorker =
        Candidates[static_cast<std::size_t>(BestIndex)];
    CandidateWorker.Worker_->Used_ =
        CandidateWorker.Worker_->Used_ + reservedSize(Spec);
    ++CandidateWorker.TasksOfStep_;
    Costs.update(static_cast<std::size_t>(BestIndex));
    ChosenCandidates.push_back(static_cast<std::size_t>(BestIndex));
  }
  for (const std::size_t CandidateIndex : ChosenCandidates) {
    Candidate &CandidateWorker = Candidates[CandidateIndex];
    CandidateWorker.Worker_->Used_ =
        CandidateWorker.Worker_->Used_ - reservedSize(Spec);
    --CandidateWorker.TasksOfStep_;
  }
  return ChosenCandidates;
}

// Places all members of a gang or none.
bool Dispatcher::placeGang(const RankedStep &Ranked,
                           std::vector<Candidate> Candidates, Millis Now) {
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  std::int64_t Attempt = (Epoch_ - 1) * AttemptsPerEpoch + 1;
  std::string Checkpoint;
  for (const TaskState &Task : State.Tasks_) {
    if (Task.RetryAt_ > Now || mayBeRunning(*Ranked.Job_, Task))
      return false;
    Attempt = std::max(Attempt, Task.LastAttempt_ + 1);
    if (!Task.Checkpoint_.empty())
      Checkpoint = Task.Checkpoint_;
  }
  const bool StartsApart = isCrashSuspect(State.Tasks_.front());
  if (StartsApart && (awaitsCrashRecord(*Ranked.Job_) ||
                      awaitsVerdict(Ranked.Job_->Spec_.Id_) ||
                      !reserveForGang(Ranked, Candidates, Now)))
    return false;
  const std::vector<std::size_t> ChosenCandidates =
      chooseCandidates(Spec, Candidates, State.Tasks_.size());
  if (ChosenCandidates.size() < State.Tasks_.size())
    return false;
  for (std::size_t Index = 0; Index < ChosenCandidates.size(); ++Index) {
    State.Tasks_[Index].Checkpoint_ = Checkpoint;
    Candidate &Chosen = Candidates[ChosenCandidates[Index]];
    const int Member = static_cast<int>(Index);
    if (StartsApart)
      startApart(Ranked, Member, Chosen, Attempt, Now);
    else
      startTask(Ranked, Member, Chosen, Attempt, Now);
  }
  State.Reservation_.reset();
  State.ReservationAt_ = Millis{};
  State.HeldSince_ = Millis{};
  return true;
}

} // namespace damaskglade::dispatch
