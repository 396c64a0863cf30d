#ifndef DAMASKGLADE_RECORDS_RETRY_H
#define DAMASKGLADE_RECORDS_RETRY_H

#include "core/clock.h"
#include "core/error.h"

#include <random>
#include <string_view>

namespace damaskglade::records {

/// Range of the delay before a retry.
struct DelayRange {
  Millis Min_{50};
  Millis Max_{2000};

  friend bool operator==(const DelayRange &, const DelayRange &) = default;
};

/// Delay before retry number Retry (1 is the first). The upper bound doubles
/// from Min_ up to Max_; the delay is drawn uniformly from its upper half, but
/// is at least Min_.
Millis retryDelay(const DelayRange &Range, int Retry, std::mt19937_64 &Random);

/// Token budget that bounds retries to a fraction of first tries: first tries
/// earn tokens, retries consume them. Not thread-safe.
struct RetryBudget {
  double Fraction_ = 0.1;   ///< Tokens earned by each first try.
  double MaxTokens_ = 20.0; ///< Largest burst of retries.
  double Tokens_ = 20.0;

  friend bool operator==(const RetryBudget &, const RetryBudget &) = default;
};

/// Credits the budget for one first try.
void recordFirstTry(RetryBudget &Budget);

enum class RetryVerdict {
  Retry,
  NotTransient,    ///< Another try would fail in the same way.
  MayHaveRun,      ///< May have run, and is not idempotent.
  DeadlineReached, ///< The deadline has passed.
  BudgetExhausted,
};

std::string_view retryVerdictName(RetryVerdict Value);

struct RetryDecision {
  RetryVerdict Verdict_ = RetryVerdict::NotTransient;
  /// For metrics: the cause of the retry, or the reason why it is denied.
  Reason Reason_ = Reason::Internal;
  Millis Remaining_{}; ///< Until the deadline; zero without one.

  bool allowed() const { return Verdict_ == RetryVerdict::Retry; }
  friend bool operator==(const RetryDecision &,
                         const RetryDecision &) = default;
};

/// True if another try, possibly on another target, may succeed.
bool isTransient(Reason Cause);

/// Decides whether to retry, and takes a token from the budget if so. Deadline
/// and Now are times of the same clock; a zero deadline means none.
RetryDecision mayRetry(const Error &Failure, bool Idempotent, Millis Deadline,
                       RetryBudget &Budget, Millis Now);

} // namespace damaskglade::records

#endif
