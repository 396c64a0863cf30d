#include "dispatch/locality.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

namespace {

// Ends are estimated from declared run times, which are often exceeded.
constexpr double ExpectedGainShare = 0.7;
// A job with nothing running for 3 s beside free capacity counts as stuck. The
// wait ends well before, and earlier if most of the fleet is idle.
constexpr Millis MaxWait{2000};
constexpr Millis MaxWaitOnIdleFleet{1000};
constexpr double IdleFleetShare = 0.5;

} // namespace

int tasksToHold(const RackWaitInput &Input) {
  const auto RunTime = static_cast<double>(Input.RunTime_.Value_);
  const Millis Gain{std::llround(RunTime * (Input.Penalty_ - 1))};
  if (Gain <= Millis{} || Input.TaskMilliCpus_ <= 0)
    return 0;
  const Millis Limit =
      Input.FreeShare_ > IdleFleetShare ? MaxWaitOnIdleFleet : MaxWait;
  Millis Latest = std::min(
      Input.ReadyAt_ + std::min(Gain, Limit),
      Input.Now_ + Millis{std::llround(static_cast<double>(Gain.Value_) *
                                       ExpectedGainShare)});
  // A job that can be on time elsewhere must not become late by the wait.
  const Millis Rest = Input.RunTime_ + Input.Following_;
  if (Input.Now_ + Gain + Rest <= Input.DueAt_)
    Latest = std::min(Latest, Input.DueAt_ - Rest);
  if (Input.Now_ >= Latest)
    return 0;
  std::int64_t Released = 0;
  for (const ExpectedEnd &End : Input.Ends_)
    if (End.At_ < Latest)
      Released += End.MilliCpus_;
  const std::int64_t Available =
      std::max<std::int64_t>(Released - Input.AheadMilliCpus_, 0);
  return static_cast<int>(
      std::min<std::int64_t>(Input.Tasks_, Available / Input.TaskMilliCpus_));
}

} // namespace damaskglade::dispatch
