#include "tests/dispatch/fixture.h"
#include "tests/fakes/property.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

BOOST_AUTO_TEST_SUITE(Placing)

BOOST_AUTO_TEST_CASE(TasksArePackedTightly) {
  Worker BusyWorker;
  BusyWorker.Info_ = makeWorker("w1", 4000);
  BusyWorker.Used_ = Size{3000, 0, 0};
  Worker IdleWorker;
  IdleWorker.Info_ = makeWorker("w2", 4000);
  const std::vector<Candidate> Candidates = {
      {&IdleWorker, 0, false, 0, false, false},
      {&BusyWorker, 0, false, 0, false, false}};
  BOOST_TEST(bestCandidate(makeStep(1, 1000), Candidates) == 1);
  BOOST_TEST(bestCandidate(makeStep(1, 2000), Candidates) == 0);
  BOOST_TEST(bestCandidate(makeStep(1, 9000), Candidates) == -1);
}

// Guards against costs that are kept although a placed task has changed them.
BOOST_AUTO_TEST_CASE(KeptCostsFollowThePlacedTasks) {
  StepSpec Step = makeStep(1, 1000);
  Step.MaxPerWorker_ = 4;
  std::vector<Worker> Workers(3);
  std::vector<Candidate> Candidates;
  for (Worker &W : Workers) {
    const auto Number = static_cast<std::int64_t>(Candidates.size());
    W.Info_ = makeWorker("w" + std::to_string(Number), 6000 - 1000 * Number);
    Candidates.push_back({&W, 0, false, 0, false, false});
  }
  CandidateCosts Costs(Step, Candidates);
  std::vector<int> Placed;
  for (int Best = Costs.best(); Best >= 0; Best = Costs.best()) {
    BOOST_TEST(Best == bestCandidate(Step, Candidates));
    Placed.push_back(Best);
    Candidate &Chosen = Candidates[static_cast<std::size_t>(Best)];
    Chosen.Worker_->Used_ = Chosen.Worker_->Used_ + reservedSize(Step);
    ++Chosen.TasksOfStep_;
    Costs.update(static_cast<std::size_t>(Best));
  }
  BOOST_TEST(bestCandidate(Step, Candidates) == -1);
  const std::vector<int> Expected = {2, 2, 2, 2, 1, 1, 1, 1, 0, 0, 0, 0};
  BOOST_TEST(Placed == Expected, boost::test_tools::per_element());

  Workers[1].Used_ = Size{};
  Candidates[1].TasksOfStep_ = 0;
  Costs.updateAll();
  BOOST_TEST(Costs.best() == 1);
}

BOOST_AUTO_TEST_CASE(StepConstraintsAreRespected) {
  Worker Worker1;
  Worker1.Info_ = makeWorker("w1");
  StepSpec Step = makeStep(3, 1000);
  Step.MaxPerWorker_ = 1;
  BOOST_TEST(fitsNow(Step, {&Worker1, 0, false, 0, false, false}));
  BOOST_TEST(!fitsNow(Step, {&Worker1, 1, false, 0, false, false}));
  Step.Label_ = "gpu-kind";
  BOOST_TEST(!mayRunOn(Step, Worker1.Info_));
  Step.Label_ = "a";
  BOOST_TEST(mayRunOn(Step, Worker1.Info_));
}

// Guards against placing fillers next to tasks with a latency target while
// other workers have free capacity, and against reading data from another rack.
BOOST_AUTO_TEST_CASE(ServingTasksAndRacksAreConsidered) {
  Worker ServingWorker;
  ServingWorker.Info_ = makeWorker("w1");
  Worker OtherWorker;
  OtherWorker.Info_ = makeWorker("w2");
  StepSpec FillerStep = makeStep(1, 1000);
  FillerStep.Filler_ = true;
  BOOST_TEST(bestCandidate(FillerStep,
                           {{&ServingWorker, 0, true, 0, false},
                            {&OtherWorker, 0, false, 0, false, false}}) == 1);
  StepSpec StepWithRack = makeStep(1, 1000);
  StepWithRack.Rack_ = "rack-w2";
  BOOST_TEST(bestCandidate(StepWithRack,
                           {{&ServingWorker, 0, false, 0, false, false},
                            {&OtherWorker, 0, false, 0, false, false}}) == 1);
}

BOOST_AUTO_TEST_CASE(RankOrdersByPriorityThenTimeThenSize) {
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
  RankInput Started = Small;
  Started.Started_ = true;
  BOOST_TEST((rankStep(Started) < rankStep(Small)));
}

// Submits jobs, ends tasks, lets polls fail and cancels jobs at random. After
// each of these events the dispatcher's reserved resources must match a
// recount, and no worker may exceed its capacity.
BOOST_AUTO_TEST_CASE(AccountingIsConsistentUnderRandomEvents) {
  const bool PropertyHolds = fakes::holds("accounting matches a recount", [] {
    DispatcherFixture Fixture;
    const std::vector<WorkerInfo> Infos = {
        makeWorker("w1"), makeWorker("w2", 2000), makeWorker("w3", 8000)};
    Fixture.addWorkers(Infos);
    const int EventCount = *rc::gen::inRange(20, 80);
    for (int Event = 0; Event < EventCount; ++Event) {
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1: {
        StepSpec RandomStep =
            makeStep(*rc::gen::inRange(1, 6), *rc::gen::inRange(100, 3000));
        RandomStep.Gang_ = *rc::gen::inRange(0, 4) == 0;
        RandomStep.Checkpointing_ = *rc::gen::arbitrary<bool>();
        const char *Queue = *rc::gen::arbitrary<bool>() ? "urgent" : "batch";
        Fixture.submit(makeJob(std::to_string(Event), Queue, {RandomStep}));
        break;
      }
      case 2:
        if (Fixture.Dispatcher_.findJob(makeJob("0", "batch", {}).Id_))
          Fixture.Dispatcher_.cancelJob(makeJob("0", "batch", {}).Id_,
                                        Fixture.Now_);
        break;
      case 3:
        Fixture.Dispatcher_.handlePollFailure(
            Infos[static_cast<std::size_t>(*rc::gen::inRange(0, 3))].Id_,
            Error{Reason::Timeout, Effect::Unknown, "look", "", ""},
            Fixture.Now_);
        Fixture.advance(Millis{*rc::gen::inRange(0, 4000)});
        break;
      default: {
        auto &Tasks =
            Fixture.RunningTasks_
                [Infos[static_cast<std::size_t>(*rc::gen::inRange(0, 3))].Id_];
        if (!Tasks.empty())
          Fixture.endTask(std::string(Tasks.begin()->first),
                          *rc::gen::element(TaskEnd::Done, TaskEnd::Failed,
                                            TaskEnd::Stopped));
        break;
      }
      }
      Fixture.decideAndExecute();
      RC_ASSERT(Fixture.Dispatcher_.verify().empty());
      for (const auto &[Id, WorkerState] : Fixture.Dispatcher_.workers())
        RC_ASSERT(freeCapacity(WorkerState).MilliCpus_ >= 0);
    }
  });
  BOOST_TEST(PropertyHolds);
}

BOOST_AUTO_TEST_SUITE_END()
