#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

namespace {

// A gang that is ready for longer than this has its workers held free for it.
constexpr Millis GangHoldDelay{2000};
// Attempt numbers per epoch; the epoch is the high part of the number.
constexpr std::int64_t AttemptsPerEpoch = 1000;

} // namespace

void Dispatcher::updateFleetCapacity(Millis Now) {
  FleetFreeCapacity_ = Size{};
  FleetCapacity_ = Size{};
  ByFreeCapacity_.clear();
  WithGainedCapacity_.clear();
  for (auto &[Id, W] : Workers_) {
    if (!acceptsWork(W, Now))
      continue;
    FleetFreeCapacity_ = FleetFreeCapacity_ + freeCapacity(W);
    FleetCapacity_ = FleetCapacity_ + W.Info_.Capacity_;
    ByFreeCapacity_.push_back(&W);
    if (!fits(freeCapacity(W), W.OfferedCapacity_))
      WithGainedCapacity_.push_back(&W);
  }
  std::stable_sort(ByFreeCapacity_.begin(), ByFreeCapacity_.end(),
                   [](const Worker *A, const Worker *B) {
                     return freeCapacity(*A).MilliCpus_ >
                            freeCapacity(*B).MilliCpus_;
                   });
}

// Free capacity only shrinks within a pass. A step that could not be placed in
// one pass examines in the next only the workers that gained capacity since.
void Dispatcher::recordOfferedCapacity(Millis Now) {
  constexpr Size None{-1, -1, -1};
  for (auto &[Id, W] : Workers_)
    W.OfferedCapacity_ = acceptsWork(W, Now) ? freeCapacity(W) : None;
  ++Pass_;
}

Actions Dispatcher::decide(Millis Now) {
  expireUnreachable(Now);
  retryStops(Now);
  evacuate(Now);
  for (const std::string &Id : std::exchange(PaceDue_, {}))
    if (const auto Found = Workers_.find(Id); Found != Workers_.end())
      paceFillers(Found->second, Now);
  updateFleetCapacity(Now);
  PreemptingSteps_ = 0;
  HeldForGang_.clear();
  // Capacity that is likely to become free before a ticket requested now
  // expires.
  constexpr std::int64_t SoonDivisor = 6;
  std::int64_t DemandAhead = 0;
  const std::int64_t SoonCapacity =
      std::max<std::int64_t>(FleetFreeCapacity_.MilliCpus_, 0) +
      FleetCapacity_.MilliCpus_ / SoonDivisor;
  for (const RankedStep &Ranked : rankedSteps(Now)) {
    const StepRun &State =
        Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
    const StepSpec &Spec =
        Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
    const bool PlaceableSoon = DemandAhead < SoonCapacity;
    if (State.Ready_)
      placeStep(Ranked, Now);
    requestAdvice(Ranked, PlaceableSoon, Now);
    const auto WaitingTasks = static_cast<std::int64_t>(State.Tasks_.size()) -
                              State.DoneCount_ - State.RunCount_;
    if (State.Ready_)
      DemandAhead += WaitingTasks * reservedSize(Spec).MilliCpus_;
  }
  recordOfferedCapacity(Now);
  return std::exchange(PendingActions_, Actions{});
}

std::vector<Dispatcher::RankedStep> Dispatcher::rankedSteps(Millis Now) {
  std::vector<RankedStep> Steps;
  for (const std::string &Id : Active_) {
    JobRun *Job = job(Id);
    if (!Job || isTerminal(Job->State_) || awaitsRecovery(*Job))
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
    for (std::size_t Step = 0; Step < Job->Steps_.size(); ++Step) {
      const StepRun &State = Job->Steps_[Step];
      const StepSpec &Spec = Job->Spec_.Steps_[Step];
      const bool HasWaitingTasks = State.DoneCount_ + State.RunCount_ <
                                   static_cast<int>(State.Tasks_.size());
      if (!HasWaitingTasks || (Spec.Gang_ && State.RunCount_ > 0))
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
          return std::make_tuple(Entry.Rank_.Priority_, Entry.Rank_.Lateness_,
                                 Entry.Rank_.Weight_, Entry.Job_->ArrivedAt_,
                                 Entry.Step_);
        };
        return SortKey(A) < SortKey(B);
      });
  return Steps;
}

int Dispatcher::countTasksOfStep(const Worker &W, const JobRun &Job, int Step) {
  if (Job.Spec_.Steps_[static_cast<std::size_t>(Step)].MaxPerWorker_ == 0)
    return 0;
  int Count = 0;
  for (auto Position = W.Tasks_.lower_bound(TaskRef{Job.Spec_.Id_, Step, 0});
       Position != W.Tasks_.end() && Position->Job_ == Job.Spec_.Id_ &&
       Position->Step_ == Step;
       ++Position)
    ++Count;
  return Count;
}

Candidate Dispatcher::makeCandidate(Worker &W, const JobRun &Job, int Step,
                                    Millis Now) const {
  return Candidate{
      &W,         countTasksOfStep(W, Job, Step),        W.ServingRuns_ > 0,
      W.Fillers_, isSlow(W, TypicalDurationRatio_, Now), isSuspect(W, Now)};
}

bool Dispatcher::isCandidate(const RankedStep &Ranked, const Worker &W,
                             Millis Now) const {
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  return acceptsWork(W, Now) && W.WorkerClock_ > Millis{} &&
         W.Info_.Service_ == Ranked.Policy_->Service_ &&
         mayRunOn(Spec, W.Info_) &&
         (Ranked.Policy_->Priority_ == 0 || Spec.LongRunning_ ||
          HeldForGang_.count(W.Info_.Id_) == 0);
}

std::vector<Candidate> Dispatcher::findCandidates(const RankedStep &Ranked,
                                                  bool GainedOnly, Millis Now) {
  std::vector<Candidate> Places;
  const auto Consider = [&](Worker &W) {
    ++Visits_;
    if (isCandidate(Ranked, W, Now))
      Places.push_back(makeCandidate(W, *Ranked.Job_, Ranked.Step_, Now));
  };
  const StepAdvice &Advice =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)].Advice_;
  if (GainedOnly || !Ranked.Policy_->NeedsAdvice_) {
    for (Worker *W : GainedOnly ? WithGainedCapacity_ : ByFreeCapacity_) {
      const Ticket *KnownTicket =
          Ranked.Policy_->NeedsAdvice_ ? findTicket(Advice, W->Slot_) : nullptr;
      if (!Ranked.Policy_->NeedsAdvice_ ||
          (KnownTicket && KnownTicket->ValidUntil_ > Now))
        Consider(*W);
    }
    return Places;
  }
  for (const AllowedWorker &Allowed : Advice.Allowed_) {
    Worker *W = WorkersBySlot_[static_cast<std::size_t>(Allowed.Slot_)];
    if (Allowed.Ticket_.ValidUntil_ > Now && W)
      Consider(*W);
  }
  return Places;
}

// Batch work leaves a reserve for lookups, which cannot wait for a preemption.
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
                           Candidate &Place, std::int64_t Attempt, Millis Now) {
  const TaskRef Ref{Ranked.Job_->Spec_.Id_, Ranked.Step_, Index};
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  TaskState &Task = State.Tasks_[static_cast<std::size_t>(Index)];
  Worker &W = *Place.Worker_;
  Run NewRun;
  NewRun.Attempt_ = Attempt;
  NewRun.Worker_ = W.Info_.Id_;
  NewRun.OrderedAt_ = Now;
  addRun(Task, Ref, Spec, NewRun);
  FleetFreeCapacity_ = FleetFreeCapacity_ - reservedSize(Spec);
  ++Place.TasksOfStep_;
  Place.Fillers_ = W.Fillers_;
  StartAction Action;
  Action.Target_ = target(W);
  Action.Task_ = Ref;
  Action.Gang_ = Spec.Gang_;
  Action.Order_.Task_ = taskName(Ref);
  Action.Order_.Attempt_ = Attempt;
  Action.Order_.Payload_ = Ranked.Job_->Spec_.Payload_;
  Action.Order_.LeaseEnd_ = leaseEnd(W, Now);
  Action.Order_.Checkpoint_ = Task.Checkpoint_;
  if (const Ticket *Found = findTicket(State.Advice_, W.Slot_))
    Action.Order_.Ticket_ = Found->Text_;
  PendingActions_.Starts_.push_back(std::move(Action));
  if (!Ranked.Job_->Started_) {
    Ranked.Job_->Started_ = true;
    Ranked.Job_->State_ = JobState::Active;
    log(Ref.Job_, taskName(Ref), W.Info_.Id_,
        "first start, waited_ms=" +
            std::to_string((Now - Ranked.Job_->ArrivedAt_).Value_) +
            " priority=" + std::to_string(Ranked.Policy_->Priority_));
  }
}

void Dispatcher::placeStep(const RankedStep &Ranked, Millis Now) {
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  if (!keepsReserve(Ranked, Spec))
    return;
  // A step with a limit per worker may wait for more than free capacity, so it
  // is not restricted to workers that gained some.
  const bool GainedOnly = State.NoCapacityPass_ == Pass_ - 1 && !Spec.Gang_ &&
                          Spec.MaxPerWorker_ == 0;
  std::vector<Candidate> Places = findCandidates(Ranked, GainedOnly, Now);
  if (Places.empty() && !GainedOnly)
    return;
  if (Spec.Gang_) {
    if (!placeGang(Ranked, Places, Now) &&
        Now > State.ReadyAt_ + GangHoldDelay && HeldForGang_.empty())
      for (const Candidate &Place : Places)
        HeldForGang_.insert(Place.Worker_->Info_.Id_);
    return;
  }
  const std::int64_t FirstAttempt = (Epoch_ - 1) * AttemptsPerEpoch + 1;
  int Unplaced = 0;
  bool TriedAll = HeldForGang_.empty(); // All tasks on all workers.
  for (std::size_t Index = 0; Index < State.Tasks_.size(); ++Index) {
    TaskState &Task = State.Tasks_[Index];
    if (Task.Done_ || Task.Run_)
      continue;
    if (Task.RetryAt_ > Now) {
      TriedAll = false;
      continue;
    }
    if (!keepsReserve(Ranked, Spec))
      return;
    const int BestIndex = Unplaced > 0 ? -1 : bestCandidate(Spec, Places);
    if (BestIndex < 0) {
      ++Unplaced;
      continue;
    }
    startTask(Ranked, static_cast<int>(Index),
              Places[static_cast<std::size_t>(BestIndex)],
              std::max(Task.LastAttempt_ + 1, FirstAttempt), Now);
  }
  if (Unplaced == 0)
    return;
  if (TriedAll)
    State.NoCapacityPass_ = Pass_;
  if (mayPreempt(Ranked, Now))
    preemptFor(Ranked, Unplaced,
               GainedOnly ? findCandidates(Ranked, false, Now) : Places, Now);
}

// Places all members or none. Resources are reserved for a trial layout and
// released again before the members are started.
bool Dispatcher::placeGang(const RankedStep &Ranked,
                           std::vector<Candidate> Places, Millis Now) {
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  std::int64_t Attempt = (Epoch_ - 1) * AttemptsPerEpoch + 1;
  std::string Checkpoint;
  for (const TaskState &Task : State.Tasks_) {
    if (Task.RetryAt_ > Now)
      return false;
    Attempt = std::max(Attempt, Task.LastAttempt_ + 1);
    if (!Task.Checkpoint_.empty())
      Checkpoint = Task.Checkpoint_;
  }
  std::vector<std::size_t> ChosenPlaces;
  for (std::size_t Index = 0; Index < State.Tasks_.size(); ++Index) {
    const int BestIndex = bestCandidate(Spec, Places);
    if (BestIndex < 0)
      break;
    Candidate &Place = Places[static_cast<std::size_t>(BestIndex)];
    Place.Worker_->Used_ = Place.Worker_->Used_ + reservedSize(Spec);
    ++Place.TasksOfStep_;
    ChosenPlaces.push_back(static_cast<std::size_t>(BestIndex));
  }
  for (const std::size_t PlaceIndex : ChosenPlaces) {
    Candidate &Place = Places[PlaceIndex];
    Place.Worker_->Used_ = Place.Worker_->Used_ - reservedSize(Spec);
    --Place.TasksOfStep_;
  }
  if (ChosenPlaces.size() < State.Tasks_.size())
    return false;
  for (std::size_t Index = 0; Index < ChosenPlaces.size(); ++Index) {
    State.Tasks_[Index].Checkpoint_ = Checkpoint;
    startTask(Ranked, static_cast<int>(Index), Places[ChosenPlaces[Index]],
              Attempt, Now);
  }
  return true;
}

} // namespace damaskglade::dispatch
