#include "policy/never_fits.h"
#include "policy/quarantine.h"
#include "tests/policy/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

std::vector<std::string> workers(int First, int Count) {
  std::vector<std::string> Ids;
  for (int Number = First; Number < First + Count; ++Number)
    Ids.push_back(workerId(Number));
  return Ids;
}

void failStarts(Quarantine &Tracker, const std::string &Worker, Millis Now) {
  for (int Start = 0; Start < 3; ++Start)
    Tracker.recordFailure(Worker, Millis{100}, Now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Quarantines)

// Guards against a faulty job or a network fault that quarantines a whole zone.
BOOST_AUTO_TEST_CASE(NeverExceedsTheLimitOfAZone) {
  BOOST_TEST(holds("at most 25% of a zone's workers are quarantined", [] {
    Quarantine Tracker;
    int Sizes[] = {16, 9};
    Tracker.setZone("a", workers(0, Sizes[0]));
    Tracker.setZone("b", workers(100, Sizes[1]));
    std::int64_t Now = 0;
    for (int Step = 0; Step < 150; ++Step) {
      Now += *rc::gen::inRange(0, 4000);
      const int Zone = *rc::gen::inRange(0, 2);
      const std::string Worker =
          workerId(Zone * 100 + *rc::gen::inRange(0, 18));
      switch (*rc::gen::inRange(0, 12)) {
      case 0:
        Sizes[Zone] = *rc::gen::inRange(0, 18);
        Tracker.setZone(Zone == 0 ? "a" : "b",
                        workers(Zone * 100, Sizes[Zone]));
        break;
      case 1:
        Tracker.recordSuccess(Worker);
        break;
      case 2:
        Tracker.quarantine(Worker, Millis{Now});
        break;
      case 3:
        Tracker.beginTrial(Worker, Millis{Now});
        break;
      default:
        failStarts(Tracker, Worker, Millis{Now});
      }
      for (int Index = 0; Index < 2; ++Index) {
        int Unhealthy = 0;
        for (int Number = 0; Number < 20; ++Number)
          Unhealthy += Tracker.health(workerId(Index * 100 + Number),
                                      Millis{Now}) == WorkerHealth::Healthy
                           ? 0
                           : 1;
        RC_ASSERT(Unhealthy <= Sizes[Index] / 4);
        RC_ASSERT(Unhealthy == Tracker.quarantinedIn(Index == 0 ? "a" : "b"));
      }
    }
  }));
}

// Guards against a broken worker that receives and fails new work without end,
// and against a repaired worker that stays quarantined.
BOOST_AUTO_TEST_CASE(TrialStartsFollowGrowingDelays) {
  Quarantine Tracker;
  Tracker.setZone("a", workers(0, 8));
  const std::string FailingWorker = workerId(0);
  failStarts(Tracker, FailingWorker, Millis{0});
  // The success of a task that was started before the quarantine does not end
  // the quarantine.
  Tracker.recordSuccess(FailingWorker);
  std::int64_t Now = 0;
  for (const std::int64_t Delay : {10000, 20000, 40000, 80000}) {
    BOOST_TEST((Tracker.health(FailingWorker, Millis{Now + Delay - 1}) ==
                WorkerHealth::Quarantined));
    Now += Delay;
    BOOST_TEST(
        (Tracker.health(FailingWorker, Millis{Now}) == WorkerHealth::TrialDue));
    BOOST_TEST(Tracker.beginTrial(FailingWorker, Millis{Now}));
    BOOST_TEST(!Tracker.beginTrial(FailingWorker, Millis{Now}));
    Tracker.recordFailure(FailingWorker, Millis{100}, Millis{Now});
  }
  Now += 160000;
  BOOST_TEST(Tracker.beginTrial(FailingWorker, Millis{Now}));
  // No outcome of this trial start is reported, for example because the node
  // that sent it failed. After 60 s another trial start may be sent.
  BOOST_TEST((Tracker.health(FailingWorker, Millis{Now + 59999}) ==
              WorkerHealth::TrialRunning));
  BOOST_TEST(Tracker.beginTrial(FailingWorker, Millis{Now + 60000}));
  Tracker.recordSuccess(FailingWorker);
  BOOST_TEST((Tracker.health(FailingWorker, Millis{Now + 60000}) ==
              WorkerHealth::Healthy));
}

// Guards against quarantining healthy workers because of faulty tasks.
BOOST_AUTO_TEST_CASE(OnlyConsecutiveStartFailuresCount) {
  Quarantine Tracker;
  Tracker.setZone("a", workers(0, 8));
  const std::string Id = workerId(0);
  for (int Round = 0; Round < 10; ++Round) {
    Tracker.recordFailure(Id, Millis{100}, Millis{0});
    Tracker.recordFailure(Id, Millis{100}, Millis{0});
    if (Round % 2 == 0)
      Tracker.recordSuccess(Id);
    else
      Tracker.recordFailure(Id, Millis{60000}, Millis{0});
  }
  BOOST_TEST((Tracker.health(Id, Millis{0}) == WorkerHealth::Healthy));
}

// Guards against work that waits forever, and against refusals that name the
// wrong resource or concern work that fits.
BOOST_AUTO_TEST_CASE(NeverFitsNamesTheResource) {
  const std::vector<Resources> Capacities{{16000, 65536, 0, 8, 64},
                                          {8000, 131072, 4, 8, 64}};
  BOOST_TEST(!neverFits({16000, 1024, 0, 1, 1}, Capacities));
  BOOST_TEST(!neverFits({99000, 0, 0, 0, 0}, {}));
  const auto Memory = neverFits({1000, 200000, 0, 1, 1}, Capacities);
  BOOST_REQUIRE(Memory);
  BOOST_TEST((Memory->Reason_ == Reason::NeverFits));
  BOOST_TEST((Memory->Effect_ == Effect::None));
  BOOST_TEST(Memory->Peer_ == "size.memory_mib");
  BOOST_TEST(neverFits({0, 0, 5, 0, 0}, Capacities)->Peer_ ==
             "size.accelerators");
  // Each resource fits on some worker, but no worker fits all of them.
  BOOST_TEST(neverFits({16000, 0, 1, 1, 1}, Capacities).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
