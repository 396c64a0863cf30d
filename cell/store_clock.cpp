#include "cell/store_clock.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// The bound grows by one part in so many, since the two clocks may differ in
// speed.
constexpr std::int64_t DriftDivisor = 1000;

Millis mostNow(const StoreClockLead &Lead, Millis Now) {
  return Lead.Most_ + (Now - Lead.KnownAt_) / DriftDivisor;
}

} // namespace

StoreClockLead updateLead(const std::optional<StoreClockLead> &Known,
                          const StoreClockReading &Reading) {
  const Millis Shown = Reading.StoreClock_ - Reading.SentAt_;
  const StoreClockLead Latest{Shown, Reading.ReceivedAt_};
  if (!Known)
    return Latest;
  const Millis Most = mostNow(*Known, Reading.ReceivedAt_);
  // A reply from the future shows that the store's clock has been set, so the
  // bound no longer holds.
  if (Reading.StoreClock_ - Most > Reading.ReceivedAt_)
    return Latest;
  return Most < Shown ? *Known : Latest;
}

// A time outside the call shows that a clock has been set.
Millis earliestWriteTime(const std::optional<StoreClockLead> &Lead,
                         const StoreClockReading &Reading) {
  if (!Lead || Reading.StoreClock_ == Millis{})
    return Reading.SentAt_;
  const Millis WrittenAt =
      Reading.StoreClock_ - mostNow(*Lead, Reading.ReceivedAt_);
  return WrittenAt > Reading.ReceivedAt_ ? Reading.SentAt_
                                         : std::max(WrittenAt, Reading.SentAt_);
}

} // namespace damaskglade::cell
