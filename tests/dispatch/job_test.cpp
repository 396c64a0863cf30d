#include "tests/dispatch/fixture.h"

#include <limits>

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

BOOST_AUTO_TEST_SUITE(Job)

// Guards against fields that are lost when a specification is encoded into a
// row and decoded again.
BOOST_AUTO_TEST_CASE(SpecSurvivesRoundTrip) {
  StepSpec Step = makeStep(4, 500);
  Step.Checkpointing_ = true;
  Step.Gang_ = true;
  Step.Filler_ = true;
  Step.LongRunning_ = true;
  Step.Label_ = "b";
  Step.Rack_ = "r1";
  Step.MaxPerWorker_ = 2;
  Step.Image_ = "wash";
  Step.TargetLatency_ = Millis{70};
  Step.MaxUnavailable_ = 1;
  JobSpec Spec = makeJob("1", "batch", {Step, makeStep(1, 100, {0})});
  Spec.Accepted_ = Millis{77};
  QueuePolicy Policy;
  Policy.Service_ = "desk";
  Policy.Priority_ = 2;
  Policy.MaxAttempts_ = 3;
  Policy.SlackFactor_ = 1.5;
  Policy.Target_ = Millis{250};
  Policy.NeedsAdvice_ = true;
  Policy.AdviceBase_ = Millis{400};
  Policy.AdvicePerWorker_ = 0.25;
  Policy.TicketValid_ = Millis{2500};
  Spec.Policy_ = Policy;
  const auto Decoded = decodeSpec(Spec.Id_, encodeSpec(Spec));
  BOOST_TEST_REQUIRE(Decoded.has_value());
  BOOST_TEST((Decoded.value() == Spec));
}

BOOST_AUTO_TEST_CASE(ProgressSurvivesRoundTrip) {
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  Progress.Done_ = {{0, 2}, {}};
  Progress.FailedAttempts_[{0, 1}] = {1, 2001};
  Progress.CrashedAttempts_[{0, 0}] = {3, 1002};
  const auto Decoded = decodeProgress(encodeProgress(Progress));
  BOOST_TEST_REQUIRE(Decoded.has_value());
  BOOST_TEST((Decoded.value() == Progress));
}

// Guards against rows of large jobs that the store does not take, which kept it
// from taking those of any other job.
BOOST_AUTO_TEST_CASE(ProgressOfALargeJobFitsIntoARow) {
  constexpr int Tasks = 14800;
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  Progress.Done_.resize(2);
  for (int Index = 0; Index < Tasks; ++Index)
    if (Index % 7 != 3)
      Progress.Done_.back().push_back(Index);
  const std::string Row = encodeProgress(Progress);
  BOOST_TEST(Row.size() <= MaxRowBytes);
  const auto Decoded = decodeProgress(Row);
  BOOST_TEST_REQUIRE(Decoded.has_value());
  BOOST_TEST((Decoded.value() == Progress));
}

// The same if many tasks have failed: what does not fit is left out.
BOOST_AUTO_TEST_CASE(ProgressOfManyFailuresFitsIntoARow) {
  constexpr int Tasks = 9000;
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  Progress.Done_ = {{1, 2}};
  Progress.CrashedAttempts_[{0, Tasks}] = {7};
  for (int Index = 0; Index < Tasks; ++Index)
    Progress.FailedAttempts_[{0, Index}] = {1001, 1002, 1003};
  const std::string Row = encodeProgress(Progress);
  BOOST_TEST(Row.size() <= MaxRowBytes);
  const auto Decoded = decodeProgress(Row);
  BOOST_TEST_REQUIRE(Decoded.has_value());
  BOOST_TEST((Decoded.value().Done_ == Progress.Done_));
  BOOST_TEST((Decoded.value().CrashedAttempts_ == Progress.CrashedAttempts_));
  BOOST_TEST(Decoded.value().FailedAttempts_.size() > 1000U);
}

BOOST_AUTO_TEST_CASE(JobsBeyondAllBoundsAreRefused) {
  const JobSpec Most =
      makeJob("1", "batch", std::vector(5, makeStep(MaxTasksOfJob / 5, 1)));
  BOOST_TEST(checkSpec(Most).has_value());
  JobSpec Wide = Most;
  Wide.Steps_.push_back(makeStep(1, 1));
  BOOST_TEST(!checkSpec(Wide).has_value());
  JobSpec Large = makeJob("1", "batch", {makeStep(1, 1)});
  Large.Steps_.front().Size_.MilliCpus_ =
      std::numeric_limits<std::int64_t>::max();
  BOOST_TEST(!checkSpec(Large).has_value());
  JobSpec Long = makeJob("1", "batch", {makeStep(1, 1)});
  Long.Steps_.front().Estimate_ = MaxEstimate + Millis{1};
  BOOST_TEST(!checkSpec(Long).has_value());
  BOOST_TEST(checkSpecSize(std::string(MaxSpecBytes, ' ')).has_value());
  const Status TooLarge = checkSpecSize(std::string(MaxSpecBytes + 1, ' '));
  BOOST_TEST_REQUIRE(!TooLarge.has_value());
  BOOST_TEST((TooLarge.error().Reason_ == Reason::BodyTooLarge));
}

// Guards against a corrupted row that terminates the process.
BOOST_AUTO_TEST_CASE(CorruptedRowsAreErrors) {
  BOOST_TEST(!decodeSpec("1", "{\"s\":[[[]]]").has_value());
  BOOST_TEST(!decodeSpec("1", "{\"s\":[[\"x\"]]}").has_value());
  BOOST_TEST(!decodeProgress("{\"s\":99}").has_value());
  BOOST_TEST(!decodeProgress("{\"s\":0,\"d\":[\"0g\"]}").has_value());
  BOOST_TEST(!decodeProgress("").has_value());
}

BOOST_AUTO_TEST_CASE(TaskNamesAreChecked) {
  const auto Parsed = parseTaskName("5c0e7a21d94b36f8.0.1.17");
  BOOST_TEST_REQUIRE(Parsed.has_value());
  BOOST_TEST(taskName(Parsed.value()) == "5c0e7a21d94b36f8.0.1.17");
  for (const char *Name : {"", "abc", "abc.0.1", "abc.0.1.x", "abc.0.1.2.3",
                           "abc.1.1.1", "abc.0.-1.1"})
    BOOST_TEST(!parseTaskName(Name).has_value(), Name);
}

BOOST_AUTO_TEST_CASE(BadSpecsAreRefused) {
  BOOST_TEST(checkSpec(makeJob("1", "batch", {makeStep(1, 1)})).has_value());
  BOOST_TEST(!checkSpec(makeJob("1", "batch", {})).has_value());
  BOOST_TEST(!checkSpec(makeJob("1", "batch", {makeStep(0, 1)})).has_value());
  BOOST_TEST(
      !checkSpec(makeJob("1", "batch", {makeStep(1, 1, {0})})).has_value());
  BOOST_TEST(!checkSpec(makeJob("1", "batch", {makeStep(1, -1)})).has_value());
  JobSpec InvalidId = makeJob("1", "batch", {makeStep(1, 1)});
  InvalidId.Id_ = "../../etc/passwd";
  BOOST_TEST(!checkSpec(InvalidId).has_value());
}

BOOST_AUTO_TEST_CASE(ChainEstimateIsTheLongestPath) {
  const JobSpec Spec = makeJob(
      "1", "batch", {makeStep(1, 1), makeStep(1, 1, {0}), makeStep(1, 1, {0})});
  BOOST_TEST(criticalPathEstimate(Spec).Value_ == 2000);
}

BOOST_AUTO_TEST_SUITE_END()
