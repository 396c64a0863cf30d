#include "tests/dispatch/fixture.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

BOOST_AUTO_TEST_SUITE(WorkerLives)

// Guards against a worker that is filled beside a run of unknown size: only
// the state of an ended job is still recorded, and its task is being stopped.
BOOST_AUTO_TEST_CASE(RunOfUnknownSizeTakesAllRoom) {
  Cell Fake;
  Fake.Running_["w1"]["00000000000000aa.0.0.0"] =
      RunningEntry{"00000000000000aa.0.0.0", 1, "", 0, 0};
  Fake.addWorkers({makeWorker("w1", 4000)});
  Fake.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  const Actions First = Fake.step();
  BOOST_TEST(First.Starts_.empty());
  BOOST_TEST(First.Stops_.size() == 1U);
  Fake.Running_["w1"].clear();
  Fake.look("w1");
  BOOST_TEST(Fake.step().Starts_.size() == 1U);
}

// Guards against a job row that is removed while its tasks still take room.
BOOST_AUTO_TEST_CASE(EndedJobHoldsRoomUntilItsRunsAreGone) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 4000)});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fake.submit(Job);
  Fake.step();
  Fake.Core_.cancelJob(Job.Id_, Fake.Now_);
  BOOST_TEST(Fake.Core_.takeChangedJobs().size() == 1U);
  BOOST_TEST(Fake.Core_.holdsRoom(Job.Id_));
  Fake.step();
  Fake.end(nameOf(Job, 0, 0), TaskEnd::Stopped);
  BOOST_TEST(!Fake.Core_.holdsRoom(Job.Id_));
  // Its row can be written once more.
  BOOST_TEST(Fake.Core_.takeChangedJobs().size() == 1U);
}

// Guards against a task that runs twice: its worker restarted, and the order
// reached the new life before the leader had seen the restart.
BOOST_AUTO_TEST_CASE(RunOfTheNewLifeOfAWorkerIsKept) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1"), makeWorker("w2")});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(2, 3000)});
  Fake.submit(Job);
  Fake.step();
  const std::string Kept = Fake.workerOf(nameOf(Job, 0, 0));
  BOOST_TEST_REQUIRE(!Kept.empty());
  Fake.EndNumbers_.clear();
  Fake.pass(Millis{1});
  Fake.look(Kept, {}, 2);
  const Actions Todo = Fake.step();
  BOOST_TEST(Todo.Starts_.empty());
  BOOST_TEST(Todo.Stops_.empty());
  // What the new life does not list is lost.
  Fake.pass(Millis{1});
  const std::string Lost = Fake.workerOf(nameOf(Job, 0, 1));
  Fake.Running_[Lost].clear();
  Fake.look(Lost, {}, 2);
  BOOST_TEST(Fake.step().Starts_.size() == 1U);
}

// Guards against an unanswered order that reaches a restarted worker late: the
// stop that the earlier life confirmed does not hold there.
BOOST_AUTO_TEST_CASE(UnansweredStartIsStoppedInTheNewLifeToo) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1")});
  Fake.submit(makeJob("1", "urgent", {makeStep(1, 1000)}));
  Fake.pass(Millis{1});
  const Actions First = Fake.Core_.decide(Fake.Now_);
  BOOST_TEST_REQUIRE(First.Starts_.size() == 1U);
  Fake.Core_.noteStart(First.Starts_[0], lost(Effect::Unknown), Fake.Now_);
  Fake.look("w1", {}, 1);
  BOOST_TEST_REQUIRE(Fake.step().Stops_.size() == 1U);
  Fake.look("w1", {}, 2);
  BOOST_TEST(Fake.step().Starts_.empty());
  Fake.pass(Millis{2000});
  BOOST_TEST(Fake.step().Stops_.size() == 1U);
  Fake.pass(Millis{1});
  Fake.look("w1", {}, 2);
  Fake.pass(Millis{1});
  BOOST_TEST(Fake.step().Starts_.size() == 1U);
}

// Guards against a worker that fails all it starts and gets the second attempt
// of a task too, while others have room.
BOOST_AUTO_TEST_CASE(AnotherWorkerGetsTheTaskThatFailed) {
  Cell Fake;
  Fake.addWorkers({makeWorker("w1", 2000), makeWorker("w2", 4000)});
  const JobSpec Job = makeJob("1", "urgent", {makeStep(1, 1000)});
  Fake.submit(Job);
  Fake.step();
  BOOST_TEST_REQUIRE(Fake.workerOf(nameOf(Job, 0, 0)) == "w1");
  Fake.end(nameOf(Job, 0, 0), TaskEnd::Failed);
  Fake.pass(Millis{100});
  Fake.step();
  BOOST_TEST(Fake.workerOf(nameOf(Job, 0, 0)) == "w2");
}

BOOST_AUTO_TEST_SUITE_END()
