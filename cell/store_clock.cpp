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
  if (Known && mostNow(*Known, Reading.ReceivedAt_) < Shown)
    return *Known;
  return StoreClockLead{Shown, Reading.ReceivedAt_};
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
