#include "policy/shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damaskglade::policy {

namespace {

double shareOfFleet(const Resources &Amount, const Resources &Fleet) {
  // A resource that the fleet lacks must not make every share infinite.
  return std::min(1.0, dominantShare(Amount, Fleet));
}

double decay(Millis Elapsed, Millis HalfLife) {
  if (Elapsed <= Millis{})
    return 1.0;
  return std::exp2(-static_cast<double>(Elapsed.Value_) /
                   static_cast<double>(HalfLife.Value_));
}

std::int64_t rounded(double Amount) {
  return static_cast<std::int64_t>(std::ceil(Amount));
}

std::int64_t scaled(std::int64_t Amount, double Factor) {
  return rounded(static_cast<double>(Amount) * Factor);
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

// Average number of running jobs that is no load worth idling for.
constexpr double NegligibleJobs = 0.01;

constexpr std::array Interactive{TaskClass::Lookup, TaskClass::Request};

} // namespace

Resources timesTasks(const Resources &Size, std::int64_t Tasks) {
  return Resources{Size.MilliCpus_ * Tasks, Size.MemoryMib_ * Tasks,
                   Size.Accelerators_ * Tasks, Size.Slots_ * Tasks,
                   Size.Connections_ * Tasks};
}

double UsageAccount::averageAt(Millis HalfLife, Millis Now) const {
  const double Kept = decay(Now - Updated_, HalfLife);
  return Average_ * Kept + Present_ * (1.0 - Kept);
}

void UsageAccount::start(const Resources &Amount, const Resources &Fleet,
                         Millis HalfLife, Millis Now) {
  // Work shorter than a clock tick still counts one tick of use.
  Average_ = averageAt(HalfLife, Now) +
             shareOfFleet(Amount, Fleet) * (1.0 - decay(Millis{1}, HalfLife));
  Updated_ = std::max(Updated_, Now);
  Running_ = Running_ + Amount;
  Present_ = shareOfFleet(Running_, Fleet);
}

void UsageAccount::finish(const Resources &Amount, const Resources &Fleet,
                          Millis HalfLife, Millis Now) {
  Average_ = averageAt(HalfLife, Now);
  Updated_ = std::max(Updated_, Now);
  Running_ = Running_ - Amount;
  Present_ = shareOfFleet(Running_, Fleet);
}

double UsageAccount::share(Millis HalfLife, Millis Now) const {
  // The present share makes borrowed capacity go back as soon as others have
  // work; the average charges streams of short tasks.
  return std::max(Present_, averageAt(HalfLife, Now));
}

void UsageAccount::setFleet(const Resources &Fleet) {
  Present_ = shareOfFleet(Running_, Fleet);
}

Shares::Shares(ShareSettings Settings) : Settings_(std::move(Settings)) {}

void Shares::applySettings(const ShareSettings &Settings) {
  Settings_ = Settings;
  for (ClassAccount &Class : Classes_) {
    Class.ActiveWeight_ = 0.0;
    for (auto &[Name, Account] : Class.Teams_) {
      Account.Weight_ = weightOf(Name);
      if (Account.Backlog_ + Account.Running_ > 0)
        Class.ActiveWeight_ += Account.Weight_;
    }
  }
}

void Shares::setFleet(const Resources &Fleet) {
  Fleet_ = Fleet;
  for (ClassAccount &Class : Classes_) {
    Class.All_.setFleet(Fleet);
    Class.Urgent_.setFleet(Fleet);
    for (auto &[Name, Team] : Class.Teams_) {
      Team.All_.setFleet(Fleet);
      Team.Urgent_.setFleet(Fleet);
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
  const auto Found = Settings_.TeamWeight_.find(Team);
  return Found == Settings_.TeamWeight_.end() ? 1.0 : Found->second;
}

TeamAccount &Shares::activate(TaskClass Class, const std::string &Team) {
  ClassAccount &Owner = classAccount(Class);
  auto [Found, Added] = Owner.Teams_.try_emplace(Team);
  TeamAccount &Account = Found->second;
  if (Added)
    Account.Weight_ = weightOf(Team);
  if (Account.Backlog_ + Account.Running_ == 0)
    Owner.ActiveWeight_ += Account.Weight_;
  return Account;
}

void Shares::deactivate(ClassAccount &Class, TeamMap::iterator Team) {
  // Bounds the memory of team names that callers invent. An idle account may
  // be dropped because it decays to nothing anyway.
  constexpr std::size_t MaxIdleTeams = 1024;
  if (Team->second.Backlog_ + Team->second.Running_ > 0)
    return;
  Class.ActiveWeight_ -= Team->second.Weight_;
  if (Class.Teams_.size() > MaxIdleTeams)
    Class.Teams_.erase(Team);
}

void Shares::start(TaskClass Class, const std::string &Team, Urgency Level,
                   const Resources &Amount, Millis Now) {
  TeamAccount &Account = activate(Class, Team);
  ++Account.Running_;
  ClassAccount &Owner = classAccount(Class);
  Owner.Average_ = averageAt(Owner, Now);
  Account.All_.start(Amount, Fleet_, Settings_.HalfLife_, Now);
  Owner.All_.start(Amount, Fleet_, Settings_.HalfLife_, Now);
  if (Level == Urgency::Urgent) {
    Account.Urgent_.start(Amount, Fleet_, Settings_.HalfLife_, Now);
    Owner.Urgent_.start(Amount, Fleet_, Settings_.HalfLife_, Now);
  }
  ++Owner.Running_;
}

void Shares::finish(TaskClass Class, const std::string &Team, Urgency Level,
                    const Resources &Amount, Millis Now) {
  ClassAccount &Owner = classAccount(Class);
  const auto Found = Owner.Teams_.find(Team);
  if (Found == Owner.Teams_.end() || Found->second.Running_ == 0)
    return;
  TeamAccount &Account = Found->second;
  --Account.Running_;
  Owner.Average_ = averageAt(Owner, Now);
  --Owner.Running_;
  Account.All_.finish(Amount, Fleet_, Settings_.HalfLife_, Now);
  Owner.All_.finish(Amount, Fleet_, Settings_.HalfLife_, Now);
  if (Level == Urgency::Urgent) {
    Account.Urgent_.finish(Amount, Fleet_, Settings_.HalfLife_, Now);
    Owner.Urgent_.finish(Amount, Fleet_, Settings_.HalfLife_, Now);
  }
  deactivate(Owner, Found);
}

TeamAccount &Shares::queued(TaskClass Class, const std::string &Team) {
  TeamAccount &Account = activate(Class, Team);
  ++Account.Backlog_;
  return Account;
}

void Shares::unqueued(TaskClass Class, const std::string &Team) {
  ClassAccount &Owner = classAccount(Class);
  const auto Found = Owner.Teams_.find(Team);
  if (Found == Owner.Teams_.end() || Found->second.Backlog_ == 0)
    return;
  --Found->second.Backlog_;
  deactivate(Owner, Found);
}

double Shares::shareOf(const Resources &Amount) const {
  return shareOfFleet(Amount, Fleet_);
}

double Shares::classShare(TaskClass Class, Millis Now) const {
  return classAccount(Class).All_.share(Settings_.HalfLife_, Now);
}

double Shares::urgentShare(TaskClass Class, Millis Now) const {
  return classAccount(Class).Urgent_.share(Settings_.HalfLife_, Now);
}

double Shares::teamShare(const TeamAccount &Account, Millis Now) const {
  return Account.All_.share(Settings_.HalfLife_, Now);
}

double Shares::teamShare(TaskClass Class, const std::string &Team,
                         Millis Now) const {
  const ClassAccount &Owner = classAccount(Class);
  const auto Found = Owner.Teams_.find(Team);
  return Found == Owner.Teams_.end() ? 0.0 : teamShare(Found->second, Now);
}

double Shares::teamUrgentShare(const TeamAccount &Account, Millis Now) const {
  return Account.Urgent_.share(Settings_.HalfLife_, Now);
}

double Shares::classMinimum(TaskClass Class) const {
  return Settings_.ClassMinimum_[static_cast<std::size_t>(Class)];
}

double Shares::teamMinimum(TaskClass Class, const TeamAccount &Account) const {
  const double Active =
      std::max(classAccount(Class).ActiveWeight_, Account.Weight_);
  return classMinimum(Class) * Account.Weight_ / Active;
}

double Shares::teamMinimum(TaskClass Class, const std::string &Team) const {
  const ClassAccount &Owner = classAccount(Class);
  const auto Found = Owner.Teams_.find(Team);
  const double Weight = weightOf(Team);
  const bool IsActive = Found != Owner.Teams_.end() &&
                        Found->second.Backlog_ + Found->second.Running_ > 0;
  const double Active = Owner.ActiveWeight_ + (IsActive ? 0.0 : Weight);
  return classMinimum(Class) * Weight / std::max(Active, Weight);
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
  const RunningAverage &Old = Class.Average_;
  const Resources &Running = Class.All_.running();
  const double Kept = decay(Now - Old.Updated_, Settings_.HalfLife_);
  const auto Mix = [Kept](double Past, std::int64_t Present) {
    return Past * Kept + static_cast<double>(Present) * (1.0 - Kept);
  };
  return RunningAverage{Mix(Old.MilliCpus_, Running.MilliCpus_),
                        Mix(Old.MemoryMib_, Running.MemoryMib_),
                        Mix(Old.Accelerators_, Running.Accelerators_),
                        Mix(Old.Slots_, Running.Slots_),
                        Mix(Old.Connections_, Running.Connections_),
                        Mix(Old.Jobs_, Class.Running_),
                        std::max(Old.Updated_, Now)};
}

bool Shares::hasInteractiveWork(Millis Now) const {
  return std::any_of(
      Interactive.begin(), Interactive.end(), [this, Now](TaskClass Class) {
        return averageAt(classAccount(Class), Now).Jobs_ >= NegligibleJobs;
      });
}

Resources Shares::interactiveReserve(Millis Now) const {
  Resources Reserve;
  for (const TaskClass Class : Interactive) {
    const ClassAccount &Owner = classAccount(Class);
    const RunningAverage Average = averageAt(Owner, Now);
    if (Average.Jobs_ < NegligibleJobs)
      continue;
    // The number of jobs that run at once varies by about its square root.
    const double Factor =
        1.0 + Settings_.ReserveDeviations_ / std::sqrt(Average.Jobs_);
    const Resources Expected{rounded(Average.MilliCpus_ * Factor),
                             rounded(Average.MemoryMib_ * Factor),
                             rounded(Average.Accelerators_ * Factor),
                             rounded(Average.Slots_ * Factor),
                             rounded(Average.Connections_ * Factor)};
    const Resources Guaranteed =
        smallerOf(Expected, scaled(Fleet_, classMinimum(Class)));
    Reserve = Reserve + (largerOf(Guaranteed, Owner.All_.running()) -
                         Owner.All_.running());
  }
  return Reserve;
}

} // namespace damaskglade::policy
