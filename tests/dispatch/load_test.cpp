#include "tests/dispatch/played_load.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

constexpr Millis Played{20000};

} // namespace

BOOST_AUTO_TEST_SUITE(Loads)

// Guards against a planning pass whose time grows with the square of the site,
// which left no time to serve callers at 350 workers: jobs that wait for room
// look only at the workers that gained some.
BOOST_AUTO_TEST_CASE(WaitingStepsDoNotVisitAllWorkers) {
  constexpr int Workers = 350;
  PlayedLoad Load(depotLoad(Workers, 1.3));
  Load.run(Played);
  BOOST_TEST(Load.core().verify() == "");
  BOOST_TEST(Load.waitingJobs() > 100);
  const double PerPass = static_cast<double>(Load.core().visits()) /
                         static_cast<double>(Load.decisions());
  BOOST_TEST_MESSAGE("visits a pass: " << PerPass);
  // Linear in the workers, however many steps wait.
  BOOST_TEST(PerPass < 2 * Workers);
}

// Guards against tasks that are forgotten because their step once found no
// room: everything that was handed in ends when the arrivals stop.
BOOST_AUTO_TEST_CASE(WaitingJobsRunOnceThereIsRoom) {
  LoadSettings Settings = depotLoad(48, 1.5);
  Settings.ArrivalsEnd_ = Millis{10000};
  PlayedLoad Load(Settings);
  Load.run(Millis{10000});
  BOOST_TEST(Load.waitingJobs() > 0);
  Load.run(Millis{120000});
  BOOST_TEST(Load.waitingJobs() == 0);
  BOOST_TEST(Load.core().verify() == "");
}

// Guards against lookups that wait for batch work on a busy site.
BOOST_AUTO_TEST_CASE(LookupsAreOnTimeBesideBatchWork) {
  for (const int Workers : {48, 350}) {
    PlayedLoad Load(depotLoad(Workers, 0.8));
    Load.run(Played);
    const LoadOutcome &Lookups = Load.outcome("lookup");
    BOOST_TEST(Lookups.OnTime_ > Lookups.Jobs_ * 9 / 10);
  }
}

BOOST_AUTO_TEST_SUITE_END()
