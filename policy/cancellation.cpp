#include "policy/cancellation.h"

namespace damaskglade::policy {

namespace {

// Maximum number of tombstones removed in one call, so that a call takes
// constant time. More than one, so that a set above its limit shrinks while ids
// are added.
constexpr int MaxPurgedPerCall = 4;

} // namespace

void Cancellations::purge(Millis Now) {
  for (int Count = 0; Count < MaxPurgedPerCall && !Tombstones_.empty();
       ++Count) {
    const bool IsFull = Tombstones_.size() > Settings_.MaxTombstones_;
    if (!IsFull && Tombstones_.front().Expiry_ > Now)
      return;
    Ids_.erase(Tombstones_.front().JobId_);
    Tombstones_.pop_front();
  }
}

bool Cancellations::add(const std::string &JobId, Millis Now) {
  purge(Now);
  if (!Ids_.insert(JobId).second)
    return false;
  Tombstones_.push_back(Tombstone{Now + Settings_.Retention_, JobId});
  if (Tombstones_.size() > Settings_.MaxTombstones_)
    purge(Now);
  return true;
}

bool Cancellations::contains(const std::string &JobId, Millis Now) {
  purge(Now);
  return Ids_.contains(JobId);
}

} // namespace damaskglade::policy
