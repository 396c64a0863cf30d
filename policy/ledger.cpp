#include "policy/ledger.h"

#include <algorithm>

namespace damaskglade::policy {

namespace {

Error refusal(Reason Why, const std::string &Step, const std::string &Peer,
              std::string Message) {
  return Error{Why, Effect::None, Step, Peer, std::move(Message), Millis{}};
}

bool isNegative(const Resources &Value) { return !fits(Resources{}, Value); }

Resources withoutNegative(const Resources &Value) {
  return largerOf(Value, Resources{});
}

bool acceptsWork(const WorkerInfo &Info) {
  return Info.Listed_ && !Info.Leaving_;
}

// Quarantined workers take only trial starts, so placement and the totals
// that guards are computed from leave them out.
bool isOffered(const WorkerInfo &Info) {
  return acceptsWork(Info) && !Info.Quarantined_;
}

} // namespace

std::string_view jobOfAttempt(std::string_view Attempt) {
  for (int Part = 0; Part < 2; ++Part) {
    const std::size_t Dot = Attempt.rfind('.');
    if (Dot == std::string_view::npos)
      return Attempt;
    Attempt = Attempt.substr(0, Dot);
  }
  return Attempt;
}

Status Ledger::putWorker(const WorkerInfo &Info) {
  if (Info.Id_.empty() || isNegative(Info.Capacity_))
    return refusal(Reason::InvalidField, "put worker", Info.Id_,
                   "a worker needs an id and no capacity below zero");
  const auto Found = ByWorker_.find(Info.Id_);
  const WorkerIndex Index =
      Found == ByWorker_.end() ? newIndex() : Found->second;
  WorkerAccount &Account = Accounts_[Index];
  if (Found == ByWorker_.end()) {
    ByWorker_.emplace(Info.Id_, Index);
    Account.Present_ = true;
  } else {
    detach(Index);
    std::erase(Racks_[Account.Rack_].Members_, Index);
  }
  Account.Info_ = Info;
  Account.Rack_ = rackIndex(Info);
  Racks_[Account.Rack_].Members_.push_back(Index);
  attach(Index);
  return success();
}

std::vector<Reservation> Ledger::removeWorker(const std::string &Worker) {
  std::vector<Reservation> Removed;
  const auto Found = ByWorker_.find(Worker);
  if (Found == ByWorker_.end())
    return Removed;
  const WorkerIndex Index = Found->second;
  const std::vector<std::string> Attempts = Accounts_[Index].Attempts_;
  for (const std::string &Attempt : Attempts) {
    Removed.push_back(Reservations_.at(Attempt));
    release(Attempt);
  }
  detach(Index);
  std::erase(Racks_[Accounts_[Index].Rack_].Members_, Index);
  Accounts_[Index] = WorkerAccount{};
  ByWorker_.erase(Found);
  Unused_.push_back(Index);
  return Removed;
}

Status Ledger::setReported(const std::string &Worker, const Resources &Used) {
  const auto Found = ByWorker_.find(Worker);
  if (Found == ByWorker_.end())
    return refusal(Reason::NotFound, "set reported usage", Worker,
                   "the worker is not in the ledger");
  WorkerAccount &Account = Accounts_[Found->second];
  const Resources Excess = withoutNegative(Used - Account.Reserved_);
  if (Excess == Account.Excess_)
    return success();
  // The excess, not the reported sum, is kept: the report does not know
  // reservations made after it, and a task that ended since must not count
  // until the next report.
  detach(Found->second);
  Account.Excess_ = Excess;
  attach(Found->second);
  return success();
}

Status Ledger::checkReservation(const Reservation &Wanted) const {
  if (Wanted.Attempt_.empty() || isNegative(Wanted.Size_))
    return refusal(Reason::InvalidField, "reserve", Wanted.Worker_,
                   "a reservation needs an attempt id and no size below zero");
  if (!ByWorker_.contains(Wanted.Worker_))
    return refusal(Reason::NotFound, "reserve", Wanted.Worker_,
                   "the worker is not in the ledger");
  if (Reservations_.contains(Wanted.Attempt_))
    return refusal(Reason::Internal, "reserve", Wanted.Worker_,
                   "attempt " + Wanted.Attempt_ +
                       " already holds another reservation");
  return success();
}

Status Ledger::reserve(const Reservation &Wanted) {
  const Reservation *Held = find(Wanted.Attempt_);
  if (Held != nullptr && *Held == Wanted)
    return success();
  BOOST_OUTCOME_TRYV(checkReservation(Wanted));
  const WorkerAccount &Account = Accounts_[ByWorker_.at(Wanted.Worker_)];
  if (Account.Info_.Leaving_)
    return refusal(Reason::WorkerLeaving, "reserve", Wanted.Worker_,
                   "the worker is leaving");
  const std::string_view Short = firstShortage(Wanted.Size_, Account.Free_);
  if (!Account.Info_.Listed_ || !Short.empty())
    return refusal(Reason::WorkerFull, "reserve", Wanted.Worker_,
                   Account.Info_.Listed_
                       ? "not enough " + std::string(Short)
                       : "the tasks of the worker are not known");
  add(Wanted);
  return success();
}

Status Ledger::adopt(const Reservation &Running) {
  const Reservation *Held = find(Running.Attempt_);
  if (Held != nullptr && *Held == Running)
    return success();
  BOOST_OUTCOME_TRYV(checkReservation(Running));
  add(Running);
  return success();
}

bool Ledger::release(const std::string &Attempt) {
  const auto Found = Reservations_.find(Attempt);
  if (Found == Reservations_.end())
    return false;
  remove(Found->second);
  Reservations_.erase(Found);
  return true;
}

Status Ledger::resize(const std::string &Attempt, const Resources &Size) {
  const auto Found = Reservations_.find(Attempt);
  if (Found == Reservations_.end())
    return refusal(Reason::NotFound, "resize", Attempt,
                   "the attempt holds no reservation");
  Reservation &Held = Found->second;
  if (isNegative(Size))
    return refusal(Reason::InvalidField, "resize", Held.Worker_,
                   "a size is below zero");
  const Resources Growth = withoutNegative(Size - Held.Size_);
  const std::string_view Short = firstShortage(Growth, freeOf(Held.Worker_));
  if (!Short.empty())
    return refusal(Reason::WorkerFull, "resize", Held.Worker_,
                   "not enough " + std::string(Short));
  countReserved(Held, Size - Held.Size_);
  Held.Size_ = Size;
  return success();
}

void Ledger::setThrottled(const std::string &Attempt, bool Throttled) {
  const auto Found = Reservations_.find(Attempt);
  if (Found != Reservations_.end())
    Found->second.Throttled_ = Throttled;
}

void Ledger::setEstimatedEnd(const std::string &Attempt, Millis End) {
  const auto Found = Reservations_.find(Attempt);
  if (Found != Reservations_.end())
    Found->second.EstimatedEnd_ = End;
}

const Reservation *Ledger::find(const std::string &Attempt) const {
  const auto Found = Reservations_.find(Attempt);
  return Found == Reservations_.end() ? nullptr : &Found->second;
}

const WorkerAccount *Ledger::worker(const std::string &Worker) const {
  const auto Found = ByWorker_.find(Worker);
  return Found == ByWorker_.end() ? nullptr : &Accounts_[Found->second];
}

Resources Ledger::freeOf(const std::string &Worker) const {
  const WorkerAccount *Account = worker(Worker);
  return Account == nullptr ? Resources{} : Account->Free_;
}

Resources Ledger::reservedByTeam(const std::string &Team) const {
  const auto Found = ByTeam_.find(Team);
  return Found == ByTeam_.end() ? Resources{} : Found->second;
}

const JobSpread *Ledger::spreadOf(std::string_view Job) const {
  const auto Found = Spreads_.find(std::string(Job));
  return Found == Spreads_.end() ? nullptr : &Found->second;
}

WorkerIndex Ledger::newIndex() {
  if (!Unused_.empty()) {
    const WorkerIndex Index = Unused_.back();
    Unused_.pop_back();
    return Index;
  }
  Accounts_.emplace_back();
  return static_cast<WorkerIndex>(Accounts_.size() - 1);
}

std::size_t Ledger::rackIndex(const WorkerInfo &Info) {
  const auto Found = std::find_if(
      Racks_.begin(), Racks_.end(), [&Info](const RackAccount &Rack) {
        return Rack.Zone_ == Info.Zone_ && Rack.Rack_ == Info.Rack_;
      });
  if (Found != Racks_.end())
    return static_cast<std::size_t>(Found - Racks_.begin());
  Racks_.push_back(RackAccount{Info.Zone_, Info.Rack_, {}, {}, {}});
  return Racks_.size() - 1;
}

void Ledger::add(const Reservation &Wanted) {
  Reservations_.emplace(Wanted.Attempt_, Wanted);
  const WorkerIndex Index = ByWorker_.at(Wanted.Worker_);
  Accounts_[Index].Attempts_.push_back(Wanted.Attempt_);
  countReserved(Wanted, Wanted.Size_);
  ++Totals_.Tasks_;
  if (Wanted.Class_ == TaskClass::Service)
    ++Spreads_[std::string(jobOfAttempt(Wanted.Attempt_))][Index];
}

void Ledger::remove(const Reservation &Held) {
  const WorkerIndex Index = ByWorker_.at(Held.Worker_);
  std::erase(Accounts_[Index].Attempts_, Held.Attempt_);
  countReserved(Held, Resources{} - Held.Size_);
  --Totals_.Tasks_;
  if (Held.Class_ != TaskClass::Service)
    return;
  const auto Spread = Spreads_.find(std::string(jobOfAttempt(Held.Attempt_)));
  if (--Spread->second[Index] == 0)
    Spread->second.erase(Index);
  if (Spread->second.empty())
    Spreads_.erase(Spread);
}

void Ledger::countReserved(const Reservation &Held, const Resources &Delta) {
  const WorkerIndex Index = ByWorker_.at(Held.Worker_);
  detach(Index);
  Accounts_[Index].Reserved_ = Accounts_[Index].Reserved_ + Delta;
  attach(Index);
  Totals_.Reserved_ = Totals_.Reserved_ + Delta;
  Resources &OfClass =
      Totals_.ByClass_.at(static_cast<std::size_t>(Held.Class_));
  OfClass = OfClass + Delta;
  Resources &OfTeam = ByTeam_[Held.Team_];
  OfTeam = OfTeam + Delta;
  if (OfTeam == Resources{})
    ByTeam_.erase(Held.Team_);
}

// Takes a worker out of the sums and the index before its account changes.
void Ledger::detach(WorkerIndex Worker) {
  const WorkerAccount &Account = Accounts_[Worker];
  if (!isOffered(Account.Info_))
    return;
  (Account.Info_.Capacity_.Accelerators_ > 0 ? Accelerated_ : Plain_)
      .erase(Worker);
  RackAccount &Rack = Racks_[Account.Rack_];
  Rack.Capacity_ = Rack.Capacity_ - Account.Info_.Capacity_;
  Rack.Free_ = Rack.Free_ - Account.Free_;
  Totals_.Capacity_ = Totals_.Capacity_ - Account.Info_.Capacity_;
  Totals_.Free_ = Totals_.Free_ - Account.Free_;
  --Totals_.Workers_;
}

// Recomputes the free amounts of a worker and puts it into sums and index.
void Ledger::attach(WorkerIndex Worker) {
  WorkerAccount &Account = Accounts_[Worker];
  const Resources &Capacity = Account.Info_.Capacity_;
  const Resources Used = Account.Reserved_ + Account.Excess_;
  Account.Load_ = dominantShare(Used, Capacity);
  Account.Free_ = acceptsWork(Account.Info_) ? withoutNegative(Capacity - Used)
                                             : Resources{};
  if (!isOffered(Account.Info_))
    return;
  (Capacity.Accelerators_ > 0 ? Accelerated_ : Plain_)
      .insert(IndexedWorker{Worker, Account.Load_, Account.Free_});
  RackAccount &Rack = Racks_[Account.Rack_];
  Rack.Capacity_ = Rack.Capacity_ + Capacity;
  Rack.Free_ = Rack.Free_ + Account.Free_;
  Totals_.Capacity_ = Totals_.Capacity_ + Capacity;
  Totals_.Free_ = Totals_.Free_ + Account.Free_;
  ++Totals_.Workers_;
}

} // namespace damaskglade::policy
