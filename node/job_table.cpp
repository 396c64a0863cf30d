#include "node/job_table.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

// A waiting thread checks its condition at least this often.
constexpr Millis WakeInterval{1000};

} // namespace

JobEntry makeEntry(const JobRecord &Record) {
  JobEntry Entry;
  Entry.Record_ = Record;
  const auto Tasks = static_cast<std::size_t>(Record.Spec_.Tasks_);
  Entry.Record_.Answers_.resize(Tasks);
  Entry.Members_.resize(Tasks);
  for (std::size_t Member = 0; Member < Tasks; ++Member) {
    if (Entry.Record_.Answers_[Member])
      Entry.Members_[Member].Phase_ = MemberState::Phase::Done;
    else if (Member < Record.Attempts_.size() &&
             Record.Attempts_[Member].Number_ > 0)
      Entry.Members_[Member].Phase_ = MemberState::Phase::Active;
  }
  return Entry;
}

bool hasActiveMember(const JobEntry &Entry) {
  return std::any_of(Entry.Members_.begin(), Entry.Members_.end(),
                     [](const MemberState &State) {
                       return State.Phase_ == MemberState::Phase::Active;
                     });
}

JobTable::LockStripe &JobTable::stripeOf(const std::string &Id) {
  return Stripes_.at(std::hash<std::string>{}(Id) % StripeCount);
}

const JobTable::LockStripe &JobTable::stripeOf(const std::string &Id) const {
  return Stripes_.at(std::hash<std::string>{}(Id) % StripeCount);
}

JobTable::Guard::Guard(JobTable &Table, const std::string &Id)
    : Table_(Table), Id_(Id) {
  LockStripe &Stripe = Table_.stripeOf(Id_);
  const MutexLock Lock(Stripe.Mutex_);
  for (;;) {
    const auto Found = Stripe.Slots_.find(Id_);
    if (Found == Stripe.Slots_.end())
      return;
    if (!Found->second.Locked_) {
      Found->second.Locked_ = true;
      Entry_ = Found->second.Entry_;
      return;
    }
    Stripe.Changed_.waitFor(Stripe.Mutex_, WakeInterval);
  }
}

JobTable::Guard::~Guard() {
  if (!Entry_ || Erased_)
    return;
  LockStripe &Stripe = Table_.stripeOf(Id_);
  const MutexLock Lock(Stripe.Mutex_);
  const auto Found = Stripe.Slots_.find(Id_);
  if (Found != Stripe.Slots_.end())
    Found->second.Locked_ = false;
  Stripe.Changed_.notifyAll();
}

void JobTable::Guard::store() {
  if (Erased_)
    return;
  LockStripe &Stripe = Table_.stripeOf(Id_);
  const MutexLock Lock(Stripe.Mutex_);
  const auto Found = Stripe.Slots_.find(Id_);
  if (Found == Stripe.Slots_.end())
    return;
  const bool WasFinal = isFinal(Found->second.Entry_.Record_.State_);
  Found->second.Entry_ = *Entry_;
  if (!WasFinal && isFinal(Entry_->Record_.State_))
    Stripe.Ended_.push_back(Id_);
  Stripe.Changed_.notifyAll();
}

void JobTable::Guard::erase() {
  LockStripe &Stripe = Table_.stripeOf(Id_);
  const MutexLock Lock(Stripe.Mutex_);
  Stripe.Slots_.erase(Id_);
  Erased_ = true;
  Stripe.Changed_.notifyAll();
}

bool JobTable::add(const JobEntry &Entry) {
  LockStripe &Stripe = stripeOf(Entry.Record_.Id_);
  const MutexLock Lock(Stripe.Mutex_);
  return Stripe.Slots_.try_emplace(Entry.Record_.Id_, Slot{Entry}).second;
}

std::optional<JobRecord> JobTable::find(const std::string &Id) const {
  const LockStripe &Stripe = stripeOf(Id);
  const MutexLock Lock(Stripe.Mutex_);
  const auto Found = Stripe.Slots_.find(Id);
  if (Found == Stripe.Slots_.end())
    return std::nullopt;
  return Found->second.Entry_.Record_;
}

std::optional<JobRecord> JobTable::waitFinal(const std::string &Id,
                                             Millis Timeout,
                                             const Clock &Time) const {
  const Millis Deadline = Time.monotonic() + Timeout;
  const LockStripe &Stripe = stripeOf(Id);
  const MutexLock Lock(Stripe.Mutex_);
  for (;;) {
    const auto Found = Stripe.Slots_.find(Id);
    if (Found == Stripe.Slots_.end())
      return std::nullopt;
    const Millis Remaining = Deadline - Time.monotonic();
    if (isFinal(Found->second.Entry_.Record_.State_) || Remaining <= Millis{})
      return Found->second.Entry_.Record_;
    Stripe.Changed_.waitFor(Stripe.Mutex_, std::min(Remaining, WakeInterval));
  }
}

std::vector<std::string> JobTable::jobsDueForCheck(
    const std::function<bool(const JobEntry &)> &IsDue) const {
  std::vector<std::string> DueIds;
  for (const LockStripe &Stripe : Stripes_) {
    const MutexLock Lock(Stripe.Mutex_);
    for (const auto &[Id, JobSlot] : Stripe.Slots_)
      if (!JobSlot.Locked_ && !isFinal(JobSlot.Entry_.Record_.State_) &&
          IsDue(JobSlot.Entry_))
        DueIds.push_back(Id);
  }
  return DueIds;
}

void JobTable::evictEnded(std::size_t MaxKept) {
  for (LockStripe &Stripe : Stripes_) {
    const MutexLock Lock(Stripe.Mutex_);
    const std::size_t MaxPerStripe = MaxKept / StripeCount;
    if (Stripe.Ended_.size() <= MaxPerStripe)
      continue;
    const auto FirstKept =
        Stripe.Ended_.end() - static_cast<std::ptrdiff_t>(MaxPerStripe);
    for (auto Id = Stripe.Ended_.begin(); Id != FirstKept; ++Id) {
      const auto Found = Stripe.Slots_.find(*Id);
      if (Found != Stripe.Slots_.end() && !Found->second.Locked_)
        Stripe.Slots_.erase(Found);
    }
    Stripe.Ended_.erase(Stripe.Ended_.begin(), FirstKept);
  }
}

std::size_t JobTable::size() const {
  std::size_t Count = 0;
  for (const LockStripe &Stripe : Stripes_) {
    const MutexLock Lock(Stripe.Mutex_);
    Count += Stripe.Slots_.size();
  }
  return Count;
}

} // namespace damaskglade::node
