#include "policy/shares.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

constexpr Resources Fleet{100000, 100000, 0, 100, 1000};
constexpr Resources Task{1000, 1000, 0, 1, 1}; // One percent of the fleet.

Shares makeShares() {
  Shares Accounts{ShareSettings{}};
  Accounts.setFleet(Fleet);
  return Accounts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SharesSuite)

// Guards against past use that counts for ever, and against present use that
// is forgotten while the tasks still run.
BOOST_AUTO_TEST_CASE(UseDecaysOnlyAfterTheTaskEnds) {
  Shares Accounts = makeShares();
  Accounts.start(TaskClass::Batch, "a", Urgency::Normal, timesTasks(Task, 50),
                 Millis{0});
  BOOST_TEST(Accounts.classShare(TaskClass::Batch, Millis{0}) >= 0.5);
  BOOST_TEST(Accounts.classShare(TaskClass::Batch, Millis{100000}) >= 0.499);
  Accounts.finish(TaskClass::Batch, "a", Urgency::Normal, timesTasks(Task, 50),
                  Millis{100000});
  const double Later = Accounts.classShare(TaskClass::Batch, Millis{110000});
  BOOST_TEST(Later > 0.2);
  BOOST_TEST(Later < 0.3);
  BOOST_TEST(Accounts.classShare(TaskClass::Batch, Millis{300000}) < 0.001);
}

// Guards against streams of tasks below the clock's resolution running free.
BOOST_AUTO_TEST_CASE(TasksShorterThanOneMillisecondAreCharged) {
  Shares Accounts = makeShares();
  for (std::int64_t Index = 0; Index < 1000; ++Index) {
    Accounts.start(TaskClass::Lookup, "a", Urgency::Normal, Task,
                   Millis{Index});
    Accounts.finish(TaskClass::Lookup, "a", Urgency::Normal, Task,
                    Millis{Index});
  }
  BOOST_TEST(Accounts.classShare(TaskClass::Lookup, Millis{1000}) > 0.0005);
}

// Guards against an idle team that keeps part of the minimum of active ones,
// and against accounts that leak weight.
BOOST_AUTO_TEST_CASE(ActiveTeamsDivideTheMinimum) {
  Shares Accounts = makeShares();
  const double Whole = Accounts.classMinimum(TaskClass::Batch);
  BOOST_TEST(Accounts.teamMinimum(TaskClass::Batch, "a") == Whole);
  Accounts.queued(TaskClass::Batch, "b");
  Accounts.start(TaskClass::Batch, "b", Urgency::Normal, Task, Millis{0});
  BOOST_TEST(Accounts.teamMinimum(TaskClass::Batch, "a") == Whole / 2);
  Accounts.unqueued(TaskClass::Batch, "b");
  BOOST_TEST(Accounts.teamMinimum(TaskClass::Batch, "a") == Whole / 2);
  Accounts.finish(TaskClass::Batch, "b", Urgency::Normal, Task, Millis{1});
  BOOST_TEST(Accounts.teamMinimum(TaskClass::Batch, "a") == Whole);
}

// Guards against a reserve that exceeds the guarantee, that ignores what runs
// or that never goes away.
BOOST_AUTO_TEST_CASE(ReserveFollowsTheUseOfInteractiveWork) {
  Shares Accounts = makeShares();
  const auto Run = [&Accounts](std::int64_t Count, Millis Start, Millis End) {
    for (std::int64_t Index = 0; Index < Count; ++Index)
      Accounts.start(TaskClass::Lookup, "a", Urgency::Normal, Task, Start);
    BOOST_TEST((Accounts.interactiveReserve(End).Slots_ <= 25));
    for (std::int64_t Index = 0; Index < Count; ++Index)
      Accounts.finish(TaskClass::Lookup, "a", Urgency::Normal, Task, End);
  };
  BOOST_TEST((Accounts.interactiveReserve(Millis{0}) == Resources{}));
  // 9 jobs on average and twice their square root.
  Run(9, Millis{0}, Millis{1000000});
  BOOST_TEST(Accounts.interactiveReserve(Millis{1000000}).Slots_ == 15);
  Accounts.start(TaskClass::Lookup, "a", Urgency::Normal, timesTasks(Task, 14),
                 Millis{1000000});
  BOOST_TEST(Accounts.interactiveReserve(Millis{1000000}).Slots_ == 1);
  Accounts.finish(TaskClass::Lookup, "a", Urgency::Normal, timesTasks(Task, 14),
                  Millis{1000000});
  Run(90, Millis{1000000}, Millis{2000000});
  BOOST_TEST(Accounts.interactiveReserve(Millis{2000000}).Slots_ == 25);
  BOOST_TEST((Accounts.interactiveReserve(Millis{5000000}) == Resources{}));
}

BOOST_AUTO_TEST_SUITE_END()
