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

struct Home {
  Shares Accounts_{ShareSettings{}};
  JobQueue Queue_{QueueSettings{}, Accounts_};
  Admission Admission_{AdmissionSettings{}, Queue_, Accounts_};

  Home() { Accounts_.setFleet(timesTasks(Task, 100)); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionSuite)

// Guards against work that is accepted although it cannot be on time, and
// against refusals while nothing waits.
BOOST_AUTO_TEST_CASE(RefusesWhenTheWaitPassesTheDeadline) {
  Home Node;
  const Millis Now{10000};
  BOOST_TEST(!!Node.Admission_.admit(makeJob(0, Now + Millis{500}), Now));
  // 100 jobs of 1 s on a guaranteed quarter of 100 slots take 4 s.
  for (std::int64_t Number = 0; Number < 100; ++Number)
    BOOST_REQUIRE(!!Node.Queue_.push(makeJob(Number, Millis{})));
  BOOST_TEST(!!Node.Admission_.admit(makeJob(0, Now + Millis{5100}), Now));
  const Status Refused =
      Node.Admission_.admit(makeJob(0, Now + Millis{4900}), Now);
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::DeadlineUnreachable));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
  BOOST_TEST((Refused.error().RetryAfter_ == Millis{100}));
  BOOST_TEST(!!Node.Admission_.admit(makeJob(0, Millis{}), Now));
}

// Guards against refusals based on the guaranteed rate while the team is in
// fact served faster.
BOOST_AUTO_TEST_CASE(MeasuredRateShortensTheExpectedWait) {
  Home Node;
  for (std::int64_t Number = 0; Number < 100; ++Number)
    BOOST_REQUIRE(!!Node.Queue_.push(makeJob(Number, Millis{})));
  const Millis Before = Node.Admission_.expectedWait(
      TaskClass::Request, "a", Urgency::Normal, Millis{60000});
  // One job each 20 ms is half of the fleet.
  for (std::int64_t Time = 0; Time < 60000; Time += 20)
    Node.Admission_.started(makeJob(0, Millis{}), Millis{Time});
  const Millis After = Node.Admission_.expectedWait(
      TaskClass::Request, "a", Urgency::Normal, Millis{60000});
  BOOST_TEST(Before.Value_ == 4000);
  BOOST_TEST(After.Value_ > 1900);
  BOOST_TEST(After.Value_ < 2100);
}

BOOST_AUTO_TEST_SUITE_END()
