#include "policy/cancellation.h"

namespace damaskglade::policy {

namespace {

// More than one, so that a full set shrinks even while ids are added.
constexpr int PurgedPerCall = 4;

} // namespace

void Cancellations::purge(Millis Now) {
  for (int Count = 0; Count < PurgedPerCall && !Order_.empty(); ++Count) {
    const bool IsFull = Order_.size() > Settings_.MaxTombstones_;
    if (!IsFull && Order_.front().End_ > Now)
      return;
    Ids_.erase(Order_.front().JobId_);
    Order_.pop_front();
  }
}

bool Cancellations::add(const std::string &JobId, Millis Now) {
  purge(Now);
  if (!Ids_.insert(JobId).second)
    return false;
  Order_.push_back(Tombstone{Now + Settings_.Lifetime_, JobId});
  if (Order_.size() > Settings_.MaxTombstones_)
    purge(Now);
  return true;
}

bool Cancellations::contains(const std::string &JobId, Millis Now) {
  purge(Now);
  return Ids_.contains(JobId);
}

} // namespace damaskglade::policy
