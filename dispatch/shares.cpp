#include "dispatch/shares.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

namespace {

constexpr double MillisPerSecond = 1000;
constexpr double BurstSeconds = 2;
constexpr double MinBurst = 2;

} // namespace

double shareBurst(double Weight) {
  return std::max(Weight * BurstSeconds, MinBurst);
}

ShareDecision decideShare(ShareBucket &Bucket, double Weight, bool FleetIsFull,
                          Millis Now) {
  if (Weight <= 0)
    return {};
  const double Burst = shareBurst(Weight);
  if (!Bucket.Started_)
    Bucket = ShareBucket{true, Burst, Now};
  const double Elapsed = static_cast<double>((Now - Bucket.FilledAt_).Value_);
  Bucket.Tokens_ =
      std::min(Burst, Bucket.Tokens_ + Weight * Elapsed / MillisPerSecond);
  Bucket.FilledAt_ = Now;
  if (Bucket.Tokens_ >= 1) {
    Bucket.Tokens_ -= 1;
    return {};
  }
  if (!FleetIsFull)
    return ShareDecision{ShareVerdict::OverShare, Millis{}};
  return ShareDecision{ShareVerdict::Rejected,
                       Millis{std::max<std::int64_t>(
                           std::llround(std::ceil((1 - Bucket.Tokens_) /
                                                  Weight * MillisPerSecond)),
                           1)}};
}

double dominantShare(const Size &Used, const Size &Capacity) {
  const auto ShareOf = [](std::int64_t InUse, std::int64_t All) {
    return All > 0 ? static_cast<double>(InUse) / static_cast<double>(All) : 0;
  };
  return std::max({ShareOf(Used.MilliCpus_, Capacity.MilliCpus_),
                   ShareOf(Used.MemoryMib_, Capacity.MemoryMib_),
                   ShareOf(Used.Accelerators_, Capacity.Accelerators_)});
}

int shareLevel(double DominantShare, double Weight, double SumOfWeights) {
  if (Weight <= 0 || SumOfWeights <= 0)
    return 0;
  const double Part = Weight / SumOfWeights;
  if (DominantShare <= Part)
    return 0;
  return DominantShare <= 2 * Part ? 1 : 2;
}

} // namespace damaskglade::dispatch
