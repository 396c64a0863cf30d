#include "tests/node/shard_fixture.h"

#include <algorithm>

using namespace damaskglade;
using namespace damaskglade::node;

BOOST_FIXTURE_TEST_SUITE(OwnedShardStarts, ShardFixture)

// Guards against work on a worker whose running tasks are not yet known.
BOOST_AUTO_TEST_CASE(UnlistedWorkerGetsNoWork) {
  BOOST_TEST(reserve(requestFor("job")).empty());
  const std::vector<RenewalPlan> Plans = due();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  BOOST_TEST(Plans.front().Request_.List_);
  BOOST_TEST(reserve(requestFor("job")).empty());
  Shard_.applyRenewal(Plans.front(), replyOf(Plans.front()), now());
  BOOST_TEST(reserve(requestFor("job")).size() == 1U);
}

// Guards against room that stays held forever, and against a start for which
// no room is held any more.
BOOST_AUTO_TEST_CASE(ExpiredHoldIsRefusedAsNotRun) {
  exchange();
  const std::vector<Attempt> Held = reserve(requestFor("job", TasksPerWorker));
  BOOST_REQUIRE_EQUAL(Held.size(), 4U);
  advance(shardSettings().HoldTime_);
  Shard_.dropExpiredHolds(now());
  BOOST_TEST((worker().Free_ == Resources{}));
  advance(Millis{1});
  Shard_.dropExpiredHolds(now());
  BOOST_TEST((worker().Free_ == WorkerCapacity));
  const auto Late = begin("job", Held.front());
  BOOST_REQUIRE(!Late);
  BOOST_TEST((Late.error().Reason_ == Reason::NoCapacity));
  BOOST_TEST((Late.error().Effect_ == Effect::None));
}

// Guards against a start after the owner's right may have ended.
BOOST_AUTO_TEST_CASE(StartAfterStartByIsRefused) {
  exchange();
  const std::vector<Attempt> InTime = reserve(requestFor("in-time"));
  const std::vector<Attempt> Late = reserve(requestFor("late"));
  BOOST_REQUIRE_EQUAL(InTime.size(), 1U);
  BOOST_REQUIRE_EQUAL(Late.size(), 1U);
  advance(StartTime);
  const auto Started = begin("in-time", InTime.front());
  BOOST_REQUIRE(Started);
  BOOST_TEST((Started.value().Request_.StartBy_ == InTime.front().StartBy_));
  BOOST_TEST(Started.value().Request_.Epoch_ == 7);
  advance(Millis{1});
  const auto Refused = begin("late", Late.front());
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::StartExpired));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
  BOOST_TEST(worker().Free_.Slots_ == 3);
}

// Guards against one attempt that is started twice.
BOOST_AUTO_TEST_CASE(SecondStartOfAnAttemptIsRefused) {
  exchange();
  const std::vector<Attempt> Held = reserve(requestFor("job"));
  BOOST_REQUIRE_EQUAL(Held.size(), 1U);
  BOOST_TEST(begin("job", Held.front()).has_value());
  BOOST_TEST(!begin("job", Held.front()));
}

// Guards against work that a planned stop would interrupt: neither new room
// nor a start for room held earlier is given on a leaving worker.
BOOST_AUTO_TEST_CASE(LeavingWorkerGetsNoStart) {
  exchange();
  const std::vector<Attempt> Held = reserve(requestFor("held"));
  BOOST_REQUIRE_EQUAL(Held.size(), 1U);
  Shard_.setWorkers({workerVm("w1", true)}, now());
  BOOST_TEST(reserve(requestFor("new")).empty());
  const auto Refused = begin("held", Held.front());
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::WorkerLeaving));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
}

// Guards against a home that counts an attempt as not run while its start can
// still be sent.
BOOST_AUTO_TEST_CASE(StatusOfHeldAttemptReleasesIt) {
  exchange();
  const std::vector<Attempt> Held = reserve(requestFor("job"));
  BOOST_REQUIRE_EQUAL(Held.size(), 1U);
  const auto Status = statusOf("job", Held.front());
  BOOST_REQUIRE(Status);
  BOOST_TEST((Status->Verdict_ == OwnerVerdict::NotRun));
  BOOST_TEST((worker().Free_ == WorkerCapacity));
  const auto Late = begin("job", Held.front());
  BOOST_REQUIRE(!Late);
  BOOST_TEST((Late.error().Effect_ == Effect::None));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OwnedShardLeases, ShardFixture)

// Guards against an end that is counted twice, which would free room twice
// and give the worker two outcomes.
BOOST_AUTO_TEST_CASE(RepeatedCompletionEndsOnce) {
  exchange();
  const std::string Id = run("job");
  BOOST_TEST(Shard_.applyReport("w1", finishedReport(Id)));
  BOOST_TEST((worker().Free_ == WorkerCapacity));
  const std::string Next = run("next");
  advance(RenewInterval);
  for (const RenewalPlan &Plan : due())
    Shard_.applyRenewal(Plan, replyOf(Plan, {}, {finishedReport(Id, false)}),
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
  const std::vector<RenewalPlan> Plans = due();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  BOOST_TEST((Plans.front().Request_.Acked_ == std::vector<std::string>{Id}));
}

// Guards against new work on an unreachable worker, and against a lease that
// is renewed there forever.
BOOST_AUTO_TEST_CASE(TwoMissesStopWorkAndLease) {
  exchange();
  run("job");
  advance(RenewInterval);
  std::vector<RenewalPlan> Plans = due();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  const RenewalPlan First = Plans.front();
  Shard_.failRenewal(Plans.front(), now());
  BOOST_TEST(worker().Listed_);
  advance(RenewInterval);
  Plans = due();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  const Millis LeaseEnd = Plans.front().Request_.LeaseEnd_;
  BOOST_TEST((LeaseEnd == Clock_.wall() + shardSettings().RunLease_));
  Shard_.failRenewal(Plans.front(), now());
  BOOST_TEST(!worker().Listed_);
  BOOST_TEST(reserve(requestFor("new")).empty());
  advance(RenewInterval);
  Plans = due();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  BOOST_TEST((Plans.front().Request_.LeaseEnd_ == LeaseEnd));
  BOOST_TEST(Plans.front().Request_.List_);
  // A late reply without a listing does not make the worker known again.
  BOOST_REQUIRE(!First.Request_.List_);
  Shard_.applyRenewal(First, replyOf(First), now());
  BOOST_TEST(!worker().Listed_);
}

// Guards against a task that is placed again while the unreachable worker
// may still run it. The last exchange is in flight when the lease ends.
BOOST_AUTO_TEST_CASE(TasksAreLostOnlyAfterLeaseAndClockError) {
  exchange();
  run("job");
  Millis LeaseEnd;
  for (int Miss = 0; Miss < 2; ++Miss) {
    advance(RenewInterval);
    for (const RenewalPlan &Plan : due()) {
      LeaseEnd = Plan.Request_.LeaseEnd_;
      Shard_.failRenewal(Plan, now());
    }
  }
  advance(LeaseEnd - Clock_.wall());
  const std::vector<RenewalPlan> Plans = due();
  BOOST_REQUIRE_EQUAL(Plans.size(), 1U);
  advance(shardSettings().ClockError_);
  Shard_.failRenewal(Plans.front(), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Running));
  advance(Millis{1});
  Shard_.failRenewal(Plans.front(), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Lost));
}

// Guards against tasks of a dead worker that are never placed again: calls to
// a stopped process fail at once, so no exchange spans the end of the lease.
BOOST_AUTO_TEST_CASE(TasksAreLostIfExchangesFailAtOnce) {
  exchange();
  run("job");
  const Millis Limit = Clock_.wall() + shardSettings().RunLease_ +
                       RenewInterval * 4 + shardSettings().ClockError_;
  while (Clock_.wall() < Limit) {
    advance(RenewInterval);
    for (const RenewalPlan &Plan : due())
      Shard_.failRenewal(Plan, now());
  }
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Lost));
}

// Guards against a second run of a task that started while a listing was
// under way.
BOOST_AUTO_TEST_CASE(TaskConfirmedAfterListingLeftIsKept) {
  exchange();
  const RenewalPlan Plan = dueListing();
  advance(Millis{1});
  run("job");
  advance(Millis{1});
  Shard_.applyRenewal(Plan, replyOf(Plan), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Running));
  const RenewalPlan Next = dueListing();
  Shard_.applyRenewal(Next, replyOf(Next), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Lost));
}

// Guards against a start of unknown effect that is written off by a listing
// which the worker made before the start arrived: the reply comes after
// start_by, but the request left before it.
BOOST_AUTO_TEST_CASE(ListingBeforeStartByProvesNothing) {
  exchange();
  const RenewalPlan Plan = dueListing();
  const std::vector<Attempt> Held = reserve(requestFor("job"));
  BOOST_REQUIRE_EQUAL(Held.size(), 1U);
  BOOST_REQUIRE(begin("job", Held.front()));
  Shard_.leaveUnresolved(attemptId("job", Held.front()));
  advance(StartTime + shardSettings().ClockError_ + Millis{1});
  Shard_.applyRenewal(Plan, replyOf(Plan), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Pending));
  const RenewalPlan Next = dueListing();
  Shard_.applyRenewal(Next, replyOf(Next), now());
  BOOST_TEST(hasVerdict("job", OwnerVerdict::Lost));
}

// Guards against a new owner that places work over tasks that already run,
// and against room that is kept for a task which takes none.
BOOST_AUTO_TEST_CASE(TakeoverAdoptsListedTasks) {
  const std::vector<RunningTask> Running = {{"old.0.1", TaskSize, false},
                                            {"old.1.1", TaskSize, false},
                                            {"paused.0.1", TaskSize, true}};
  exchange(Running);
  BOOST_TEST(Shard_.taskCount() == 3U);
  BOOST_TEST((worker().Free_ == WorkerCapacity - TaskSize - TaskSize));
  BOOST_TEST(hasVerdict("old", OwnerVerdict::Running));
  BOOST_TEST(hasVerdict("paused", OwnerVerdict::Running));
  BOOST_TEST(reserve(requestFor("new", TasksPerWorker)).size() == 2U);
  // The home of an adopted task is not known to the new owner.
  BOOST_TEST(Shard_.applyReport("w1", finishedReport("old.0.1")));
  const std::vector<EndedTask> Ended = Shard_.dueNotices(now(), 10);
  BOOST_REQUIRE_EQUAL(Ended.size(), 1U);
  BOOST_TEST(Ended.front().Home_.empty());
  BOOST_TEST(Ended.front().Job_ == "old");
}

BOOST_AUTO_TEST_SUITE_END()
