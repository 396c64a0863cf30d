#include "core/codec.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;

BOOST_AUTO_TEST_SUITE(JsonBounds)

// Guards against texts of legal size whose values take many times their size.
BOOST_AUTO_TEST_CASE(ManyOrDeepValuesExceedTheLimits) {
  constexpr JsonLimits Limits{2, 4};
  BOOST_TEST(isWithin(Limits, R"({"a":[1,2]})"));
  BOOST_TEST(!isWithin(Limits, R"({"a":[1,2,3]})"));
  BOOST_TEST(!isWithin(Limits, R"({"a":[[]]})"));
}

// Guards against payloads that are taken for values.
BOOST_AUTO_TEST_CASE(TextInQuotesIsNotCounted) {
  BOOST_TEST(isWithin(JsonLimits{1, 2}, R"({"a":"[[{,,,,\",,[[\\"})"));
  BOOST_TEST(!isWithin(JsonLimits{1, 2}, R"({"a":"\\",[[)"));
}

BOOST_AUTO_TEST_SUITE_END()
