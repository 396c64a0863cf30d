#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

namespace {

// A gang that has waited this long has its workers kept free for it.
constexpr Millis GangPatience{2000};
// Attempt numbers of one epoch; the epoch is the high part.
constexpr std::int64_t AttemptsPerEpoch = 1000;

} // namespace

void Dispatcher::measureFleet(Millis Now) {
  FleetRoom_ = Size{};
  FleetSize_ = Size{};
  ByRoom_.clear();
  Gained_.clear();
  for (auto &[Id, Where] : Workers_) {
    if (!acceptsWork(Where, Now))
      continue;
    FleetRoom_ = FleetRoom_ + freeRoom(Where);
    FleetSize_ = FleetSize_ + Where.Info_.Capacity_;
    ByRoom_.push_back(&Where);
    if (!fits(freeRoom(Where), Where.OfferedRoom_))
      Gained_.push_back(&Where);
  }
  std::stable_sort(ByRoom_.begin(), ByRoom_.end(),
                   [](const Worker *A, const Worker *B) {
                     return freeRoom(*A).MilliCpus_ > freeRoom(*B).MilliCpus_;
                   });
}

// Within a pass rooms only shrink. A step that found no room in one pass has to
// look in the next one only at the workers that have gained some since.
void Dispatcher::noteOfferedRoom(Millis Now) {
  constexpr Size None{-1, -1, -1};
  for (auto &[Id, Where] : Workers_)
    Where.OfferedRoom_ = acceptsWork(Where, Now) ? freeRoom(Where) : None;
  ++Pass_;
}

Actions Dispatcher::decide(Millis Now) {
  expireSilent(Now);
  repeatStops(Now);
  evacuate(Now);
  for (const std::string &Id : std::exchange(PaceDue_, {}))
    if (const auto At = Workers_.find(Id); At != Workers_.end())
      paceFillers(At->second, Now);
  measureFleet(Now);
  PreemptingSteps_ = 0;
  HeldForGang_.clear();
  // Demand that is likely to be placed before a ticket asked for now runs out.
  constexpr std::int64_t SoonDivisor = 6;
  std::int64_t Ahead = 0;
  const std::int64_t SoonRoom =
      std::max<std::int64_t>(FleetRoom_.MilliCpus_, 0) +
      FleetSize_.MilliCpus_ / SoonDivisor;
  for (const StepKey &Key : rankedSteps(Now)) {
    const StepRun &State =
        Key.Job_->Steps_[static_cast<std::size_t>(Key.Step_)];
    const StepSpec &Spec =
        Key.Job_->Spec_.Steps_[static_cast<std::size_t>(Key.Step_)];
    const bool Soon = Ahead < SoonRoom;
    if (State.Ready_)
      placeStep(Key, Now);
    adviseStep(Key, Soon, Now);
    const auto Waiting = static_cast<std::int64_t>(State.Tasks_.size()) -
                         State.DoneCount_ - State.RunCount_;
    if (State.Ready_)
      Ahead += Waiting * bookedSize(Spec).MilliCpus_;
  }
  noteOfferedRoom(Now);
  return std::exchange(Pending_, Actions{});
}

std::vector<Dispatcher::StepKey> Dispatcher::rankedSteps(Millis Now) {
  std::vector<StepKey> Out;
  for (const std::string &Id : Active_) {
    JobRun *Job = job(Id);
    if (!Job || isTerminal(Job->State_) || awaitsEarlierLeader(*Job))
      continue;
    const QueuePolicy &Policy = policyOf(*Job);
    RankInput Input;
    Input.Priority_ = Policy.Priority_;
    Input.Age_ = Now - Job->ArrivedAt_;
    Input.Objective_ =
        Millis{std::llround(Policy.SlackFactor_ *
                            static_cast<double>(Job->Chain_.Value_))} +
        Policy.Target_;
    Input.Work_ = Job->Work_;
    Input.Started_ = Job->Started_;
    for (std::size_t Step = 0; Step < Job->Steps_.size(); ++Step) {
      const StepRun &State = Job->Steps_[Step];
      const StepSpec &Spec = Job->Spec_.Steps_[Step];
      const bool Waits = State.DoneCount_ + State.RunCount_ <
                         static_cast<int>(State.Tasks_.size());
      if (!Waits || (Spec.Gang_ && State.RunCount_ > 0))
        continue;
      Input.LongRunning_ = Spec.LongRunning_;
      Input.Remaining_ = Spec.Estimate_;
      Out.push_back(
          StepKey{Job, static_cast<int>(Step), &Policy, rankStep(Input)});
    }
  }
  std::sort(Out.begin(), Out.end(), [](const StepKey &A, const StepKey &B) {
    const auto Key = [](const StepKey &Each) {
      return std::make_tuple(Each.Rank_.Priority_, Each.Rank_.Lateness_,
                             Each.Rank_.Weight_, Each.Job_->ArrivedAt_,
                             Each.Step_);
    };
    return Key(A) < Key(B);
  });
  return Out;
}

int Dispatcher::tasksOfStep(const Worker &Where, const JobRun &Job, int Step) {
  if (Job.Spec_.Steps_[static_cast<std::size_t>(Step)].MaxPerWorker_ == 0)
    return 0;
  int Count = 0;
  for (auto At = Where.Tasks_.lower_bound(TaskRef{Job.Spec_.Id_, Step, 0});
       At != Where.Tasks_.end() && At->Job_ == Job.Spec_.Id_ &&
       At->Step_ == Step;
       ++At)
    ++Count;
  return Count;
}

Candidate Dispatcher::candidateAt(Worker &Where, const JobRun &Job, int Step,
                                  Millis Now) const {
  return Candidate{
      &Where,         tasksOfStep(Where, Job, Step),   Where.ServingRuns_ > 0,
      Where.Fillers_, isSlow(Where, UsualShare_, Now), isSuspect(Where, Now)};
}

bool Dispatcher::isCandidate(const StepKey &Key, const Worker &Where,
                             Millis Now) const {
  const StepSpec &Spec =
      Key.Job_->Spec_.Steps_[static_cast<std::size_t>(Key.Step_)];
  return acceptsWork(Where, Now) && Where.WorkerClock_ > Millis{} &&
         Where.Info_.Service_ == Key.Policy_->Service_ &&
         mayRunOn(Spec, Where.Info_) &&
         (Key.Policy_->Priority_ == 0 || Spec.LongRunning_ ||
          HeldForGang_.count(Where.Info_.Id_) == 0);
}

std::vector<Candidate> Dispatcher::candidates(const StepKey &Key,
                                              bool GainedOnly, Millis Now) {
  std::vector<Candidate> Out;
  const auto Consider = [&](Worker &Where) {
    ++Visits_;
    if (isCandidate(Key, Where, Now))
      Out.push_back(candidateAt(Where, *Key.Job_, Key.Step_, Now));
  };
  const StepAdvice &Advice =
      Key.Job_->Steps_[static_cast<std::size_t>(Key.Step_)].Advice_;
  if (GainedOnly || !Key.Policy_->NeedsAdvice_) {
    for (Worker *Where : GainedOnly ? Gained_ : ByRoom_) {
      const Ticket *Found = Key.Policy_->NeedsAdvice_
                                ? findTicket(Advice, Where->Slot_)
                                : nullptr;
      if (!Key.Policy_->NeedsAdvice_ || (Found && Found->ValidUntil_ > Now))
        Consider(*Where);
    }
    return Out;
  }
  for (const AllowedWorker &Each : Advice.Allowed_) {
    Worker *Where = BySlot_[static_cast<std::size_t>(Each.Slot_)];
    if (Each.Ticket_.ValidUntil_ > Now && Where)
      Consider(*Where);
  }
  return Out;
}

// Batch work leaves room for lookups, which cannot wait for a preemption.
bool Dispatcher::keepsReserve(const StepKey &Key, const StepSpec &Step) const {
  if (Key.Policy_->Priority_ == 0 || Step.LongRunning_ || Step.Filler_)
    return true;
  const double Left =
      static_cast<double>(FleetRoom_.MilliCpus_ - bookedSize(Step).MilliCpus_);
  return Left >=
         Limits_.UrgentReserve_ * static_cast<double>(FleetSize_.MilliCpus_);
}

void Dispatcher::startTask(const StepKey &Key, int Index, Candidate &Place,
                           std::int64_t Attempt, Millis Now) {
  const TaskRef Ref{Key.Job_->Spec_.Id_, Key.Step_, Index};
  StepRun &State = Key.Job_->Steps_[static_cast<std::size_t>(Key.Step_)];
  const StepSpec &Spec =
      Key.Job_->Spec_.Steps_[static_cast<std::size_t>(Key.Step_)];
  TaskState &Task = State.Tasks_[static_cast<std::size_t>(Index)];
  Worker &Where = *Place.Where_;
  Run New;
  New.Attempt_ = Attempt;
  New.Worker_ = Where.Info_.Id_;
  New.OrderedAt_ = Now;
  bookRun(Task, Ref, Spec, New);
  FleetRoom_ = FleetRoom_ - bookedSize(Spec);
  ++Place.TasksOfStep_;
  Place.Fillers_ = Where.Fillers_;
  StartAction Action;
  Action.Target_ = target(Where);
  Action.Task_ = Ref;
  Action.Gang_ = Spec.Gang_;
  Action.Order_.Task_ = taskName(Ref);
  Action.Order_.Attempt_ = Attempt;
  Action.Order_.Payload_ = Key.Job_->Spec_.Payload_;
  Action.Order_.LeaseEnd_ = leaseEnd(Where, Now);
  Action.Order_.Checkpoint_ = Task.Checkpoint_;
  if (const Ticket *Given = findTicket(State.Advice_, Where.Slot_))
    Action.Order_.Ticket_ = Given->Text_;
  Pending_.Starts_.push_back(std::move(Action));
  if (!Key.Job_->Started_) {
    Key.Job_->Started_ = true;
    Key.Job_->State_ = JobState::Active;
    log(Ref.Job_, taskName(Ref), Where.Info_.Id_,
        "first start, waited_ms=" +
            std::to_string((Now - Key.Job_->ArrivedAt_).Value_) +
            " priority=" + std::to_string(Key.Policy_->Priority_));
  }
}

void Dispatcher::placeStep(const StepKey &Key, Millis Now) {
  StepRun &State = Key.Job_->Steps_[static_cast<std::size_t>(Key.Step_)];
  const StepSpec &Spec =
      Key.Job_->Spec_.Steps_[static_cast<std::size_t>(Key.Step_)];
  if (!keepsReserve(Key, Spec))
    return;
  // Where a worker holds only so many tasks of a step, more room is not all
  // that a task may wait for.
  const bool Tried =
      State.TriedPass_ == Pass_ - 1 && !Spec.Gang_ && Spec.MaxPerWorker_ == 0;
  std::vector<Candidate> Places = candidates(Key, Tried, Now);
  if (Places.empty() && !Tried)
    return;
  if (Spec.Gang_) {
    if (!placeGang(Key, Places, Now) && Now > State.ReadyAt_ + GangPatience &&
        HeldForGang_.empty())
      for (const Candidate &Each : Places)
        HeldForGang_.insert(Each.Where_->Info_.Id_);
    return;
  }
  const std::int64_t FirstAttempt = (Epoch_ - 1) * AttemptsPerEpoch + 1;
  int Missing = 0;
  bool Complete = HeldForGang_.empty(); // All tasks and workers were tried.
  for (std::size_t Index = 0; Index < State.Tasks_.size(); ++Index) {
    TaskState &Task = State.Tasks_[Index];
    if (Task.Done_ || Task.Run_)
      continue;
    if (Task.RetryAt_ > Now) {
      Complete = false;
      continue;
    }
    if (!keepsReserve(Key, Spec))
      return;
    const int Best = Missing > 0 ? -1 : bestCandidate(Spec, Places);
    if (Best < 0) {
      ++Missing;
      continue;
    }
    startTask(Key, static_cast<int>(Index),
              Places[static_cast<std::size_t>(Best)],
              std::max(Task.LastAttempt_ + 1, FirstAttempt), Now);
  }
  if (Missing == 0)
    return;
  if (Complete)
    State.TriedPass_ = Pass_;
  if (mayPreempt(Key, Now))
    preemptFor(Key, Missing, Tried ? candidates(Key, false, Now) : Places, Now);
}

// Places all members or none. Rooms are booked while the gang is laid out, and
// given back if it does not fit.
bool Dispatcher::placeGang(const StepKey &Key, std::vector<Candidate> Places,
                           Millis Now) {
  StepRun &State = Key.Job_->Steps_[static_cast<std::size_t>(Key.Step_)];
  const StepSpec &Spec =
      Key.Job_->Spec_.Steps_[static_cast<std::size_t>(Key.Step_)];
  std::int64_t Attempt = (Epoch_ - 1) * AttemptsPerEpoch + 1;
  std::string Checkpoint;
  for (const TaskState &Each : State.Tasks_) {
    if (Each.RetryAt_ > Now)
      return false;
    Attempt = std::max(Attempt, Each.LastAttempt_ + 1);
    if (!Each.Checkpoint_.empty())
      Checkpoint = Each.Checkpoint_;
  }
  std::vector<std::size_t> Chosen;
  for (std::size_t Index = 0; Index < State.Tasks_.size(); ++Index) {
    const int Best = bestCandidate(Spec, Places);
    if (Best < 0)
      break;
    Candidate &Place = Places[static_cast<std::size_t>(Best)];
    Place.Where_->Used_ = Place.Where_->Used_ + bookedSize(Spec);
    ++Place.TasksOfStep_;
    Chosen.push_back(static_cast<std::size_t>(Best));
  }
  for (const std::size_t Each : Chosen) {
    Candidate &Place = Places[Each];
    Place.Where_->Used_ = Place.Where_->Used_ - bookedSize(Spec);
    --Place.TasksOfStep_;
  }
  if (Chosen.size() < State.Tasks_.size())
    return false;
  for (std::size_t Index = 0; Index < Chosen.size(); ++Index) {
    State.Tasks_[Index].Checkpoint_ = Checkpoint;
    startTask(Key, static_cast<int>(Index), Places[Chosen[Index]], Attempt,
              Now);
  }
  return true;
}

} // namespace damaskglade::dispatch
