#include "drivers/beast/stall_watch.h"

namespace damaskglade::drivers {

namespace {

bool isStalled(const StallWatch &Watch, Millis Now) {
  return Watch.CheckedAt_ > Millis{} && Now >= Watch.CheckedAt_ +
                                                   StallWatch::CheckPeriod +
                                                   StallWatch::MinStall;
}

} // namespace

bool recordCheck(StallWatch &Watch, Millis Now) {
  const bool Stalled = isStalled(Watch, Now);
  if (Stalled && Watch.StalledSince_ == Millis{})
    Watch.StalledSince_ = Watch.CheckedAt_;
  Watch.CheckedAt_ = Now;
  return Stalled;
}

void endStall(StallWatch &Watch) { Watch.StalledSince_ = Millis{}; }

// The first requests may be read before the check that is due.
Millis longestWait(const StallWatch &Watch, Millis Now) {
  if (Watch.StalledSince_ > Millis{})
    return Now - Watch.StalledSince_;
  return isStalled(Watch, Now) ? Now - Watch.CheckedAt_ : Millis{};
}

} // namespace damaskglade::drivers
