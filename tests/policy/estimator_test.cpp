#include "policy/estimator.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::policy;

BOOST_AUTO_TEST_SUITE(EstimatorSuite)

// Guards against plans based on declared values that are wrong by a factor of
// 4, and against one team's wrong declarations affecting the plans of others.
BOOST_AUTO_TEST_CASE(LearnsRatiosByTeam) {
  Estimator Estimates{EstimatorSettings{}};
  JobSpec Spec;
  Spec.Team_ = "a";
  Spec.Class_ = TaskClass::Batch;
  Spec.Size_ = Resources{1000, 400, 2, 1, 1};
  Spec.Run_ = Millis{100};
  BOOST_TEST((Estimates.plannedSize(Spec) == Spec.Size_));
  for (int Count = 0; Count < 200; ++Count) {
    Estimates.observe(Observation{TaskClass::Batch, "a", Spec.Size_,
                                  Resources{250, 1600, 2, 1, 1}, Millis{100},
                                  Millis{400}});
    Estimates.observe(Observation{TaskClass::Batch, "b", Spec.Size_, Spec.Size_,
                                  Millis{100}, Millis{100}});
  }
  const Resources Planned = Estimates.plannedSize(Spec);
  BOOST_TEST(Planned.MilliCpus_ < 260);
  BOOST_TEST(Planned.MemoryMib_ > 1540);
  BOOST_TEST(Planned.Accelerators_ == 2);
  BOOST_TEST(Estimates.plannedRun(Spec).Value_ > 385);
  Spec.Team_ = "b";
  BOOST_TEST((Estimates.plannedSize(Spec) == Spec.Size_));
}

// Guards against a single implausible report, or one without measurements, that
// moves plans outside the bounds.
BOOST_AUTO_TEST_CASE(LimitsSingleObservations) {
  Estimator Estimates{EstimatorSettings{}};
  Estimates.observe(Observation{TaskClass::Batch, "a", Resources{1000, 400},
                                Resources{0, 4000000}, Millis{1},
                                Millis{1000}});
  const Ratios Observed = Estimates.ratios(TaskClass::Batch, "a");
  BOOST_TEST(Observed.MilliCpus_ == 1.0);
  BOOST_TEST(Observed.MemoryMib_ < 4.0);
  BOOST_TEST(Observed.Run_ < 4.0);
}

BOOST_AUTO_TEST_SUITE_END()
