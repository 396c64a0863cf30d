#include "records/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::records {

namespace {

constexpr double MillisPerSecond = 1000.0;

} // namespace

TokenBucket makeTokenBucket(double PerSecond, Millis Now) {
  const double Capacity = std::max(PerSecond, 1.0);
  return {PerSecond, Capacity, Capacity, Now};
}

Millis takeToken(TokenBucket &Bucket, Millis Now) {
  const auto Elapsed = static_cast<double>((Now - Bucket.Updated_).Value_);
  Bucket.Tokens_ =
      std::min(Bucket.Capacity_,
               Bucket.Tokens_ + Elapsed * Bucket.PerSecond_ / MillisPerSecond);
  Bucket.Updated_ = Now;
  if (Bucket.Tokens_ >= 1.0) {
    Bucket.Tokens_ -= 1.0;
    return Millis{};
  }
  const double Missing = 1.0 - Bucket.Tokens_;
  return Millis{static_cast<std::int64_t>(
      std::ceil(Missing * MillisPerSecond / Bucket.PerSecond_))};
}

} // namespace damaskglade::records
