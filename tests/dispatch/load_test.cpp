#include "tests/dispatch/played_load.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::dispatch;
using namespace damaskglade::dispatch::testing;

namespace {

constexpr Millis SimulatedTime{20000};

} // namespace

BOOST_AUTO_TEST_SUITE(SimulatedLoads)

// Guards against a planning pass whose time grows with the square of the number
// of workers; with 350 workers it left the leader no time to answer requests.
// Steps that wait for capacity must examine only workers that gained some since
// the last pass.
BOOST_AUTO_TEST_CASE(WaitingStepsDoNotVisitAllWorkers) {
  constexpr int Workers = 350;
  PlayedLoad Load(depotLoad(Workers, 1.3));
  Load.run(SimulatedTime);
  BOOST_TEST(Load.dispatcher().verify() == "");
  BOOST_TEST(Load.waitingJobs() > 100);
  const double ChecksPerPass =
      static_cast<double>(Load.dispatcher().workerChecks()) /
      static_cast<double>(Load.decisions());
  BOOST_TEST_MESSAGE("workers examined per decision pass: " << ChecksPerPass);
  // Linear in the number of workers, regardless of how many steps wait.
  BOOST_TEST(ChecksPerPass < 2 * Workers);
}

// Guards against tasks that are never placed because their step once found no
// capacity: after jobs stop arriving, all submitted jobs must end.
BOOST_AUTO_TEST_CASE(WaitingJobsRunOnceThereIsCapacity) {
  LoadSettings Settings = depotLoad(48, 1.5);
  Settings.ArrivalsEnd_ = Millis{10000};
  PlayedLoad Load(Settings);
  Load.run(Millis{10000});
  BOOST_TEST(Load.waitingJobs() > 0);
  Load.run(Millis{120000});
  BOOST_TEST(Load.waitingJobs() == 0);
  BOOST_TEST(Load.dispatcher().verify() == "");
}

// Guards against lookups that are delayed by batch jobs on busy workers.
BOOST_AUTO_TEST_CASE(LookupsAreOnTimeBesideBatchWork) {
  for (const int Workers : {48, 350}) {
    PlayedLoad Load(depotLoad(Workers, 0.8));
    Load.run(SimulatedTime);
    const LoadOutcome &Lookups = Load.outcome("lookup");
    BOOST_TEST(Lookups.OnTime_ > Lookups.Jobs_ * 9 / 10);
  }
}

BOOST_AUTO_TEST_SUITE_END()
