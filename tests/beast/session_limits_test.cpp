#include "drivers/beast/session_limits.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::drivers;

BOOST_AUTO_TEST_SUITE(Sessions)

// Guards against a new request that is closed in place of one that stands
// still.
BOOST_AUTO_TEST_CASE(OldestSessionIsClosedFirst) {
  const std::vector<SessionUse> All = {{Millis{9000}, 0, 0, false},
                                       {Millis{4000}, 262143, 262144, false},
                                       {Millis{5500}, 0, 512, false}};
  BOOST_TEST(chooseSession(All, false).value() == 1U);
}

// Guards against progress that does not count.
BOOST_AUTO_TEST_CASE(OfTwoTheOneWithLessProgressIsClosedFirst) {
  const std::vector<SessionUse> All = {{Millis{4000}, 200000, 262144, false},
                                       {Millis{4100}, 10, 512, false}};
  BOOST_TEST(chooseSession(All, false).value() == 1U);
}

// Guards against closing what may have had an effect.
BOOST_AUTO_TEST_CASE(RequestInItsHandlerIsNotClosed) {
  BOOST_TEST(!chooseSession({{Millis{1}, 100, 100, true}}, false).has_value());
}

// Guards against closing idle sessions, which frees no memory.
BOOST_AUTO_TEST_CASE(SessionsWithoutMemoryAreNotClosedForMemory) {
  const std::vector<SessionUse> All = {{Millis{1}, 0, 0, false},
                                       {Millis{2}, 10, 512, false}};
  BOOST_TEST(chooseSession(All, true).value() == 1U);
}

// Guards against bounds in a deployment that sets none, and against times
// below those that clients may take.
BOOST_AUTO_TEST_CASE(LimitsFollowTheSettings) {
  BOOST_TEST((deriveSessionLimits(0, 0) == SessionLimits{}));
  const SessionLimits Small = deriveSessionLimits(120, 3075);
  BOOST_TEST(Small.Sessions_ == 1537U);
  BOOST_TEST(Small.Bytes_ == std::size_t{30} * 1024 * 1024);
  BOOST_TEST(Small.HeaderTime_.Value_ >= 3000);
  BOOST_TEST(bodyTime(Small, 262144).Value_ == 21000);
}

BOOST_AUTO_TEST_SUITE_END()
