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

// Workers with a plan that are compared, the least loaded first. A shard has
// fewer; in a fleet of thousands the bound keeps planning to milliseconds.
constexpr std::size_t MaxPlansCompared = 64;

bool isEviction(const PreemptionStep &Step) {
  return Step.Action_ != TaskControl::Throttle;
}

// What a plan costs other work.
struct PlanCost {
  std::size_t MoreUrgent_ = 0; ///< Tasks above the lowest urgency.
  std::size_t Stops_ = 0;
  std::size_t Checkpoints_ = 0;
  std::size_t Throttles_ = 0;
  Millis OldestStart_{std::numeric_limits<std::int64_t>::max()};
};

// A stop loses work, a checkpoint delays it, a throttle slows it down; the
// older a task, the more there is to lose.
bool isCheaper(const PlanCost &A, const PlanCost &B) {
  return std::tie(A.MoreUrgent_, A.Stops_, A.Checkpoints_, A.Throttles_,
                  B.OldestStart_) < std::tie(B.MoreUrgent_, B.Stops_,
                                             B.Checkpoints_, B.Throttles_,
                                             A.OldestStart_);
}

PlanCost costOf(const Ledger &Accounts,
                const std::vector<PreemptionStep> &Steps) {
  PlanCost Cost;
  for (const PreemptionStep &Step : Steps) {
    const Reservation &Task = *Accounts.find(Step.Attempt_);
    Cost.MoreUrgent_ += Task.Urgency_ == Urgency::Low ? 0 : 1;
    Cost.Stops_ += Step.Action_ == TaskControl::Stop ? 1 : 0;
    Cost.Checkpoints_ += Step.Action_ == TaskControl::Checkpoint ? 1 : 0;
    Cost.Throttles_ += Step.Action_ == TaskControl::Throttle ? 1 : 0;
    Cost.OldestStart_ = std::min(Cost.OldestStart_, Task.Start_);
  }
  return Cost;
}

// Plans room for one task.
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
  planOn(const WorkerAccount &Worker);
  std::vector<const Reservation *>
  candidatesOn(const WorkerAccount &Worker) const;
  bool isProtected(TaskClass Class,
                   const std::vector<PreemptionStep> &Steps) const;
  std::optional<PreemptionStep> throttle(const Reservation &Task) const;
  std::optional<PreemptionStep> evict(const Reservation &Task) const;
  std::vector<PreemptionStep> evictAll(const Reservation &Task);
  const std::vector<const Reservation *> &membersOf(std::string_view Gang);
  std::optional<std::vector<PreemptionStep>>
  throttlesOn(const std::vector<const Reservation *> &Candidates,
              std::int64_t Missing) const;
  Resources freedOn(const WorkerAccount &Worker,
                    const std::vector<PreemptionStep> &Steps) const;
  void dropUnneeded(const WorkerAccount &Worker,
                    std::vector<std::vector<PreemptionStep>> &Groups) const;

  const Ledger &Accounts_;
  const PreemptionRequest &Request_;
  const PreemptionSettings &Settings_;
  std::size_t MaxTasks_;
  std::map<std::string_view, std::vector<const Reservation *>> Gangs_;
};

Resources uncoveredFree(const WorkerAccount &Worker) {
  return Worker.Info_.Capacity_ - Worker.Reserved_ - Worker.Excess_;
}

std::vector<PreemptionStep>
joined(const std::vector<std::vector<PreemptionStep>> &Groups) {
  std::vector<PreemptionStep> All;
  for (const auto &Group : Groups)
    All.insert(All.end(), Group.begin(), Group.end());
  return All;
}

std::vector<const Reservation *>
Planner::candidatesOn(const WorkerAccount &Worker) const {
  std::vector<const Reservation *> Candidates;
  for (const std::string &Attempt : Worker.Attempts_) {
    const Reservation *Task = Accounts_.find(Attempt);
    if (Task->Urgency_ > Request_.Urgency_)
      Candidates.push_back(Task);
  }
  // The newest task has the least work to lose.
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
  const auto Index = static_cast<std::size_t>(Class);
  Resources Held = Accounts_.totals().ByClass_.at(Index);
  for (const PreemptionStep &Step : Steps) {
    const Reservation &Task = *Accounts_.find(Step.Attempt_);
    if (Task.Class_ == Class)
      Held = Held - (Task.Size_ - Step.Left_);
  }
  return dominantShare(Held, Accounts_.totals().Capacity_) <=
         Settings_.ProtectedShare_.at(Index);
}

std::optional<PreemptionStep> Planner::throttle(const Reservation &Task) const {
  if (Task.Throttled_ || !Accounts_.worker(Task.Worker_)->Info_.CanThrottle_)
    return std::nullopt;
  Resources Left = Task.Size_;
  Left.MilliCpus_ = static_cast<std::int64_t>(
      static_cast<double>(Left.MilliCpus_) * Settings_.ThrottledShare_);
  return PreemptionStep{Task.Attempt_, Task.Worker_, TaskControl::Throttle,
                        Left};
}

std::optional<PreemptionStep> Planner::evict(const Reservation &Task) const {
  if (Accounts_.worker(Task.Worker_)->Info_.CanCheckpoint_)
    return PreemptionStep{
        Task.Attempt_, Task.Worker_, TaskControl::Checkpoint, {}};
  if (Task.Idempotent_)
    return PreemptionStep{Task.Attempt_, Task.Worker_, TaskControl::Stop, {}};
  return std::nullopt;
}

// Collects the gangs when the first one is asked for; most plans need none.
const std::vector<const Reservation *> &
Planner::membersOf(std::string_view Gang) {
  if (Gangs_.empty())
    for (const auto &[Attempt, Held] : Accounts_.reservations())
      if (Held.Class_ == TaskClass::Gang)
        Gangs_[jobOfAttempt(Attempt)].push_back(&Held);
  return Gangs_.at(Gang);
}

// A gang that lost a task cannot go on, so all of its tasks end or none.
// Empty if one of them may not be ended.
std::vector<PreemptionStep> Planner::evictAll(const Reservation &Task) {
  std::vector<const Reservation *> Members{&Task};
  if (Task.Class_ == TaskClass::Gang)
    Members = membersOf(jobOfAttempt(Task.Attempt_));
  std::vector<PreemptionStep> Steps;
  for (const Reservation *Member : Members) {
    const auto Step = evict(*Member);
    if (!Step)
      return {};
    Steps.push_back(*Step);
  }
  return Steps;
}

Resources Planner::freedOn(const WorkerAccount &Worker,
                           const std::vector<PreemptionStep> &Steps) const {
  Resources Freed;
  for (const PreemptionStep &Step : Steps)
    if (Step.Worker_ == Worker.Info_.Id_)
      Freed = Freed + (Accounts_.find(Step.Attempt_)->Size_ - Step.Left_);
  return Freed;
}

std::optional<std::vector<PreemptionStep>>
Planner::throttlesOn(const std::vector<const Reservation *> &Candidates,
                     std::int64_t Missing) const {
  std::vector<PreemptionStep> Steps;
  for (const Reservation *Task : Candidates) {
    const auto Step = throttle(*Task);
    if (!Step || isProtected(Task->Class_, Steps))
      continue;
    if (Steps.size() >= MaxTasks_)
      return std::nullopt;
    Missing -= Task->Size_.MilliCpus_ - Step->Left_.MilliCpus_;
    Steps.push_back(*Step);
    if (Missing <= 0)
      return Steps;
  }
  return std::nullopt;
}

// Keeps the newest tasks among the victims: what was added last goes first.
void Planner::dropUnneeded(
    const WorkerAccount &Worker,
    std::vector<std::vector<PreemptionStep>> &Groups) const {
  for (std::size_t At = Groups.size(); At-- > 0;) {
    auto Fewer = Groups;
    Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(At));
    if (fits(Request_.Size_,
             uncoveredFree(Worker) + freedOn(Worker, joined(Fewer))))
      Groups = std::move(Fewer);
  }
}

std::optional<std::vector<PreemptionStep>>
Planner::planOn(const WorkerAccount &Worker) {
  if (!fits(Request_.Size_, Worker.Info_.Capacity_))
    return std::nullopt;
  const auto Candidates = candidatesOn(Worker);
  const Resources Free = uncoveredFree(Worker);
  Resources WithoutCpus = Request_.Size_;
  WithoutCpus.MilliCpus_ = 0;
  if (fits(WithoutCpus, Free)) {
    auto Throttles =
        throttlesOn(Candidates, Request_.Size_.MilliCpus_ - Free.MilliCpus_);
    if (Throttles)
      return Throttles;
  }
  std::vector<std::vector<PreemptionStep>> Groups;
  std::set<std::string_view> GangsSeen;
  bool Covered = false;
  for (const Reservation *Task : Candidates) {
    if (isProtected(Task->Class_, joined(Groups)) ||
        (Task->Class_ == TaskClass::Gang &&
         !GangsSeen.insert(jobOfAttempt(Task->Attempt_)).second))
      continue;
    std::vector<PreemptionStep> Steps = evictAll(*Task);
    if (Steps.empty())
      if (const auto Step = throttle(*Task))
        Steps.push_back(*Step);
    if (Steps.empty())
      continue;
    Groups.push_back(std::move(Steps));
    Covered = fits(Request_.Size_, Free + freedOn(Worker, joined(Groups)));
    if (Covered)
      break;
  }
  if (!Covered)
    return std::nullopt;
  dropUnneeded(Worker, Groups);
  std::vector<PreemptionStep> Steps = joined(Groups);
  if (Steps.size() > MaxTasks_)
    return std::nullopt;
  return Steps;
}

std::optional<PreemptionPlan> Planner::plan() {
  std::optional<PreemptionPlan> Best;
  PlanCost BestCost;
  std::size_t Compared = 0;
  for (const LoadIndex *Pool :
       {&Accounts_.plainWorkers(), &Accounts_.acceleratorWorkers()})
    for (const LoadBucket &Bucket : Pool->buckets())
      for (const IndexedWorker &Member : Bucket.Members_) {
        if (Compared >= MaxPlansCompared)
          break;
        const WorkerAccount &Worker = Accounts_.account(Member.Worker_);
        const auto Steps = planOn(Worker);
        if (!Steps)
          continue;
        ++Compared;
        const PlanCost Cost = costOf(Accounts_, *Steps);
        if (Best && !isCheaper(Cost, BestCost))
          continue;
        Best = PreemptionPlan{{Worker.Info_.Id_}, *Steps, {}};
        BestCost = Cost;
      }
  if (!Best)
    return std::nullopt;
  std::set<std::string> Gangs;
  for (const PreemptionStep &Step : Best->Steps_)
    if (isEviction(Step) &&
        Accounts_.find(Step.Attempt_)->Class_ == TaskClass::Gang)
      Gangs.emplace(jobOfAttempt(Step.Attempt_));
  Best->Gangs_.assign(Gangs.begin(), Gangs.end());
  return Best;
}

// Room for one task, used as it is where there is some.
std::optional<PreemptionPlan> planOne(const Ledger &Accounts,
                                      const PreemptionRequest &Request,
                                      const PreemptionSettings &Settings,
                                      std::int64_t MaxTasks) {
  PlacementRequest Plain;
  Plain.Class_ = TaskClass::Batch;
  Plain.Size_ = Request.Size_;
  Plain.Guards_ = NoGuards;
  if (const auto Room = place(Accounts, Plain))
    return PreemptionPlan{{Room->Worker_}, {}, {}};
  return Planner(Accounts, Request, Settings, MaxTasks).plan();
}

} // namespace

std::optional<PreemptionPlan> planPreemption(const Ledger &Accounts,
                                             const PreemptionRequest &Request,
                                             const PreemptionSettings &Settings,
                                             std::int64_t MaxTasks) {
  if (Request.Tasks_ <= 1)
    return planOne(Accounts, Request, Settings, MaxTasks);
  // Each task is planned on the state that the ones before it leave.
  Ledger Scratch = Accounts;
  PreemptionPlan All;
  for (std::int64_t Task = 0; Task < Request.Tasks_; ++Task) {
    const auto One =
        planOne(Scratch, Request, Settings,
                MaxTasks - static_cast<std::int64_t>(All.Steps_.size()));
    if (!One)
      return std::nullopt;
    for (const PreemptionStep &Step : One->Steps_) {
      applyPreemption(Scratch, Step);
      // A task throttled for an earlier one may have to end for this one.
      std::erase_if(All.Steps_, [&](const PreemptionStep &Earlier) {
        return Earlier.Attempt_ == Step.Attempt_;
      });
      All.Steps_.push_back(Step);
    }
    Reservation Urgent;
    Urgent.Attempt_ = "planned." + std::to_string(Task) + ".0";
    Urgent.Worker_ = One->Workers_.front();
    Urgent.Size_ = Request.Size_;
    Urgent.Class_ = Request.Class_;
    Urgent.Urgency_ = Urgency::Urgent;
    if (!Scratch.reserve(Urgent))
      return std::nullopt;
    All.Workers_.push_back(Urgent.Worker_);
    for (const std::string &Gang : One->Gangs_)
      if (std::find(All.Gangs_.begin(), All.Gangs_.end(), Gang) ==
          All.Gangs_.end())
        All.Gangs_.push_back(Gang);
  }
  return All;
}

void applyPreemption(Ledger &Accounts, const PreemptionStep &Step) {
  if (isEviction(Step)) {
    Accounts.release(Step.Attempt_);
    return;
  }
  if (Accounts.resize(Step.Attempt_, Step.Left_))
    Accounts.setThrottled(Step.Attempt_, true);
}

double PreemptionBudget::tokensAt(Millis Now) const {
  const double Passed =
      static_cast<double>(std::max<std::int64_t>(0, (Now - Updated_).Value_));
  return std::min(static_cast<double>(Burst_),
                  Tokens_ + Passed * Rate_ / MillisPerSecond);
}

std::int64_t PreemptionBudget::available(Millis Now) const {
  return static_cast<std::int64_t>(tokensAt(Now));
}

bool PreemptionBudget::spend(std::int64_t Tasks, Millis Now) {
  if (Tasks > available(Now))
    return false;
  Tokens_ = tokensAt(Now) - static_cast<double>(Tasks);
  Updated_ = std::max(Updated_, Now);
  return true;
}

} // namespace damaskglade::policy
