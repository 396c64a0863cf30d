#include "policy/cancellation.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace damaskglade;
using namespace damaskglade::policy;

BOOST_AUTO_TEST_SUITE(CancellationSuite)

// Guards against tombstones that are removed while a start may be in transit,
// and against tombstones that are never removed after a burst of cancellations.
BOOST_AUTO_TEST_CASE(TombstonesExpireAfterABurst) {
  Cancellations Canceled{CancellationSettings{Millis{1000}, 20000}};
  for (int Index = 0; Index < 10000; ++Index)
    BOOST_REQUIRE(Canceled.add(std::to_string(Index), Millis{Index / 100}));
  BOOST_TEST(!Canceled.add("0", Millis{100}));
  BOOST_TEST(Canceled.contains("0", Millis{999}));
  BOOST_TEST(Canceled.contains("9999", Millis{1090}));
  for (int Index = 0; Index < 2500; ++Index)
    Canceled.contains("other", Millis{2000});
  BOOST_TEST(Canceled.size() == 0U);
}

// Guards against unbounded memory use with many cancellations.
BOOST_AUTO_TEST_CASE(OldestTombstonesAreEvictedFirst) {
  Cancellations Canceled{CancellationSettings{Millis{1000}, 100}};
  for (int Index = 0; Index < 1000; ++Index)
    Canceled.add(std::to_string(Index), Millis{0});
  BOOST_TEST(Canceled.size() <= 100U);
  BOOST_TEST(Canceled.contains("999", Millis{0}));
}

BOOST_AUTO_TEST_SUITE_END()
