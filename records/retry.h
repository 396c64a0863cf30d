#ifndef DAMASKGLADE_RECORDS_RETRY_H
#define DAMASKGLADE_RECORDS_RETRY_H

#include "core/clock.h"
#include "core/error.h"

#include <random>
#include <string_view>

namespace damaskglade::records {

/// Bounds of the delay before a retry.
struct DelayRange {
  Millis Min_{50};
  Millis Max_{2000};

  friend bool operator==(const DelayRange &, const DelayRange &) = default;
};

/// Delay before retry number Retry (1 is the first): doubles from Min_ up to
/// Max_, uniformly drawn from the upper half of that.
Millis retryDelay(const DelayRange &Range, int Retry, std::mt19937_64 &Random);

/// Tokens that retries consume and first tries earn. Callers that share a
/// budget between threads guard it by their own lock.
struct RetryBudget {
  double Fraction_ = 0.1;   ///< Tokens earned by a first try.
  double MaxTokens_ = 20.0; ///< Retries that may follow each other in a burst.
  double Tokens_ = 20.0;

  friend bool operator==(const RetryBudget &, const RetryBudget &) = default;
};

/// Credits the budget with one first try.
void recordFirstTry(RetryBudget &Budget);

enum class RetryVerdict {
  Retry,
  NotTransient,    ///< The same request would be refused again.
  MayHaveRun,      ///< It may have run and must not run twice.
  DeadlineReached, ///< No time is left before the deadline.
  BudgetExhausted,
};

std::string_view retryVerdictName(RetryVerdict Value);

struct RetryDecision {
  RetryVerdict Verdict_ = RetryVerdict::NotTransient;
  /// For counters: the cause of the retry, or why there is none.
  Reason Reason_ = Reason::Internal;
  Millis Remaining_{}; ///< Time to the deadline; zero without a deadline.

  bool allowed() const { return Verdict_ == RetryVerdict::Retry; }
  friend bool operator==(const RetryDecision &,
                         const RetryDecision &) = default;
};

/// True if another try, perhaps elsewhere, may succeed.
bool isTransient(Reason Why);

/// Decides on a retry and takes a token from the budget if it allows it.
/// Deadline and Now are points of the same clock; a zero deadline means none.
RetryDecision mayRetry(const Error &Failure, bool Idempotent, Millis Deadline,
                       RetryBudget &Budget, Millis Now);

} // namespace damaskglade::records

#endif
