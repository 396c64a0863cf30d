#include "cell/loop_delay.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// Answers the load of a leader that is offered more jobs than its processor
// time allows. Each order, poll and transaction waits once for the loop, so a
// lookup with less than 0.3 s of slack is late at a delay of 50 ms. Above three
// times that, orders and pings run into their timeouts.
constexpr Millis DeferrableDelayLimit{50};
constexpr Millis UrgentDelayLimit{150};

} // namespace

LoopDelay addDelay(const LoopDelay &Delay, Millis Sample) {
  LoopDelay Result = Delay;
  std::rotate(Result.Samples_.begin(), Result.Samples_.begin() + 1,
              Result.Samples_.end());
  Result.Samples_.back() = std::max(Sample, Millis{});
  return Result;
}

Millis standingDelay(const LoopDelay &Delay) {
  return *std::min_element(Delay.Samples_.begin(), Delay.Samples_.end());
}

bool isLate(const LoopDelay &Delay) {
  return standingDelay(Delay) > DeferrableDelayLimit;
}

bool shouldReject(const LoopDelay &Delay, int Priority) {
  return standingDelay(Delay) >
         (Priority == 0 ? UrgentDelayLimit : DeferrableDelayLimit);
}

} // namespace damaskglade::cell
