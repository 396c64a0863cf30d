#include "policy/shares.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

constexpr Resources Fleet{100000, 100000, 0, 100, 1000};
constexpr Resources Task{1000, 1000, 0, 1, 1}; // One percent of the fleet.

Shares makeShares() {
  Shares FairShares{ShareSettings{}};
  FairShares.setFleet(Fleet);
  return FairShares;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SharesSuite)

// Guards against past usage that never decays, and against the usage of running
// tasks decaying.
BOOST_AUTO_TEST_CASE(UsageDecaysOnlyAfterTheTaskEnds) {
  Shares FairShares = makeShares();
  FairShares.start(TaskClass::Batch, "a", Urgency::Normal, timesTasks(Task, 50),
                   Millis{0});
  BOOST_TEST(FairShares.classShare(TaskClass::Batch, Millis{0}) >= 0.5);
  BOOST_TEST(FairShares.classShare(TaskClass::Batch, Millis{100000}) >= 0.499);
  FairShares.finish(TaskClass::Batch, "a", Urgency::Normal,
                    timesTasks(Task, 50), Millis{100000});
  const double AfterOneHalfLife =
      FairShares.classShare(TaskClass::Batch, Millis{110000});
  BOOST_TEST(AfterOneHalfLife > 0.2);
  BOOST_TEST(AfterOneHalfLife < 0.3);
  BOOST_TEST(FairShares.classShare(TaskClass::Batch, Millis{300000}) < 0.001);
}

// Guards against streams of tasks shorter than the clock's resolution that are
// not charged.
BOOST_AUTO_TEST_CASE(TasksShorterThanOneMillisecondAreCharged) {
  Shares FairShares = makeShares();
  for (std::int64_t Index = 0; Index < 1000; ++Index) {
    FairShares.start(TaskClass::Lookup, "a", Urgency::Normal, Task,
                     Millis{Index});
    FairShares.finish(TaskClass::Lookup, "a", Urgency::Normal, Task,
                      Millis{Index});
  }
  BOOST_TEST(FairShares.classShare(TaskClass::Lookup, Millis{1000}) > 0.0005);
}

// Guards against an idle team that keeps a part of the class's minimum, and
// against an active weight that is not reduced when a team becomes idle.
BOOST_AUTO_TEST_CASE(ActiveTeamsDivideTheMinimum) {
  Shares FairShares = makeShares();
  const double ClassMinimum = FairShares.classMinimum(TaskClass::Batch);
  BOOST_TEST(FairShares.teamMinimum(TaskClass::Batch, "a") == ClassMinimum);
  FairShares.addQueuedJob(TaskClass::Batch, "b");
  FairShares.start(TaskClass::Batch, "b", Urgency::Normal, Task, Millis{0});
  BOOST_TEST(FairShares.teamMinimum(TaskClass::Batch, "a") == ClassMinimum / 2);
  FairShares.removeQueuedJob(TaskClass::Batch, "b");
  BOOST_TEST(FairShares.teamMinimum(TaskClass::Batch, "a") == ClassMinimum / 2);
  FairShares.finish(TaskClass::Batch, "b", Urgency::Normal, Task, Millis{1});
  BOOST_TEST(FairShares.teamMinimum(TaskClass::Batch, "a") == ClassMinimum);
}

// Guards against a reserve that exceeds the guaranteed minimum, that ignores
// running tasks or that never returns to zero.
BOOST_AUTO_TEST_CASE(ReserveFollowsTheUsageOfInteractiveWork) {
  Shares FairShares = makeShares();
  const auto RunJobs = [&FairShares](std::int64_t Count, Millis Start,
                                     Millis End) {
    for (std::int64_t Index = 0; Index < Count; ++Index)
      FairShares.start(TaskClass::Lookup, "a", Urgency::Normal, Task, Start);
    BOOST_TEST((FairShares.interactiveReserve(End).Slots_ <= 25));
    for (std::int64_t Index = 0; Index < Count; ++Index)
      FairShares.finish(TaskClass::Lookup, "a", Urgency::Normal, Task, End);
  };
  BOOST_TEST((FairShares.interactiveReserve(Millis{0}) == Resources{}));
  RunJobs(9, Millis{0}, Millis{1000000});
  // The average of 9 running jobs, one slot each, plus a margin of two standard
  // deviations; the standard deviation is the square root of 9.
  BOOST_TEST(FairShares.interactiveReserve(Millis{1000000}).Slots_ == 15);
  FairShares.start(TaskClass::Lookup, "a", Urgency::Normal,
                   timesTasks(Task, 14), Millis{1000000});
  BOOST_TEST(FairShares.interactiveReserve(Millis{1000000}).Slots_ == 1);
  FairShares.finish(TaskClass::Lookup, "a", Urgency::Normal,
                    timesTasks(Task, 14), Millis{1000000});
  RunJobs(90, Millis{1000000}, Millis{2000000});
  // The reserve is limited to the guaranteed minimum, 25% of 100 slots.
  BOOST_TEST(FairShares.interactiveReserve(Millis{2000000}).Slots_ == 25);
  BOOST_TEST((FairShares.interactiveReserve(Millis{5000000}) == Resources{}));
}

BOOST_AUTO_TEST_SUITE_END()
