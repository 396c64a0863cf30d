#include "records/retry.h"

#include <algorithm>

namespace damaskglade::records {

namespace {

// Prevents an overflow of the shift; 50 ms doubled 20 times is far above any
// upper bound of the delay.
constexpr int MaxDoublings = 20;

} // namespace

Millis retryDelay(const DelayRange &Range, int Retry, std::mt19937_64 &Random) {
  const int Doublings = std::clamp(Retry - 1, 0, MaxDoublings);
  const std::int64_t Doubled =
      Range.Min_.Value_ * (std::int64_t{1} << Doublings);
  const std::int64_t Upper = std::min(Doubled, Range.Max_.Value_);
  const std::int64_t Lower =
      std::min(std::max(Upper / 2, Range.Min_.Value_), Upper);
  return Millis{
      std::uniform_int_distribution<std::int64_t>(Lower, Upper)(Random)};
}

void recordFirstTry(RetryBudget &Budget) {
  Budget.Tokens_ =
      std::min(Budget.Tokens_ + Budget.Fraction_, Budget.MaxTokens_);
}

std::string_view retryVerdictName(RetryVerdict Value) {
  switch (Value) {
  case RetryVerdict::Retry:
    return "retry";
  case RetryVerdict::NotTransient:
    return "not_transient";
  case RetryVerdict::MayHaveRun:
    return "may_have_run";
  case RetryVerdict::DeadlineReached:
    return "deadline_reached";
  case RetryVerdict::BudgetExhausted:
    return "budget_exhausted";
  }
  return "not_transient";
}

bool isTransient(Reason Cause) {
  switch (Cause) {
  case Reason::NoCapacity:
  case Reason::NotOwner:
  case Reason::StaleEpoch:
  case Reason::StartExpired:
  case Reason::WorkerLeaving:
  case Reason::WorkerFull:
  case Reason::WorkerQuarantined:
  case Reason::StartFailed:
  case Reason::TableUnavailable:
  case Reason::ObjectStoreUnavailable:
  case Reason::ShuttingDown:
  case Reason::NotReady:
  case Reason::ConnectFailed:
  case Reason::Timeout:
  case Reason::AnswerTruncated:
  case Reason::AnswerLost:
  case Reason::AttemptLost:
    return true;
  default:
    return false;
  }
}

RetryDecision mayRetry(const Error &Failure, bool Idempotent, Millis Deadline,
                       RetryBudget &Budget, Millis Now) {
  if (!isTransient(Failure.Reason_))
    return {RetryVerdict::NotTransient, Failure.Reason_, {}};
  if (Failure.Effect_ != Effect::None && !Idempotent)
    return {RetryVerdict::MayHaveRun, Failure.Reason_, {}};
  const bool HasDeadline = Deadline != Millis{};
  if (HasDeadline && Now >= Deadline)
    return {RetryVerdict::DeadlineReached, Reason::DeadlineUnreachable, {}};
  if (Budget.Tokens_ < 1.0)
    return {RetryVerdict::BudgetExhausted, Reason::RetryBudgetExhausted, {}};
  Budget.Tokens_ -= 1.0;
  return {RetryVerdict::Retry, Failure.Reason_,
          HasDeadline ? Deadline - Now : Millis{}};
}

} // namespace damaskglade::records
