#include "records/retry.h"
#include "records/token_bucket.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::records;

namespace {

Error failure(Reason Cause, Effect FailedEffect) {
  return Error{Cause, FailedEffect, "start", "w1", ""};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retry)

// Guards against work that runs twice and against endless retries.
BOOST_AUTO_TEST_CASE(RetriesOnlyWhatIsSafeAndInTime) {
  RetryBudget Budget;
  const Millis Now{1000};
  const auto Decide = [&](Reason Cause, Effect FailedEffect, bool Idempotent,
                          Millis Deadline) {
    return mayRetry(failure(Cause, FailedEffect), Idempotent, Deadline, Budget,
                    Now);
  };
  const RetryDecision Allowed =
      Decide(Reason::WorkerFull, Effect::None, false, Millis{1500});
  BOOST_TEST(Allowed.allowed());
  BOOST_TEST(Allowed.Remaining_.Value_ == 500);
  BOOST_TEST((Allowed.Reason_ == Reason::WorkerFull));
  BOOST_TEST(
      (Decide(Reason::Timeout, Effect::Unknown, false, Millis{}).Verdict_ ==
       RetryVerdict::MayHaveRun));
  BOOST_TEST(
      Decide(Reason::Timeout, Effect::Unknown, true, Millis{}).allowed());
  BOOST_TEST(
      (Decide(Reason::NeverFits, Effect::None, true, Millis{}).Verdict_ ==
       RetryVerdict::NotTransient));
  const RetryDecision Late =
      Decide(Reason::WorkerFull, Effect::None, true, Millis{1000});
  BOOST_TEST((Late.Verdict_ == RetryVerdict::DeadlineReached));
  BOOST_TEST((Late.Reason_ == Reason::DeadlineUnreachable));
}

// Guards against retries that multiply the load of an overloaded fleet.
BOOST_AUTO_TEST_CASE(BudgetLimitsRetriesToFractionOfFirstTries) {
  RetryBudget Budget;
  int Retries = 0;
  for (int Try = 0; Try < 10000; ++Try) {
    recordFirstTry(Budget);
    while (mayRetry(failure(Reason::WorkerFull, Effect::None), true, Millis{},
                    Budget, Millis{})
               .allowed())
      ++Retries;
  }
  BOOST_TEST(Retries >= 1000);
  BOOST_TEST(Retries <= 1020);
}

// Guards against delays outside their range and against callers that retry in
// lockstep.
BOOST_AUTO_TEST_CASE(DelayGrowsWithinItsBounds) {
  std::mt19937_64 Random(7);
  const DelayRange Range;
  Millis Largest;
  for (int Retry = 1; Retry < 100; ++Retry) {
    const Millis Delay = retryDelay(Range, Retry, Random);
    BOOST_TEST(Delay.Value_ >= 50);
    BOOST_TEST(Delay.Value_ <= 2000);
    if (Retry >= 7)
      BOOST_TEST(Delay.Value_ >= 1000);
    Largest = std::max(Largest, Delay);
  }
  BOOST_TEST(Largest.Value_ > 1500);
  BOOST_TEST((retryDelay(Range, 9, Random) != retryDelay(Range, 9, Random)));
}

// Guards against a call rate above the rate limit of a node.
BOOST_AUTO_TEST_CASE(TokenBucketLimitsRate) {
  TokenBucket Bucket = makeTokenBucket(33, Millis{});
  int Taken = 0;
  for (Millis Now; Now < Millis{10000}; Now = Now + Millis{1})
    Taken += takeToken(Bucket, Now) == Millis{} ? 1 : 0;
  BOOST_TEST(Taken >= 360);
  BOOST_TEST(Taken <= 363);
}

BOOST_AUTO_TEST_SUITE_END()
