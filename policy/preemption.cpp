#include "policy/preemption.h"

#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace damaskglade::policy {

namespace {

constexpr double MillisPerSecond = 1000.0;

// Maximum number of workers whose plans are compared, starting with the least
// loaded worker. A shard has fewer workers than this; with thousands of
// workers, the limit keeps the planning time in the order of milliseconds.
constexpr std::size_t MaxPlansCompared = 64;

bool isEviction(const PreemptionStep &Step) {
  return Step.Action_ != TaskControl::Throttle;
}

// Cost of a plan to the preempted work.
struct PlanCost {
  std::size_t AboveLowUrgency_ = 0; ///< Tasks of more than low urgency.
  std::size_t Stops_ = 0;
  std::size_t Checkpoints_ = 0;
  std::size_t Throttles_ = 0;
  Millis OldestStart_{std::numeric_limits<std::int64_t>::max()};
};

// Compares first how many tasks above low urgency are preempted, then the
// number of each action, the most harmful one first: a stop loses the work of a
// task, a checkpoint delays it, a throttle slows it down. On a tie, the plan
// whose longest-running task started later is cheaper, because it can lose less
// work.
bool isCheaper(const PlanCost &A, const PlanCost &B) {
  return std::tie(A.AboveLowUrgency_, A.Stops_, A.Checkpoints_, A.Throttles_,
                  B.OldestStart_) < std::tie(B.AboveLowUrgency_, B.Stops_,
                                             B.Checkpoints_, B.Throttles_,
                                             A.OldestStart_);
}

PlanCost costOf(const Ledger &Accounts,
                const std::vector<PreemptionStep> &Steps) {
  PlanCost Cost;
  for (const PreemptionStep &Step : Steps) {
    const Reservation &Task = *Accounts.find(Step.Attempt_);
    Cost.AboveLowUrgency_ += Task.Urgency_ == Urgency::Low ? 0 : 1;
    Cost.Stops_ += Step.Action_ == TaskControl::Stop ? 1 : 0;
    Cost.Checkpoints_ += Step.Action_ == TaskControl::Checkpoint ? 1 : 0;
    Cost.Throttles_ += Step.Action_ == TaskControl::Throttle ? 1 : 0;
    Cost.OldestStart_ = std::min(Cost.OldestStart_, Task.Start_);
  }
  return Cost;
}

// Plans preemption for one urgent task.
class Planner {
public:
  Planner(const Ledger &Accounts, const PreemptionRequest &Request,
          const PreemptionSettings &Settings, std::int64_t MaxTasks)
      : Accounts_(Accounts), Request_(Request), Settings_(Settings),
        MaxTasks_(
            static_cast<std::size_t>(std::max<std::int64_t>(0, MaxTasks))) {}

  std::optional<PreemptionPlan> plan();

private:
  std::optional<std::vector<PreemptionStep>>
  planForWorker(const WorkerAccount &Worker);
  std::vector<const Reservation *>
  candidatesOn(const WorkerAccount &Worker) const;
  bool isProtected(TaskClass Class,
                   const std::vector<PreemptionStep> &Steps) const;
  std::optional<PreemptionStep> planThrottle(const Reservation &Task) const;
  std::optional<PreemptionStep> planEviction(const Reservation &Task) const;
  std::vector<PreemptionStep> planEvictionWithGang(const Reservation &Task);
  const std::vector<const Reservation *> &membersOf(std::string_view Gang);
  std::optional<std::vector<PreemptionStep>>
  planThrottles(const std::vector<const Reservation *> &Candidates,
                std::int64_t MissingMilliCpus) const;
  Resources freedOn(const WorkerAccount &Worker,
                    const std::vector<PreemptionStep> &Steps) const;
  void removeRedundantGroups(
      const WorkerAccount &Worker,
      std::vector<std::vector<PreemptionStep>> &StepGroups) const;

  const Ledger &Accounts_;
  const PreemptionRequest &Request_;
  const PreemptionSettings &Settings_;
  std::size_t MaxTasks_;
  /// By job id; filled by membersOf().
  std::map<std::string_view, std::vector<const Reservation *>> GangMembers_;
};

// Free amounts, negative where the worker is overcommitted: a plan must then
// free that much more.
Resources unclampedFree(const WorkerAccount &Worker) {
  return Worker.Info_.Capacity_ - Worker.Reserved_ - Worker.Excess_;
}

std::vector<PreemptionStep>
flatten(const std::vector<std::vector<PreemptionStep>> &StepGroups) {
  std::vector<PreemptionStep> Steps;
  for (const auto &Group : StepGroups)
    Steps.insert(Steps.end(), Group.begin(), Group.end());
  return Steps;
}

std::vector<const Reservation *>
Planner::candidatesOn(const WorkerAccount &Worker) const {
  std::vector<const Reservation *> Candidates;
  for (const std::string &Attempt : Worker.Attempts_) {
    const Reservation *Task = Accounts_.find(Attempt);
    if (Task->Urgency_ > Request_.Urgency_)
      Candidates.push_back(Task);
  }
  // Least urgent first, then newest first: the newest task has the least work
  // to lose.
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Reservation *A, const Reservation *B) {
              return std::tie(B->Urgency_, B->Start_, B->Attempt_) <
                     std::tie(A->Urgency_, A->Start_, A->Attempt_);
            });
  return Candidates;
}

bool Planner::isProtected(TaskClass Class,
                          const std::vector<PreemptionStep> &Steps) const {
  if (Class == Request_.Class_)
    return false;
  const auto ClassIndex = static_cast<std::size_t>(Class);
  Resources Reserved = Accounts_.totals().ReservedByClass_.at(ClassIndex);
  for (const PreemptionStep &Step : Steps) {
    const Reservation &Task = *Accounts_.find(Step.Attempt_);
    if (Task.Class_ == Class)
      Reserved = Reserved - (Task.Size_ - Step.RemainingSize_);
  }
  return dominantShare(Reserved, Accounts_.totals().Capacity_) <=
         Settings_.ProtectedShare_.at(ClassIndex);
}

std::optional<PreemptionStep>
Planner::planThrottle(const Reservation &Task) const {
  if (Task.Throttled_ || !Accounts_.worker(Task.Worker_)->Info_.CanThrottle_)
    return std::nullopt;
  Resources RemainingSize = Task.Size_;
  RemainingSize.MilliCpus_ =
      static_cast<std::int64_t>(static_cast<double>(RemainingSize.MilliCpus_) *
                                Settings_.ThrottledShare_);
  return PreemptionStep{Task.Attempt_, Task.Worker_, TaskControl::Throttle,
                        RemainingSize};
}

std::optional<PreemptionStep>
Planner::planEviction(const Reservation &Task) const {
  if (Accounts_.worker(Task.Worker_)->Info_.CanCheckpoint_)
    return PreemptionStep{
        Task.Attempt_, Task.Worker_, TaskControl::Checkpoint, {}};
  if (Task.Idempotent_)
    return PreemptionStep{Task.Attempt_, Task.Worker_, TaskControl::Stop, {}};
  return std::nullopt;
}

// Finds the tasks of all gangs on the first call and keeps them. Not done in
// advance, because most plans preempt no gang.
const std::vector<const Reservation *> &
Planner::membersOf(std::string_view Gang) {
  if (GangMembers_.empty())
    for (const auto &[Attempt, Task] : Accounts_.reservations())
      if (Task.Class_ == TaskClass::Gang)
        GangMembers_[jobOfAttempt(Attempt)].push_back(&Task);
  return GangMembers_.at(Gang);
}

// Plans the eviction of a task and, for a gang, of all its other tasks, because
// a gang cannot continue without one of them. Empty if one of the tasks can
// neither be checkpointed nor stopped.
std::vector<PreemptionStep>
Planner::planEvictionWithGang(const Reservation &Task) {
  std::vector<const Reservation *> Members{&Task};
  if (Task.Class_ == TaskClass::Gang)
    Members = membersOf(jobOfAttempt(Task.Attempt_));
  std::vector<PreemptionStep> Steps;
  for (const Reservation *Member : Members) {
    const auto Step = planEviction(*Member);
    if (!Step)
      return {};
    Steps.push_back(*Step);
  }
  return Steps;
}

Resources Planner::freedOn(const WorkerAccount &Worker,
                           const std::vector<PreemptionStep> &Steps) const {
  Resources FreedAmount;
  for (const PreemptionStep &Step : Steps)
    if (Step.Worker_ == Worker.Info_.Id_)
      FreedAmount = FreedAmount + (Accounts_.find(Step.Attempt_)->Size_ -
                                   Step.RemainingSize_);
  return FreedAmount;
}

std::optional<std::vector<PreemptionStep>>
Planner::planThrottles(const std::vector<const Reservation *> &Candidates,
                       std::int64_t MissingMilliCpus) const {
  std::vector<PreemptionStep> Steps;
  for (const Reservation *Task : Candidates) {
    const auto Step = planThrottle(*Task);
    if (!Step || isProtected(Task->Class_, Steps))
      continue;
    if (Steps.size() >= MaxTasks_)
      return std::nullopt;
    MissingMilliCpus -=
        Task->Size_.MilliCpus_ - Step->RemainingSize_.MilliCpus_;
    Steps.push_back(*Step);
    if (MissingMilliCpus <= 0)
      return Steps;
  }
  return std::nullopt;
}

// Removes the groups of steps without which the request fits as well. Starts
// with the last group added, so that the plan preempts the least urgent and
// newest tasks.
void Planner::removeRedundantGroups(
    const WorkerAccount &Worker,
    std::vector<std::vector<PreemptionStep>> &StepGroups) const {
  for (std::size_t GroupIndex = StepGroups.size(); GroupIndex-- > 0;) {
    auto OtherGroups = StepGroups;
    OtherGroups.erase(OtherGroups.begin() +
                      static_cast<std::ptrdiff_t>(GroupIndex));
    if (fits(Request_.Size_,
             unclampedFree(Worker) + freedOn(Worker, flatten(OtherGroups))))
      StepGroups = std::move(OtherGroups);
  }
}

std::optional<std::vector<PreemptionStep>>
Planner::planForWorker(const WorkerAccount &Worker) {
  if (!fits(Request_.Size_, Worker.Info_.Capacity_))
    return std::nullopt;
  const auto Candidates = candidatesOn(Worker);
  const Resources Free = unclampedFree(Worker);
  Resources SizeWithoutCpus = Request_.Size_;
  SizeWithoutCpus.MilliCpus_ = 0;
  if (fits(SizeWithoutCpus, Free)) {
    auto Throttles =
        planThrottles(Candidates, Request_.Size_.MilliCpus_ - Free.MilliCpus_);
    if (Throttles)
      return Throttles;
  }
  std::vector<std::vector<PreemptionStep>> StepGroups;
  std::set<std::string_view> PlannedGangs;
  bool IsSufficient = false;
  for (const Reservation *Task : Candidates) {
    if (isProtected(Task->Class_, flatten(StepGroups)) ||
        (Task->Class_ == TaskClass::Gang &&
         !PlannedGangs.insert(jobOfAttempt(Task->Attempt_)).second))
      continue;
    std::vector<PreemptionStep> Steps = planEvictionWithGang(*Task);
    if (Steps.empty())
      if (const auto Step = planThrottle(*Task))
        Steps.push_back(*Step);
    if (Steps.empty())
      continue;
    StepGroups.push_back(std::move(Steps));
    IsSufficient =
        fits(Request_.Size_, Free + freedOn(Worker, flatten(StepGroups)));
    if (IsSufficient)
      break;
  }
  if (!IsSufficient)
    return std::nullopt;
  removeRedundantGroups(Worker, StepGroups);
  std::vector<PreemptionStep> Steps = flatten(StepGroups);
  if (Steps.size() > MaxTasks_)
    return std::nullopt;
  return Steps;
}

std::optional<PreemptionPlan> Planner::plan() {
  std::optional<PreemptionPlan> BestPlan;
  PlanCost BestCost;
  std::size_t ComparedPlans = 0;
  for (const LoadIndex *Pool :
       {&Accounts_.cpuOnlyWorkers(), &Accounts_.acceleratorWorkers()})
    for (const LoadBucket &Bucket : Pool->buckets())
      for (const IndexedWorker &Member : Bucket.Members_) {
        if (ComparedPlans >= MaxPlansCompared)
          break;
        const WorkerAccount &Worker = Accounts_.account(Member.Worker_);
        const auto Steps = planForWorker(Worker);
        if (!Steps)
          continue;
        ++ComparedPlans;
        const PlanCost Cost = costOf(Accounts_, *Steps);
        if (BestPlan && !isCheaper(Cost, BestCost))
          continue;
        BestPlan = PreemptionPlan{{Worker.Info_.Id_}, *Steps, {}};
        BestCost = Cost;
      }
  if (!BestPlan)
    return std::nullopt;
  std::set<std::string> Gangs;
  for (const PreemptionStep &Step : BestPlan->Steps_)
    if (isEviction(Step) &&
        Accounts_.find(Step.Attempt_)->Class_ == TaskClass::Gang)
      Gangs.emplace(jobOfAttempt(Step.Attempt_));
  BestPlan->Gangs_.assign(Gangs.begin(), Gangs.end());
  return BestPlan;
}

// Plans one urgent task. The plan has no steps if the task fits into the free
// resources of a worker.
std::optional<PreemptionPlan> planTask(const Ledger &Accounts,
                                       const PreemptionRequest &Request,
                                       const PreemptionSettings &Settings,
                                       std::int64_t MaxTasks) {
  PlacementRequest TaskPlacementRequest;
  TaskPlacementRequest.Class_ = TaskClass::Batch;
  TaskPlacementRequest.Size_ = Request.Size_;
  TaskPlacementRequest.Guards_ = NoGuards;
  if (const auto Placed = place(Accounts, TaskPlacementRequest))
    return PreemptionPlan{{Placed->Worker_}, {}, {}};
  return Planner(Accounts, Request, Settings, MaxTasks).plan();
}

} // namespace

std::optional<PreemptionPlan> planPreemption(const Ledger &Accounts,
                                             const PreemptionRequest &Request,
                                             const PreemptionSettings &Settings,
                                             std::int64_t MaxTasks) {
  if (Request.Tasks_ <= 1)
    return planTask(Accounts, Request, Settings, MaxTasks);
  // Plans each task on the state after the plans of the tasks before it.
  Ledger ProjectedLedger = Accounts;
  PreemptionPlan CombinedPlan;
  for (std::int64_t Task = 0; Task < Request.Tasks_; ++Task) {
    const auto TaskPlan = planTask(
        ProjectedLedger, Request, Settings,
        MaxTasks - static_cast<std::int64_t>(CombinedPlan.Steps_.size()));
    if (!TaskPlan)
      return std::nullopt;
    for (const PreemptionStep &Step : TaskPlan->Steps_) {
      applyPreemption(ProjectedLedger, Step);
      // A task that was to be throttled for an earlier urgent task may have to
      // be evicted for this one.
      std::erase_if(CombinedPlan.Steps_, [&](const PreemptionStep &Earlier) {
        return Earlier.Attempt_ == Step.Attempt_;
      });
      CombinedPlan.Steps_.push_back(Step);
    }
    Reservation UrgentReservation;
    UrgentReservation.Attempt_ = "planned." + std::to_string(Task) + ".0";
    UrgentReservation.Worker_ = TaskPlan->Workers_.front();
    UrgentReservation.Size_ = Request.Size_;
    UrgentReservation.Class_ = Request.Class_;
    UrgentReservation.Urgency_ = Urgency::Urgent;
    if (!ProjectedLedger.reserve(UrgentReservation))
      return std::nullopt;
    CombinedPlan.Workers_.push_back(UrgentReservation.Worker_);
    for (const std::string &Gang : TaskPlan->Gangs_)
      if (std::find(CombinedPlan.Gangs_.begin(), CombinedPlan.Gangs_.end(),
                    Gang) == CombinedPlan.Gangs_.end())
        CombinedPlan.Gangs_.push_back(Gang);
  }
  return CombinedPlan;
}

void applyPreemption(Ledger &Accounts, const PreemptionStep &Step) {
  if (isEviction(Step)) {
    Accounts.release(Step.Attempt_);
    return;
  }
  if (Accounts.resize(Step.Attempt_, Step.RemainingSize_))
    Accounts.setThrottled(Step.Attempt_, true);
}

double PreemptionBudget::tokensAt(Millis Now) const {
  const double ElapsedMs = static_cast<double>(
      std::max<std::int64_t>(0, (Now - LastUpdate_).Value_));
  return std::min(static_cast<double>(Burst_),
                  Tokens_ + ElapsedMs * Rate_ / MillisPerSecond);
}

std::int64_t PreemptionBudget::available(Millis Now) const {
  return static_cast<std::int64_t>(tokensAt(Now));
}

bool PreemptionBudget::spend(std::int64_t Tasks, Millis Now) {
  if (Tasks > available(Now))
    return false;
  Tokens_ = tokensAt(Now) - static_cast<double>(Tasks);
  LastUpdate_ = std::max(LastUpdate_, Now);
  return true;
}

} // namespace damaskglade::policy
