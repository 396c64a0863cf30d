#define BOOST_TEST_MODULE records
#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace {

// A fixed seed, so that a failure can be repeated; RC_PARAMS overrides it.
struct FixedSeed {
  FixedSeed() { setenv("RC_PARAMS", "seed=20261204 max_success=100", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
