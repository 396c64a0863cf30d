#include "tests/dispatch/fixture.h"

#include <algorithm>

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

BOOST_AUTO_TEST_SUITE(Dispatching)

// Guards against starting a step before its dependencies have ended.
BOOST_AUTO_TEST_CASE(StepsRunInOrder) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
  const JobSpec Job =
      makeJob("1", "urgent", {makeStep(2, 1000), makeStep(1, 1000, {0})});
  Fixture.submit(Job);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 2U);
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Done);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.endTask(taskNameOf(Job, 0, 1), TaskEnd::Done);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.endTask(taskNameOf(Job, 1, 0), TaskEnd::Done);
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Complete));
}

// Guards against running tasks of a job whose row has not been written.
BOOST_AUTO_TEST_CASE(UnconfirmedJobDoesNotStart) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.Dispatcher_.addJob(Job, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.Dispatcher_.dropJob(Job.Id_);
  BOOST_TEST(!Fixture.Dispatcher_.findJob(Job.Id_));
}

// Guards against placing more on a worker than its capacity allows.
BOOST_AUTO_TEST_CASE(CapacityIsNotExceeded) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 2500)});
  Fixture.submit(makeJob("1", "urgent", {makeStep(5, 1000)}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 2U);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
}

// Guards against starts on an unrecorded worker, which a later leader would not
// know about.
BOOST_AUTO_TEST_CASE(UnrecordedWorkerGetsNoTasks) {
  DispatcherFixture Fixture;
  Fixture.Dispatcher_.setWorkers({makeWorker("w1")}, Fixture.Now_);
  Fixture.pollWorker("w1");
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.Dispatcher_.markWorkerRecorded("w1");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(JobFailsAfterItsLastAttempt) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  for (int Attempt = 1; Attempt <= 2; ++Attempt) {
    const Actions Decided = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(Decided.Starts_.size() == 1U);
    BOOST_TEST(Decided.Starts_[0].Order_.Attempt_ == Attempt);
    Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Failed);
    Fixture.advance(Millis{100});
  }
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Failed));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
}

// Guards against counting a failure twice when two leaders have seen it.
BOOST_AUTO_TEST_CASE(RecordedFailureIsNotCountedAgain) {
  DispatcherFixture Fixture(2);
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  Progress.Done_ = {{}};
  Progress.FailedAttempts_[{0, 0}] = {1};
  Fixture.Dispatcher_.restoreJob(Job, Progress, Fixture.Now_);
  Fixture.Dispatcher_.setWorkers({makeWorker("w1")}, Fixture.Now_);
  Fixture.Dispatcher_.markWorkerRecorded("w1");
  Fixture.pollWorker(
      "w1", {EndedTask{0, taskNameOf(Job, 0, 0), 1, TaskEnd::Failed, ""}});
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Active));
  Fixture.advance(Millis{100});
  const Actions Decided = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Decided.Starts_.size() == 1U);
  // Attempt numbers of a later epoch exceed all those of an earlier one.
  BOOST_TEST(Decided.Starts_[0].Order_.Attempt_ == 1001);
}

// Guards against starting a task again that an earlier leader may have started
// on a worker that the new leader cannot reach.
BOOST_AUTO_TEST_CASE(RestoredTaskWaitsForWorkersNotYetPolled) {
  DispatcherFixture Fixture(2);
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.Dispatcher_.restoreJob(Job, JobProgress{}, Fixture.Now_);
  Fixture.Dispatcher_.restoreWorker(makeWorker("hidden"));
  Fixture.addWorkers({makeWorker("w1")});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.Dispatcher_.handlePollFailure(
      "hidden",
      Error{Reason::ConnectFailed, Effect::None, "look", "hidden", "refused"},
      Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  const DispatchLimits Limits = DispatcherFixture::makeLimits();
  Fixture.advance(Limits.Lease_ + Limits.LeaderGrace_ + Millis{500});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunningTaskIsAdopted) {
  DispatcherFixture Fixture(2);
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.Dispatcher_.restoreJob(Job, JobProgress{}, Fixture.Now_);
  const std::string Task = taskNameOf(Job, 0, 0);
  Fixture.RunningTasks_["w1"][Task] = RunningEntry{Task, 1, "", 10, 0};
  Fixture.addWorkers({makeWorker("w1")});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.endTask(Task, TaskEnd::Done);
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Complete));
}

// Guards against starting a task again while its unreachable worker may still
// hold a lease. A refused connection does not prove that the worker crashed.
BOOST_AUTO_TEST_CASE(UnreachableWorkerKeepsItsTasksUntilTheLeaseExpires) {
  for (const Reason Cause : {Reason::Timeout, Reason::ConnectFailed}) {
    DispatcherFixture Fixture;
    Fixture.addWorkers({makeWorker("w1")});
    const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
    Fixture.submit(Job);
    Fixture.decideAndExecute();
    Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
    Fixture.Dispatcher_.handlePollFailure(
        "w1", Error{Cause, Effect::Unknown, "look", "w1", "gone"},
        Fixture.Now_);
    BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
    Fixture.advance(DispatcherFixture::makeLimits().Lease_ - Millis{100});
    Fixture.pollWorker("w2");
    BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
    Fixture.advance(Millis{800});
    const Actions Decided = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(Decided.Starts_.size() == 1U);
    BOOST_TEST(Decided.Starts_[0].Target_.Worker_ == "w2");
  }
}

BOOST_AUTO_TEST_CASE(RestartedWorkerLosesItsRuns) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  Fixture.RunningTasks_.clear();
  // A status poll sent in the same millisecond as the reply to the start may
  // predate that reply.
  Fixture.advance(Millis{1});
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a start that the worker executes late, after the task was
// started elsewhere: its capacity stays reserved until a stop makes the worker
// reject the start.
BOOST_AUTO_TEST_CASE(UnansweredStartIsStoppedBeforeItIsRepeated) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 1000)});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  const Actions FirstPass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(FirstPass.Starts_.size() == 1U);
  Fixture.Dispatcher_.handleStartReply(
      FirstPass.Starts_[0], startError(Effect::Unknown), Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.pollWorker("w1");
  const Actions SecondPass = Fixture.decideAndExecute();
  BOOST_TEST(SecondPass.Starts_.empty());
  BOOST_TEST_REQUIRE(SecondPass.Stops_.size() == 1U);
  Fixture.advance(Millis{5});
  Fixture.pollWorker("w1");
  const Actions ThirdPass = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(ThirdPass.Starts_.size() == 1U);
  BOOST_TEST(ThirdPass.Starts_[0].Order_.Attempt_ == 2);
}

// Guards against a stopped task that is never released: status polls that took
// longer than the interval between repeated stops were never sent after the
// last stop. The first confirmed stop counts instead.
BOOST_AUTO_TEST_CASE(RepeatedStopsDoNotDelayTheRelease) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 1000)});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions FirstPass = Fixture.Dispatcher_.decide(Fixture.Now_);
  Fixture.Dispatcher_.handleStartReply(
      FirstPass.Starts_[0], startError(Effect::Unknown), Fixture.Now_);
  Fixture.pollWorker("w1");
  BOOST_TEST(Fixture.decideAndExecute().Stops_.size() == 1U);
  const Millis SentAt = Fixture.Now_ + Millis{5};
  Fixture.advance(Millis{1900});
  BOOST_TEST(Fixture.decideAndExecute().Stops_.size() == 1U);
  PollReply Slow;
  Slow.Clock_ = Fixture.Now_;
  Slow.ProcessStart_ = 1;
  Fixture.Dispatcher_.handlePollReply("w1", Slow, SentAt, Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(UnansweredStartThatRunsIsKept) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  const Actions FirstPass = Fixture.Dispatcher_.decide(Fixture.Now_);
  Fixture.Dispatcher_.handleStartReply(
      FirstPass.Starts_[0], startError(Effect::Unknown), Fixture.Now_);
  const std::string Task = taskNameOf(Job, 0, 0);
  Fixture.RunningTasks_["w1"][Task] = RunningEntry{Task, 1, "", 5, 0};
  Fixture.pollWorker("w1");
  BOOST_TEST(Fixture.decideAndExecute().Stops_.empty());
  Fixture.endTask(Task, TaskEnd::Done);
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Complete));
}

BOOST_AUTO_TEST_CASE(StartThatWasNotSentIsRepeated) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions FirstPass = Fixture.Dispatcher_.decide(Fixture.Now_);
  Fixture.Dispatcher_.handleStartReply(FirstPass.Starts_[0],
                                       startError(Effect::None), Fixture.Now_);
  Fixture.advance(Millis{100});
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(FencedOrderEndsLeadership) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions FirstPass = Fixture.Dispatcher_.decide(Fixture.Now_);
  Fixture.Dispatcher_.handleStartReply(
      FirstPass.Starts_[0], OrderReply{OrderOutcome::Fenced, Fixture.Now_},
      Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.fenced());
}

// Guards against starting only some members of a gang.
BOOST_AUTO_TEST_CASE(GangStartsCompletelyOrNotAtAll) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 1000), makeWorker("w2", 1000)});
  StepSpec Gang = makeStep(3, 1000);
  Gang.Gang_ = true;
  const JobSpec Large = makeJob("1", "batch", {Gang});
  Fixture.submit(Large);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.addWorkers(
      {makeWorker("w1", 1000), makeWorker("w2", 1000), makeWorker("w3", 1000)});
  const Actions Decided = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Decided.Starts_.size() == 3U);
  BOOST_TEST(Decided.Starts_[0].Order_.Attempt_ ==
             Decided.Starts_[2].Order_.Attempt_);
  // The end of one member completes the whole gang.
  Fixture.endTask(taskNameOf(Large, 0, 1), TaskEnd::Done);
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Large.Id_)->State_ == JobState::Complete));
}

BOOST_AUTO_TEST_CASE(GangWithARefusedMemberIsStoppedCompletely) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 1000), makeWorker("w2", 1000)});
  StepSpec Gang = makeStep(2, 1000);
  Gang.Gang_ = true;
  Fixture.submit(makeJob("1", "batch", {Gang}));
  const Actions FirstPass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(FirstPass.Starts_.size() == 2U);
  Fixture.Dispatcher_.handleStartReply(
      FirstPass.Starts_[0], OrderReply{OrderOutcome::Done, Fixture.Now_},
      Fixture.Now_);
  Fixture.Dispatcher_.handleStartReply(
      FirstPass.Starts_[1],
      OrderReply{OrderOutcome::InsufficientCapacity, Fixture.Now_},
      Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Stops_.size() == 1U);
}

// Guards against urgent jobs that wait for batch work on a fully used fleet.
BOOST_AUTO_TEST_CASE(UrgentWorkPreemptsCheckpointedBatch) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 2000)});
  StepSpec Plain = makeStep(1, 1000);
  StepSpec Checkpointed = Plain;
  Checkpointed.Checkpointing_ = true;
  const JobSpec Batch = makeJob("b", "batch", {Plain, Checkpointed});
  Fixture.submit(Batch);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 2U);
  Fixture.pollWorker("w1");
  Fixture.submit(makeJob("2", "urgent", {makeStep(1, 1000)}));
  Fixture.advance(Millis{10});
  const Actions Decided = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Decided.Stops_.size() == 1U);
  BOOST_TEST(Decided.Stops_[0].Task_ == taskNameOf(Batch, 1, 0));
  Fixture.endTask(taskNameOf(Batch, 1, 0), TaskEnd::Stopped, "saved");
  const Actions NextPass = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NextPass.Starts_.size() == 1U);
  BOOST_TEST(NextPass.Starts_[0].Task_.Job_.back() == '2');
}

// Guards against losing the progress of a preempted task.
BOOST_AUTO_TEST_CASE(CheckpointIsPassedToTheNextAttempt) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  StepSpec Checkpointed = makeStep(1, 1000);
  Checkpointed.Checkpointing_ = true;
  const JobSpec Job = makeJob("1", "batch", {Checkpointed});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Stopped, "half");
  const Actions Decided = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Decided.Starts_.size() == 1U);
  BOOST_TEST(Decided.Starts_[0].Order_.Checkpoint_ == "half");
}

BOOST_AUTO_TEST_CASE(CancellationStopsAllRuns) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(3, 1000)});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  BOOST_TEST(Fixture.Dispatcher_.cancelJob(Job.Id_, Fixture.Now_));
  BOOST_TEST(Fixture.decideAndExecute().Stops_.size() == 3U);
  BOOST_TEST(!Fixture.Dispatcher_.cancelJob(Job.Id_, Fixture.Now_));
}

// Guards against placing tasks on a draining worker, and against long-running
// tasks that stay on it until it shuts down.
BOOST_AUTO_TEST_CASE(DrainingWorkerIsEvacuated) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  StepSpec LongRunning = makeStep(1, 1000);
  LongRunning.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {LongRunning});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  WorkerInfo Draining = makeWorker("w1");
  Draining.Draining_ = true;
  Fixture.addWorkers({Draining, makeWorker("w2")});
  BOOST_TEST(Fixture.decideAndExecute().Stops_.size() == 1U);
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Stopped);
  const Actions Decided = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Decided.Starts_.size() == 1U);
  BOOST_TEST(Decided.Starts_[0].Target_.Worker_ == "w2");
}

BOOST_AUTO_TEST_CASE(LongRunningTaskIsRestartedAfterAnyEnd) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  StepSpec LongRunning = makeStep(1, 1000);
  LongRunning.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {LongRunning});
  Fixture.submit(Job);
  for (const TaskEnd End : {TaskEnd::Failed, TaskEnd::Failed, TaskEnd::Failed,
                            TaskEnd::LeaseExpired, TaskEnd::Done}) {
    BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
    Fixture.endTask(taskNameOf(Job, 0, 0), End);
    Fixture.advance(Millis{5000});
  }
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Active));
}

// Guards against a worker that fails every task and still gets new ones.
BOOST_AUTO_TEST_CASE(FailingWorkerIsQuarantined) {
  WorkerHealth Health;
  recordFailure(Health, "a", Millis{10});
  recordFailure(Health, "a", Millis{10});
  recordFailure(Health, "a", Millis{10});
  BOOST_TEST(Health.QuarantinedUntil_.Value_ == 0);
  recordFailure(Health, "b", Millis{10});
  const Millis FirstQuarantine = Health.QuarantineLength_;
  BOOST_TEST(FirstQuarantine.Value_ > 0);
  recordFailure(Health, "c", Millis{5000});
  BOOST_TEST(Health.QuarantineLength_.Value_ == FirstQuarantine.Value_ * 2);
  recordSuccess(Health);
  BOOST_TEST((Health == WorkerHealth{}));
}

// Guards against a task that makes no progress on a worker that still answers
// status polls.
BOOST_AUTO_TEST_CASE(StalledTaskIsStopped) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "batch", {makeStep(1, 1000)}));
  Fixture.decideAndExecute();
  Fixture.pollWorker("w1");
  Fixture.advance(Millis{2000});
  Fixture.pollWorker("w1");
  // A single status poll without progress is not enough.
  BOOST_TEST(Fixture.decideAndExecute().Stops_.empty());
  for (int Poll = 0; Poll < 2; ++Poll) {
    Fixture.advance(Millis{400});
    Fixture.pollWorker("w1");
  }
  BOOST_TEST(Fixture.decideAndExecute().Stops_.size() == 1U);
}

// Guards against detecting urgent tasks on a hung worker too late: while such a
// task is overdue, status polls of its worker wait for less time.
BOOST_AUTO_TEST_CASE(WorkersWithOverdueUrgentTasksArePolledMoreOften) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.decideAndExecute();
  Fixture.pollWorker("w1");
  const Millis Normal = Fixture.Dispatcher_.pollTimeout("w1", Fixture.Now_);
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.Dispatcher_.pollTimeout("w1", Fixture.Now_).Value_ <
             Normal.Value_);
}

// Guards against placing tasks on a worker that is several times slower than
// the others.
BOOST_AUTO_TEST_CASE(SlowWorkerIsAvoided) {
  Worker Slow;
  Slow.Info_ = makeWorker("w1", 2000);
  Worker Normal;
  Normal.Info_ = makeWorker("w2", 8000);
  recordDurationRatio(Slow, 6.0, Millis{1000});
  recordDurationRatio(Normal, 1.1, Millis{1000});
  BOOST_TEST(isSlow(Slow, 1.0, Millis{1500}));
  BOOST_TEST(!isSlow(Normal, 1.0, Millis{1500}));
  BOOST_TEST(!isSlow(Slow, 1.0, Millis{9000}));
  const std::vector<Candidate> Candidates = {
      {&Slow, 0, false, 0, true, false}, {&Normal, 0, false, 0, false, false}};
  BOOST_TEST(bestCandidate(makeStep(1, 1000), Candidates) == 1);
}

// Guards against fillers that push a task on the same worker over its latency
// target.
BOOST_AUTO_TEST_CASE(FillersYieldToServingTasks) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  StepSpec Serving = makeStep(1, 1000);
  Serving.LongRunning_ = true;
  Serving.TargetLatency_ = Millis{100};
  StepSpec Filler = makeStep(1, 1000);
  Filler.Filler_ = true;
  const JobSpec Job = makeJob("1", "lasting", {Serving});
  const JobSpec Other = makeJob("2", "batch", {Filler});
  Fixture.submit(Job);
  Fixture.submit(Other);
  Fixture.decideAndExecute();
  RunningEntry &Entry = Fixture.RunningTasks_["w1"][taskNameOf(Job, 0, 0)];
  Entry.Percent_ = 100;
  Entry.Gauge_ = 120;
  Fixture.pollWorker("w1");
  Actions Decided = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Decided.Paces_.size() == 1U);
  BOOST_TEST(Decided.Paces_[0].Percent_ == 0);
  BOOST_TEST(Decided.Paces_[0].Task_ == taskNameOf(Other, 0, 0));
  // An order that was not carried out is repeated.
  Fixture.Dispatcher_.handlePaceReply(Decided.Paces_[0], false);
  BOOST_TEST(Fixture.decideAndExecute().Paces_.size() == 1U);
  Entry.Gauge_ = 10;
  Fixture.advance(Millis{3000});
  Fixture.pollWorker("w1");
  Decided = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(Decided.Paces_.size() == 1U);
  BOOST_TEST(Decided.Paces_[0].Percent_ > 0);
}

BOOST_AUTO_TEST_CASE(NeverFittingJobIsRefused) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 1000)});
  BOOST_TEST(
      !Fixture.Dispatcher_.checkFits(makeJob("1", "batch", {makeStep(1, 2000)}))
           .has_value());
  BOOST_TEST(
      Fixture.Dispatcher_.checkFits(makeJob("1", "batch", {makeStep(9, 1000)}))
          .has_value());
}

BOOST_AUTO_TEST_CASE(PendingCountsJobsWithoutAStartedTask) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 1000)});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.submit(makeJob("2", "urgent", {makeStep(1, 1000)}));
  Fixture.decideAndExecute();
  BOOST_TEST(Fixture.Dispatcher_.pendingJobs("urgent") == 1);
  BOOST_TEST(Fixture.Dispatcher_.pendingJobs("batch") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
