#ifndef DAMASKGLADE_RECORDS_TOKEN_BUCKET_H
#define DAMASKGLADE_RECORDS_TOKEN_BUCKET_H

#include "core/clock.h"

namespace damaskglade::records {

/// Rate limit. Callers that share one between threads guard it by their lock.
struct TokenBucket {
  double PerSecond_ = 1.0;
  double Capacity_ = 1.0; ///< Largest burst.
  double Tokens_ = 1.0;
  Millis Updated_{}; ///< Monotonic time of the last refill.

  friend bool operator==(const TokenBucket &, const TokenBucket &) = default;
};

/// A full bucket that holds the tokens of one second, at least one.
TokenBucket makeTokenBucket(double PerSecond, Millis Now);

/// Takes one token. Returns zero if it was there, otherwise the time to wait
/// before the next attempt.
Millis takeToken(TokenBucket &Bucket, Millis Now);

} // namespace damaskglade::records

#endif
