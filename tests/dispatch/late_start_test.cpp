// Start orders without a reply that a worker may carry out seconds later.

#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

/// A worker has left a start unanswered and confirmed its stop, and the task
/// runs on another worker.
struct LateStartFixture : DispatcherFixture {
  explicit LateStartFixture(std::int64_t MilliCpus = 1000) {
    addWorkers({makeWorker("w1", MilliCpus)});
    Job_ = makeJob("1", "urgent", {makeStep(1, 1000)});
    submit(Job_);
    advance(Millis{1});
    const Actions First = Dispatcher_.decide(Now_);
    BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
    Late_ = First.Starts_.front();
    advance(Millis{250});
    Dispatcher_.handleStartReply(Late_, startError(Effect::Unknown), Now_);
    pollWorker("w1");
    BOOST_TEST_REQUIRE(decideAndExecute().Stops_.size() == 1U);
    addWorkers({makeWorker("w2", MilliCpus)});
    Dispatcher_.setWorkers(
        {makeWorker("w1", MilliCpus), makeWorker("w2", MilliCpus)}, Now_);
    advance(Millis{1});
    pollWorker("w1");
    // The other worker runs it.
    blockWorker("w1");
    BOOST_TEST_REQUIRE(decideAndExecute().Starts_.size() == 1U);
    BOOST_TEST_REQUIRE(workerOf(Late_.Order_.Task_) == "w2");
    unblockWorker("w1");
  }

  void blockWorker(const std::string &Id) { setDraining(Id, true); }
  void unblockWorker(const std::string &Id) { setDraining(Id, false); }

  void setDraining(const std::string &Id, bool Draining) {
    std::vector<WorkerInfo> Infos;
    for (const auto &[Known, W] : Dispatcher_.workers()) {
      Infos.push_back(W.Info_);
      if (Known == Id)
        Infos.back().Draining_ = Draining;
    }
    Dispatcher_.setWorkers(Infos, Now_);
    for (const WorkerInfo &Info : Dispatcher_.takeUnrecordedWorkers())
      Dispatcher_.markWorkerRecorded(Info.Id_, Info.Address_);
  }

  /// The stops of a planning pass that are not carried out, and its starts.
  Actions decide() {
    advance(Millis{1});
    Actions Decided = Dispatcher_.decide(Now_);
    BOOST_TEST(Dispatcher_.verify() == "");
    return Decided;
  }

  void confirm(const StopAction &Stop) {
    advance(Millis{1});
    Dispatcher_.handleStopReply(Stop, OrderReply{OrderOutcome::Done, Now_},
                                Now_);
    advance(Millis{1});
  }

  void checkIsStopOfLateStart(const StopAction &Stop,
                              std::int64_t ProcessStart) {
    BOOST_TEST(Stop.Target_.Worker_ == "w1");
    BOOST_TEST(Stop.Target_.ProcessStart_ == ProcessStart);
    BOOST_TEST(Stop.Task_ == Late_.Order_.Task_);
    BOOST_TEST(Stop.Attempt_ == Late_.Order_.Attempt_);
  }

  JobSpec Job_;
  StartAction Late_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LateStarts)

// Guards against a task that runs twice: the next process of a worker knows no
// stop that the one before has confirmed, and carries out the start.
BOOST_AUTO_TEST_CASE(UnansweredStartIsStoppedInTheNextProcess) {
  LateStartFixture Fixture;
  Fixture.pollWorker("w1", {}, 2);
  const Actions Decided = Fixture.decide();
  BOOST_TEST_REQUIRE(Decided.Stops_.size() == 1U);
  Fixture.checkIsStopOfLateStart(Decided.Stops_.front(), 2);
  Fixture.confirm(Decided.Stops_.front());
  // Each process has to reject it.
  Fixture.pollWorker("w1", {}, 3);
  const Actions InThird = Fixture.decide();
  BOOST_TEST_REQUIRE(InThird.Stops_.size() == 1U);
  Fixture.checkIsStopOfLateStart(InThird.Stops_.front(), 3);
}

// Guards against a stop that the process never gets.
BOOST_AUTO_TEST_CASE(StopOfALateStartIsRepeatedUntilItIsConfirmed) {
  LateStartFixture Fixture;
  Fixture.pollWorker("w1", {}, 2);
  const Actions First = Fixture.decide();
  BOOST_TEST_REQUIRE(First.Stops_.size() == 1U);
  BOOST_TEST(Fixture.decide().Stops_.empty());
  Fixture.advance(Millis{500});
  const Actions Second = Fixture.decide();
  BOOST_TEST_REQUIRE(Second.Stops_.size() == 1U);
  // The process before has sent this confirmation.
  StopAction Earlier = Second.Stops_.front();
  Earlier.Target_.ProcessStart_ = 1;
  Fixture.confirm(Earlier);
  Fixture.advance(Millis{500});
  const Actions Third = Fixture.decide();
  BOOST_TEST_REQUIRE(Third.Stops_.size() == 1U);
  Fixture.confirm(Third.Stops_.front());
  Fixture.advance(Millis{5000});
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decide().Stops_.empty());
}

// Guards against exceeding the capacity of a worker whose process may carry out
// a late start.
BOOST_AUTO_TEST_CASE(RoomOfALateStartIsKeptUntilItIsKnownToBeRejected) {
  LateStartFixture Fixture;
  Fixture.pollWorker("w1", {}, 2);
  Fixture.submit(makeJob("2", "urgent", {makeStep(1, 1000)}));
  const Actions First = Fixture.decide();
  BOOST_TEST(First.Starts_.empty());
  BOOST_TEST_REQUIRE(First.Stops_.size() == 1U);
  Fixture.confirm(First.Stops_.front());
  // It may have begun before the stop.
  BOOST_TEST(Fixture.decide().Starts_.empty());
  Fixture.pollWorker("w1", {}, 2);
  const Actions Second = Fixture.decide();
  BOOST_TEST_REQUIRE(Second.Starts_.size() == 1U);
  BOOST_TEST(Second.Starts_.front().Target_.Worker_ == "w1");
}

// Guards against a task that runs twice: the worker carries out the start
// before it gets the stop, and the task is started elsewhere meanwhile.
BOOST_AUTO_TEST_CASE(TaskWaitsForTheEndOfItsLateStart) {
  LateStartFixture Fixture;
  Fixture.pollWorker("w1", {}, 2);
  const Actions First = Fixture.decide();
  BOOST_TEST_REQUIRE(First.Stops_.size() == 1U);
  const std::string Task = Fixture.Late_.Order_.Task_;
  Fixture.endTask(Task, TaskEnd::Failed);
  Fixture.advance(Millis{100});
  BOOST_TEST(Fixture.decide().Starts_.empty());
  Fixture.RunningTasks_["w1"][Task] =
      RunningEntry{Task, Fixture.Late_.Order_.Attempt_, "", 0, 0};
  Fixture.pollWorker("w1", {}, 2);
  Fixture.confirm(First.Stops_.front());
  BOOST_TEST(Fixture.decide().Starts_.empty());
  Fixture.RunningTasks_["w1"].clear();
  Fixture.pollWorker("w1", {}, 2);
  BOOST_TEST(Fixture.decide().Starts_.size() == 1U);
}

// Guards against stops that hold each other up: a worker that leaves all starts
// unanswered gets many of each task.
BOOST_AUTO_TEST_CASE(OneStopCoversAllStartsOfATask) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  std::int64_t LastAttempt = 0;
  for (int Start = 0; Start < 3; ++Start) {
    Fixture.advance(Millis{1});
    const Actions Decided = Fixture.Dispatcher_.decide(Fixture.Now_);
    BOOST_TEST_REQUIRE(Decided.Starts_.size() == 1U);
    LastAttempt = Decided.Starts_.front().Order_.Attempt_;
    Fixture.advance(Millis{250});
    Fixture.Dispatcher_.handleStartReply(
        Decided.Starts_.front(), startError(Effect::Unknown), Fixture.Now_);
    Fixture.pollWorker("w1");
    BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Stops_.size() == 1U);
    Fixture.advance(Millis{1});
    Fixture.pollWorker("w1");
  }
  Fixture.pollWorker("w1", {}, 2);
  const Actions Decided = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST(Decided.Starts_.empty());
  BOOST_TEST_REQUIRE(Decided.Stops_.size() == 1U);
  BOOST_TEST(Decided.Stops_.front().Attempt_ == LastAttempt);
}

// Guards against stops and waits without a need: the process that has confirmed
// the stop, or one that lives long after the order.
BOOST_AUTO_TEST_CASE(SettledStartIsNotStoppedAgain) {
  LateStartFixture SameProcess;
  SameProcess.pollWorker("w1");
  BOOST_TEST(SameProcess.decide().Stops_.empty());
  LateStartFixture LongAfter;
  LongAfter.advance(Millis{20000});
  LongAfter.pollWorker("w2");
  LongAfter.pollWorker("w1", {}, 2);
  BOOST_TEST(LongAfter.decide().Stops_.empty());
}

// Guards against forgetting the start with its worker, whose registry entry was
// removed while it was cut off.
BOOST_AUTO_TEST_CASE(StartIsStoppedOnAWorkerThatComesBack) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1")});
  Fixture.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fixture.advance(Millis{1});
  const Actions First = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  Fixture.Dispatcher_.handleStartReply(
      First.Starts_[0], startError(Effect::Unknown), Fixture.Now_);
  Fixture.Dispatcher_.handlePollFailure("w1", startError(Effect::None),
                                        Fixture.Now_);
  Fixture.advance(Millis{8500});
  Fixture.addWorkers({makeWorker("w2")});
  BOOST_TEST_REQUIRE(Fixture.decideAndExecute().Starts_.size() == 1U);
  Fixture.addWorkers({makeWorker("w2")});
  Fixture.Dispatcher_.setWorkers({makeWorker("w1"), makeWorker("w2")},
                                 Fixture.Now_);
  Fixture.pollWorker("w1", {}, 2);
  const Actions Second = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(Second.Stops_.size() == 1U);
  BOOST_TEST(Second.Stops_.front().Task_ == First.Starts_[0].Order_.Task_);
  BOOST_TEST(Second.Stops_.front().Target_.ProcessStart_ == 2);
}

// Guards against a task that waits for ever for a stop without a reply.
BOOST_AUTO_TEST_CASE(ExpectedStartIsGivenUpAfterTheLongestDelay) {
  DispatcherFixture Fixture;
  Fixture.addWorkers({makeWorker("w1"), makeWorker("w2")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fixture.submit(Job);
  Fixture.advance(Millis{1});
  const Actions First = Fixture.Dispatcher_.decide(Fixture.Now_);
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  const std::string Id = First.Starts_.front().Target_.Worker_;
  Fixture.Dispatcher_.handleStartReply(
      First.Starts_.front(), startError(Effect::Unknown), Fixture.Now_);
  Fixture.Dispatcher_.handlePollFailure(Id, Error{}, Fixture.Now_);
  Fixture.advance(Millis{10500});
  Fixture.Dispatcher_.expireUnreachable(Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.findWorker(Id)->Tasks_.empty());
  // Polls are answered, stops are not.
  for (int Poll = 0; Poll < 60; ++Poll) {
    Fixture.pollWorker(Id, {}, 2);
    Fixture.advance(Millis{1000});
    const Actions Pass = Fixture.Dispatcher_.decide(Fixture.Now_);
    if (!Pass.Starts_.empty())
      return;
  }
  BOOST_ERROR("the task does not start within 60 s");
}

BOOST_AUTO_TEST_SUITE_END()
