#include "policy/admission.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

constexpr Resources Task{1000, 1000, 0, 1, 1};

QueuedJob makeJob(std::int64_t Number, Millis Deadline) {
  return QueuedJob{"job-" + std::to_string(Number),
                   "a",
                   TaskClass::Request,
                   Urgency::Normal,
                   Task,
                   1,
                   Millis{1000},
                   Millis{0},
                   Deadline};
}

struct AdmissionFixture {
  Shares Shares_{ShareSettings{}};
  JobQueue Queue_{QueueSettings{}, Shares_};
  Admission Admission_{AdmissionSettings{}, Queue_, Shares_};

  AdmissionFixture() { Shares_.setFleet(timesTasks(Task, 100)); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionSuite)

// Guards against accepting work that cannot meet its deadline, and against
// refusals while the queue is empty.
BOOST_AUTO_TEST_CASE(RefusesWhenTheWaitExceedsTheDeadline) {
  AdmissionFixture Fixture;
  const Millis Now{10000};
  BOOST_TEST(!!Fixture.Admission_.admit(makeJob(0, Now + Millis{500}), Now));
  // The team is guaranteed a quarter of 100 slots, so 100 queued jobs of 1 s
  // take 4 s. The new job then runs for 1 s and ends after 5 s.
  for (std::int64_t Number = 0; Number < 100; ++Number)
    BOOST_REQUIRE(!!Fixture.Queue_.push(makeJob(Number, Millis{})));
  BOOST_TEST(!!Fixture.Admission_.admit(makeJob(0, Now + Millis{5100}), Now));
  const Status Refused =
      Fixture.Admission_.admit(makeJob(0, Now + Millis{4900}), Now);
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::DeadlineUnreachable));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
  BOOST_TEST((Refused.error().RetryAfter_ == Millis{100}));
  BOOST_TEST(!!Fixture.Admission_.admit(makeJob(0, Millis{}), Now));
}

// Guards against refusals that are based on the guaranteed rate although the
// team is served faster.
BOOST_AUTO_TEST_CASE(MeasuredRateShortensTheExpectedWait) {
  AdmissionFixture Fixture;
  for (std::int64_t Number = 0; Number < 100; ++Number)
    BOOST_REQUIRE(!!Fixture.Queue_.push(makeJob(Number, Millis{})));
  const Millis Before = Fixture.Admission_.expectedWait(
      TaskClass::Request, "a", Urgency::Normal, Millis{60000});
  // One job of 1 s every 20 ms: 50 jobs run at a time, on half of the 100
  // slots.
  for (std::int64_t Time = 0; Time < 60000; Time += 20)
    Fixture.Admission_.started(makeJob(0, Millis{}), Millis{Time});
  const Millis After = Fixture.Admission_.expectedWait(
      TaskClass::Request, "a", Urgency::Normal, Millis{60000});
  BOOST_TEST(Before.Value_ == 4000);
  BOOST_TEST(After.Value_ > 1900);
  BOOST_TEST(After.Value_ < 2100);
}

BOOST_AUTO_TEST_SUITE_END()
