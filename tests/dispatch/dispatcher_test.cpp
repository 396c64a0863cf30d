#include "tests/dispatch/fixture.h"

#include <algorithm>

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

BOOST_AUTO_TEST_SUITE(Dispatching)

// Guards against a step that starts before its dependencies have ended.
BOOST_AUTO_TEST_CASE(StepsRunInOrder) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1"), makeWorker("w2")});
  const JobSpec Job =
      makeJob("1", "urgent", {makeStep(2, 1000), makeStep(1, 1000, {0})});
  Fake.submit(Job);
  BOOST_TEST(Fake.step().Starts_.size() == 2U);
  Fake.end(nameOf(Job, 0, 0), TaskEnd::Done);
  BOOST_TEST(Fake.step().Starts_.empty());
  Fake.end(nameOf(Job, 0, 1), TaskEnd::Done);
  BOOST_TEST(Fake.step().Starts_.size() == 1U);
  Fake.end(nameOf(Job, 1, 0), TaskEnd::Done);
  BOOST_TEST((Fake.Core_.findJob(Job.Id_)->State_ == JobState::Complete));
}

// Guards against work of a job that was never recorded.
BOOST_AUTO_TEST_CASE(UnconfirmedJobDoesNotStart) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fake.Core_.addJob(Job, Fake.Now_);
  BOOST_TEST(Fake.step().Starts_.empty());
  Fake.Core_.dropJob(Job.Id_);
  BOOST_TEST(!Fake.Core_.findJob(Job.Id_));
}

// Guards against a worker that is given more than it has.
BOOST_AUTO_TEST_CASE(CapacityHolds) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 2500)});
  Fake.submit(makeJob("1", "urgent", {makeStep(5, 1000)}));
  BOOST_TEST(Fake.step().Starts_.size() == 2U);
  BOOST_TEST(Fake.step().Starts_.empty());
}

// Guards against starts on a worker that a later leader would not know of.
BOOST_AUTO_TEST_CASE(UnrecordedWorkerGetsNothing) {
  Cell Fake;
  Fake.Core_.setWorkers({makeWorker("w1")}, Fake.Now_);
  Fake.look("w1");
  Fake.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  BOOST_TEST(Fake.step().Starts_.empty());
  Fake.Core_.noteWorkerRecorded("w1");
  BOOST_TEST(Fake.step().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(JobFailsAfterItsLastAttempt) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fake.submit(Job);
  for (int Attempt = 1; Attempt <= 2; ++Attempt) {
    const Actions Todo = Fake.step();
    BOOST_TEST_REQUIRE(Todo.Starts_.size() == 1U);
    BOOST_TEST(Todo.Starts_[0].Order_.Attempt_ == Attempt);
    Fake.end(nameOf(Job, 0, 0), TaskEnd::Failed);
    Fake.pass(Millis{100});
  }
  BOOST_TEST((Fake.Core_.findJob(Job.Id_)->State_ == JobState::Failed));
  BOOST_TEST(Fake.step().Starts_.empty());
}

// Guards against counting a failure twice that two leaders saw.
BOOST_AUTO_TEST_CASE(RecordedFailureIsNotCountedAgain) {
  Cell Fake(2);
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  JobProgress Progress;
  Progress.State_ = JobState::Active;
  Progress.Done_ = {{}};
  Progress.FailedAttempts_[{0, 0}] = {1};
  Fake.Core_.restoreJob(Job, Progress, Fake.Now_);
  Fake.Core_.setWorkers({makeWorker("w1")}, Fake.Now_);
  Fake.Core_.noteWorkerRecorded("w1");
  Fake.look("w1", {EndedTask{0, nameOf(Job, 0, 0), 1, TaskEnd::Failed, ""}});
  BOOST_TEST((Fake.Core_.findJob(Job.Id_)->State_ == JobState::Active));
  Fake.pass(Millis{100});
  const Actions Todo = Fake.step();
  BOOST_TEST_REQUIRE(Todo.Starts_.size() == 1U);
  // Attempts of a later epoch are higher than all of an earlier one.
  BOOST_TEST(Todo.Starts_[0].Order_.Attempt_ == 1001);
}

// Guards against a second run of a task that an earlier leader started on a
// worker that cannot be reached.
BOOST_AUTO_TEST_CASE(RestoredTaskWaitsForUnseenWorkers) {
  Cell Fake(2);
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fake.Core_.restoreJob(Job, JobProgress{}, Fake.Now_);
  Fake.Core_.restoreWorker(makeWorker("hidden"));
  Fake.addWorkers({makeWorker("w1")});
  BOOST_TEST(Fake.step().Starts_.empty());
  Fake.Core_.noteLookFailure(
      "hidden",
      Error{Reason::ConnectFailed, Effect::None, "look", "hidden", "refused"},
      Fake.Now_);
  BOOST_TEST(Fake.step().Starts_.empty());
  const DispatchLimits Limits = Cell::makeLimits();
  Fake.pass(Limits.Lease_ + Limits.LeaderGrace_ + Millis{500});
  BOOST_TEST(Fake.step().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunningTaskIsAdopted) {
  Cell Fake(2);
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fake.Core_.restoreJob(Job, JobProgress{}, Fake.Now_);
  const std::string Task = nameOf(Job, 0, 0);
  Fake.Running_["w1"][Task] = RunningEntry{Task, 1, "", 10, 0};
  Fake.addWorkers({makeWorker("w1")});
  BOOST_TEST(Fake.step().Starts_.empty());
  Fake.end(Task, TaskEnd::Done);
  BOOST_TEST((Fake.Core_.findJob(Job.Id_)->State_ == JobState::Complete));
}

// Guards against a second run while a silent worker may hold a lease. A
// refused connection is no proof of a crash.
BOOST_AUTO_TEST_CASE(SilentWorkerKeepsItsTasksUntilTheLeaseLapses) {
  for (const Reason Why : {Reason::Timeout, Reason::ConnectFailed}) {
    Cell Fake;
    Fake.addWorkers({makeWorker("w1")});
    const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
    Fake.submit(Job);
    Fake.step();
    Fake.addWorkers({makeWorker("w1"), makeWorker("w2")});
    Fake.Core_.noteLookFailure(
        "w1", Error{Why, Effect::Unknown, "look", "w1", "gone"}, Fake.Now_);
    BOOST_TEST(Fake.step().Starts_.empty());
    Fake.pass(Cell::makeLimits().Lease_ - Millis{100});
    Fake.look("w2");
    BOOST_TEST(Fake.step().Starts_.empty());
    Fake.pass(Millis{800});
    const Actions Todo = Fake.step();
    BOOST_TEST_REQUIRE(Todo.Starts_.size() == 1U);
    BOOST_TEST(Todo.Starts_[0].Target_.Worker_ == "w2");
  }
}

BOOST_AUTO_TEST_CASE(RestartedWorkerLosesItsRuns) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fake.submit(Job);
  Fake.step();
  Fake.Running_.clear();
  // A look that is sent in the millisecond of the answer may be older than it.
  Fake.pass(Millis{1});
  Fake.look("w1", {}, 2);
  BOOST_TEST(Fake.step().Starts_.size() == 1U);
}

// Guards against a start that is carried out late, after the task was started
// elsewhere: its room stays taken until a stop makes the worker reject it.
BOOST_AUTO_TEST_CASE(UnansweredStartIsStoppedBeforeItIsRepeated) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 1000)});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fake.submit(Job);
  const Actions First = Fake.Core_.decide(Fake.Now_);
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  Fake.Core_.noteStart(First.Starts_[0], lost(Effect::Unknown), Fake.Now_);
  BOOST_TEST(Fake.step().Starts_.empty());
  Fake.look("w1");
  const Actions Second = Fake.step();
  BOOST_TEST(Second.Starts_.empty());
  BOOST_TEST_REQUIRE(Second.Stops_.size() == 1U);
  Fake.pass(Millis{5});
  Fake.look("w1");
  const Actions Third = Fake.step();
  BOOST_TEST_REQUIRE(Third.Starts_.size() == 1U);
  BOOST_TEST(Third.Starts_[0].Order_.Attempt_ == 2);
}

// Guards against a task that stays stopped for ever: looks that take longer
// than the pause between repeated stops were never later than the last one.
BOOST_AUTO_TEST_CASE(RepeatedStopsDoNotPostponeTheRelease) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 1000)});
  Fake.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions First = Fake.Core_.decide(Fake.Now_);
  Fake.Core_.noteStart(First.Starts_[0], lost(Effect::Unknown), Fake.Now_);
  Fake.look("w1");
  BOOST_TEST(Fake.step().Stops_.size() == 1U);
  const Millis SentAt = Fake.Now_ + Millis{5};
  Fake.pass(Millis{1900});
  BOOST_TEST(Fake.step().Stops_.size() == 1U);
  LookReply Slow;
  Slow.Clock_ = Fake.Now_;
  Slow.Born_ = 1;
  Fake.Core_.noteLook("w1", Slow, SentAt, Fake.Now_);
  BOOST_TEST(Fake.step().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(UnansweredStartThatRunsIsKept) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fake.submit(Job);
  const Actions First = Fake.Core_.decide(Fake.Now_);
  Fake.Core_.noteStart(First.Starts_[0], lost(Effect::Unknown), Fake.Now_);
  const std::string Task = nameOf(Job, 0, 0);
  Fake.Running_["w1"][Task] = RunningEntry{Task, 1, "", 5, 0};
  Fake.look("w1");
  BOOST_TEST(Fake.step().Stops_.empty());
  Fake.end(Task, TaskEnd::Done);
  BOOST_TEST((Fake.Core_.findJob(Job.Id_)->State_ == JobState::Complete));
}

BOOST_AUTO_TEST_CASE(StartThatWasNotSentIsRepeated) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  Fake.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions First = Fake.Core_.decide(Fake.Now_);
  Fake.Core_.noteStart(First.Starts_[0], lost(Effect::None), Fake.Now_);
  Fake.pass(Millis{100});
  BOOST_TEST(Fake.step().Starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(FencedOrderEndsTheLead) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  Fake.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions First = Fake.Core_.decide(Fake.Now_);
  Fake.Core_.noteStart(First.Starts_[0],
                       OrderReply{OrderOutcome::Fenced, Fake.Now_}, Fake.Now_);
  BOOST_TEST(Fake.Core_.fenced());
}

// Guards against a gang of which only some members are started.
BOOST_AUTO_TEST_CASE(GangStartsWholeOrNotAtAll) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 1000), makeWorker("w2", 1000)});
  StepSpec Gang = makeStep(3, 1000);
  Gang.Gang_ = true;
  const JobSpec Large = makeJob("1", "batch", {Gang});
  Fake.submit(Large);
  BOOST_TEST(Fake.step().Starts_.empty());
  Fake.addWorkers(
      {makeWorker("w1", 1000), makeWorker("w2", 1000), makeWorker("w3", 1000)});
  const Actions Todo = Fake.step();
  BOOST_TEST_REQUIRE(Todo.Starts_.size() == 3U);
  BOOST_TEST(Todo.Starts_[0].Order_.Attempt_ ==
             Todo.Starts_[2].Order_.Attempt_);
  // One end stands for all members.
  Fake.end(nameOf(Large, 0, 1), TaskEnd::Done);
  BOOST_TEST((Fake.Core_.findJob(Large.Id_)->State_ == JobState::Complete));
}

BOOST_AUTO_TEST_CASE(GangWithARefusedMemberIsStoppedWhole) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 1000), makeWorker("w2", 1000)});
  StepSpec Gang = makeStep(2, 1000);
  Gang.Gang_ = true;
  Fake.submit(makeJob("1", "batch", {Gang}));
  const Actions First = Fake.Core_.decide(Fake.Now_);
  BOOST_TEST_REQUIRE(First.Starts_.size() == 2U);
  Fake.Core_.noteStart(First.Starts_[0],
                       OrderReply{OrderOutcome::Done, Fake.Now_}, Fake.Now_);
  Fake.Core_.noteStart(First.Starts_[1],
                       OrderReply{OrderOutcome::NoRoom, Fake.Now_}, Fake.Now_);
  BOOST_TEST(Fake.step().Stops_.size() == 1U);
}

// Guards against lookups that wait behind batch work on a full fleet.
BOOST_AUTO_TEST_CASE(UrgentWorkPreemptsCheckpointedBatch) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 2000)});
  StepSpec Plain = makeStep(1, 1000);
  StepSpec Saved = Plain;
  Saved.Checkpointing_ = true;
  const JobSpec Batch = makeJob("b", "batch", {Plain, Saved});
  Fake.submit(Batch);
  BOOST_TEST(Fake.step().Starts_.size() == 2U);
  Fake.look("w1");
  Fake.submit(makeJob("2", "urgent", {makeStep(1, 1000)}));
  Fake.pass(Millis{10});
  const Actions Todo = Fake.step();
  BOOST_TEST_REQUIRE(Todo.Stops_.size() == 1U);
  BOOST_TEST(Todo.Stops_[0].Task_ == nameOf(Batch, 1, 0));
  Fake.end(nameOf(Batch, 1, 0), TaskEnd::Stopped, "saved");
  const Actions Next = Fake.step();
  BOOST_TEST_REQUIRE(Next.Starts_.size() == 1U);
  BOOST_TEST(Next.Starts_[0].Task_.Job_.back() == '2');
}

// Guards against work that is lost at a preemption.
BOOST_AUTO_TEST_CASE(CheckpointGoesToTheNextAttempt) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  StepSpec Saved = makeStep(1, 1000);
  Saved.Checkpointing_ = true;
  const JobSpec Job = makeJob("1", "batch", {Saved});
  Fake.submit(Job);
  Fake.step();
  Fake.end(nameOf(Job, 0, 0), TaskEnd::Stopped, "half");
  const Actions Todo = Fake.step();
  BOOST_TEST_REQUIRE(Todo.Starts_.size() == 1U);
  BOOST_TEST(Todo.Starts_[0].Order_.Checkpoint_ == "half");
}

BOOST_AUTO_TEST_CASE(CancellationStopsAllRuns) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(3, 1000)});
  Fake.submit(Job);
  Fake.step();
  BOOST_TEST(Fake.Core_.cancelJob(Job.Id_, Fake.Now_));
  BOOST_TEST(Fake.step().Stops_.size() == 3U);
  BOOST_TEST(!Fake.Core_.cancelJob(Job.Id_, Fake.Now_));
}

// Guards against a draining worker that gets new work, and lasting tasks that
// stay on it until it leaves.
BOOST_AUTO_TEST_CASE(DrainingWorkerIsEmptied) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  StepSpec Lasting = makeStep(1, 1000);
  Lasting.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {Lasting});
  Fake.submit(Job);
  Fake.step();
  WorkerInfo Draining = makeWorker("w1");
  Draining.Draining_ = true;
  Fake.addWorkers({Draining, makeWorker("w2")});
  BOOST_TEST(Fake.step().Stops_.size() == 1U);
  Fake.end(nameOf(Job, 0, 0), TaskEnd::Stopped);
  const Actions Todo = Fake.step();
  BOOST_TEST_REQUIRE(Todo.Starts_.size() == 1U);
  BOOST_TEST(Todo.Starts_[0].Target_.Worker_ == "w2");
}

BOOST_AUTO_TEST_CASE(LastingTaskIsStartedAgainHoweverItEnds) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  StepSpec Lasting = makeStep(1, 1000);
  Lasting.LongRunning_ = true;
  const JobSpec Job = makeJob("1", "lasting", {Lasting});
  Fake.submit(Job);
  for (const TaskEnd How : {TaskEnd::Failed, TaskEnd::Failed, TaskEnd::Failed,
                            TaskEnd::LeaseExpired, TaskEnd::Done}) {
    BOOST_TEST(Fake.step().Starts_.size() == 1U);
    Fake.end(nameOf(Job, 0, 0), How);
    Fake.pass(Millis{5000});
  }
  BOOST_TEST((Fake.Core_.findJob(Job.Id_)->State_ == JobState::Active));
}

// Guards against a worker that fails everything and goes on getting work.
BOOST_AUTO_TEST_CASE(FailingWorkerIsQuarantined) {
  WorkerHealth Health;
  noteFailure(Health, "a", Millis{10});
  noteFailure(Health, "a", Millis{10});
  noteFailure(Health, "a", Millis{10});
  BOOST_TEST(Health.QuarantinedUntil_.Value_ == 0);
  noteFailure(Health, "b", Millis{10});
  const Millis First = Health.QuarantineLength_;
  BOOST_TEST(First.Value_ > 0);
  noteFailure(Health, "c", Millis{5000});
  BOOST_TEST(Health.QuarantineLength_.Value_ == First.Value_ * 2);
  noteSuccess(Health);
  BOOST_TEST((Health == WorkerHealth{}));
}

// Guards against a task that stands still on a worker that reports in time.
BOOST_AUTO_TEST_CASE(StalledTaskIsStopped) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  Fake.submit(makeJob("1", "batch", {makeStep(1, 1000)}));
  Fake.step();
  Fake.look("w1");
  Fake.pass(Millis{2000});
  Fake.look("w1");
  // One look without progress proves nothing.
  BOOST_TEST(Fake.step().Stops_.empty());
  for (int Each = 0; Each < 2; ++Each) {
    Fake.pass(Millis{400});
    Fake.look("w1");
  }
  BOOST_TEST(Fake.step().Stops_.size() == 1U);
}

// Guards against lookups on a hung worker that are found only by chance.
BOOST_AUTO_TEST_CASE(OverdueLookupsAreLookedAtMoreOften) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  Fake.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fake.step();
  Fake.look("w1");
  const Millis Usual = Fake.Core_.lookWait("w1", Fake.Now_);
  Fake.pass(Millis{3000});
  BOOST_TEST(Fake.Core_.lookWait("w1", Fake.Now_).Value_ < Usual.Value_);
}

// Guards against lookups that go to a worker several times slower than others.
BOOST_AUTO_TEST_CASE(SlowWorkerIsAvoided) {
  Worker Slow;
  Slow.Info_ = makeWorker("w1", 2000);
  Worker Usual;
  Usual.Info_ = makeWorker("w2", 8000);
  noteSpeed(Slow, 6.0, Millis{1000});
  noteSpeed(Usual, 1.1, Millis{1000});
  BOOST_TEST(isSlow(Slow, 1.0, Millis{1500}));
  BOOST_TEST(!isSlow(Usual, 1.0, Millis{1500}));
  BOOST_TEST(!isSlow(Slow, 1.0, Millis{9000}));
  const std::vector<Candidate> Both = {{&Slow, 0, false, 0, true, false},
                                       {&Usual, 0, false, 0, false, false}};
  BOOST_TEST(bestCandidate(makeStep(1, 1000), Both) == 1);
}

// Guards against fillers that push a neighbor over its latency target.
BOOST_AUTO_TEST_CASE(FillersGiveWayToUsers) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  StepSpec Serving = makeStep(1, 1000);
  Serving.LongRunning_ = true;
  Serving.TargetLatency_ = Millis{100};
  StepSpec Filler = makeStep(1, 1000);
  Filler.Filler_ = true;
  const JobSpec Job = makeJob("1", "lasting", {Serving});
  const JobSpec Other = makeJob("2", "batch", {Filler});
  Fake.submit(Job);
  Fake.submit(Other);
  Fake.step();
  RunningEntry &Entry = Fake.Running_["w1"][nameOf(Job, 0, 0)];
  Entry.Percent_ = 100;
  Entry.Gauge_ = 120;
  Fake.look("w1");
  Actions Todo = Fake.step();
  BOOST_TEST_REQUIRE(Todo.Paces_.size() == 1U);
  BOOST_TEST(Todo.Paces_[0].Percent_ == 0);
  BOOST_TEST(Todo.Paces_[0].Task_ == nameOf(Other, 0, 0));
  // A lost order is given again.
  Fake.Core_.notePace(Todo.Paces_[0], false);
  BOOST_TEST(Fake.step().Paces_.size() == 1U);
  Entry.Gauge_ = 10;
  Fake.pass(Millis{3000});
  Fake.look("w1");
  Todo = Fake.step();
  BOOST_TEST_REQUIRE(Todo.Paces_.size() == 1U);
  BOOST_TEST(Todo.Paces_[0].Percent_ > 0);
}

BOOST_AUTO_TEST_CASE(NeverFittingJobIsRefused) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 1000)});
  BOOST_TEST(!Fake.Core_.checkFits(makeJob("1", "batch", {makeStep(1, 2000)}))
                  .has_value());
  BOOST_TEST(Fake.Core_.checkFits(makeJob("1", "batch", {makeStep(9, 1000)}))
                 .has_value());
}

BOOST_AUTO_TEST_CASE(PendingCountsJobsWithoutAStart) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 1000)});
  Fake.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fake.submit(makeJob("2", "urgent", {makeStep(1, 1000)}));
  Fake.step();
  BOOST_TEST(Fake.Core_.pendingJobs("urgent") == 1);
  BOOST_TEST(Fake.Core_.pendingJobs("batch") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
