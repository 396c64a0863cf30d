#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

const Error Refused{Reason::ConnectFailed, Effect::None, "look", "w",
                    "refused"};

WorkerInfo drainingWorker(const std::string &Id) {
  WorkerInfo Info = makeWorker(Id);
  Info.Draining_ = true;
  return Info;
}

/// How the rows are to be closed that planning would close now.
std::vector<LeaseClosing> closeRows(DispatcherFixture &Fixture) {
  Fixture.Dispatcher_.closeLeaseRows(Millis{}, Fixture.Now_);
  std::vector<LeaseClosing> Closings;
  for (const std::string &Id : Fixture.Dispatcher_.takeWorkersToClose())
    if (const auto Closing = Fixture.Dispatcher_.leaseClosing(Id))
      Closings.push_back(*Closing);
  return Closings;
}

JobSpec restoreActiveJob(DispatcherFixture &Fixture, int Tasks) {
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  JobSpec Job = makeJob("1", "urgent", {makeStep(Tasks, 1000)});
  Fixture.Dispatcher_.restoreJob(Job, Progress, Fixture.Now_);
  return Job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseRows)

// Guards against a wait for workers that no earlier leader has used.
BOOST_AUTO_TEST_CASE(WorkerWithoutARowDelaysNoRestoredTask) {
  DispatcherFixture Fixture(2);
  restoreActiveJob(Fixture, 1);
  Fixture.Dispatcher_.setWorkers({makeWorker("w1"), makeWorker("w2")},
                                 Fixture.Now_);
  Fixture.Dispatcher_.restoreWorker(makeWorker("w1"));
  Fixture.Dispatcher_.finishRestore();
  Fixture.pollWorker("w1");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against tasks that run twice: the entry of an earlier process of their
// worker, written late, shows an address that the worker has left.
BOOST_AUTO_TEST_CASE(RowOfALaterProcessThanTheEntryDelaysItsRuns) {
  WorkerInfo Earlier = makeWorker("w1");
  Earlier.ProcessStart_ = 7;
  WorkerInfo Stored = makeWorker("w1");
  Stored.Address_ = "elsewhere:1";
  Stored.ProcessStart_ = 8;
  for (const bool IsEntryReadFirst : {true, false}) {
    DispatcherFixture Fixture(2);
    restoreActiveJob(Fixture, 1);
    const auto ReadEntries = [&] {
      Fixture.Dispatcher_.setWorkers({Earlier, makeWorker("w2")}, Fixture.Now_);
    };
    if (IsEntryReadFirst)
      ReadEntries();
    Fixture.Dispatcher_.restoreWorker(Stored);
    Fixture.Dispatcher_.finishRestore();
    ReadEntries();
    for (const WorkerInfo &Info : Fixture.Dispatcher_.takeUnrecordedWorkers())
      Fixture.Dispatcher_.markWorkerRecorded(Info.Id_, Info.Address_);
    Fixture.pollWorker("w2");
    BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
    BOOST_TEST(Fixture.Dispatcher_.findWorker("w1")->Info_.Address_ ==
               "elsewhere:1");
    Fixture.Dispatcher_.setWorkers({Stored, makeWorker("w2")}, Fixture.Now_);
    Fixture.pollWorker("w1", {}, 8);
    BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
  }
}

// Guards against a wait of tasks that cannot run on the worker.
BOOST_AUTO_TEST_CASE(ClosedRowDelaysOnlyItsOwnRuns) {
  DispatcherFixture Fixture(2);
  const JobSpec Job = restoreActiveJob(Fixture, 2);
  const Millis Expiry = Fixture.Now_ + Millis{5000};
  Fixture.Dispatcher_.restoreClosedWorker(
      makeWorker("gone"), ClosedLeases{Expiry, true, {taskNameOf(Job, 0, 1)}});
  Fixture.Dispatcher_.finishRestore();
  Fixture.addWorkers({makeWorker("w1")});
  const Actions Early = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Early.Starts_.size() == 1U);
  BOOST_TEST(Early.Starts_.front().Order_.Task_ == taskNameOf(Job, 0, 0));
  Fixture.advance(Expiry - Fixture.Now_ - Millis{2});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Millis{2});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ClosedRowWithoutKnownRunsDelaysAllTasks) {
  DispatcherFixture Fixture(2);
  restoreActiveJob(Fixture, 1);
  const Millis Expiry = Fixture.Now_ + Millis{5000};
  Fixture.Dispatcher_.restoreClosedWorker(makeWorker("gone"),
                                          ClosedLeases{Expiry, false, {}});
  Fixture.Dispatcher_.finishRestore();
  Fixture.addWorkers({makeWorker("w1")});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Expiry - Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a task that never starts again because its worker was removed.
BOOST_AUTO_TEST_CASE(ExpiredClosedRowOfAGoneWorkerReleasesItsRuns) {
  DispatcherFixture Fixture(2);
  const JobSpec Job = restoreActiveJob(Fixture, 1);
  Fixture.Dispatcher_.restoreClosedWorker(
      makeWorker("gone"),
      ClosedLeases{Fixture.Now_ + Millis{10}, true, {taskNameOf(Job, 0, 0)}});
  Fixture.Dispatcher_.finishRestore();
  Fixture.advance(Millis{20});
  Fixture.addWorkers({makeWorker("w1")});
  BOOST_TEST(Fixture.Dispatcher_.takeForgottenWorkers().size() == 1U);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a next leader that waits for a worker on which nothing runs.
BOOST_AUTO_TEST_CASE(RowOfADrainedWorkerIsRemovedOnceItIsEmpty) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.addWorkers({drainingWorker("w1")});
  BOOST_TEST(closeRows(Fixture).empty());
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Done);
  const auto Closings = closeRows(Fixture);
  BOOST_TEST_REQUIRE(Closings.size() == 1U);
  BOOST_TEST(!Closings.front().Leases_.has_value());
  BOOST_TEST((Fixture.Dispatcher_.grantLease("w1", Fixture.Now_) == Millis{}));
}

BOOST_AUTO_TEST_CASE(RowOfAnUnreachableWorkerNamesItsRuns) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(2, 1000)});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Done);
  Fixture.Dispatcher_.handlePollFailure("w1", Refused, Fixture.Now_);
  const auto Closings = closeRows(Fixture);
  BOOST_TEST_REQUIRE(Closings.size() == 1U);
  BOOST_TEST_REQUIRE(Closings.front().Leases_.has_value());
  const ClosedLeases &Leases = *Closings.front().Leases_;
  BOOST_TEST(Leases.RunsKnown_);
  BOOST_TEST_REQUIRE(Leases.Runs_.size() == 1U);
  BOOST_TEST(Leases.Runs_.front() == taskNameOf(Job, 0, 1));
  BOOST_TEST(
      (Leases.Expiry_ == Fixture.Dispatcher_.findWorker("w1")->LeaseExpiry_));
}

// Guards against runs that outlast what the next leader reads in a closed row.
BOOST_AUTO_TEST_CASE(WorkerThatIsBackGetsNothingBeforeItsRowIsOpen) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.Dispatcher_.handlePollFailure("w1", Refused, Fixture.Now_);
  BOOST_TEST(closeRows(Fixture).size() == 1U);
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.pollWorker("w1");
  BOOST_TEST((Fixture.Dispatcher_.grantLease("w1", Fixture.Now_) == Millis{}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  BOOST_TEST_REQUIRE(Fixture.Dispatcher_.takeUnrecordedWorkers().size() == 1U);
  Fixture.Dispatcher_.markWorkerRecorded("w1", "w1:1");
  BOOST_TEST((Fixture.Dispatcher_.grantLease("w1", Fixture.Now_) > Millis{}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against an idle worker that gets no tasks for the time of a long poll
// after its registry entry was missing.
BOOST_AUTO_TEST_CASE(IdleWorkerIsOpenedAgainOnceItIsRegistered) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.Dispatcher_.setWorkers({}, Fixture.Now_);
  BOOST_TEST(closeRows(Fixture).size() == 1U);
  Fixture.Dispatcher_.setWorkers({makeWorker("w1")}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.takeUnrecordedWorkers().size() == 1U);
}

// Guards against a write of an open row that is confirmed after the decision to
// close it.
BOOST_AUTO_TEST_CASE(LateConfirmationOfAnOpenRowDoesNotReopenAWorker) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.Dispatcher_.handlePollFailure("w1", Refused, Fixture.Now_);
  closeRows(Fixture);
  Fixture.Dispatcher_.markWorkerRecorded("w1", "w1:1");
  BOOST_TEST(!Fixture.Dispatcher_.findWorker("w1")->OpenRowStored_);
}

// Guards against a wait for a worker that was never reached, passed on from
// leader to leader.
BOOST_AUTO_TEST_CASE(WaitOfThePreviousLeaderIsPassedOn) {
  DispatcherFixture Fixture(2);
  Fixture.Dispatcher_.restoreWorker(makeWorker("gone"));
  Fixture.Dispatcher_.finishRestore();
  const Millis Expiry = Fixture.Dispatcher_.findWorker("gone")->LeaseExpiry_;
  Fixture.advance(Millis{1000});
  Fixture.Dispatcher_.handlePollFailure("gone", Refused, Fixture.Now_);
  const auto Closings = closeRows(Fixture);
  BOOST_TEST_REQUIRE(Closings.size() == 1U);
  BOOST_TEST_REQUIRE(Closings.front().Leases_.has_value());
  BOOST_TEST((Closings.front().Leases_->Expiry_ == Expiry));
  BOOST_TEST(!Closings.front().Leases_->RunsKnown_);
}

// Guards against a leader that relies on the end of the one before alone, while
// the leader before that may still have granted leases.
BOOST_AUTO_TEST_CASE(LeaseEndOfAShortTermCoversTheLeaderBefore) {
  DispatcherFixture Fixture(2);
  const Millis Started = Fixture.Now_;
  const DispatchLimits Limits = DispatcherFixture::makeLimits();
  BOOST_TEST((Fixture.Dispatcher_.latestLeaseEnd(Started + Millis{1}) >
              Started + Limits.LeaderGrace_ + Limits.Lease_));
}

// Guards against a wait for workers by tasks that the previous leader was free
// to start, and against starts of those that it was not.
BOOST_AUTO_TEST_CASE(OnlyTasksThatRunNowhereAreToldAsWaiting) {
  DispatcherFixture First(2);
  const JobSpec Job = restoreActiveJob(First, 3);
  First.Dispatcher_.restoreClosedWorker(
      makeWorker("gone"),
      ClosedLeases{First.Now_ + Millis{5000}, true, {taskNameOf(Job, 0, 1)}});
  First.Dispatcher_.finishRestore();
  First.Dispatcher_.expireUnreachable(First.Now_);
  constexpr std::size_t MaxRanges = 9;
  const auto Ranges = First.Dispatcher_.waitingTasks(MaxRanges);
  const std::vector<TaskRange> Expected{{Job.Id_, 0, 0, 0}, {Job.Id_, 0, 2, 2}};
  BOOST_TEST((Ranges == Expected));
  BOOST_TEST(First.Dispatcher_.waitingTasks(1).size() == 1U);
  DispatcherFixture Second(3);
  restoreActiveJob(Second, 3);
  Second.Dispatcher_.restoreWorker(makeWorker("silent"));
  for (const TaskRange &Range : Ranges)
    Second.Dispatcher_.markWaiting(Range);
  Second.Dispatcher_.finishRestore();
  Second.addWorkers({makeWorker("w1")});
  const Actions Planned = Second.decideAndExecute();
  BOOST_TEST_REQUIRE(Planned.Starts_.size() == 2U);
  for (const StartAction &Start : Planned.Starts_)
    BOOST_TEST(Start.Order_.Task_ != taskNameOf(Job, 0, 1));
}

// Guards against a wait that is longer by the time of a long poll.
BOOST_AUTO_TEST_CASE(ReplyToALongPollDoesNotLengthenTheLease) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const Millis SentAt = Fixture.Now_;
  Fixture.Dispatcher_.grantLease("w1", SentAt);
  const Millis Expiry = Fixture.Dispatcher_.findWorker("w1")->LeaseExpiry_;
  Fixture.advance(Millis{2000});
  PollReply Reply;
  Reply.Clock_ = Fixture.Now_ + Millis{50000};
  Reply.ProcessStart_ = 1;
  Fixture.Dispatcher_.handlePollReply("w1", Reply, SentAt, Fixture.Now_);
  BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->LeaseExpiry_ == Expiry));
}

// Guards against a lease that ends late because the worker's clock has fallen
// behind its estimate.
BOOST_AUTO_TEST_CASE(LeaseOnASlowClockHasEndedWhenItIsCountedAsEnded) {
  constexpr std::int64_t RatePerMille = 980;
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const Millis ReadAt = Fixture.Now_;
  const Millis ClockThen = Fixture.Dispatcher_.findWorker("w1")->WorkerClock_;
  Fixture.advance(Millis{9000});
  const Millis LeaseEnd = Fixture.Dispatcher_.grantLease("w1", Fixture.Now_);
  const Millis Expiry = Fixture.Dispatcher_.findWorker("w1")->LeaseExpiry_;
  const Millis ClockAtExpiry =
      ClockThen + Millis{(Expiry - ReadAt).Value_ * RatePerMille / 1000};
  BOOST_TEST((ClockAtExpiry > LeaseEnd));
}

// Guards against a lease that a new process of the worker has got by an order
// with a time on the clock of the process before.
BOOST_AUTO_TEST_CASE(LeaseOnARestartedWorkerCountsAsTheLongest) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  constexpr std::int64_t NewProcess = 2;
  Fixture.pollWorker("w1", {}, NewProcess);
  BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->LeaseExpiry_ >
              Fixture.Now_ + DispatcherFixture::makeLimits().MaxLease_));
}

// Guards against leases of an earlier leader on a worker that this leader has
// reached only once.
BOOST_AUTO_TEST_CASE(FirstPollCountsTheLeasesOfEarlierLeaders) {
  DispatcherFixture Fixture(2);
  Fixture.Dispatcher_.restoreWorker(makeWorker("w1"));
  Fixture.Dispatcher_.finishRestore();
  Fixture.pollWorker("w1");
  BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->LeaseExpiry_ >
              Fixture.Now_ + DispatcherFixture::makeLimits().Lease_));
}

BOOST_AUTO_TEST_SUITE_END()
