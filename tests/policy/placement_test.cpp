#include "policy/placement.h"
#include "tests/policy/fleet.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

PlacementRequest makeRequest(TaskClass Class, const Resources &Size,
                             const std::string &Job = "job") {
  PlacementRequest Request;
  Request.Job_ = Job;
  Request.Class_ = Class;
  Request.Size_ = Size;
  return Request;
}

bool placeAndReserve(Ledger &Accounts, const PlacementRequest &Request,
                     const std::string &Attempt) {
  const auto Chosen = place(Accounts, Request);
  if (!Chosen)
    return false;
  return Accounts
      .reserve(makeReservation(Attempt, Chosen->Worker_, Request.Size_,
                               Request.Class_))
      .has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementByClass)

// Guards against an index that omits a worker with enough free capacity.
BOOST_AUTO_TEST_CASE(PlacesWhateverFirstFitCan) {
  BOOST_TEST(holds("what fits an empty fleet is placed", [] {
    Ledger Accounts;
    std::vector<Resources> Capacities =
        *rc::gen::container<std::vector<Resources>>(*rc::gen::inRange(1, 12),
                                                    arbitrarySize());
    for (std::size_t Number = 0; Number < Capacities.size(); ++Number)
      (void)Accounts.putWorker(
          makeWorker(static_cast<int>(Number), Capacities[Number]));
    PlacementRequest Request = makeRequest(randomClass(), *arbitrarySize());
    Request.Random_ = *rc::gen::arbitrary<std::uint64_t>();
    bool Fits = false;
    for (const Resources &Capacity : Capacities)
      Fits = Fits || fits(Request.Size_, Capacity);
    const auto Chosen = place(Accounts, Request);
    RC_ASSERT(Chosen.has_value() == Fits);
    if (Chosen)
      RC_ASSERT(fits(Request.Size_, Accounts.freeOf(Chosen->Worker_)));
  }));
}

// Guards against a placement on a worker without enough free capacity as the
// fleet fills up, and against a refusal although some worker has enough.
BOOST_AUTO_TEST_CASE(ChosenWorkerHasCapacity) {
  BOOST_TEST(holds("placed exactly if a worker has free capacity", [] {
    Ledger Accounts = makeFleet(10);
    for (int Task = 0; Task < 60; ++Task) {
      Resources Size = *arbitrarySize();
      Size.Accelerators_ = 0;
      PlacementRequest Request = makeRequest(randomClass(), Size);
      Request.Guards_ = NoGuards;
      bool Fits = false;
      for (int Number = 0; Number < 10; ++Number)
        Fits = Fits || fits(Size, Accounts.freeOf(workerId(Number)));
      RC_ASSERT(placeAndReserve(Accounts, Request,
                                "j." + std::to_string(Task) + ".1") == Fits);
    }
  }));
}

// Guards against a service that fails completely when one rack or zone is lost.
BOOST_AUTO_TEST_CASE(ServicesSpreadOverZonesAndRacks) {
  Ledger Accounts = makeFleet(48); // 6 racks in 3 zones.
  std::map<std::string, int> Zones;
  std::map<std::string, int> Racks;
  for (int Task = 0; Task < 12; ++Task) {
    const PlacementRequest Request =
        makeRequest(TaskClass::Service, {1000, 512, 0, 1, 1});
    const auto Chosen = place(Accounts, Request);
    BOOST_REQUIRE(Chosen);
    ++Zones[Chosen->Zone_];
    ++Racks[Chosen->Rack_];
    BOOST_REQUIRE(placeAndReserve(Accounts, Request,
                                  "job." + std::to_string(Task) + ".1"));
  }
  for (const auto &[Zone, Count] : Zones)
    BOOST_TEST(Count == 4);
  BOOST_TEST(Racks.size() == 6u);
  for (const auto &[Rack, Count] : Racks)
    BOOST_TEST(Count == 2);
}

// Guards against batch work that is scattered so that large tasks fit on no
// worker, and against batch work that occupies workers with accelerators.
BOOST_AUTO_TEST_CASE(BatchPacksAndSparesAccelerators) {
  Ledger Accounts = makeFleet(7);
  BOOST_REQUIRE(Accounts.putWorker(makeWorker(7, {16000, 65536, 4, 8, 64})));
  std::set<std::string> Used;
  for (int Task = 0; Task < 16; ++Task) {
    const PlacementRequest Request =
        makeRequest(TaskClass::Batch, {2000, 1024, 0, 1, 1});
    Used.insert(place(Accounts, Request)->Worker_);
    BOOST_REQUIRE(
        placeAndReserve(Accounts, Request, "b." + std::to_string(Task) + ".1"));
  }
  BOOST_TEST(Used.size() == 2u);
  BOOST_TEST(!Used.contains(workerId(7)));
  const auto Accelerated =
      place(Accounts, makeRequest(TaskClass::Batch, {1000, 0, 1, 1, 0}));
  BOOST_REQUIRE(Accelerated);
  BOOST_TEST(Accelerated->Worker_ == workerId(7));
}

// Guards against lookups that wait behind other tasks on a loaded worker.
BOOST_AUTO_TEST_CASE(LookupsGoToTheLeastLoadedWorker) {
  Ledger Accounts = makeFleet(4);
  for (int Number = 0; Number < 3; ++Number)
    BOOST_REQUIRE(Accounts.reserve(
        makeReservation("s." + std::to_string(Number) + ".1", workerId(Number),
                        {8000, 0, 0, 1, 0})));
  const auto Chosen =
      place(Accounts, makeRequest(TaskClass::Lookup, {100, 16, 0, 1, 1}));
  BOOST_REQUIRE(Chosen);
  BOOST_TEST(Chosen->Worker_ == workerId(3));
}

// Guards against a flood of one class that takes all capacity of the worker
// set.
BOOST_AUTO_TEST_CASE(GuaranteesKeepCapacityForOtherClasses) {
  Ledger Accounts = makeFleet(48);
  PlacementRequest Flood =
      makeRequest(TaskClass::Batch, {500, 256, 0, 1, 1}, "flood");
  int Placed = 0;
  while (placeAndReserve(Accounts, Flood,
                         "flood." + std::to_string(Placed) + ".1"))
    ++Placed;
  // 48 workers have 384 slots; 2% of them, rounded down to 7, are kept free for
  // lookups and as many for requests.
  BOOST_TEST(Placed == 384 - 7 - 7);
  int Lookups = 0;
  while (placeAndReserve(
      Accounts, makeRequest(TaskClass::Lookup, {100, 16, 0, 1, 1}, "look"),
      "look." + std::to_string(Lookups) + ".1"))
    ++Lookups;
  BOOST_TEST(Lookups == 7);
  BOOST_TEST(place(Accounts,
                   makeRequest(TaskClass::Request, {100, 16, 0, 1, 1}, "pay"))
                 .has_value());
}

// Guards against new work on quarantined workers.
BOOST_AUTO_TEST_CASE(QuarantinedWorkersGetOnlyDirectReservations) {
  WorkerInfo Quarantined = makeWorker(0);
  Quarantined.Quarantined_ = true;
  Ledger Accounts;
  BOOST_REQUIRE(Accounts.putWorker(Quarantined));
  for (const TaskClass Class :
       {TaskClass::Service, TaskClass::Batch, TaskClass::Lookup})
    BOOST_TEST(!place(Accounts, makeRequest(Class, {1, 1, 0, 1, 1})));
  BOOST_TEST(
      Accounts
          .reserve(makeReservation("t.0.1", Quarantined.Id_, {1, 1, 0, 1, 1}))
          .has_value());
}

BOOST_AUTO_TEST_SUITE_END()
