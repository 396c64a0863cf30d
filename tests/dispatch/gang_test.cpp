#include "tests/dispatch/fixture.h"
#include "tests/dispatch/played_load.h"

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

constexpr int WorkerCount = 8;
constexpr std::int64_t WorkerMilliCpus = 16000;
// Long enough for a gang to reserve workers.
constexpr Millis GangWait{3000};

std::vector<WorkerInfo> makeFleet(int Workers = WorkerCount) {
  std::vector<WorkerInfo> Infos;
  Infos.reserve(static_cast<std::size_t>(Workers));
  for (int Number = 0; Number < Workers; ++Number)
    Infos.push_back(makeWorker("w" + std::to_string(Number), WorkerMilliCpus));
  return Infos;
}

StepSpec makeGangStep(int Members, std::int64_t MilliCpus) {
  StepSpec Step = makeStep(Members, MilliCpus);
  Step.Gang_ = true;
  return Step;
}

/// Passes over the time, with polls of all workers in between.
void pass(DispatcherFixture &Fixture, Millis Duration,
          int Workers = WorkerCount) {
  constexpr Millis Period{500};
  for (Millis Elapsed{}; Elapsed < Duration; Elapsed = Elapsed + Period) {
    Fixture.advance(Period);
    for (int Number = 0; Number < Workers; ++Number)
      Fixture.pollWorker("w" + std::to_string(Number));
    Fixture.decideAndExecute();
  }
}

bool runs(const DispatcherFixture &Fixture, const JobSpec &Job) {
  return Fixture.Dispatcher_.hasRuns(Job.Id_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Gangs)

// Guards against accepting a gang that all workers together have no room for
// (review/12). Such a job would wait until it is canceled.
BOOST_AUTO_TEST_CASE(GangLargerThanTheFleetIsRejected) {
  DispatcherFixture Fixture;
  Fixture.addWorkers(makeFleet());
  const auto Fits = [&](const StepSpec &Step) {
    return Fixture.Dispatcher_.checkFits(makeJob("1", "batch", {Step}))
        .has_value();
  };
  BOOST_TEST(Fits(makeGangStep(64, 2000)));
  BOOST_TEST(!Fits(makeGangStep(65, 2000)));
  // A core of each worker is of no use to it.
  BOOST_TEST(Fits(makeGangStep(24, 5000)));
  BOOST_TEST(!Fits(makeGangStep(25, 5000)));
  StepSpec Apart = makeGangStep(WorkerCount, 2000);
  Apart.MaxPerWorker_ = 1;
  BOOST_TEST(Fits(Apart));
  ++Apart.Count_;
  BOOST_TEST(!Fits(Apart));
  StepSpec Large = makeGangStep(WorkerCount, 1000);
  Large.Size_.MemoryMib_ = 60000;
  BOOST_TEST(Fits(Large));
  ++Large.Count_;
  BOOST_TEST(!Fits(Large));
  StepSpec InRack = makeGangStep(8, 2000);
  InRack.Label_ = "rack-w1";
  BOOST_TEST(Fits(InRack));
  ++InRack.Count_;
  BOOST_TEST(!Fits(InRack));
  // Tasks that need not run together can run one after another.
  BOOST_TEST(Fits(makeStep(1000, 2000)));
}

// Guards against a gang that never fits but is accepted by a new leader, which
// does not know the workers yet.
BOOST_AUTO_TEST_CASE(GangIsNotAcceptedBeforeTheWorkersAreKnown) {
  DispatcherFixture Fixture;
  const auto Check = [&](int Members) {
    return Fixture.Dispatcher_.checkFits(
        makeJob("1", "batch", {makeGangStep(Members, 2000)}));
  };
  BOOST_TEST_REQUIRE(!Check(64).has_value());
  BOOST_TEST((Check(64).error().Reason_ == Reason::NotReady));
  WorkerInfo Unlisted = makeWorker("w8");
  Unlisted.Capacity_ = Size{};
  Fixture.Dispatcher_.restoreWorker(Unlisted);
  Fixture.addWorkers(makeFleet());
  BOOST_TEST(Check(64).has_value());
  BOOST_TEST_REQUIRE(!Check(65).has_value());
  BOOST_TEST((Check(65).error().Reason_ == Reason::NotReady));
}

// Guards against a gang that is said never to fit while workers are away for a
// moment, with their zone or because their registry entries have expired.
BOOST_AUTO_TEST_CASE(WorkersThatAreAwayCountForAGang) {
  DispatcherFixture Fixture;
  Fixture.addWorkers(makeFleet());
  const JobSpec Gang = makeJob("1", "batch", {makeGangStep(64, 2000)});
  Fixture.Dispatcher_.handlePollFailure("w0", startError(Effect::Unknown),
                                        Fixture.Now_);
  BOOST_TEST(Fixture.Dispatcher_.checkFits(Gang).has_value());
  std::vector<WorkerInfo> Half = makeFleet(WorkerCount / 2);
  for (int Number = WorkerCount / 2; Number < WorkerCount; ++Number)
    Fixture.Dispatcher_.handlePollFailure("w" + std::to_string(Number),
                                          startError(Effect::Unknown),
                                          Fixture.Now_);
  Fixture.Dispatcher_.setWorkers(Half, Fixture.Now_);
  Fixture.advance(Millis{15000});
  Fixture.Dispatcher_.expireUnreachable(Fixture.Now_);
  Fixture.Dispatcher_.setWorkers(Half, Fixture.Now_);
  BOOST_TEST_REQUIRE(Fixture.Dispatcher_.workers().size() == Half.size());
  BOOST_TEST(Fixture.Dispatcher_.checkFits(Gang).has_value());
  constexpr Millis LongTime{120000};
  Fixture.advance(LongTime);
  Fixture.Dispatcher_.setWorkers(Half, Fixture.Now_);
  BOOST_TEST(!Fixture.Dispatcher_.checkFits(Gang).has_value());
}

// Guards against a worker that counts twice because it was removed and is back.
BOOST_AUTO_TEST_CASE(WorkerThatIsBackCountsOnce) {
  DispatcherFixture Fixture;
  Fixture.addWorkers(makeFleet());
  Fixture.Dispatcher_.handlePollFailure("w0", startError(Effect::Unknown),
                                        Fixture.Now_);
  Fixture.Dispatcher_.setWorkers({}, Fixture.Now_);
  Fixture.advance(Millis{15000});
  Fixture.Dispatcher_.expireUnreachable(Fixture.Now_);
  Fixture.Dispatcher_.setWorkers({}, Fixture.Now_);
  BOOST_TEST_REQUIRE(Fixture.Dispatcher_.findWorker("w0") == nullptr);
  Fixture.addWorkers(makeFleet());
  BOOST_TEST(!Fixture.Dispatcher_
                  .checkFits(makeJob("1", "batch", {makeGangStep(65, 2000)}))
                  .has_value());
}

// Guards against workers that are held for a gang which can no longer start
// since some of them have left for good.
BOOST_AUTO_TEST_CASE(GangWithoutEnoughWorkersHoldsNone) {
  DispatcherFixture Fixture;
  Fixture.addWorkers(makeFleet());
  Fixture.submit(makeJob("1", "lasting", {makeGangStep(64, 2000)}));
  Fixture.addWorkers(makeFleet(WorkerCount - 1));
  Fixture.Dispatcher_.handlePollFailure("w7", startError(Effect::Unknown),
                                        Fixture.Now_);
  pass(Fixture, GangWait, WorkerCount - 1);
  const JobSpec Batch = makeJob("2", "batch", {makeStep(2, 2000)});
  Fixture.submit(Batch);
  Fixture.decideAndExecute();
  BOOST_TEST(runs(Fixture, Batch));
}

// The same if what is in the way of the gang does not end.
BOOST_AUTO_TEST_CASE(GangBehindLastingWorkHoldsNoWorkers) {
  DispatcherFixture Fixture;
  Fixture.addWorkers(makeFleet());
  StepSpec Lasting = makeStep(30, 2000);
  Lasting.LongRunning_ = true;
  Fixture.submit(makeJob("1", "lasting", {Lasting}));
  Fixture.decideAndExecute();
  const JobSpec Gang = makeJob("2", "lasting", {makeGangStep(40, 2000)});
  BOOST_TEST(Fixture.Dispatcher_.checkFits(Gang).has_value());
  Fixture.submit(Gang);
  pass(Fixture, GangWait);
  const JobSpec Batch = makeJob("3", "batch", {makeStep(2, 2000)});
  Fixture.submit(Batch);
  Fixture.decideAndExecute();
  BOOST_TEST(runs(Fixture, Batch));
  BOOST_TEST(!runs(Fixture, Gang));
}

// Guards against workers that stay idle until long tasks have ended, although
// short tasks would be over by then.
BOOST_AUTO_TEST_CASE(ShortTasksRunBesideAGangThatWaitsForLongWork) {
  DispatcherFixture Fixture;
  Fixture.addWorkers(makeFleet());
  StepSpec Long = makeStep(30, 2000);
  Long.Estimate_ = Millis{60000};
  Fixture.submit(makeJob("1", "urgent", {Long}));
  Fixture.decideAndExecute();
  const JobSpec Gang = makeJob("2", "lasting", {makeGangStep(40, 2000)});
  Fixture.submit(Gang);
  pass(Fixture, GangWait);
  const JobSpec Short = makeJob("3", "batch", {makeStep(2, 2000)});
  Fixture.submit(Short);
  Fixture.decideAndExecute();
  BOOST_TEST(runs(Fixture, Short));
  BOOST_TEST(!runs(Fixture, Gang));
}

// Guards against tasks that start beside a reservation and delay the gang.
BOOST_AUTO_TEST_CASE(LongTasksDoNotTakeWhatIsReservedForAGang) {
  DispatcherFixture Fixture;
  Fixture.addWorkers(makeFleet());
  StepSpec Blocking = makeStep(30, 2000);
  Blocking.Estimate_ = Millis{10000};
  const JobSpec Blocker = makeJob("1", "urgent", {Blocking});
  Fixture.submit(Blocker);
  Fixture.decideAndExecute();
  const JobSpec Gang = makeJob("2", "lasting", {makeGangStep(40, 2000)});
  Fixture.submit(Gang);
  pass(Fixture, GangWait);
  StepSpec Long = makeStep(64, 2000);
  Long.Estimate_ = Millis{60000};
  const JobSpec Later = makeJob("3", "batch", {Long});
  Fixture.submit(Later);
  Fixture.decideAndExecute();
  // The rest of the fleet is not needed by the gang.
  const int Started =
      Fixture.Dispatcher_.findJob(Later.Id_)->Steps_.front().RunCount_;
  BOOST_TEST(Started <= 64 - 30 - 28);
  for (int Index = 0; Index < 30; ++Index)
    Fixture.endTask(taskNameOf(Blocker, 0, Index), TaskEnd::Done);
  Fixture.decideAndExecute();
  BOOST_TEST(runs(Fixture, Gang));
}

// Guards against a gang that starves: small tasks of a lower priority take what
// becomes free, and some of them last much longer than estimated.
BOOST_AUTO_TEST_CASE(GangStartsInAStreamOfSmallTasks) {
  LoadSettings Settings;
  Settings.Workers_ = WorkerCount;
  Settings.LongTaskShare_ = 0.05;
  LoadClass Small;
  Small.Queue_ = "small";
  Small.Policy_.Service_ = "desk";
  Small.Policy_.Priority_ = 2;
  Small.MilliCpus_ = 2000;
  Small.Length_ = Millis{1500};
  Small.Width_ = 4;
  Small.JobsPerSecond_ = 14;
  LoadClass Gang = Small;
  Gang.Queue_ = "gang";
  Gang.Policy_.Priority_ = 1;
  Gang.Gang_ = true;
  Gang.Width_ = 30;
  Gang.JobsPerSecond_ = 0.1;
  Settings.Classes_ = {Small, Gang};
  PlayedLoad Load(Settings);
  Load.run(Millis{100000});
  const LoadOutcome &Gangs = Load.outcome("gang");
  BOOST_TEST_MESSAGE("gangs: " << Gangs.Jobs_ << " starts: " << Gangs.Starts_
                               << " longest wait: "
                               << Gangs.LongestWait_.Value_);
  BOOST_TEST(Gangs.Jobs_ > 2);
  BOOST_TEST(Gangs.Starts_ > 0);
  BOOST_TEST(Gangs.LongestWait_.Value_ < 20000);
  // The small tasks go on beside the gangs.
  BOOST_TEST(Load.outcome("small").Starts_ > 3000);
  BOOST_TEST(Load.dispatcher().verify() == "");
}

BOOST_AUTO_TEST_SUITE_END()
