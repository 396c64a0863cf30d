#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

BOOST_AUTO_TEST_SUITE(WorkerRuns)

// Guards against placing tasks on a worker while a run of unknown size is being
// stopped there. The size is unknown if the run belongs to an ended job of
// which only the final state is stored.
BOOST_AUTO_TEST_CASE(RunOfUnknownSizeReservesAllFreeCapacity) {
  DispatcherFixture Fixture;
  Fixture.RunningTasks_["w1"]["00000000000000aa.0.0.0"] =
      RunningEntry{"00000000000000aa.0.0.0", 1, "", 0, 0};
  Fixture.addWorkers({makeWorker("w1", 4000)});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions FirstPass = Fixture.decideAndExecute();
  BOOST_TEST(FirstPass.Starts_.empty());
  BOOST_TEST(FirstPass.Stops_.size() == 1U);
  Fixture.RunningTasks_["w1"].clear();
  Fixture.pollWorker("w1");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against deleting the stored row of a job while its tasks still reserve
// capacity.
BOOST_AUTO_TEST_CASE(EndedJobReservesCapacityUntilItsRunsEnd) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 4000)});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  Fixture.Dispatcher_.cancelJob(Job.Id_, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.takeChangedJobs().size() == 1U);
  BOOST_TEST(Fixture.Dispatcher_.hasRuns(Job.Id_));
  Fixture.decideAndExecute();
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Stopped);
  BOOST_TEST(!Fixture.Dispatcher_.hasRuns(Job.Id_));
  // The job is reported as changed again, so that its row can be deleted.
  BOOST_TEST(Fixture.Dispatcher_.takeChangedJobs().size() == 1U);
}

// Guards against running a task twice: its worker restarted, and the new
// process received the start before the leader had detected the restart.
BOOST_AUTO_TEST_CASE(RunsReportedAfterAWorkerRestartAreKept) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(2, 3000)});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  const std::string WorkerOfFirstTask = Fixture.workerOf(taskNameOf(Job, 0, 0));
  BOOST_TEST_REQUIRE(!WorkerOfFirstTask.empty());
  Fixture.LastEndNumbers_.clear();
  Fixture.advance(Millis{1});
  Fixture.pollWorker(WorkerOfFirstTask, {}, 2);
  const Actions NewActions = Fixture.decideAndExecute();
  BOOST_TEST(NewActions.Starts_.empty());
  BOOST_TEST(NewActions.Stops_.empty());
  // A task that the new process of a worker does not list is started again.
  Fixture.advance(Millis{1});
  const std::string WorkerOfSecondTask =
      Fixture.workerOf(taskNameOf(Job, 0, 1));
  Fixture.RunningTasks_[WorkerOfSecondTask].clear();
  Fixture.pollWorker(WorkerOfSecondTask, {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against an unanswered start that reaches a restarted worker late: a
// stop that the previous process confirmed does not bind the new one.
BOOST_AUTO_TEST_CASE(UnansweredStartIsStoppedAgainAfterAWorkerRestart) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.advance(Millis{1});
  const Actions FirstPass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(FirstPass.Starts_.size() == 1U);
  Fixture.Dispatcher_.handleStartReply(
      FirstPass.Starts_[0], startError(Effect::Unknown), Fixture.Now_);
  Fixture.pollWorker("w1", {}, 1);
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Stops_.size() == 1U);
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Millis{2000});
  BOOST_TEST(Fixture.decideAndExecute().Stops_.size() == 1U);
  Fixture.advance(Millis{1});
  Fixture.pollWorker("w1", {}, 2);
  Fixture.advance(Millis{1});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a later leader that asks a stored worker at an address that
// the worker has left, while its tasks run at another one.
BOOST_AUTO_TEST_CASE(WorkerAtANewAddressIsStoredBeforeItGetsTasks) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  WorkerInfo Moved = makeWorker("w1");
  Moved.Address_ = "elsewhere:1";
  Fixture.Dispatcher_.setWorkers({Moved}, Fixture.Now_);
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  // A write of the old address that was on its way does not count.
  Fixture.Dispatcher_.markWorkerRecorded("w1", "w1:1");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  const auto Unrecorded = Fixture.Dispatcher_.takeUnrecordedWorkers();
  BOOST_TEST_REQUIRE(Unrecorded.size() == 1U);
  BOOST_TEST(Unrecorded.front().Address_ == "elsewhere:1");
  Fixture.Dispatcher_.markWorkerRecorded("w1", "elsewhere:1");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against waiting for the leases of a worker whose process is gone.
BOOST_AUTO_TEST_CASE(TasksOfAReplacedWorkerStartElsewhereAtOnce) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  StepSpec Lasting = makeStep(2, 1000);
  Lasting.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {Lasting});
  Fixture.submit(Job);
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 2U);
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
  Fixture.rejectPoll("w1");
  const Actions AfterLoss = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(AfterLoss.Starts_.size() == 2U);
  for (const StartAction &Start : AfterLoss.Starts_)
    BOOST_TEST(Start.Target_.Worker_ == "w2");
  BOOST_TEST(AfterLoss.Stops_.empty());
}

// Guards against jobs of an earlier leader that wait for a worker whose process
// is gone.
BOOST_AUTO_TEST_CASE(RestoredJobsDoNotWaitForAReplacedWorker) {
  DispatcherFixture Fixture(2);
  Fixture.Dispatcher_.restoreWorker(makeWorker("w1"));
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.Dispatcher_.restoreJob(Job, Progress, Fixture.Now_);
  Fixture.addWorkers({makeWorker("w2")});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.rejectPoll("w1");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against starting a task twice: a poll of the old address is rejected
// after the task was ordered at the new address of the worker.
BOOST_AUTO_TEST_CASE(RunOrderedAfterARejectedPollIsKept) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
  const Millis PollSentAt = Fixture.Now_;
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions First = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  PollReply Rejection;
  Rejection.Outcome_ = OrderOutcome::WrongWorker;
  Fixture.Dispatcher_.handlePollReply(First.Starts_.front().Target_.Worker_,
                                      Rejection, PollSentAt, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
}

// Guards against a run that is kept for ever on a worker that is gone.
BOOST_AUTO_TEST_CASE(KeptRunOfAReplacedWorkerEndsWithItsLeases) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const Millis PollSentAt = Fixture.Now_;
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.advance(Millis{1});
  const Actions First = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  Fixture.Dispatcher_.handleStartReply(
      First.Starts_[0], startError(Effect::Unknown), Fixture.Now_);
  PollReply Rejection;
  Rejection.Outcome_ = OrderOutcome::WrongWorker;
  Fixture.Dispatcher_.handlePollReply("w1", Rejection, PollSentAt,
                                      Fixture.Now_);
  Fixture.addWorkers({makeWorker("w2")});
  std::size_t Starts = 0;
  for (int Second = 0; Second < 60; ++Second) {
    Fixture.advance(Millis{1000});
    Fixture.Dispatcher_.handlePollFailure("w1", startError(Effect::None),
                                          Fixture.Now_);
    Fixture.pollWorker("w2");
    Starts += Fixture.decideAndExecute().Starts_.size();
  }
  BOOST_TEST(Starts == 1U);
}

// Guards against starting the tasks of a live worker elsewhere because another
// process has written to its registry entry.
BOOST_AUTO_TEST_CASE(UnusableEntryDoesNotEndTheRunsOfAWorker) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(2, 1000)}));
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 2U);
  Fixture.Dispatcher_.setWorkers({makeWorker("w2")}, Fixture.Now_, {"w1"});
  Fixture.advance(Millis{1000});
  const Actions Decided = Fixture.decideAndExecute();
  BOOST_TEST(Decided.Starts_.empty());
  BOOST_TEST(Decided.Stops_.empty());
  const Worker *Known = Fixture.Dispatcher_.findWorker("w1");
  BOOST_TEST_REQUIRE(Known != nullptr);
  BOOST_TEST(Known->Registered_);
  BOOST_TEST(Known->Info_.Address_ == "w1:1");
}

// Guards against using a worker that has only an unusable entry, and against
// keeping one that had left before.
BOOST_AUTO_TEST_CASE(UnusableEntryRegistersNoWorker) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
  Fixture.Dispatcher_.setWorkers({makeWorker("w2")}, Fixture.Now_);
  Fixture.Dispatcher_.setWorkers({makeWorker("w2")}, Fixture.Now_,
                                 {"w1", "w3"});
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w3") == nullptr);
  const Worker *Left = Fixture.Dispatcher_.findWorker("w1");
  BOOST_TEST((!Left || !Left->Registered_));
}

// Guards against the same with a valid address of another process: a process
// that answers cannot have started again before.
BOOST_AUTO_TEST_CASE(EntryOfAnEarlierProcessDoesNotMoveAWorker) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.pollWorker("w1", {}, 7);
  WorkerInfo Entry = makeWorker("w1");
  Entry.Address_ = "elsewhere:1";
  Entry.ProcessStart_ = 7;
  Fixture.Dispatcher_.setWorkers({Entry}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w1")->Info_.Address_ == "w1:1");
  Entry.ProcessStart_ = 8;
  Fixture.Dispatcher_.setWorkers({Entry}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w1")->Info_.Address_ ==
             "elsewhere:1");
}

// Guards against the same with an entry that lists no start time, and against a
// worker that an entry of another service takes out of use.
BOOST_AUTO_TEST_CASE(EntryWithoutAStartTimeDoesNotMoveAWorker) {
  DispatcherFixture Fixture;
  WorkerInfo Own = makeWorker("w1");
  Own.ProcessStart_ = 7;
  Fixture.addWorkers({Own});
  Fixture.pollWorker("w1", {}, 7);
  WorkerInfo Moved = makeWorker("w1");
  Moved.Address_ = "elsewhere:1";
  WorkerInfo OfAnotherService = makeWorker("w1");
  OfAnotherService.Service_ = "another";
  for (const WorkerInfo &Entry : {Moved, OfAnotherService}) {
    Fixture.Dispatcher_.setWorkers({Entry}, Fixture.Now_);
    BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->Info_ == Own));
  }
  Fixture.Dispatcher_.handlePollFailure("w1", Error{}, Fixture.Now_);
  Fixture.Dispatcher_.setWorkers({Moved}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w1")->Info_.Address_ ==
             "elsewhere:1");
}

// Guards against a restarted worker whose entry is ignored because a poll has
// shown the restart first.
BOOST_AUTO_TEST_CASE(EntryOfTheProcessThatAnswersIsUsed) {
  DispatcherFixture Fixture;
  WorkerInfo Entry = makeWorker("w1");
  Entry.ProcessStart_ = 7;
  Fixture.addWorkers({Entry});
  Fixture.pollWorker("w1", {}, 7);
  Fixture.pollWorker("w1", {}, 8);
  Entry.ProcessStart_ = 8;
  Entry.Service_ = "other";
  Fixture.Dispatcher_.setWorkers({Entry}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w1")->Info_.Service_ == "other");
}

// Guards against starting the tasks of a silent worker elsewhere because the
// entry of its process before was written late.
BOOST_AUTO_TEST_CASE(EntryOfAnEarlierProcessEndsNoRunsOfASilentWorker) {
  DispatcherFixture Fixture;
  WorkerInfo Own = makeWorker("w1", 1000);
  Own.ProcessStart_ = 8;
  WorkerInfo Earlier = Own;
  Earlier.Address_ = "before:1";
  Earlier.ProcessStart_ = 7;
  Fixture.addWorkers({Own, makeWorker("w2", 500)});
  Fixture.pollWorker("w1", {}, 8);
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.Dispatcher_.handlePollFailure("w1", Error{}, Fixture.Now_);
  Fixture.Dispatcher_.setWorkers({Earlier, makeWorker("w2")}, Fixture.Now_);
  Fixture.advance(Millis{1000});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(DispatcherFixture::makeLimits().MaxLease_);
  Fixture.pollWorker("w2");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
  // Its clock may have been set back before it started again.
  Fixture.Dispatcher_.setWorkers({Earlier, makeWorker("w2")}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w1")->Info_.Address_ ==
             "before:1");
}

// Guards against tasks that exceed the capacity of a worker: it has started
// again as a smaller one, and its entry is that of the process before.
BOOST_AUTO_TEST_CASE(RestartedWorkerGetsNoTasksBeforeItsOwnEntry) {
  DispatcherFixture Fixture;
  WorkerInfo Entry = makeWorker("w1");
  Entry.ProcessStart_ = 7;
  Fixture.addWorkers({Entry});
  Fixture.pollWorker("w1", {}, 7);
  Fixture.pollWorker("w1", {}, 8);
  Fixture.submit(makeJob("1", "urgent", {makeStep(3, 1000)}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.Dispatcher_.setWorkers({Entry}, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Entry.ProcessStart_ = 8;
  Entry.Capacity_.MilliCpus_ = 2000;
  Fixture.Dispatcher_.setWorkers({Entry}, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 2U);
  BOOST_TEST(
      Fixture.Dispatcher_.findWorker("w1")->LargestCapacity_.MilliCpus_ ==
      2000);
}

// The same while its entry is read before its process has answered a poll,
// which is then asked at once.
BOOST_AUTO_TEST_CASE(EntryOfALaterProcessStartsNoTasksInTheOneBefore) {
  DispatcherFixture Fixture;
  WorkerInfo Entry = makeWorker("w1", 2000);
  Entry.ProcessStart_ = 7;
  Fixture.addWorkers({Entry});
  Fixture.pollWorker("w1", {}, 7);
  Entry.ProcessStart_ = 8;
  Entry.Capacity_.MilliCpus_ = 4000;
  Fixture.Dispatcher_.setWorkers({Entry}, Fixture.Now_);
  Fixture.submit(makeJob("1", "urgent", {makeStep(4, 1000)}));
  const Actions Decided = Fixture.decideAndExecute();
  BOOST_TEST(Decided.Starts_.empty());
  BOOST_TEST((Decided.Probes_ == std::vector<std::string>{"w1"}));
  Fixture.pollWorker("w1", {}, 8);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 4U);
}

// Guards against restored jobs that wait for a worker which joined another
// address after all leases of earlier leaders had expired.
BOOST_AUTO_TEST_CASE(MovedWorkerDoesNotBlockRestoredJobs) {
  DispatcherFixture Fixture(2);
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  Fixture.Dispatcher_.restoreJob(Job, Progress, Fixture.Now_);
  Fixture.addWorkers({makeWorker("w1", 500), makeWorker("w2")});
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.advance(Millis{30000});
  Fixture.pollWorker("w1");
  Fixture.pollWorker("w2");
  WorkerInfo Moved = makeWorker("w1", 500);
  Moved.Address_ = "elsewhere:1";
  Fixture.Dispatcher_.setWorkers({Moved, makeWorker("w2")}, Fixture.Now_);
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Failed);
  Fixture.advance(Millis{1000});
  Fixture.pollWorker("w2");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a lease on the clock of the process before, which the new
// process would take for a very long one.
BOOST_AUTO_TEST_CASE(FirstPollOfAMovedWorkerGrantsNoLease) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  WorkerInfo Moved = makeWorker("w1");
  Moved.Address_ = "elsewhere:1";
  Fixture.Dispatcher_.setWorkers({Moved}, Fixture.Now_);
  BOOST_TEST(
      (Fixture.Dispatcher_.leaseEnd(*Fixture.Dispatcher_.findWorker("w1"),
                                    Fixture.Now_) == Millis{}));
}

// Guards against a stored row that stays behind: later leaders would wait for
// the worker.
BOOST_AUTO_TEST_CASE(RowOfAMovedWorkerIsRemovedWithIt) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  WorkerInfo Moved = makeWorker("w1");
  Moved.Address_ = "elsewhere:1";
  Fixture.Dispatcher_.setWorkers({Moved}, Fixture.Now_);
  Fixture.advance(Millis{30000});
  Fixture.decideAndExecute();
  Fixture.Dispatcher_.setWorkers({}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w1") == nullptr);
  BOOST_TEST(Fixture.Dispatcher_.takeForgottenWorkers().size() == 1U);
}

// Guards against a late answer from the address that a worker has left.
BOOST_AUTO_TEST_CASE(LateRejectionFromAnOldAddressIsIgnored) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const Millis PollSentAt = Fixture.Now_;
  WorkerInfo Moved = makeWorker("w1");
  Moved.Address_ = "elsewhere:1";
  Fixture.advance(Millis{1});
  Fixture.Dispatcher_.setWorkers({Moved}, Fixture.Now_);
  Fixture.Dispatcher_.markWorkerRecorded("w1", "elsewhere:1");
  Fixture.pollWorker("w1", {}, 2);
  PollReply Rejection;
  Rejection.Outcome_ = OrderOutcome::WrongWorker;
  Fixture.Dispatcher_.handlePollReply("w1", Rejection, PollSentAt,
                                      Fixture.Now_);
  BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->Reachability_ ==
              Reachability::Reachable));
  Fixture.advance(Millis{1});
  Fixture.Dispatcher_.setWorkers({}, Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w1") != nullptr);
}

// Guards against orders that are sent to another worker's process again and
// again until the next poll ends.
BOOST_AUTO_TEST_CASE(WorkerWhoseStartWasAnsweredByAnotherGetsNoMore) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const Millis Clock = Fixture.Dispatcher_.findWorker("w1")->WorkerClock_;
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.advance(Millis{1});
  const Actions First = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  Fixture.Dispatcher_.handleStartReply(
      First.Starts_[0], OrderReply{OrderOutcome::WrongWorker, Millis{9000000}},
      Fixture.Now_);
  BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->WorkerClock_ == Clock));
  Fixture.advance(Millis{100});
  BOOST_TEST(Fixture.Dispatcher_.decide(Fixture.Now_).Starts_.empty());
}

// Guards against a task that waits for workers it cannot run on: this leader
// has seen where it ran.
BOOST_AUTO_TEST_CASE(TaskSeenByThisLeaderRestartsBeforeRecoveryEnds) {
  DispatcherFixture Fixture(2);
  Fixture.Dispatcher_.restoreWorker(makeWorker("w1"));
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  const JobSpec Job = makeJob("1", "urgent", {makeStep(2, 1000)});
  Fixture.Dispatcher_.restoreJob(Job, Progress, Fixture.Now_);
  const std::string Task = taskNameOf(Job, 0, 0);
  Fixture.RunningTasks_["w2"][Task] = RunningEntry{Task, 1, "", 0, 0};
  Fixture.addWorkers({makeWorker("w2")});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.endTask(Task, TaskEnd::Failed);
  Fixture.advance(Millis{100});
  const Actions NewActions = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 1U);
  BOOST_TEST(NewActions.Starts_.front().Order_.Task_ == Task);
}

// Guards against a row that the next leader waits for once more.
BOOST_AUTO_TEST_CASE(RowOfAGoneWorkerIsRemovedWhenItsLeasesExpire) {
  DispatcherFixture Fixture(2);
  Fixture.Dispatcher_.restoreWorker(makeWorker("w1"));
  Fixture.addWorkers({makeWorker("w2")});
  Fixture.decideAndExecute();
  BOOST_TEST(Fixture.Dispatcher_.takeForgottenWorkers().empty());
  const DispatchLimits Limits = DispatcherFixture::makeLimits();
  Fixture.advance(Limits.Lease_ + Limits.LeaderGrace_ + Millis{500});
  Fixture.decideAndExecute();
  BOOST_TEST(Fixture.Dispatcher_.takeForgottenWorkers().size() == 1U);
}

// Guards against overloading a worker whose capacity has shrunk below what runs
// there.
BOOST_AUTO_TEST_CASE(ShrunkWorkerGetsNoTasksUntilItGrows) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 4000)});
  const JobSpec Running = makeJob("1", "urgent", {makeStep(2, 1500)});
  Fixture.submit(Running);
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 2U);
  Fixture.addWorkers({makeWorker("w1", 2000)});
  Fixture.submit(makeJob("2", "urgent", {makeStep(1, 500)}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.endTask(taskNameOf(Running, 0, 0), TaskEnd::Done);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.submit(makeJob("3", "urgent", {makeStep(1, 1500)}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.addWorkers({makeWorker("w1", 4000)});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against rejecting for good what fits once a shrunk worker has grown.
BOOST_AUTO_TEST_CASE(JobIsAcceptedWhileAllWorkersAreShrunk) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 4000)});
  Fixture.addWorkers({makeWorker("w1", 1000)});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 3000)});
  BOOST_TEST(Fixture.Dispatcher_.checkFits(Job).has_value());
  BOOST_TEST(
      Fixture.Dispatcher_.checkFits(makeJob("2", "urgent", {makeStep(1, 5000)}))
          .has_error());
  Fixture.submit(Job);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.addWorkers({makeWorker("w1", 4000)});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against tasks that wait although they need nothing of the resource
// that a shrunk worker has too little of.
BOOST_AUTO_TEST_CASE(TasksStartBesideAnOverusedResource) {
  DispatcherFixture Fixture;
  WorkerInfo Info = makeWorker("w1", 4000);
  Info.Capacity_.Accelerators_ = 1;
  Fixture.addWorkers({Info});
  StepSpec Accelerated = makeStep(1, 100);
  Accelerated.Size_.Accelerators_ = 1;
  Fixture.submit(makeJob("1", "urgent", {Accelerated}));
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Info.Capacity_.Accelerators_ = 0;
  Fixture.addWorkers({Info});
  Fixture.submit(makeJob("2", "urgent", {makeStep(1, 3000)}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
  Info.Capacity_.MilliCpus_ = 2000;
  Fixture.addWorkers({Info});
  StepSpec Filler = makeStep(1, 500);
  Filler.Filler_ = true;
  Fixture.submit(makeJob("3", "urgent", {Filler}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against retrying a task on the worker that just failed it while other
// workers have free capacity.
BOOST_AUTO_TEST_CASE(FailedTaskIsRetriedOnAnotherWorker) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 2000), makeWorker("w2", 4000)});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Fixture.workerOf(taskNameOf(Job, 0, 0)) == "w1");
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Failed);
  Fixture.advance(Millis{100});
  Fixture.decideAndExecute();
  BOOST_TEST(Fixture.workerOf(taskNameOf(Job, 0, 0)) == "w2");
}

// Guards against a task that runs twice: the reply to its start order was
// lost, and the worker rejects a late copy of the order because the run has
// already ended.
BOOST_AUTO_TEST_CASE(RejectedCopyOfAStartOrderDoesNotRepeatTheTask) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 500)});
  Fixture.submit(Job);
  const Actions First = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  Fixture.advance(Millis{600});
  Fixture.Dispatcher_.handleStartReply(
      First.Starts_.front(),
      OrderReply{OrderOutcome::Superseded, Fixture.Now_ + Millis{50000}},
      Fixture.Now_);
  Fixture.advance(Millis{100});
  BOOST_TEST(Fixture.Dispatcher_.decide(Fixture.Now_).Starts_.empty());
  Fixture.pollWorker("w1", {EndedTask{0, taskNameOf(Job, 0, 0),
                                      First.Starts_.front().Order_.Attempt_,
                                      TaskEnd::Done, ""}});
  BOOST_TEST(Fixture.Dispatcher_.decide(Fixture.Now_).Starts_.empty());
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Complete));
}

// Guards against tasks that wait for ever beside a free worker, which counted
// as tried before its clock was known.
BOOST_AUTO_TEST_CASE(WaitingTasksStartOnceTheClockOfAWorkerIsKnown) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 1000), makeWorker("w2", 1000)});
  PollReply OfNewProcess;
  OfNewProcess.ProcessStart_ = 2;
  Fixture.advance(Millis{1});
  WorkerInfo Moved = makeWorker("w2", 1000);
  Moved.Address_ = "elsewhere:1";
  Fixture.Dispatcher_.setWorkers({makeWorker("w1", 1000), Moved}, Fixture.Now_);
  for (const WorkerInfo &Info : Fixture.Dispatcher_.takeUnrecordedWorkers())
    Fixture.Dispatcher_.markWorkerRecorded(Info.Id_, Info.Address_);
  Fixture.advance(Millis{1});
  Fixture.Dispatcher_.handlePollReply("w2", OfNewProcess, Fixture.Now_,
                                      Fixture.Now_);
  Fixture.submit(makeJob("1", "urgent", {makeStep(2, 1000)}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.advance(Millis{2000});
  Fixture.pollWorker("w1");
  Fixture.pollWorker("w2", {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A fleet of one worker with a run that it has confirmed with this clock.
/// Returns whether the reply counted as that of the process that was meant.
bool startConfirmedWith(DispatcherFixture &Fixture, Millis Clock) {
  Fixture.submit(makeJob("1", "lasting", {makeStep(1, 1000)}));
  const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 1U);
  return Fixture.Dispatcher_.handleStartReply(
      Pass.Starts_.front(), OrderReply{OrderOutcome::Done, Clock},
      Fixture.Now_);
}

/// How long the runs of w1 are kept if it does not answer any more.
Millis keptWhileSilent(DispatcherFixture &Fixture) {
  constexpr Millis Step{10};
  constexpr Millis Limit{20000};
  const Millis Since = Fixture.Now_;
  Fixture.Dispatcher_.handlePollFailure("w1", startError(Effect::Unknown),
                                        Fixture.Now_);
  while (!Fixture.Dispatcher_.findWorker("w1")->Tasks_.empty() &&
         Fixture.Now_ < Since + Limit) {
    Fixture.advance(Step);
    Fixture.Dispatcher_.expireUnreachable(Fixture.Now_);
  }
  return Fixture.Now_ - Since;
}

// A lease on a clock that is 2% slow.
constexpr Millis LongestLease{10200};

} // namespace

BOOST_AUTO_TEST_SUITE(OtherProcesses)

// Guards against a task that runs twice: a start has reached the next process
// of its worker, which holds a longer lease than the one that was asked for.
BOOST_AUTO_TEST_CASE(LeaseOfAProcessWithAnotherClockIsCountedInFull) {
  for (const Millis Clock : {Millis{300}, Millis{9000000}}) {
    DispatcherFixture Fixture;
    Fixture.addWorkers({makeWorker("w1")});
    const Millis Known = Fixture.Dispatcher_.findWorker("w1")->WorkerClock_;
    BOOST_TEST((Known > Millis{}));
    BOOST_TEST(!startConfirmedWith(Fixture, Clock));
    BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->WorkerClock_ != Clock));
    BOOST_TEST((keptWhileSilent(Fixture) > LongestLease));
  }
}

// Guards against longer waits for workers whose process is known.
BOOST_AUTO_TEST_CASE(LeaseOfTheProcessThatWasMeantIsCountedAsAskedFor) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.advance(Millis{500});
  BOOST_TEST(startConfirmedWith(Fixture, Fixture.Now_ + Fixture.ClockOffset));
  BOOST_TEST((keptWhileSilent(Fixture) < Millis{8500}));
}

// Guards against more starts on a worker whose process is not known, and
// against one that is never used again.
BOOST_AUTO_TEST_CASE(WorkerWithAnotherClockGetsStartsOnceItWasPolled) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  BOOST_TEST(!startConfirmedWith(Fixture, Millis{300}));
  const JobSpec Next = makeJob("2", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Next);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  const std::string First = taskNameOf(makeJob("1", "", {}), 0, 0);
  Fixture.RunningTasks_["w1"][First] = RunningEntry{First, 1, "", 5, 0};
  Fixture.pollWorker("w1", {}, 2);
  const Actions Pass = Fixture.decideAndExecute();
  BOOST_TEST(Pass.Stops_.empty());
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 1U);
  BOOST_TEST(Pass.Starts_.front().Task_.Job_ == Next.Id_);
}

// Guards against trust in a process that has ended: its last reply to a poll
// arrives after the next process has answered a start.
BOOST_AUTO_TEST_CASE(LateReplyOfTheProcessBeforeDoesNotRestoreItsClock) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.advance(Millis{5});
  PollReply Late;
  Late.Clock_ = Fixture.Now_ + Fixture.ClockOffset;
  Late.ProcessStart_ = 1;
  const Millis LateSentAt = Fixture.Now_;
  Fixture.advance(Millis{5});
  BOOST_TEST(!startConfirmedWith(Fixture, Millis{300}));
  Fixture.advance(Millis{1});
  Fixture.Dispatcher_.handlePollReply("w1", Late, LateSentAt, Fixture.Now_);
  BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->WorkerClock_ == Millis{}));
  BOOST_TEST((Fixture.Dispatcher_.grantLease("w1", Fixture.Now_) == Millis{}));
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST((Fixture.Dispatcher_.grantLease("w1", Fixture.Now_) > Millis{}));
}

// Guards against polls after orders to sound workers: replies overtake each
// other and are read late, and clocks may run 2% slow.
BOOST_AUTO_TEST_CASE(ClockOfTheSameProcessIsRecognized) {
  Worker W;
  W.WorkerClock_ = Millis{50000};
  W.ClockReadAt_ = Millis{2000};
  W.ClockAskedAt_ = Millis{1200};
  const auto IsOwn = [&W](std::int64_t Clock, std::int64_t SentAt,
                          std::int64_t Now) {
    return isClockOf(W, Millis{Clock}, Millis{SentAt}, Millis{Now});
  };
  BOOST_TEST(IsOwn(50000, 2000, 2000));
  BOOST_TEST(IsOwn(52000, 4000, 4002));
  BOOST_TEST(IsOwn(51960, 4000, 4002));
  BOOST_TEST(IsOwn(52250, 4000, 4250));
  BOOST_TEST(IsOwn(49900, 1900, 2100));
  BOOST_TEST(IsOwn(50700, 2000, 2010));
  BOOST_TEST(!IsOwn(50000, 4000, 4002));
  BOOST_TEST(!IsOwn(49000, 1900, 2100));
  BOOST_TEST(!IsOwn(54000, 2000, 2010));
  // The leader was paused before it read the reply.
  W.ClockReadAt_ = Millis{4500};
  BOOST_TEST(IsOwn(53200, 4510, 4530));
  BOOST_TEST(!IsOwn(54000, 4510, 4530));
  W.WorkerClock_ = Millis{};
  BOOST_TEST(!IsOwn(50000, 2000, 2000));
}

// Guards against the same lease if nothing ties orders to a process: the worker
// has started again between the check of its process and the order.
BOOST_AUTO_TEST_CASE(LeaseOfAWorkerThatKeepsNoConnectionIsCountedInFull) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  PollReply Reply;
  Reply.Clock_ = Fixture.Now_ + Fixture.ClockOffset;
  Reply.ProcessStart_ = 1;
  Reply.Unbound_ = true;
  Fixture.advance(Millis{1});
  Fixture.Dispatcher_.handlePollReply("w1", Reply, Fixture.Now_ - Millis{1},
                                      Fixture.Now_);
  Fixture.pollWorker("w1");
  Fixture.submit(makeJob("1", "lasting", {makeStep(1, 1000)}));
  const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 1U);
  Fixture.Dispatcher_.handleStartReply(
      Pass.Starts_.front(), startError(Effect::Unknown), Fixture.Now_);
  BOOST_TEST((keptWhileSilent(Fixture) > LongestLease));
}

// Guards against lease ends on the clock of the process before.
BOOST_AUTO_TEST_CASE(RestartWithAClockOfZeroForgetsTheClock) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  PollReply Next;
  Next.ProcessStart_ = 2;
  Fixture.advance(Millis{10});
  Fixture.Dispatcher_.handlePollReply("w1", Next, Fixture.Now_, Fixture.Now_);
  BOOST_TEST((Fixture.Dispatcher_.findWorker("w1")->WorkerClock_ == Millis{}));
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
}

// Guards against taking a worker for another process because its reply was read
// late: the leader stood still.
BOOST_AUTO_TEST_CASE(PollReplyReadLateLeavesTheWorkerInUse) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const Millis SentAt = Fixture.Now_;
  PollReply Late;
  Late.ProcessStart_ = 1;
  Fixture.advance(Millis{500});
  Late.Clock_ = Fixture.Now_ + Fixture.ClockOffset;
  Fixture.advance(Millis{1500});
  Fixture.Dispatcher_.handlePollReply("w1", Late, SentAt, Fixture.Now_);
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 1U);
  Fixture.advance(Millis{5});
  BOOST_TEST(Fixture.Dispatcher_.handleStartReply(
      Pass.Starts_.front(),
      OrderReply{OrderOutcome::Done, Fixture.Now_ + Fixture.ClockOffset},
      Fixture.Now_));
}

// Guards against a worker that gets nothing until its long poll ends, since the
// reply to a probe came too early to tell its clock.
BOOST_AUTO_TEST_CASE(WorkerIsAskedAgainIfItsClockIsNotTaken) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(2, 1000)}));
  const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Pass.Starts_.size() == 2U);
  const auto Reply = [&](const StartAction &Start) {
    Fixture.advance(Millis{1});
    BOOST_TEST(!Fixture.Dispatcher_.handleStartReply(
        Start, OrderReply{OrderOutcome::Done, Millis{300}}, Fixture.Now_));
  };
  Reply(Pass.Starts_[0]);
  const Millis ProbeSentAt = Fixture.Now_;
  Reply(Pass.Starts_[1]);
  Fixture.advance(Millis{1});
  PollReply Probe;
  Probe.ProcessStart_ = 2;
  Probe.Clock_ = Millis{303};
  for (const StartAction &Start : Pass.Starts_)
    Probe.Running_.push_back(
        RunningEntry{Start.Order_.Task_, Start.Order_.Attempt_, "", 1, 0});
  Fixture.Dispatcher_.handlePollReply("w1", Probe, ProbeSentAt, Fixture.Now_);
  const bool Known =
      Fixture.Dispatcher_.findWorker("w1")->WorkerClock_ > Millis{};
  BOOST_TEST(
      (Known || !Fixture.Dispatcher_.decide(Fixture.Now_).Probes_.empty()));
}

// Guards against accepted jobs that never start under the next leader, because
// their queue was removed from the configuration (review/9).
BOOST_AUTO_TEST_CASE(JobOfARemovedQueueRunsUnderTheNextLeader) {
  DispatcherFixture First;
  First.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "batch", {makeStep(1, 1000)});
  First.submit(Job);
  const auto Row = decodeSpec(
      Job.Id_, encodeSpec(First.Dispatcher_.findJob(Job.Id_)->Spec_));
  BOOST_TEST_REQUIRE(Row.has_value());
  Dispatcher Next(DispatcherFixture::makeLimits(), 2, First.Now_);
  QueuePolicy Other;
  Other.Service_ = "other";
  Next.setQueues({{"other", Other}});
  Next.restoreJob(Row.value(), JobProgress{}, First.Now_);
  Next.finishRestore();
  Next.setWorkers({makeWorker("w1")}, First.Now_);
  Next.markWorkerRecorded("w1", "w1:1");
  PollReply Reply;
  Reply.Clock_ = First.Now_ + DispatcherFixture::ClockOffset;
  Reply.ProcessStart_ = 1;
  First.advance(Millis{1});
  Next.handlePollReply("w1", Reply, First.Now_ - Millis{1}, First.Now_);
  First.advance(Millis{1});
  BOOST_TEST(Next.decide(First.Now_).Starts_.size() == 1U);
}

// Guards against tasks that are started again while they run, because another
// writer has put an entry of a service that no queue has under the id of their
// worker (review/8).
BOOST_AUTO_TEST_CASE(EntryOfAnUnknownServiceReplacesNoWorker) {
  DispatcherFixture Fixture;
  WorkerInfo First = makeWorker("w1");
  First.ProcessStart_ = 1;
  WorkerInfo Second = makeWorker("w2");
  Second.ProcessStart_ = 1;
  Fixture.addWorkers({First, Second});
  const JobSpec Job = makeJob("1", "batch", {makeStep(2, 3000)});
  Fixture.submit(Job);
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 2U);
  WorkerInfo Foreign = First;
  Foreign.Service_ = "foreign";
  Foreign.Address_ = "elsewhere:1";
  Foreign.ProcessStart_ = 2;
  Fixture.Dispatcher_.setWorkers({Foreign, Second}, Fixture.Now_);
  Fixture.pollWorker("w1");
  Fixture.pollWorker("w2");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w1")->Tasks_.size() == 1U);
  Fixture.Dispatcher_.setWorkers({First, Second}, Fixture.Now_);
  Fixture.pollWorker("w1");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
}

BOOST_AUTO_TEST_SUITE_END()
