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

// Guards against running tasks of a job that has not been stored.
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

// Guards against starting tasks on a worker that has not been stored, which a
// later leader would not know about.
BOOST_AUTO_TEST_CASE(UnrecordedWorkerGetsNoTasks) {
  DispatcherFixture Fixture;
  Fixture.Dispatcher_.setWorkers({makeWorker("w1")}, Fixture.Now_);
  Fixture.pollWorker("w1");
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.Dispatcher_.markWorkerRecorded("w1", "w1:1");
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a step that is placed only after some worker has gained
// capacity, since it was examined before its queue's policy was known.
BOOST_AUTO_TEST_CASE(StepIsPlacedOnceItsPolicyIsKnown) {
  Dispatcher NewLeader(DispatcherFixture::makeLimits(), 2, Millis{1000});
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  NewLeader.restoreJob(makeJob("1", "late", {makeStep(1, 1000)}), Progress,
                       Millis{1000});
  NewLeader.setWorkers({makeWorker("w1")}, Millis{1000});
  NewLeader.markWorkerRecorded("w1", "w1:1");
  PollReply Reply;
  Reply.Clock_ = Millis{50000};
  Reply.ProcessStart_ = 1;
  NewLeader.handlePollReply("w1", Reply, Millis{1001}, Millis{1002});
  BOOST_TEST(NewLeader.decide(Millis{1100}).Starts_.empty());
  QueuePolicy Policy;
  Policy.Service_ = "desk";
  NewLeader.setQueues({{"late", Policy}});
  BOOST_TEST(NewLeader.decide(Millis{1200}).Starts_.size() == 1U);
}

// Guards against a job that fails with its first failed task because the new
// leader has not read the limit of its queue yet.
BOOST_AUTO_TEST_CASE(JobDoesNotFailBeforeItsLimitIsKnown) {
  for (const int MaxAttempts : {1, 2}) {
    Dispatcher NewLeader(DispatcherFixture::makeLimits(), 2, Millis{1000});
    const JobSpec Job = makeJob("1", "late", {makeStep(1, 1000)});
    JobProgress Progress;
    Progress.State_ = JobState::Active;
    NewLeader.restoreJob(Job, Progress, Millis{1000});
    NewLeader.setWorkers({makeWorker("w1")}, Millis{1000});
    NewLeader.markWorkerRecorded("w1", "w1:1");
    PollReply Reply;
    Reply.Clock_ = Millis{50000};
    Reply.ProcessStart_ = 1;
    Reply.Ended_ = {
        EndedTask{1, taskNameOf(Job, 0, 0), 1, TaskEnd::Failed, ""}};
    NewLeader.handlePollReply("w1", Reply, Millis{1001}, Millis{1002});
    BOOST_TEST(NewLeader.decide(Millis{1100}).Starts_.empty());
    BOOST_TEST((NewLeader.findJob(Job.Id_)->State_ == JobState::Active));
    QueuePolicy Policy;
    Policy.Service_ = "desk";
    Policy.MaxAttempts_ = MaxAttempts;
    NewLeader.setQueues({{"late", Policy}});
    const Actions NewActions = NewLeader.decide(Millis{1200});
    const bool Fails = MaxAttempts == 1;
    BOOST_TEST(NewActions.Starts_.size() == (Fails ? 0U : 1U));
    BOOST_TEST((NewLeader.findJob(Job.Id_)->State_ ==
                (Fails ? JobState::Failed : JobState::Active)));
  }
}

BOOST_AUTO_TEST_CASE(JobFailsAfterItsLastAttempt) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  for (int Attempt = 1; Attempt <= 2; ++Attempt) {
    const Actions NewActions = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 1U);
    BOOST_TEST(NewActions.Starts_[0].Order_.Attempt_ == Attempt);
    Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Failed);
    Fixture.advance(Millis{100});
  }
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Failed));
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
}

// Guards against counting a failure twice when the worker reports it to two
// leaders, one after the other.
BOOST_AUTO_TEST_CASE(RecordedFailureIsNotCountedAgain) {
  DispatcherFixture Fixture(2);
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  Progress.Done_ = {{}};
  Progress.FailedAttempts_[{0, 0}] = {1};
  Fixture.Dispatcher_.restoreJob(Job, Progress, Fixture.Now_);
  Fixture.Dispatcher_.setWorkers({makeWorker("w1")}, Fixture.Now_);
  Fixture.Dispatcher_.markWorkerRecorded("w1", "w1:1");
  Fixture.pollWorker(
      "w1", {EndedTask{0, taskNameOf(Job, 0, 0), 1, TaskEnd::Failed, ""}});
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Active));
  Fixture.advance(Millis{100});
  const Actions NewActions = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 1U);
  // The attempt numbers of a new leader exceed those of all earlier leaders.
  BOOST_TEST(NewActions.Starts_[0].Order_.Attempt_ == 1001);
}

// Guards against starting a task that may still be running on a worker which
// the new leader cannot reach, started there by an earlier leader.
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
    const Actions NewActions = Fixture.decideAndExecute();
    BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 1U);
    BOOST_TEST(NewActions.Starts_[0].Target_.Worker_ == "w2");
  }
}

BOOST_AUTO_TEST_CASE(RestartedWorkerLosesItsRuns) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  Fixture.RunningTasks_.clear();
  // Sends the poll in a later millisecond than the start reply. A poll sent in
  // the same one may be older than the start and does not show that the run is
  // lost.
  Fixture.advance(Millis{1});
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 1U);
}

// Guards against a start order that the worker executes only after the task was
// started elsewhere. The order's capacity stays reserved until the worker has
// confirmed a stop, after which it rejects the start.
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

// Guards against a stopped run whose resources are never released. They are
// released by a poll sent after the stop was confirmed. If polls take longer
// than the interval of repeated stop orders, no poll is sent after the last of
// these and answered before the next, so the first confirmation has to count.
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
  PollReply LateReply;
  LateReply.Clock_ = Fixture.Now_;
  LateReply.ProcessStart_ = 1;
  Fixture.Dispatcher_.handlePollReply("w1", LateReply, SentAt, Fixture.Now_);
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
  StepSpec GangStep = makeStep(3, 1000);
  GangStep.Gang_ = true;
  const JobSpec GangJob = makeJob("1", "batch", {GangStep});
  Fixture.submit(GangJob);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.empty());
  Fixture.addWorkers(
      {makeWorker("w1", 1000), makeWorker("w2", 1000), makeWorker("w3", 1000)});
  const Actions NewActions = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 3U);
  BOOST_TEST(NewActions.Starts_[0].Order_.Attempt_ ==
             NewActions.Starts_[2].Order_.Attempt_);
  // The end of one member completes the whole gang.
  Fixture.endTask(taskNameOf(GangJob, 0, 1), TaskEnd::Done);
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(GangJob.Id_)->State_ == JobState::Complete));
}

BOOST_AUTO_TEST_CASE(GangWithARefusedMemberIsStoppedCompletely) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 1000), makeWorker("w2", 1000)});
  StepSpec GangStep = makeStep(2, 1000);
  GangStep.Gang_ = true;
  Fixture.submit(makeJob("1", "batch", {GangStep}));
  const Actions FirstPass = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(FirstPass.Starts_.size() == 2U);
  Fixture.Dispatcher_.handleStartReply(
      FirstPass.Starts_[0],
      OrderReply{OrderOutcome::Done, Fixture.Now_ + Fixture.ClockOffset},
      Fixture.Now_);
  Fixture.Dispatcher_.handleStartReply(
      FirstPass.Starts_[1],
      OrderReply{OrderOutcome::InsufficientCapacity,
                 Fixture.Now_ + Fixture.ClockOffset},
      Fixture.Now_);
  BOOST_TEST(Fixture.decideAndExecute().Stops_.size() == 1U);
}

// Guards against urgent jobs that wait for batch tasks to end when all workers
// are fully used.
BOOST_AUTO_TEST_CASE(UrgentWorkPreemptsCheckpointedBatch) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1", 2000)});
  StepSpec PlainStep = makeStep(1, 1000);
  StepSpec CheckpointedStep = PlainStep;
  CheckpointedStep.Checkpointing_ = true;
  const JobSpec BatchJob = makeJob("b", "batch", {PlainStep, CheckpointedStep});
  Fixture.submit(BatchJob);
  BOOST_TEST(Fixture.decideAndExecute().Starts_.size() == 2U);
  Fixture.pollWorker("w1");
  Fixture.submit(makeJob("2", "urgent", {makeStep(1, 1000)}));
  Fixture.advance(Millis{10});
  const Actions NewActions = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NewActions.Stops_.size() == 1U);
  BOOST_TEST(NewActions.Stops_[0].Task_ == taskNameOf(BatchJob, 1, 0));
  Fixture.endTask(taskNameOf(BatchJob, 1, 0), TaskEnd::Stopped, "saved");
  const Actions NextPass = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NextPass.Starts_.size() == 1U);
  BOOST_TEST(NextPass.Starts_[0].Task_.Job_.back() == '2');
}

// Guards against losing the progress of a preempted task.
BOOST_AUTO_TEST_CASE(CheckpointIsPassedToTheNextAttempt) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  StepSpec CheckpointedStep = makeStep(1, 1000);
  CheckpointedStep.Checkpointing_ = true;
  const JobSpec Job = makeJob("1", "batch", {CheckpointedStep});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Stopped, "half");
  const Actions NewActions = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 1U);
  BOOST_TEST(NewActions.Starts_[0].Order_.Checkpoint_ == "half");
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
  StepSpec LongRunningStep = makeStep(1, 1000);
  LongRunningStep.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {LongRunningStep});
  Fixture.submit(Job);
  Fixture.decideAndExecute();
  WorkerInfo DrainingInfo = makeWorker("w1");
  DrainingInfo.Draining_ = true;
  Fixture.addWorkers({DrainingInfo, makeWorker("w2")});
  BOOST_TEST(Fixture.decideAndExecute().Stops_.size() == 1U);
  Fixture.endTask(taskNameOf(Job, 0, 0), TaskEnd::Stopped);
  const Actions NewActions = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NewActions.Starts_.size() == 1U);
  BOOST_TEST(NewActions.Starts_[0].Target_.Worker_ == "w2");
}

BOOST_AUTO_TEST_CASE(LongRunningTaskIsRestartedAfterAnyEnd) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  StepSpec LongRunningStep = makeStep(1, 1000);
  LongRunningStep.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {LongRunningStep});
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

// Guards against detecting a hung worker too late: while an urgent task on a
// worker is overdue, the status polls of the worker have a shorter timeout.
BOOST_AUTO_TEST_CASE(WorkersWithOverdueUrgentTasksArePolledMoreOften) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.decideAndExecute();
  Fixture.pollWorker("w1");
  const Millis NormalTimeout =
      Fixture.Dispatcher_.pollTimeout("w1", Fixture.Now_);
  Fixture.advance(Millis{3000});
  BOOST_TEST(Fixture.Dispatcher_.pollTimeout("w1", Fixture.Now_).Value_ <
             NormalTimeout.Value_);
}

// Guards against placing tasks on a worker that is several times slower than
// the others.
BOOST_AUTO_TEST_CASE(SlowWorkerIsAvoided) {
  Worker SlowWorker;
  SlowWorker.Info_ = makeWorker("w1", 2000);
  Worker NormalWorker;
  NormalWorker.Info_ = makeWorker("w2", 8000);
  recordDurationRatio(SlowWorker, 6.0, Millis{1000});
  recordDurationRatio(NormalWorker, 1.1, Millis{1000});
  BOOST_TEST(isSlow(SlowWorker, 1.0, Millis{1500}));
  BOOST_TEST(!isSlow(NormalWorker, 1.0, Millis{1500}));
  BOOST_TEST(!isSlow(SlowWorker, 1.0, Millis{9000}));
  const std::vector<Candidate> Candidates = {
      {&SlowWorker, 0, false, 0, true, false},
      {&NormalWorker, 0, false, 0, false, false}};
  BOOST_TEST(bestCandidate(makeStep(1, 1000), Candidates) == 1);
}

// Guards against fillers that push a task on the same worker over its latency
// target.
BOOST_AUTO_TEST_CASE(FillersYieldToServingTasks) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  StepSpec ServingStep = makeStep(1, 1000);
  ServingStep.LongRunning_ = true;
  ServingStep.TargetLatency_ = Millis{100};
  StepSpec FillerStep = makeStep(1, 1000);
  FillerStep.Filler_ = true;
  const JobSpec ServingJob = makeJob("1", "lasting", {ServingStep});
  const JobSpec FillerJob = makeJob("2", "batch", {FillerStep});
  Fixture.submit(ServingJob);
  Fixture.submit(FillerJob);
  Fixture.decideAndExecute();
  RunningEntry &Entry =
      Fixture.RunningTasks_["w1"][taskNameOf(ServingJob, 0, 0)];
  Entry.Percent_ = 100;
  Entry.Gauge_ = 120;
  Fixture.pollWorker("w1");
  Actions NewActions = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NewActions.Paces_.size() == 1U);
  BOOST_TEST(NewActions.Paces_[0].Percent_ == 0);
  BOOST_TEST(NewActions.Paces_[0].Task_ == taskNameOf(FillerJob, 0, 0));
  // A pace order that the worker did not accept is repeated.
  Fixture.Dispatcher_.handlePaceReply(NewActions.Paces_[0], false);
  BOOST_TEST(Fixture.decideAndExecute().Paces_.size() == 1U);
  Entry.Gauge_ = 10;
  Fixture.advance(Millis{3000});
  Fixture.pollWorker("w1");
  NewActions = Fixture.decideAndExecute();
  BOOST_TEST_REQUIRE(NewActions.Paces_.size() == 1U);
  BOOST_TEST(NewActions.Paces_[0].Percent_ > 0);
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

// Guards against a job that no longer counts as pending although no worker has
// taken any of its tasks.
BOOST_AUTO_TEST_CASE(JobIsPendingUntilAWorkerHasOneOfItsTasks) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 100)});
  Fixture.submit(Job);
  const std::vector<Result<OrderReply>> Failures = {
      OrderReply{OrderOutcome::Restarted, Millis{}},
      OrderReply{OrderOutcome::Unhealthy, Millis{}},
      startError(Effect::Unknown)};
  for (const Result<OrderReply> &Reply : Failures) {
    Fixture.advance(Millis{100});
    const Actions Orders = Fixture.Dispatcher_.decide(Fixture.Now_);
    BOOST_TEST_REQUIRE(Orders.Starts_.size() == 1U);
    Fixture.Dispatcher_.handleStartReply(Orders.Starts_.front(), Reply,
                                         Fixture.Now_);
    BOOST_TEST(Fixture.Dispatcher_.pendingJobs("urgent") == 1);
    const JobState State = Fixture.Dispatcher_.findJob(Job.Id_)->State_;
    BOOST_TEST((State == JobState::Queued));
  }
  const std::string Task = taskNameOf(Job, 0, 0);
  const Run Attempt =
      *Fixture.Dispatcher_.findJob(Job.Id_)->Steps_.front().Tasks_.front().Run_;
  Fixture.RunningTasks_["w1"][Task] =
      RunningEntry{Task, Attempt.Attempt_, "", 0, 0};
  Fixture.pollWorker("w1");
  BOOST_TEST(Fixture.Dispatcher_.pendingJobs("urgent") == 0);
  BOOST_TEST(
      (Fixture.Dispatcher_.findJob(Job.Id_)->State_ == JobState::Active));
}

BOOST_AUTO_TEST_SUITE_END()
