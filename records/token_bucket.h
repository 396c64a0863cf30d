#ifndef DAMASKGLADE_RECORDS_TOKEN_BUCKET_H
#define DAMASKGLADE_RECORDS_TOKEN_BUCKET_H

#include "core/clock.h"

namespace damaskglade::records {

/// Token bucket rate limiter. Not thread-safe.
struct TokenBucket {
  double PerSecond_ = 1.0;
  double Capacity_ = 1.0; ///< Largest burst.
  double Tokens_ = 1.0;
  Millis Updated_{}; ///< Monotonic time of the last refill.

  friend bool operator==(const TokenBucket &, const TokenBucket &) = default;
};

/// A full bucket with the capacity of one second of tokens, at least one.
TokenBucket makeTokenBucket(double PerSecond, Millis Now);

/// Takes one token. Returns zero on success, otherwise the time until a token
/// is available.
Millis takeToken(TokenBucket &Bucket, Millis Now);

} // namespace damaskglade::records

#endif
