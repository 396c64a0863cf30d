#include "policy/estimator.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::policy;

BOOST_AUTO_TEST_SUITE(EstimatorSuite)

// Guards against plans on declared values that are off by 4 times, and against
// one team's errors spoiling the plans of others.
BOOST_AUTO_TEST_CASE(LearnsRatiosByTeam) {
  Estimator Learned{EstimatorSettings{}};
  JobSpec Spec;
  Spec.Team_ = "a";
  Spec.Class_ = TaskClass::Batch;
  Spec.Size_ = Resources{1000, 400, 2, 1, 1};
  Spec.Run_ = Millis{100};
  BOOST_TEST((Learned.plannedSize(Spec) == Spec.Size_));
  for (int Count = 0; Count < 200; ++Count) {
    Learned.observe(Observation{TaskClass::Batch, "a", Spec.Size_,
                                Resources{250, 1600, 2, 1, 1}, Millis{100},
                                Millis{400}});
    Learned.observe(Observation{TaskClass::Batch, "b", Spec.Size_, Spec.Size_,
                                Millis{100}, Millis{100}});
  }
  const Resources Planned = Learned.plannedSize(Spec);
  BOOST_TEST(Planned.MilliCpus_ < 260);
  BOOST_TEST(Planned.MemoryMib_ > 1540);
  BOOST_TEST(Planned.Accelerators_ == 2);
  BOOST_TEST(Learned.plannedRun(Spec).Value_ > 385);
  Spec.Team_ = "b";
  BOOST_TEST((Learned.plannedSize(Spec) == Spec.Size_));
}

// Guards against a single absurd report, and a report without measurements,
// that moves plans outside the bounds.
BOOST_AUTO_TEST_CASE(LimitsSingleObservations) {
  Estimator Learned{EstimatorSettings{}};
  Learned.observe(Observation{TaskClass::Batch, "a", Resources{1000, 400},
                              Resources{0, 4000000}, Millis{1}, Millis{1000}});
  const Ratios Seen = Learned.ratios(TaskClass::Batch, "a");
  BOOST_TEST(Seen.MilliCpus_ == 1.0);
  BOOST_TEST(Seen.MemoryMib_ < 4.0);
  BOOST_TEST(Seen.Run_ < 4.0);
}

BOOST_AUTO_TEST_SUITE_END()
