#include "policy/quarantine.h"

#include <algorithm>
#include <unordered_set>

namespace damaskglade::policy {

void Quarantine::setZone(const std::string &Zone,
                         const std::vector<std::string> &Workers) {
  const std::unordered_set<std::string> Listed(Workers.begin(), Workers.end());
  for (auto At = Records_.begin(); At != Records_.end();) {
    Record &Entry = At->second;
    const bool IsGone = Entry.Zone_ == Zone && !Listed.contains(At->first);
    const bool HasMoved = Entry.Zone_ != Zone && Listed.contains(At->first);
    if (!IsGone && !HasMoved) {
      ++At;
      continue;
    }
    leave(Entry);
    --ZoneSizes_[Entry.Zone_];
    At = Records_.erase(At);
  }
  for (const std::string &Worker : Listed)
    Records_[Worker].Zone_ = Zone;
  ZoneSizes_[Zone] = static_cast<std::int64_t>(Listed.size());

  for (auto &[OtherZone, Size] : ZoneSizes_) {
    std::vector<std::pair<std::int64_t, Record *>> Held;
    for (auto &[Worker, Entry] : Records_)
      if (Entry.Zone_ == OtherZone && Entry.Quarantined_)
        Held.emplace_back(Entry.Level_, &Entry);
    std::sort(Held.begin(), Held.end());
    const std::int64_t Excess = countIn(OtherZone) - capOf(OtherZone);
    for (std::int64_t Lifted = 0; Lifted < Excess; ++Lifted)
      leave(*Held[static_cast<std::size_t>(Lifted)].second);
  }
}

void Quarantine::recordFailure(const std::string &Worker, Millis RanFor,
                               Millis Now) {
  const auto Found = Records_.find(Worker);
  if (Found == Records_.end())
    return;
  Record &Entry = Found->second;
  if (RanFor > Settings_.QuickFailure_) {
    recordSuccess(Worker);
    return;
  }
  ++Entry.Failures_;
  if (!Entry.Quarantined_) {
    if (Entry.Failures_ >= Settings_.FailuresInARow_)
      enter(Entry, Now);
    return;
  }
  // Failures of starts from before the quarantine say nothing new.
  if (Entry.TrialUntil_ == Millis{})
    return;
  ++Entry.Level_;
  Entry.TrialUntil_ = Millis{};
  Entry.TrialAt_ = Now + delayFor(Entry.Level_);
}

void Quarantine::recordSuccess(const std::string &Worker) {
  const auto Found = Records_.find(Worker);
  if (Found == Records_.end())
    return;
  // A task from before the quarantine may end well on a worker that fails all
  // new starts.
  const Record &Entry = Found->second;
  if (!Entry.Quarantined_ || Entry.TrialUntil_ != Millis{})
    leave(Found->second);
}

void Quarantine::lift(const std::string &Worker) {
  const auto Found = Records_.find(Worker);
  if (Found != Records_.end())
    leave(Found->second);
}

bool Quarantine::quarantine(const std::string &Worker, Millis Now) {
  const auto Found = Records_.find(Worker);
  return Found != Records_.end() &&
         (Found->second.Quarantined_ || enter(Found->second, Now));
}

WorkerHealth Quarantine::health(const std::string &Worker, Millis Now) const {
  const auto Found = Records_.find(Worker);
  if (Found == Records_.end() || !Found->second.Quarantined_)
    return WorkerHealth::Healthy;
  const Record &Entry = Found->second;
  if (Entry.TrialUntil_ > Now)
    return WorkerHealth::OnTrial;
  return Entry.TrialAt_ <= Now ? WorkerHealth::TrialDue
                               : WorkerHealth::Quarantined;
}

bool Quarantine::beginTrial(const std::string &Worker, Millis Now) {
  if (health(Worker, Now) != WorkerHealth::TrialDue)
    return false;
  Records_.at(Worker).TrialUntil_ = Now + Settings_.TrialTimeout_;
  return true;
}

std::int64_t Quarantine::countIn(const std::string &Zone) const {
  const auto Found = Quarantined_.find(Zone);
  return Found == Quarantined_.end() ? 0 : Found->second;
}

std::int64_t Quarantine::capOf(const std::string &Zone) const {
  const auto Found = ZoneSizes_.find(Zone);
  return Found == ZoneSizes_.end()
             ? 0
             : static_cast<std::int64_t>(Settings_.MaxShareOfZone_ *
                                         static_cast<double>(Found->second));
}

bool Quarantine::enter(Record &Entry, Millis Now) {
  if (countIn(Entry.Zone_) >= capOf(Entry.Zone_))
    return false;
  Entry.Quarantined_ = true;
  Entry.Level_ = 0;
  Entry.TrialAt_ = Now + delayFor(0);
  Entry.TrialUntil_ = Millis{};
  ++Quarantined_[Entry.Zone_];
  return true;
}

void Quarantine::leave(Record &Entry) {
  Entry.Failures_ = 0;
  if (!Entry.Quarantined_)
    return;
  Entry.Quarantined_ = false;
  --Quarantined_[Entry.Zone_];
}

Millis Quarantine::delayFor(std::int64_t Level) const {
  Millis Delay = Settings_.FirstDelay_;
  for (std::int64_t Step = 0; Step < Level && Delay < Settings_.MaxDelay_;
       ++Step)
    Delay = Delay * 2;
  return std::min(Delay, Settings_.MaxDelay_);
}

} // namespace damaskglade::policy
