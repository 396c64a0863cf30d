#define BOOST_TEST_MODULE records
#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace {

// Fixes the RapidCheck seed, so that a failure is reproducible; RC_PARAMS in
// the environment overrides it.
struct FixedSeed {
  FixedSeed() { setenv("RC_PARAMS", "seed=20261204 max_success=100", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
