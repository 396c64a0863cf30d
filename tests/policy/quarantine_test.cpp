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

void failStarts(Quarantine &Held, const std::string &Worker, Millis Now) {
  for (int Start = 0; Start < 3; ++Start)
    Held.recordFailure(Worker, Millis{100}, Now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Quarantines)

// Guards against a bad job or a network fault that takes a zone out of use.
BOOST_AUTO_TEST_CASE(NeverPassesTheCap) {
  BOOST_TEST(holds("at most 25% of a zone's workers are quarantined", [] {
    Quarantine Held;
    int Sizes[] = {16, 9};
    Held.setZone("a", workers(0, Sizes[0]));
    Held.setZone("b", workers(100, Sizes[1]));
    std::int64_t Now = 0;
    for (int Step = 0; Step < 150; ++Step) {
      Now += *rc::gen::inRange(0, 4000);
      const int Zone = *rc::gen::inRange(0, 2);
      const std::string Worker =
          workerId(Zone * 100 + *rc::gen::inRange(0, 18));
      switch (*rc::gen::inRange(0, 12)) {
      case 0:
        Sizes[Zone] = *rc::gen::inRange(0, 18);
        Held.setZone(Zone == 0 ? "a" : "b", workers(Zone * 100, Sizes[Zone]));
        break;
      case 1:
        Held.recordSuccess(Worker);
        break;
      case 2:
        Held.quarantine(Worker, Millis{Now});
        break;
      case 3:
        Held.beginTrial(Worker, Millis{Now});
        break;
      default:
        failStarts(Held, Worker, Millis{Now});
      }
      for (int Index = 0; Index < 2; ++Index) {
        int Out = 0;
        for (int Number = 0; Number < 20; ++Number)
          Out += Held.health(workerId(Index * 100 + Number), Millis{Now}) ==
                         WorkerHealth::Healthy
                     ? 0
                     : 1;
        RC_ASSERT(Out <= Sizes[Index] / 4);
        RC_ASSERT(Out == Held.countIn(Index == 0 ? "a" : "b"));
      }
    }
  }));
}

// Guards against a broken worker that draws and fails all work, and against a
// repaired one that stays out of use.
BOOST_AUTO_TEST_CASE(TrialStartsFollowGrowingDelays) {
  Quarantine Held;
  Held.setZone("a", workers(0, 8));
  const std::string Bad = workerId(0);
  failStarts(Held, Bad, Millis{0});
  // A task from before ends well.
  Held.recordSuccess(Bad);
  std::int64_t Now = 0;
  for (const std::int64_t Delay : {10000, 20000, 40000, 80000}) {
    BOOST_TEST((Held.health(Bad, Millis{Now + Delay - 1}) ==
                WorkerHealth::Quarantined));
    Now += Delay;
    BOOST_TEST((Held.health(Bad, Millis{Now}) == WorkerHealth::TrialDue));
    BOOST_TEST(Held.beginTrial(Bad, Millis{Now}));
    BOOST_TEST(!Held.beginTrial(Bad, Millis{Now}));
    Held.recordFailure(Bad, Millis{100}, Millis{Now});
  }
  Now += 160000;
  BOOST_TEST(Held.beginTrial(Bad, Millis{Now}));
  // The owner that sent the trial died; another trial follows.
  BOOST_TEST((Held.health(Bad, Millis{Now + 59999}) == WorkerHealth::OnTrial));
  BOOST_TEST(Held.beginTrial(Bad, Millis{Now + 60000}));
  Held.recordSuccess(Bad);
  BOOST_TEST((Held.health(Bad, Millis{Now + 60000}) == WorkerHealth::Healthy));
}

// Guards against healthy workers that are blamed for failing tasks.
BOOST_AUTO_TEST_CASE(OnlyQuickFailuresInARowCount) {
  Quarantine Held;
  Held.setZone("a", workers(0, 8));
  const std::string Id = workerId(0);
  for (int Round = 0; Round < 10; ++Round) {
    Held.recordFailure(Id, Millis{100}, Millis{0});
    Held.recordFailure(Id, Millis{100}, Millis{0});
    if (Round % 2 == 0)
      Held.recordSuccess(Id);
    else
      Held.recordFailure(Id, Millis{60000}, Millis{0});
  }
  BOOST_TEST((Held.health(Id, Millis{0}) == WorkerHealth::Healthy));
}

// Guards against work that waits for ever, and against a refusal that blames
// the wrong resource or work that does fit.
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
  // Fits each resource of some worker, but all of none.
  BOOST_TEST(neverFits({16000, 0, 1, 1, 1}, Capacities).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
