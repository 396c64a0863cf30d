#include "policy/shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damaskglade::policy {

namespace {

double shareOfFleet(const Resources &Amount, const Resources &Fleet) {
  // The dominant share is infinite if the fleet lacks a resource of the amount.
  return std::min(1.0, dominantShare(Amount, Fleet));
}

double decayFactor(Millis Elapsed, Millis HalfLife) {
  if (Elapsed <= Millis{})
    return 1.0;
  return std::exp2(-static_cast<double>(Elapsed.Value_) /
                   static_cast<double>(HalfLife.Value_));
}

std::int64_t roundUp(double Amount) {
  return static_cast<std::int64_t>(std::ceil(Amount));
}

std::int64_t scaled(std::int64_t Amount, double Factor) {
  return roundUp(static_cast<double>(Amount) * Factor);
}

Resources scaled(const Resources &Amount, double Factor) {
  return Resources{
      scaled(Amount.MilliCpus_, Factor), scaled(Amount.MemoryMib_, Factor),
      scaled(Amount.Accelerators_, Factor), scaled(Amount.Slots_, Factor),
      scaled(Amount.Connections_, Factor)};
}

Resources smallerOf(const Resources &A, const Resources &B) {
  return Resources{std::min(A.MilliCpus_, B.MilliCpus_),
                   std::min(A.MemoryMib_, B.MemoryMib_),
                   std::min(A.Accelerators_, B.Accelerators_),
                   std::min(A.Slots_, B.Slots_),
                   std::min(A.Connections_, B.Connections_)};
}

// No capacity is kept free for a class whose average number of running jobs is
// below this.
constexpr double MinAverageJobs = 0.01;

constexpr std::array InteractiveClasses{TaskClass::Lookup, TaskClass::Request};

} // namespace

Resources timesTasks(const Resources &Size, std::int64_t Tasks) {
  return Resources{Size.MilliCpus_ * Tasks, Size.MemoryMib_ * Tasks,
                   Size.Accelerators_ * Tasks, Size.Slots_ * Tasks,
                   Size.Connections_ * Tasks};
}

double UsageAccount::averageAt(Millis HalfLife, Millis Now) const {
  const double PastWeight = decayFactor(Now - LastUpdate_, HalfLife);
  return AverageShare_ * PastWeight + CurrentShare_ * (1.0 - PastWeight);
}

void UsageAccount::start(const Resources &Amount, const Resources &Fleet,
                         Millis HalfLife, Millis Now) {
  // Charges 1 ms, the resolution of the clock, at each start, so that shorter
  // tasks are charged as well.
  AverageShare_ =
      averageAt(HalfLife, Now) +
      shareOfFleet(Amount, Fleet) * (1.0 - decayFactor(Millis{1}, HalfLife));
  LastUpdate_ = std::max(LastUpdate_, Now);
  RunningSize_ = RunningSize_ + Amount;
  CurrentShare_ = shareOfFleet(RunningSize_, Fleet);
}

void UsageAccount::finish(const Resources &Amount, const Resources &Fleet,
                          Millis HalfLife, Millis Now) {
  AverageShare_ = averageAt(HalfLife, Now);
  LastUpdate_ = std::max(LastUpdate_, Now);
  RunningSize_ = RunningSize_ - Amount;
  CurrentShare_ = shareOfFleet(RunningSize_, Fleet);
}

double UsageAccount::share(Millis HalfLife, Millis Now) const {
  // The average alone would lag behind the start of large tasks, so capacity
  // borrowed from idle teams would be returned late. The current share alone
  // would miss streams of short tasks.
  return std::max(CurrentShare_, averageAt(HalfLife, Now));
}

void UsageAccount::setFleet(const Resources &Fleet) {
  CurrentShare_ = shareOfFleet(RunningSize_, Fleet);
}

Shares::Shares(ShareSettings Settings) : Settings_(std::move(Settings)) {}

void Shares::applySettings(const ShareSettings &Settings) {
  Settings_ = Settings;
  for (ClassAccount &Class : Classes_) {
    Class.ActiveWeight_ = 0.0;
    for (auto &[Name, Account] : Class.Teams_) {
      Account.Weight_ = weightOf(Name);
      if (Account.QueuedJobs_ + Account.RunningJobs_ > 0)
        Class.ActiveWeight_ += Account.Weight_;
    }
  }
}

void Shares::setFleet(const Resources &Fleet) {
  Fleet_ = Fleet;
  for (ClassAccount &Class : Classes_) {
    Class.Usage_.setFleet(Fleet);
    Class.UrgentUsage_.setFleet(Fleet);
    for (auto &[Name, Team] : Class.Teams_) {
      Team.Usage_.setFleet(Fleet);
      Team.UrgentUsage_.setFleet(Fleet);
    }
  }
}

Shares::ClassAccount &Shares::classAccount(TaskClass Class) {
  return Classes_[static_cast<std::size_t>(Class)];
}

const Shares::ClassAccount &Shares::classAccount(TaskClass Class) const {
  return Classes_[static_cast<std::size_t>(Class)];
}

double Shares::weightOf(const std::string &Team) const {
  const auto TeamIt = Settings_.TeamWeight_.find(Team);
  return TeamIt == Settings_.TeamWeight_.end() ? 1.0 : TeamIt->second;
}

TeamAccount &Shares::activate(TaskClass Class, const std::string &Team) {
  ClassAccount &ClassState = classAccount(Class);
  auto [TeamIt, Added] = ClassState.Teams_.try_emplace(Team);
  TeamAccount &Account = TeamIt->second;
  if (Added)
    Account.Weight_ = weightOf(Team);
  if (Account.QueuedJobs_ + Account.RunningJobs_ == 0)
    ClassState.ActiveWeight_ += Account.Weight_;
  return Account;
}

void Shares::deactivateIfIdle(ClassAccount &Class, TeamMap::iterator TeamIt) {
  // Bounds the memory for arbitrary team names in requests. An idle account can
  // be dropped because its usage decays to zero anyway.
  constexpr std::size_t MaxIdleTeams = 1024;
  if (TeamIt->second.QueuedJobs_ + TeamIt->second.RunningJobs_ > 0)
    return;
  Class.ActiveWeight_ -= TeamIt->second.Weight_;
  if (Class.Teams_.size() > MaxIdleTeams)
    Class.Teams_.erase(TeamIt);
}

void Shares::start(TaskClass Class, const std::string &Team, Urgency Level,
                   const Resources &Amount, Millis Now) {
  TeamAccount &Account = activate(Class, Team);
  ++Account.RunningJobs_;
  ClassAccount &ClassState = classAccount(Class);
  ClassState.RunningAverage_ = averageAt(ClassState, Now);
  Account.Usage_.start(Amount, Fleet_, Settings_.HalfLife_, Now);
  ClassState.Usage_.start(Amount, Fleet_, Settings_.HalfLife_, Now);
  if (Level == Urgency::Urgent) {
    Account.UrgentUsage_.start(Amount, Fleet_, Settings_.HalfLife_, Now);
    ClassState.UrgentUsage_.start(Amount, Fleet_, Settings_.HalfLife_, Now);
  }
  ++ClassState.RunningJobs_;
}

void Shares::finish(TaskClass Class, const std::string &Team, Urgency Level,
                    const Resources &Amount, Millis Now) {
  ClassAccount &ClassState = classAccount(Class);
  const auto TeamIt = ClassState.Teams_.find(Team);
  if (TeamIt == ClassState.Teams_.end() || TeamIt->second.RunningJobs_ == 0)
    return;
  TeamAccount &Account = TeamIt->second;
  --Account.RunningJobs_;
  ClassState.RunningAverage_ = averageAt(ClassState, Now);
  --ClassState.RunningJobs_;
  Account.Usage_.finish(Amount, Fleet_, Settings_.HalfLife_, Now);
  ClassState.Usage_.finish(Amount, Fleet_, Settings_.HalfLife_, Now);
  if (Level == Urgency::Urgent) {
    Account.UrgentUsage_.finish(Amount, Fleet_, Settings_.HalfLife_, Now);
    ClassState.UrgentUsage_.finish(Amount, Fleet_, Settings_.HalfLife_, Now);
  }
  deactivateIfIdle(ClassState, TeamIt);
}

TeamAccount &Shares::addQueuedJob(TaskClass Class, const std::string &Team) {
  TeamAccount &Account = activate(Class, Team);
  ++Account.QueuedJobs_;
  return Account;
}

void Shares::removeQueuedJob(TaskClass Class, const std::string &Team) {
  ClassAccount &ClassState = classAccount(Class);
  const auto TeamIt = ClassState.Teams_.find(Team);
  if (TeamIt == ClassState.Teams_.end() || TeamIt->second.QueuedJobs_ == 0)
    return;
  --TeamIt->second.QueuedJobs_;
  deactivateIfIdle(ClassState, TeamIt);
}

double Shares::shareOf(const Resources &Amount) const {
  return shareOfFleet(Amount, Fleet_);
}

double Shares::classShare(TaskClass Class, Millis Now) const {
  return classAccount(Class).Usage_.share(Settings_.HalfLife_, Now);
}

double Shares::urgentShare(TaskClass Class, Millis Now) const {
  return classAccount(Class).UrgentUsage_.share(Settings_.HalfLife_, Now);
}

double Shares::teamShare(const TeamAccount &Account, Millis Now) const {
  return Account.Usage_.share(Settings_.HalfLife_, Now);
}

double Shares::teamShare(TaskClass Class, const std::string &Team,
                         Millis Now) const {
  const ClassAccount &ClassState = classAccount(Class);
  const auto TeamIt = ClassState.Teams_.find(Team);
  return TeamIt == ClassState.Teams_.end() ? 0.0
                                           : teamShare(TeamIt->second, Now);
}

double Shares::teamUrgentShare(const TeamAccount &Account, Millis Now) const {
  return Account.UrgentUsage_.share(Settings_.HalfLife_, Now);
}

double Shares::classMinimum(TaskClass Class) const {
  return Settings_.ClassMinimum_[static_cast<std::size_t>(Class)];
}

double Shares::teamMinimum(TaskClass Class, const TeamAccount &Account) const {
  const double ActiveWeight =
      std::max(classAccount(Class).ActiveWeight_, Account.Weight_);
  return classMinimum(Class) * Account.Weight_ / ActiveWeight;
}

double Shares::teamMinimum(TaskClass Class, const std::string &Team) const {
  const ClassAccount &ClassState = classAccount(Class);
  const auto TeamIt = ClassState.Teams_.find(Team);
  const double Weight = weightOf(Team);
  const bool IsActive =
      TeamIt != ClassState.Teams_.end() &&
      TeamIt->second.QueuedJobs_ + TeamIt->second.RunningJobs_ > 0;
  const double ActiveWeight =
      ClassState.ActiveWeight_ + (IsActive ? 0.0 : Weight);
  return classMinimum(Class) * Weight / std::max(ActiveWeight, Weight);
}

double Shares::classRank(TaskClass Class, Millis Now) const {
  return classShare(Class, Now) /
         Settings_.ClassWeight_[static_cast<std::size_t>(Class)];
}

double Shares::teamRank(const TeamAccount &Account, Millis Now) const {
  return teamShare(Account, Now) / Account.Weight_;
}

Shares::RunningAverage Shares::averageAt(const ClassAccount &Class,
                                         Millis Now) const {
  const RunningAverage &Previous = Class.RunningAverage_;
  const Resources &Running = Class.Usage_.running();
  const double PastWeight =
      decayFactor(Now - Previous.LastUpdate_, Settings_.HalfLife_);
  const auto Average = [PastWeight](double Past, std::int64_t Current) {
    return Past * PastWeight +
           static_cast<double>(Current) * (1.0 - PastWeight);
  };
  return RunningAverage{Average(Previous.MilliCpus_, Running.MilliCpus_),
                        Average(Previous.MemoryMib_, Running.MemoryMib_),
                        Average(Previous.Accelerators_, Running.Accelerators_),
                        Average(Previous.Slots_, Running.Slots_),
                        Average(Previous.Connections_, Running.Connections_),
                        Average(Previous.Jobs_, Class.RunningJobs_),
                        std::max(Previous.LastUpdate_, Now)};
}

bool Shares::hasInteractiveWork(Millis Now) const {
  return std::any_of(InteractiveClasses.begin(), InteractiveClasses.end(),
                     [this, Now](TaskClass Class) {
                       return averageAt(classAccount(Class), Now).Jobs_ >=
                              MinAverageJobs;
                     });
}

Resources Shares::interactiveReserve(Millis Now) const {
  Resources Reserve;
  for (const TaskClass Class : InteractiveClasses) {
    const ClassAccount &ClassState = classAccount(Class);
    const RunningAverage Average = averageAt(ClassState, Now);
    if (Average.Jobs_ < MinAverageJobs)
      continue;
    // With random (Poisson) arrivals, the standard deviation of the number of
    // running jobs is about the square root of its average.
    const double Factor =
        1.0 + Settings_.ReserveDeviations_ / std::sqrt(Average.Jobs_);
    const Resources ExpectedUsage{roundUp(Average.MilliCpus_ * Factor),
                                  roundUp(Average.MemoryMib_ * Factor),
                                  roundUp(Average.Accelerators_ * Factor),
                                  roundUp(Average.Slots_ * Factor),
                                  roundUp(Average.Connections_ * Factor)};
    const Resources TargetCapacity =
        smallerOf(ExpectedUsage, scaled(Fleet_, classMinimum(Class)));
    Reserve = Reserve + (largerOf(TargetCapacity, ClassState.Usage_.running()) -
                         ClassState.Usage_.running());
  }
  return Reserve;
}

} // namespace damaskglade::policy
