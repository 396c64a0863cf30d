#include "tests/dispatch/fixture.h"
#include "tests/fakes/property.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

BOOST_AUTO_TEST_SUITE(Placing)

BOOST_AUTO_TEST_CASE(TasksArePackedTightly) {
  Worker Full;
  Full.Info_ = makeWorker("w1", 4000);
  Full.Used_ = Size{3000, 0, 0};
  Worker Empty;
  Empty.Info_ = makeWorker("w2", 4000);
  const std::vector<Candidate> Both = {{&Empty, 0, false, 0, false, false},
                                       {&Full, 0, false, 0, false, false}};
  BOOST_TEST(bestCandidate(makeStep(1, 1000), Both) == 1);
  BOOST_TEST(bestCandidate(makeStep(1, 2000), Both) == 0);
  BOOST_TEST(bestCandidate(makeStep(1, 9000), Both) == -1);
}

BOOST_AUTO_TEST_CASE(LimitsOfAStepHold) {
  Worker Some;
  Some.Info_ = makeWorker("w1");
  StepSpec Step = makeStep(3, 1000);
  Step.MaxPerWorker_ = 1;
  BOOST_TEST(fitsNow(Step, {&Some, 0, false, 0, false, false}));
  BOOST_TEST(!fitsNow(Step, {&Some, 1, false, 0, false, false}));
  Step.Label_ = "gpu-kind";
  BOOST_TEST(!mayRunOn(Step, Some.Info_));
  Step.Label_ = "a";
  BOOST_TEST(mayRunOn(Step, Some.Info_));
}

// Guards against fillers beside tasks that serve users while other workers
// have room, and against data read over racks.
BOOST_AUTO_TEST_CASE(NeighborsAndRacksAreMinded) {
  Worker Serving;
  Serving.Info_ = makeWorker("w1");
  Worker Other;
  Other.Info_ = makeWorker("w2");
  StepSpec Filler = makeStep(1, 1000);
  Filler.Filler_ = true;
  BOOST_TEST(bestCandidate(Filler, {{&Serving, 0, true, 0, false},
                                    {&Other, 0, false, 0, false, false}}) == 1);
  StepSpec Near = makeStep(1, 1000);
  Near.Rack_ = "rack-w2";
  BOOST_TEST(bestCandidate(Near, {{&Serving, 0, false, 0, false, false},
                                  {&Other, 0, false, 0, false, false}}) == 1);
}

BOOST_AUTO_TEST_CASE(RankPutsPriorityThenTimeThenSize) {
  RankInput Small;
  Small.Priority_ = 2;
  Small.Objective_ = Millis{1000};
  Small.Remaining_ = Millis{500};
  Small.Work_ = 10;
  RankInput Large = Small;
  Large.Work_ = 100;
  BOOST_TEST((rankStep(Small) < rankStep(Large)));
  RankInput Late = Small;
  Late.Age_ = Millis{900};
  BOOST_TEST((rankStep(Large) < rankStep(Late)));
  RankInput Urgent = Late;
  Urgent.Priority_ = 0;
  BOOST_TEST((rankStep(Urgent) < rankStep(Small)));
  RankInput Begun = Small;
  Begun.Started_ = true;
  BOOST_TEST((rankStep(Begun) < rankStep(Small)));
}

// Random submissions, ends, drains, silences and cancellations: the books
// agree with a recount after every step, and no worker passes its capacity.
BOOST_AUTO_TEST_CASE(BooksHoldUnderRandomEvents) {
  const bool Held = fakes::holds("books agree with a recount", [] {
    Cell Fake;
    const std::vector<WorkerInfo> Infos = {
        makeWorker("w1"), makeWorker("w2", 2000), makeWorker("w3", 8000)};
    Fake.addWorkers(Infos);
    const int Steps = *rc::gen::inRange(20, 80);
    for (int Step = 0; Step < Steps; ++Step) {
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1: {
        StepSpec One =
            makeStep(*rc::gen::inRange(1, 6), *rc::gen::inRange(100, 3000));
        One.Gang_ = *rc::gen::inRange(0, 4) == 0;
        One.Checkpointing_ = *rc::gen::arbitrary<bool>();
        const char *Queue = *rc::gen::arbitrary<bool>() ? "urgent" : "batch";
        Fake.submit(makeJob(std::to_string(Step), Queue, {One}));
        break;
      }
      case 2:
        if (Fake.Core_.findJob(makeJob("0", "batch", {}).Id_))
          Fake.Core_.cancelJob(makeJob("0", "batch", {}).Id_, Fake.Now_);
        break;
      case 3:
        Fake.Core_.noteLookFailure(
            Infos[static_cast<std::size_t>(*rc::gen::inRange(0, 3))].Id_,
            Error{Reason::Timeout, Effect::Unknown, "look", "", ""}, Fake.Now_);
        Fake.pass(Millis{*rc::gen::inRange(0, 4000)});
        break;
      default: {
        auto &Tasks =
            Fake.Running_
                [Infos[static_cast<std::size_t>(*rc::gen::inRange(0, 3))].Id_];
        if (!Tasks.empty())
          Fake.end(std::string(Tasks.begin()->first),
                   *rc::gen::element(TaskEnd::Done, TaskEnd::Failed,
                                     TaskEnd::Stopped));
        break;
      }
      }
      Fake.step();
      RC_ASSERT(Fake.Core_.verify().empty());
      for (const auto &[Id, Where] : Fake.Core_.workers())
        RC_ASSERT(freeRoom(Where).MilliCpus_ >= 0);
    }
  });
  BOOST_TEST(Held);
}

BOOST_AUTO_TEST_SUITE_END()
