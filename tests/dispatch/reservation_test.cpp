#include "dispatch/reservation.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::dispatch;

BOOST_AUTO_TEST_SUITE(Reservations)

// Guards against reserving workers whose room the gang does not need.
BOOST_AUTO_TEST_CASE(SlotsThatAreReleasedFirstAreReserved) {
  const auto Reserved = reserveSlots(
      {SlotRelease{1, Millis{500}, 4}, SlotRelease{2, Millis{100}, 1},
       SlotRelease{3, Millis{100}, 2}, SlotRelease{4, Millis{900}, 8}},
      5);
  BOOST_TEST_REQUIRE(Reserved.has_value());
  BOOST_TEST(Reserved->StartAt_.Value_ == 500);
  BOOST_TEST((Reserved->Slots_ == std::map<int, int>{{1, 2}, {2, 1}, {3, 2}}));
}

// Guards against workers that are kept idle for a gang that cannot start.
BOOST_AUTO_TEST_CASE(TooFewSlotsAreNotReserved) {
  BOOST_TEST(!reserveSlots({SlotRelease{1, Millis{100}, 4}}, 5).has_value());
  BOOST_TEST(!reserveSlots({}, 1).has_value());
}

// Guards against tasks beside a reservation that delay the gang. Estimates are
// rough, so the margin grows with the time that the gang waits.
BOOST_AUTO_TEST_CASE(OnlyTasksThatEndBeforeTheGangStartsAreBackfilled) {
  BOOST_TEST(mayBackfill(Millis{1000}, Millis{}, Millis{2000}));
  BOOST_TEST(!mayBackfill(Millis{1000}, Millis{}, Millis{1999}));
  BOOST_TEST(!mayBackfill(Millis{1000}, Millis{10000}, Millis{2000}));
  BOOST_TEST(mayBackfill(Millis{1000}, Millis{60000}, Millis{8000}));
  BOOST_TEST(!mayBackfill(Millis{1000}, Millis{60000}, Millis{7999}));
  BOOST_TEST(!mayBackfill(Millis{}, Millis{}, Millis{60000}));
}

BOOST_AUTO_TEST_SUITE_END()
