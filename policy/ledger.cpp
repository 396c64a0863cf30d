#include "policy/ledger.h"

#include <algorithm>

namespace damaskglade::policy {

namespace {

Error ledgerError(Reason Code, const std::string &Step, const std::string &Peer,
                  std::string Message) {
  return Error{Code, Effect::None, Step, Peer, std::move(Message), Millis{}};
}

bool isNegative(const Resources &Value) { return !fits(Resources{}, Value); }

Resources withoutNegative(const Resources &Value) {
  return largerOf(Value, Resources{});
}

bool acceptsWork(const WorkerInfo &Info) {
  return Info.Listed_ && !Info.Leaving_;
}

// Quarantined workers accept only trial starts, so they are left out of
// placement and of the totals from which class guarantees are computed.
bool isAvailable(const WorkerInfo &Info) {
  return acceptsWork(Info) && !Info.Quarantined_;
}

} // namespace

std::string_view jobOfAttempt(std::string_view Attempt) {
  for (int Suffix = 0; Suffix < 2; ++Suffix) {
    const std::size_t Dot = Attempt.rfind('.');
    if (Dot == std::string_view::npos)
      return Attempt;
    Attempt = Attempt.substr(0, Dot);
  }
  return Attempt;
}

Status Ledger::putWorker(const WorkerInfo &Info) {
  if (Info.Id_.empty() || isNegative(Info.Capacity_))
    return ledgerError(Reason::InvalidField, "put worker", Info.Id_,
                       "the worker id is empty or the capacity is negative");
  const auto Found = IndexByWorkerId_.find(Info.Id_);
  const WorkerIndex Index =
      Found == IndexByWorkerId_.end() ? allocateIndex() : Found->second;
  WorkerAccount &Account = Accounts_[Index];
  if (Found == IndexByWorkerId_.end()) {
    IndexByWorkerId_.emplace(Info.Id_, Index);
    Account.Present_ = true;
  } else {
    removeFromAggregates(Index);
    std::erase(Racks_[Account.Rack_].Members_, Index);
  }
  Account.Info_ = Info;
  Account.Rack_ = findOrAddRack(Info);
  Racks_[Account.Rack_].Members_.push_back(Index);
  addToAggregates(Index);
  return success();
}

std::vector<Reservation> Ledger::removeWorker(const std::string &Worker) {
  std::vector<Reservation> Removed;
  const auto Found = IndexByWorkerId_.find(Worker);
  if (Found == IndexByWorkerId_.end())
    return Removed;
  const WorkerIndex Index = Found->second;
  const std::vector<std::string> Attempts = Accounts_[Index].Attempts_;
  for (const std::string &Attempt : Attempts) {
    Removed.push_back(Reservations_.at(Attempt));
    release(Attempt);
  }
  removeFromAggregates(Index);
  std::erase(Racks_[Accounts_[Index].Rack_].Members_, Index);
  Accounts_[Index] = WorkerAccount{};
  IndexByWorkerId_.erase(Found);
  UnusedIndexes_.push_back(Index);
  return Removed;
}

Status Ledger::setReported(const std::string &Worker, const Resources &Used) {
  const auto Found = IndexByWorkerId_.find(Worker);
  if (Found == IndexByWorkerId_.end())
    return ledgerError(Reason::NotFound, "set reported usage", Worker,
                       "the worker is not in the ledger");
  WorkerAccount &Account = Accounts_[Found->second];
  const Resources Excess = withoutNegative(Used - Account.Reserved_);
  if (Excess == Account.Excess_)
    return success();
  // Stores only the excess over the reservations. The reported total would not
  // include reservations made after the report, and would still include tasks
  // that end before the next one.
  removeFromAggregates(Found->second);
  Account.Excess_ = Excess;
  addToAggregates(Found->second);
  return success();
}

Status Ledger::checkReservation(const Reservation &Requested) const {
  if (Requested.Attempt_.empty() || isNegative(Requested.Size_))
    return ledgerError(Reason::InvalidField, "reserve", Requested.Worker_,
                       "the attempt id is empty or the size is negative");
  if (!IndexByWorkerId_.contains(Requested.Worker_))
    return ledgerError(Reason::NotFound, "reserve", Requested.Worker_,
                       "the worker is not in the ledger");
  if (Reservations_.contains(Requested.Attempt_))
    return ledgerError(Reason::Internal, "reserve", Requested.Worker_,
                       "attempt " + Requested.Attempt_ +
                           " already has a different reservation");
  return success();
}

Status Ledger::reserve(const Reservation &Requested) {
  const Reservation *Existing = find(Requested.Attempt_);
  if (Existing != nullptr && *Existing == Requested)
    return success();
  BOOST_OUTCOME_TRYV(checkReservation(Requested));
  const WorkerAccount &Account =
      Accounts_[IndexByWorkerId_.at(Requested.Worker_)];
  if (Account.Info_.Leaving_)
    return ledgerError(Reason::WorkerLeaving, "reserve", Requested.Worker_,
                       "the worker is leaving");
  const std::string_view MissingResource =
      firstShortage(Requested.Size_, Account.Free_);
  if (!Account.Info_.Listed_ || !MissingResource.empty())
    return ledgerError(Reason::WorkerFull, "reserve", Requested.Worker_,
                       Account.Info_.Listed_
                           ? "not enough " + std::string(MissingResource)
                           : "the tasks running on the worker are not known");
  add(Requested);
  return success();
}

Status Ledger::adopt(const Reservation &RunningTask) {
  const Reservation *Existing = find(RunningTask.Attempt_);
  if (Existing != nullptr && *Existing == RunningTask)
    return success();
  BOOST_OUTCOME_TRYV(checkReservation(RunningTask));
  add(RunningTask);
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
    return ledgerError(Reason::NotFound, "resize", Attempt,
                       "the attempt has no reservation");
  Reservation &Existing = Found->second;
  if (isNegative(Size))
    return ledgerError(Reason::InvalidField, "resize", Existing.Worker_,
                       "the size is negative");
  const Resources Growth = withoutNegative(Size - Existing.Size_);
  const std::string_view MissingResource =
      firstShortage(Growth, freeOf(Existing.Worker_));
  if (!MissingResource.empty())
    return ledgerError(Reason::WorkerFull, "resize", Existing.Worker_,
                       "not enough " + std::string(MissingResource));
  adjustReserved(Existing, Size - Existing.Size_);
  Existing.Size_ = Size;
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
  const auto Found = IndexByWorkerId_.find(Worker);
  return Found == IndexByWorkerId_.end() ? nullptr : &Accounts_[Found->second];
}

Resources Ledger::freeOf(const std::string &Worker) const {
  const WorkerAccount *Account = worker(Worker);
  return Account == nullptr ? Resources{} : Account->Free_;
}

Resources Ledger::reservedByTeam(const std::string &Team) const {
  const auto Found = ReservedByTeam_.find(Team);
  return Found == ReservedByTeam_.end() ? Resources{} : Found->second;
}

const JobSpread *Ledger::spreadOf(std::string_view Job) const {
  const auto Found = SpreadsByJob_.find(std::string(Job));
  return Found == SpreadsByJob_.end() ? nullptr : &Found->second;
}

WorkerIndex Ledger::allocateIndex() {
  if (!UnusedIndexes_.empty()) {
    const WorkerIndex Index = UnusedIndexes_.back();
    UnusedIndexes_.pop_back();
    return Index;
  }
  Accounts_.emplace_back();
  return static_cast<WorkerIndex>(Accounts_.size() - 1);
}

std::size_t Ledger::findOrAddRack(const WorkerInfo &Info) {
  const auto Found = std::find_if(
      Racks_.begin(), Racks_.end(), [&Info](const RackAccount &Rack) {
        return Rack.Zone_ == Info.Zone_ && Rack.Rack_ == Info.Rack_;
      });
  if (Found != Racks_.end())
    return static_cast<std::size_t>(Found - Racks_.begin());
  Racks_.push_back(RackAccount{Info.Zone_, Info.Rack_, {}, {}, {}});
  return Racks_.size() - 1;
}

void Ledger::add(const Reservation &Requested) {
  Reservations_.emplace(Requested.Attempt_, Requested);
  const WorkerIndex Index = IndexByWorkerId_.at(Requested.Worker_);
  Accounts_[Index].Attempts_.push_back(Requested.Attempt_);
  adjustReserved(Requested, Requested.Size_);
  ++Totals_.Tasks_;
  if (Requested.Class_ == TaskClass::Service)
    ++SpreadsByJob_[std::string(jobOfAttempt(Requested.Attempt_))][Index];
}

void Ledger::remove(const Reservation &Existing) {
  const WorkerIndex Index = IndexByWorkerId_.at(Existing.Worker_);
  std::erase(Accounts_[Index].Attempts_, Existing.Attempt_);
  adjustReserved(Existing, Resources{} - Existing.Size_);
  --Totals_.Tasks_;
  if (Existing.Class_ != TaskClass::Service)
    return;
  const auto Spread =
      SpreadsByJob_.find(std::string(jobOfAttempt(Existing.Attempt_)));
  if (--Spread->second[Index] == 0)
    Spread->second.erase(Index);
  if (Spread->second.empty())
    SpreadsByJob_.erase(Spread);
}

void Ledger::adjustReserved(const Reservation &Existing,
                            const Resources &Delta) {
  const WorkerIndex Index = IndexByWorkerId_.at(Existing.Worker_);
  removeFromAggregates(Index);
  Accounts_[Index].Reserved_ = Accounts_[Index].Reserved_ + Delta;
  addToAggregates(Index);
  Totals_.Reserved_ = Totals_.Reserved_ + Delta;
  Resources &ClassTotal =
      Totals_.ReservedByClass_.at(static_cast<std::size_t>(Existing.Class_));
  ClassTotal = ClassTotal + Delta;
  Resources &TeamTotal = ReservedByTeam_[Existing.Team_];
  TeamTotal = TeamTotal + Delta;
  if (TeamTotal == Resources{})
    ReservedByTeam_.erase(Existing.Team_);
}

// Removes a worker from the totals and the load index. Called before its
// account changes.
void Ledger::removeFromAggregates(WorkerIndex Worker) {
  const WorkerAccount &Account = Accounts_[Worker];
  if (!isAvailable(Account.Info_))
    return;
  (Account.Info_.Capacity_.Accelerators_ > 0 ? AcceleratorIndex_
                                             : CpuOnlyIndex_)
      .erase(Worker);
  RackAccount &Rack = Racks_[Account.Rack_];
  Rack.Capacity_ = Rack.Capacity_ - Account.Info_.Capacity_;
  Rack.Free_ = Rack.Free_ - Account.Free_;
  Totals_.Capacity_ = Totals_.Capacity_ - Account.Info_.Capacity_;
  Totals_.Free_ = Totals_.Free_ - Account.Free_;
  --Totals_.Workers_;
}

// Recomputes the load and free amounts of a worker and adds it to the totals
// and the load index. Called after its account has changed.
void Ledger::addToAggregates(WorkerIndex Worker) {
  WorkerAccount &Account = Accounts_[Worker];
  const Resources &Capacity = Account.Info_.Capacity_;
  const Resources Used = Account.Reserved_ + Account.Excess_;
  Account.Load_ = dominantShare(Used, Capacity);
  Account.Free_ = acceptsWork(Account.Info_) ? withoutNegative(Capacity - Used)
                                             : Resources{};
  if (!isAvailable(Account.Info_))
    return;
  (Capacity.Accelerators_ > 0 ? AcceleratorIndex_ : CpuOnlyIndex_)
      .insert(IndexedWorker{Worker, Account.Load_, Account.Free_});
  RackAccount &Rack = Racks_[Account.Rack_];
  Rack.Capacity_ = Rack.Capacity_ + Capacity;
  Rack.Free_ = Rack.Free_ + Account.Free_;
  Totals_.Capacity_ = Totals_.Capacity_ + Capacity;
  Totals_.Free_ = Totals_.Free_ + Account.Free_;
  ++Totals_.Workers_;
}

} // namespace damaskglade::policy
