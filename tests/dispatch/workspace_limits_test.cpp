#include "tests/dispatch/fixture.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

constexpr Millis TurnWait{2500};

WorkspacePolicies limitOf(std::int64_t MilliCpus) {
  WorkspacePolicy Policy;
  Policy.Limit_.MilliCpus_ = MilliCpus;
  return {{"maps", Policy}};
}

JobSpec ofWorkspace(JobSpec Spec, const std::string &Workspace = "maps") {
  Spec.Workspace_ = Workspace;
  return Spec;
}

StepSpec makeGang(int Count, std::int64_t MilliCpus) {
  StepSpec Step = makeStep(Count, MilliCpus);
  Step.Gang_ = true;
  return Step;
}

/// A fixture that executes passes until one starts nothing.
struct LimitFixture : DispatcherFixture {
  explicit LimitFixture(std::int64_t Epoch = 1, Millis Start = Millis{1000})
      : DispatcherFixture(Epoch, Start) {}

  int startAll() {
    int Starts = 0;
    for (int Last = -1; Last != Starts;) {
      Last = Starts;
      Starts += static_cast<int>(decideAndExecute().Starts_.size());
    }
    return Starts;
  }

  /// Polls all workers and plans in steps of 100 ms.
  int runFor(Millis Duration) {
    constexpr Millis Interval{100};
    int Starts = 0;
    for (Millis Passed{}; Passed < Duration; Passed = Passed + Interval) {
      advance(Interval);
      for (const auto &[Id, Tasks] : std::map(RunningTasks_))
        pollWorker(Id);
      Starts += startAll();
    }
    return Starts;
  }

  /// Ends one running task of the job.
  void endOne(const JobSpec &Job) {
    for (const auto &[Id, Tasks] : RunningTasks_)
      for (const auto &[Name, Entry] : Tasks)
        if (Name.starts_with(Job.Id_ + ".")) {
          const std::string Task = Name;
          return endTask(Task, TaskEnd::Done);
        }
    BOOST_FAIL("the job runs nothing");
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceLimits)

// Guards against a burst that starts beyond the limit because runs that are
// still starting are not counted, and against freed parts that stay unused.
BOOST_AUTO_TEST_CASE(LimitHoldsInABurst) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(5000));
  Fixture.addWorkers({makeWorker("w1", 8000), makeWorker("w2", 8000)});
  const JobSpec First =
      ofWorkspace(makeJob("1", "urgent", {makeStep(4, 1000)}));
  const JobSpec Second =
      ofWorkspace(makeJob("2", "urgent", {makeStep(9, 1000)}));
  Fixture.submit(First);
  Fixture.submit(Second);
  BOOST_TEST(Fixture.startAll() == 5);
  Fixture.endOne(Second);
  Fixture.endOne(First);
  BOOST_TEST(Fixture.startAll() == 2);
  BOOST_TEST(Fixture.startAll() == 0);
}

// Guards against a limit that holds back the work of others.
BOOST_AUTO_TEST_CASE(OthersAreUnaffected) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(2000));
  Fixture.addWorkers({makeWorker("w1", 16000)});
  Fixture.submit(ofWorkspace(makeJob("1", "urgent", {makeStep(9, 1000)})));
  Fixture.submit(
      ofWorkspace(makeJob("2", "urgent", {makeStep(5, 1000)}), "parcels"));
  Fixture.submit(makeJob("3", "urgent", {makeStep(5, 1000)}));
  BOOST_TEST(Fixture.startAll() == 2 + 5 + 5);
}

// Guards against a resource without a limit that counts as one of zero, and
// against a limit of memory that is not kept.
BOOST_AUTO_TEST_CASE(EachResourceHasItsLimit) {
  LimitFixture Fixture;
  WorkspacePolicy Policy;
  Policy.Limit_.MemoryMib_ = 350;
  Fixture.Dispatcher_.setWorkspaces({{"maps", Policy}});
  Fixture.addWorkers({makeWorker("w1", 16000)});
  Fixture.submit(ofWorkspace(makeJob("1", "urgent", {makeStep(9, 1000)})));
  BOOST_TEST(Fixture.startAll() == 3);
}

// Guards against fillers that use processors beyond the limit: they reserve
// none on their worker.
BOOST_AUTO_TEST_CASE(FillersCountWithTheirProcessors) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(3000));
  Fixture.addWorkers({makeWorker("w1", 16000)});
  StepSpec Filler = makeStep(9, 1000);
  Filler.Filler_ = true;
  Fixture.submit(ofWorkspace(makeJob("1", "batch", {Filler})));
  BOOST_TEST(Fixture.startAll() == 3);
}

// Guards against a task that never runs because it is larger than the limit.
BOOST_AUTO_TEST_CASE(LargerTaskRunsAlone) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(2000));
  Fixture.addWorkers({makeWorker("w1", 16000)});
  const JobSpec Small = ofWorkspace(makeJob("1", "urgent", {makeStep(3, 500)}));
  const JobSpec Large =
      ofWorkspace(makeJob("2", "urgent", {makeStep(2, 3000)}));
  Fixture.submit(Small);
  BOOST_TEST(Fixture.startAll() == 3);
  Fixture.submit(Large);
  BOOST_TEST(Fixture.startAll() == 0);
  for (int Ended = 0; Ended < 3; ++Ended)
    Fixture.endOne(Small);
  BOOST_TEST(Fixture.startAll() == 1);
  Fixture.endOne(Large);
  BOOST_TEST(Fixture.startAll() == 1);
}

// Guards against starts without a reply that no longer count once their worker
// is lost: the next process of the worker may carry them out.
BOOST_AUTO_TEST_CASE(UnansweredStartsCountUntilTheyCannotBegin) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(2000));
  Fixture.addWorkers({makeWorker("w1", 8000)});
  Fixture.submit(ofWorkspace(makeJob("1", "urgent", {makeStep(6, 1000)})));
  const Actions Ordered = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Ordered.Starts_.size() == 2U);
  for (const StartAction &Start : Ordered.Starts_)
    Fixture.Dispatcher_.handleStartReply(Start, startError(Effect::Unknown),
                                         Fixture.Now_);
  BOOST_TEST(Fixture.startAll() == 0);
  // The runs are dropped since their process has ended.
  WorkerInfo Moved = makeWorker("w1", 8000);
  Moved.Address_ = "w1:2";
  Fixture.Dispatcher_.setWorkers({Moved, makeWorker("w2", 8000)}, Fixture.Now_);
  for (const WorkerInfo &Info : Fixture.Dispatcher_.takeUnrecordedWorkers())
    Fixture.Dispatcher_.markWorkerRecorded(Info.Id_, Info.Address_);
  BOOST_TEST(Fixture.Dispatcher_.findWorker("w1")->Tasks_.empty());
  Fixture.pollWorker("w2");
  BOOST_TEST(Fixture.startAll() == 0);
  Fixture.advance(Millis{15100});
  Fixture.pollWorker("w2");
  BOOST_TEST(Fixture.startAll() == 2);
}

// Guards against a run that no longer counts once its stop was ordered.
BOOST_AUTO_TEST_CASE(StoppingRunsCountUntilTheyEnd) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(2000));
  Fixture.addWorkers({makeWorker("w1", 8000)});
  const JobSpec Canceled =
      ofWorkspace(makeJob("1", "urgent", {makeStep(2, 1000)}));
  Fixture.submit(Canceled);
  BOOST_TEST(Fixture.startAll() == 2);
  Fixture.submit(ofWorkspace(makeJob("2", "urgent", {makeStep(4, 1000)})));
  Fixture.Dispatcher_.cancelJob(Canceled.Id_, Fixture.Now_);
  Fixture.pollWorker("w1");
  BOOST_TEST(Fixture.startAll() == 0);
  Fixture.RunningTasks_["w1"].erase(taskNameOf(Canceled, 0, 0));
  Fixture.advance(Millis{1});
  Fixture.pollWorker("w1");
  BOOST_TEST(Fixture.startAll() == 1);
}

// Guards against runs that a worker lists although they were lost, and that
// are not counted while they are stopped.
BOOST_AUTO_TEST_CASE(UnexpectedRunsCount) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(2000));
  Fixture.addWorkers({makeWorker("w1", 8000), makeWorker("w2", 8000)});
  const JobSpec Job = ofWorkspace(makeJob("1", "urgent", {makeStep(4, 1000)}));
  Fixture.submit(Job);
  BOOST_TEST(Fixture.startAll() == 2);
  // A second attempt at a running task, which no leader has ordered here.
  const std::string Running = taskNameOf(Job, 0, 0);
  const std::string Other = Fixture.workerOf(Running) == "w1" ? "w2" : "w1";
  Fixture.RunningTasks_[Other]["x"] = RunningEntry{Running, 1, "", 0, 0};
  Fixture.RunningTasks_[Other].erase(Running);
  Fixture.pollWorker(Other);
  Fixture.endTask(Running, TaskEnd::Done);
  BOOST_TEST(Fixture.startAll() == 0);
  Fixture.RunningTasks_[Other].erase("x");
  Fixture.pollWorker(Other);
  BOOST_TEST(Fixture.startAll() == 1);
}

// Guards against a new leader that starts a workspace's jobs beyond its limit
// while workers it has not reached still run what an earlier leader started
// there, and against a bound that holds back more than can run there.
BOOST_AUTO_TEST_CASE(UnreachedWorkersCountAfterATakeover) {
  constexpr std::int64_t Epoch = 2;
  LimitFixture Fixture(Epoch);
  Fixture.Dispatcher_.setWorkspaces(limitOf(6000));
  Fixture.Dispatcher_.restoreWorker(makeWorker("w1", 4000));
  Fixture.Dispatcher_.restoreJob(
      ofWorkspace(makeJob("1", "batch", {makeStep(10, 1000)})), JobProgress{},
      Fixture.Now_);
  Fixture.Dispatcher_.finishRestore();
  Fixture.Dispatcher_.setWorkers({makeWorker("w1", 4000)}, Fixture.Now_);
  std::vector<WorkerInfo> Infos{makeWorker("w1", 4000),
                                makeWorker("w2", 16000)};
  Fixture.Dispatcher_.setWorkers(Infos, Fixture.Now_);
  for (const WorkerInfo &Info : Fixture.Dispatcher_.takeUnrecordedWorkers())
    Fixture.Dispatcher_.markWorkerRecorded(Info.Id_, Info.Address_);
  Fixture.pollWorker("w2");
  // Four of the ten tasks may run on w1.
  Fixture.submit(ofWorkspace(makeJob("2", "urgent", {makeStep(10, 1000)})));
  BOOST_TEST(Fixture.startAll() == 2);
  // It runs one of them.
  const std::string Task =
      taskNameOf(makeJob("1", "batch", {makeStep(10, 1000)}), 0, 3);
  Fixture.RunningTasks_["w1"][Task] = RunningEntry{Task, 1, "", 0, 0};
  Fixture.pollWorker("w1");
  BOOST_TEST(Fixture.startAll() == 3);
}

// Guards against a worker that is never reached and blocks the workspace after
// the leases there have ended.
BOOST_AUTO_TEST_CASE(UnreachedWorkersCountUntilTheirLeasesEnd) {
  constexpr std::int64_t Epoch = 2;
  LimitFixture Fixture(Epoch);
  Fixture.Dispatcher_.setWorkspaces(limitOf(3000));
  Fixture.Dispatcher_.restoreWorker(makeWorker("w1", 4000));
  const JobSpec Canceled =
      ofWorkspace(makeJob("1", "batch", {makeStep(10, 1000)}));
  JobProgress Progress;
  Progress.State_ = JobState::Canceled;
  Fixture.Dispatcher_.restoreJob(Canceled, Progress, Fixture.Now_);
  Fixture.Dispatcher_.finishRestore();
  Fixture.addWorkers({makeWorker("w2", 16000)});
  Fixture.submit(ofWorkspace(makeJob("2", "urgent", {makeStep(10, 1000)})));
  // Runs of the canceled job may not have been stopped yet.
  BOOST_TEST(Fixture.startAll() == 0);
  Fixture.advance(Millis{12000});
  Fixture.pollWorker("w2");
  BOOST_TEST(Fixture.startAll() == 3);
}

// Guards against a lowered limit that lets tasks start, and against steps that
// are not examined again once the limit has risen.
BOOST_AUTO_TEST_CASE(LimitFallsAndRises) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(4000));
  Fixture.addWorkers({makeWorker("w1", 16000)});
  const JobSpec Job = ofWorkspace(makeJob("1", "urgent", {makeStep(20, 1000)}));
  Fixture.submit(Job);
  BOOST_TEST(Fixture.startAll() == 4);
  Fixture.Dispatcher_.setWorkspaces(limitOf(2000));
  Fixture.endOne(Job);
  Fixture.endOne(Job);
  BOOST_TEST(Fixture.startAll() == 0);
  Fixture.endOne(Job);
  BOOST_TEST(Fixture.startAll() == 1);
  Fixture.Dispatcher_.setWorkspaces(limitOf(6000));
  BOOST_TEST(Fixture.startAll() == 4);
  // A workspace that is no longer configured keeps its limit.
  Fixture.Dispatcher_.setWorkspaces({});
  BOOST_TEST(Fixture.startAll() == 0);
}

// Guards against gangs that start in part, and against two gangs that block
// each other although each fits alone.
BOOST_AUTO_TEST_CASE(GangsTakeTurns) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(4000));
  Fixture.addWorkers({makeWorker("w1", 8000), makeWorker("w2", 8000)});
  const JobSpec First = ofWorkspace(makeJob("1", "batch", {makeGang(3, 1000)}));
  const JobSpec Second =
      ofWorkspace(makeJob("2", "batch", {makeGang(3, 1000)}));
  Fixture.submit(First);
  Fixture.submit(Second);
  BOOST_TEST(Fixture.startAll() == 3);
  BOOST_TEST(Fixture.runFor(TurnWait) == 0);
  for (int Member = 0; Member < 3; ++Member)
    Fixture.endOne(Fixture.Dispatcher_.hasRuns(First.Id_) ? First : Second);
  BOOST_TEST(Fixture.startAll() == 3);
}

// Guards against small tasks of the workspace, also more urgent ones, that use
// for ever what becomes free, so that a waiting gang never fits.
BOOST_AUTO_TEST_CASE(SmallTasksDoNotStarveAGang) {
  for (const std::string Queue : {"urgent", "batch"}) {
    LimitFixture Fixture;
    Fixture.Dispatcher_.setWorkspaces(limitOf(4000));
    Fixture.addWorkers({makeWorker("w1", 16000), makeWorker("w2", 16000)});
    const JobSpec Small =
        ofWorkspace(makeJob("1", Queue, {makeStep(1000, 1000)}));
    Fixture.submit(Small);
    BOOST_TEST(Fixture.startAll() == 4);
    const JobSpec Gang =
        ofWorkspace(makeJob("2", "batch", {makeGang(4, 1000)}));
    Fixture.submit(Gang);
    // One small task ends every 100 ms.
    constexpr int MaxEnds = 200;
    int Ends = 0;
    for (; !Fixture.Dispatcher_.hasRuns(Gang.Id_) && Ends < MaxEnds; ++Ends) {
      if (Fixture.Dispatcher_.hasRuns(Small.Id_))
        Fixture.endOne(Small);
      Fixture.runFor(Millis{100});
    }
    BOOST_TEST_MESSAGE(Queue << " tasks that ended before the gang: " << Ends);
    BOOST_TEST(Ends < MaxEnds);
    // The rest goes on afterwards.
    for (int Member = 0; Member < 4; ++Member)
      Fixture.endOne(Gang);
    BOOST_TEST(Fixture.startAll() == 4);
  }
}

// Guards against a workspace that stands still for a gang which does not fit
// beside its long-running tasks.
BOOST_AUTO_TEST_CASE(GangDoesNotWaitForLongRunningTasks) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(4000));
  Fixture.addWorkers({makeWorker("w1", 16000)});
  StepSpec Lasting = makeStep(1, 1000);
  Lasting.LongRunning_ = true;
  Fixture.submit(ofWorkspace(makeJob("1", "lasting", {Lasting})));
  BOOST_TEST(Fixture.startAll() == 1);
  Fixture.submit(ofWorkspace(makeJob("2", "urgent", {makeGang(4, 1000)})));
  BOOST_TEST(Fixture.runFor(TurnWait) == 0);
  Fixture.submit(ofWorkspace(makeJob("3", "urgent", {makeStep(3, 1000)})));
  BOOST_TEST(Fixture.startAll() == 3);
}

// Guards against gangs that are accepted and wait for ever.
BOOST_AUTO_TEST_CASE(GangBeyondTheLimitNeverFits) {
  LimitFixture Fixture;
  Fixture.Dispatcher_.setWorkspaces(limitOf(4000));
  Fixture.addWorkers({makeWorker("w1", 16000)});
  const Status Refused = Fixture.Dispatcher_.checkFits(
      ofWorkspace(makeJob("1", "batch", {makeGang(5, 1000)})));
  BOOST_TEST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::NeverFits));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
  BOOST_TEST(bool(Fixture.Dispatcher_.checkFits(
      ofWorkspace(makeJob("2", "batch", {makeGang(4, 1000)})))));
  BOOST_TEST(bool(Fixture.Dispatcher_.checkFits(
      makeJob("3", "batch", {makeGang(5, 1000)}))));
  // Separate tasks run one after the other, and a larger one alone.
  BOOST_TEST(bool(Fixture.Dispatcher_.checkFits(
      ofWorkspace(makeJob("4", "batch", {makeStep(5, 5000)})))));
}

// Guards against tasks of others that are stopped, and advice that is
// requested, for steps that their own limit holds back.
BOOST_AUTO_TEST_CASE(HeldStepsNeitherPreemptNorAskForAdvice) {
  LimitFixture Fixture;
  QueuePolicy AdvisedPolicy;
  AdvisedPolicy.Service_ = "desk";
  AdvisedPolicy.NeedsAdvice_ = true;
  AdvisedPolicy.TicketValid_ = Millis{2500};
  Fixture.Dispatcher_.setQueues({{"advised", AdvisedPolicy}});
  Fixture.Dispatcher_.setWorkspaces(limitOf(2000));
  Fixture.addWorkers({makeWorker("w1", 4000)});
  Fixture.submit(ofWorkspace(makeJob("1", "urgent", {makeStep(2, 1000)})));
  Fixture.submit(makeJob("2", "batch", {makeStep(2, 1000)}));
  BOOST_TEST(Fixture.startAll() == 4);
  Fixture.submit(ofWorkspace(makeJob("3", "urgent", {makeStep(2, 1000)})));
  Fixture.submit(ofWorkspace(makeJob("4", "advised", {makeStep(2, 1000)})));
  Fixture.advance(Millis{1000});
  const Actions Held = Fixture.decideAndExecute();
  BOOST_TEST(Held.Stops_.empty());
  BOOST_TEST(Held.Questions_.empty());
  // With one task below the limit, one is preempted.
  Fixture.Dispatcher_.setWorkspaces(limitOf(3000));
  const Actions Freed = Fixture.decideAndExecute();
  BOOST_TEST(Freed.Stops_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
