#include "tests/node/shard_fixture.h"

#include <algorithm>

using namespace damaskglade;
using namespace damaskglade::node;

BOOST_FIXTURE_TEST_SUITE(OwnedShardStarts, ShardFixture)

// Guards against placements on a worker whose running tasks are not yet known.
BOOST_AUTO_TEST_CASE(UnlistedWorkerGetsNoWork) {
  BOOST_TEST(reserve(makeReserveRequest("job")).empty());
  const std::vector<RenewalPlan> Plans = dueRenewals();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  BOOST_TEST(Plans.front().Request_.List_);
  BOOST_TEST(reserve(makeReserveRequest("job")).empty());
  Shard_.applyRenewal(Plans.front(), replyTo(Plans.front()), now());
  BOOST_TEST(reserve(makeReserveRequest("job")).size() == 1U);
}

// Guards against reserved capacity that is never released, and against starts
// whose reservation has expired.
BOOST_AUTO_TEST_CASE(ExpiredHoldIsRefusedAsNotRun) {
  renewLeases();
  const std::vector<Attempt> Reserved =
      reserve(makeReserveRequest("job", TasksPerWorker));
  BOOST_REQUIRE_EQUAL(Reserved.size(), 4U);
  advance(shardSettings().HoldTime_);
  Shard_.dropExpiredHolds(now());
  BOOST_TEST((worker().Free_ == Resources{}));
  advance(Millis{1});
  Shard_.dropExpiredHolds(now());
  BOOST_TEST((worker().Free_ == WorkerCapacity));
  const auto Late = beginStart("job", Reserved.front());
  BOOST_REQUIRE(!Late);
  BOOST_TEST((Late.error().Reason_ == Reason::NoCapacity));
  BOOST_TEST((Late.error().Effect_ == Effect::None));
}

// Guards against a start after the ownership of the shard may have ended.
BOOST_AUTO_TEST_CASE(StartAfterStartByIsRefused) {
  renewLeases();
  const std::vector<Attempt> InTime = reserve(makeReserveRequest("in-time"));
  const std::vector<Attempt> Late = reserve(makeReserveRequest("late"));
  BOOST_REQUIRE_EQUAL(InTime.size(), 1U);
  BOOST_REQUIRE_EQUAL(Late.size(), 1U);
  advance(StartTime);
  const auto Started = beginStart("in-time", InTime.front());
  BOOST_REQUIRE(Started);
  BOOST_TEST((Started.value().Request_.StartBy_ == InTime.front().StartBy_));
  BOOST_TEST(Started.value().Request_.Epoch_ == 7);
  advance(Millis{1});
  const auto Refused = beginStart("late", Late.front());
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::StartExpired));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
  BOOST_TEST(worker().Free_.Slots_ == 3);
}

// Guards against attempts that are started twice.
BOOST_AUTO_TEST_CASE(SecondStartOfAnAttemptIsRefused) {
  renewLeases();
  const std::vector<Attempt> Reserved = reserve(makeReserveRequest("job"));
  BOOST_REQUIRE_EQUAL(Reserved.size(), 1U);
  BOOST_TEST(beginStart("job", Reserved.front()).has_value());
  BOOST_TEST(!beginStart("job", Reserved.front()));
}

// Guards against work that a planned stop would interrupt: a leaving worker
// gets neither new reservations nor starts for earlier reservations.
BOOST_AUTO_TEST_CASE(LeavingWorkerGetsNoStart) {
  renewLeases();
  const std::vector<Attempt> Reserved = reserve(makeReserveRequest("held"));
  BOOST_REQUIRE_EQUAL(Reserved.size(), 1U);
  Shard_.setWorkers({workerVm("w1", true)}, now());
  BOOST_TEST(reserve(makeReserveRequest("new")).empty());
  const auto Refused = beginStart("held", Reserved.front());
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::WorkerLeaving));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
}

// Guards against a home that treats an attempt as not run although its start
// can still be sent.
BOOST_AUTO_TEST_CASE(StatusOfHeldAttemptReleasesIt) {
  renewLeases();
  const std::vector<Attempt> Reserved = reserve(makeReserveRequest("job"));
  BOOST_REQUIRE_EQUAL(Reserved.size(), 1U);
  const auto Status = statusOf("job", Reserved.front());
  BOOST_REQUIRE(Status);
  BOOST_TEST((Status->Verdict_ == OwnerVerdict::NotRun));
  BOOST_TEST((worker().Free_ == WorkerCapacity));
  const auto Late = beginStart("job", Reserved.front());
  BOOST_REQUIRE(!Late);
  BOOST_TEST((Late.error().Effect_ == Effect::None));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OwnedShardLeases, ShardFixture)

// Guards against a completion that is counted twice, which would free its
// capacity twice and record two outcomes for the worker.
BOOST_AUTO_TEST_CASE(RepeatedCompletionEndsOnce) {
  renewLeases();
  const std::string Id = startTask("job");
  BOOST_TEST(Shard_.applyReport("w1", finishedReport(Id)));
  BOOST_TEST((worker().Free_ == WorkerCapacity));
  const std::string Next = startTask("next");
  advance(RenewInterval);
  for (const RenewalPlan &Plan : dueRenewals())
    Shard_.applyRenewal(Plan, replyTo(Plan, {}, {finishedReport(Id, false)}),
                        now());
  BOOST_TEST(worker().Free_.Slots_ == TasksPerWorker - 1);
  BOOST_TEST(Shard_.takeOutcomes().size() == 1U);
  const std::vector<EndedTask> Ended = Shard_.dueNotices(now(), 10);
  BOOST_REQUIRE_EQUAL(Ended.size(), 1U);
  BOOST_TEST(Ended.front().Attempt_ == Id);
  BOOST_TEST(Ended.front().Home_ == "home");
  BOOST_TEST(Ended.front().Status_.Answer_.Ok_);
  Shard_.acknowledge(Id);
  advance(RenewInterval);
  BOOST_TEST(Shard_.dueNotices(now(), 10).empty());
  const std::vector<RenewalPlan> Plans = dueRenewals();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  BOOST_TEST((Plans.front().Request_.Acked_ == std::vector<std::string>{Id}));
}

// Guards against new work on an unreachable worker, and against endless renewal
// of its lease.
BOOST_AUTO_TEST_CASE(TwoMissesStopPlacementAndRenewal) {
  renewLeases();
  startTask("job");
  advance(RenewInterval);
  std::vector<RenewalPlan> Plans = dueRenewals();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  const RenewalPlan First = Plans.front();
  Shard_.failRenewal(Plans.front(), now());
  BOOST_TEST(worker().Listed_);
  advance(RenewInterval);
  Plans = dueRenewals();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  const Millis LeaseEnd = Plans.front().Request_.LeaseEnd_;
  BOOST_TEST((LeaseEnd == Clock_.wall() + shardSettings().RunLease_));
  Shard_.failRenewal(Plans.front(), now());
  BOOST_TEST(!worker().Listed_);
  BOOST_TEST(reserve(makeReserveRequest("new")).empty());
  advance(RenewInterval);
  Plans = dueRenewals();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  BOOST_TEST((Plans.front().Request_.LeaseEnd_ == LeaseEnd));
  BOOST_TEST(Plans.front().Request_.List_);
  // A late reply without a listing does not make the worker known again.
  BOOST_REQUIRE(!First.Request_.List_);
  Shard_.applyRenewal(First, replyTo(First), now());
  BOOST_TEST(!worker().Listed_);
}

// Guards against a task that is placed again while the unreachable worker may
// still be running it. The last exchange is in flight when the lease ends.
BOOST_AUTO_TEST_CASE(TasksAreLostOnlyAfterLeaseAndClockError) {
  renewLeases();
  startTask("job");
  Millis LeaseEnd;
  for (int Miss = 0; Miss < 2; ++Miss) {
    advance(RenewInterval);
    for (const RenewalPlan &Plan : dueRenewals()) {
      LeaseEnd = Plan.Request_.LeaseEnd_;
      Shard_.failRenewal(Plan, now());
    }
  }
  advance(LeaseEnd - Clock_.wall());
  const std::vector<RenewalPlan> Plans = dueRenewals();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  advance(shardSettings().ClockError_);
  Shard_.failRenewal(Plans.front(), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Running));
  advance(Millis{1});
  Shard_.failRenewal(Plans.front(), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Lost));
}

// Guards against tasks of a failed worker that are never placed again: calls to
// a stopped process fail immediately, so no exchange spans the end of the
// lease.
BOOST_AUTO_TEST_CASE(TasksAreLostIfExchangesFailAtOnce) {
  renewLeases();
  startTask("job");
  const Millis Limit = Clock_.wall() + shardSettings().RunLease_ +
                       RenewInterval * 4 + shardSettings().ClockError_;
  while (Clock_.wall() < Limit) {
    advance(RenewInterval);
    for (const RenewalPlan &Plan : dueRenewals())
      Shard_.failRenewal(Plan, now());
  }
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Lost));
}

// Guards against a second run of a task that started while a listing was in
// flight.
BOOST_AUTO_TEST_CASE(TaskConfirmedAfterListingLeftIsKept) {
  renewLeases();
  const RenewalPlan Plan = nextListingRenewal();
  advance(Millis{1});
  startTask("job");
  advance(Millis{1});
  Shard_.applyRenewal(Plan, replyTo(Plan), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Running));
  const RenewalPlan Next = nextListingRenewal();
  Shard_.applyRenewal(Next, replyTo(Next), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Lost));
}

// Guards against a start of unknown effect that is declared lost because of a
// listing that the worker made before the start arrived: the reply comes after
// start_by, but the request was sent before it.
BOOST_AUTO_TEST_CASE(ListingSentBeforeStartByIsInconclusive) {
  renewLeases();
  const RenewalPlan Plan = nextListingRenewal();
  const std::vector<Attempt> Reserved = reserve(makeReserveRequest("job"));
  BOOST_REQUIRE_EQUAL(Reserved.size(), 1U);
  BOOST_REQUIRE(beginStart("job", Reserved.front()));
  Shard_.leaveUnresolved(attemptId("job", Reserved.front()));
  advance(StartTime + shardSettings().ClockError_ + Millis{1});
  Shard_.applyRenewal(Plan, replyTo(Plan), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Pending));
  const RenewalPlan Next = nextListingRenewal();
  Shard_.applyRenewal(Next, replyTo(Next), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Lost));
}

// Guards against a new owner that gives the capacity of running tasks to other
// work, and against capacity that is reserved for suspended tasks.
BOOST_AUTO_TEST_CASE(TakeoverAdoptsListedTasks) {
  const std::vector<RunningTask> Running = {{"old.0.1", TaskSize, false},
                                            {"old.1.1", TaskSize, false},
                                            {"paused.0.1", TaskSize, true}};
  renewLeases(Running);
  BOOST_TEST(Shard_.taskCount() == 3U);
  BOOST_TEST((worker().Free_ == WorkerCapacity - TaskSize - TaskSize));
  BOOST_TEST(hasVerdict("old", OwnerVerdict::Running));
  BOOST_TEST(hasVerdict("paused", OwnerVerdict::Running));
  BOOST_TEST(reserve(makeReserveRequest("new", TasksPerWorker)).size() == 2U);
  // The new owner does not know the home of an adopted task.
  BOOST_TEST(Shard_.applyReport("w1", finishedReport("old.0.1")));
  const std::vector<EndedTask> Ended = Shard_.dueNotices(now(), 10);
  BOOST_REQUIRE_EQUAL(Ended.size(), 1U);
  BOOST_TEST(Ended.front().Home_.empty());
  BOOST_TEST(Ended.front().Job_ == "old");
}

BOOST_AUTO_TEST_SUITE_END()
