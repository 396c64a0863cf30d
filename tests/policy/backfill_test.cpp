#include "policy/backfill.h"
#include "policy/placement.h"
#include "tests/policy/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

constexpr Millis NeverStrict{1000000};

Reservation makeRunningTask(const std::string &Attempt,
                            const std::string &Worker, const Resources &Size,
                            std::int64_t End) {
  Reservation Running = makeReservation(Attempt, Worker, Size);
  Running.EstimatedEnd_ = Millis{End};
  return Running;
}

void reserveRandomTasks(Ledger &Accounts, int Workers) {
  for (int Task = 0; Task < 40; ++Task) {
    Resources Size = *arbitrarySize();
    Size.Accelerators_ = 0;
    Size.Slots_ /= 2;
    // One task in eight, like a service, has no known end.
    const std::int64_t End =
        *rc::gen::inRange(0, 8) == 0 ? 0 : *rc::gen::inRange(1001, 60000);
    (void)Accounts.reserve(
        makeRunningTask("r." + std::to_string(Task) + ".1",
                        workerId(*rc::gen::inRange(0, Workers)), Size, End));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Backfill)

// Guards against backfilled work that delays a waiting gang, which would starve
// the gang under steady load.
BOOST_AUTO_TEST_CASE(NeverDelaysTheReservation) {
  BOOST_TEST(holds("backfilled work leaves the earliest start as it is", [] {
    constexpr int Workers = 4;
    const Millis Now{1000};
    Ledger Accounts = makeFleet(Workers);
    reserveRandomTasks(Accounts, Workers);
    BlockedWork Work{"gang", *arbitrarySize(), *rc::gen::inRange(1, 5), Now};
    Work.Size_.Accelerators_ = 0;
    auto Reserved = earliestStart(Accounts, Work, Now);
    RC_PRE(Reserved.has_value());
    const Millis Start = Reserved->Start_;
    const std::vector<BackfillReservation> Reservations{*Reserved};
    for (int Task = 0; Task < 30; ++Task) {
      PlacementRequest Request;
      Request.Class_ = randomClass();
      Request.Size_ =
          Resources{*rc::gen::inRange(0, 4000), *rc::gen::inRange(0, 9000), 0,
                    *rc::gen::inRange(0, 3), 1};
      Request.Guards_ = NoGuards;
      const Millis End{*rc::gen::inRange(0, 90000)};
      Request.Accepts_ = backfillFilter(Accounts, Reservations, Request.Size_,
                                        End, Now, NeverStrict);
      const auto Chosen = place(Accounts, Request);
      if (!Chosen)
        continue;
      // An estimated end in the past counts as unknown.
      RC_ASSERT(Accounts
                    .reserve(makeRunningTask("b." + std::to_string(Task) + ".1",
                                             Chosen->Worker_, Request.Size_,
                                             End > Now ? End.Value_ : 0))
                    .has_value());
      const auto RecomputedReservation = earliestStart(Accounts, Work, Now);
      RC_ASSERT(RecomputedReservation.has_value());
      RC_ASSERT(RecomputedReservation->Start_ <= Start);
    }
  }));
}

// Guards against a start that is later than the first time at which the work
// fits, and against a start at which it does not fit.
BOOST_AUTO_TEST_CASE(StartIsTheFirstTimeWithCapacity) {
  BOOST_TEST(holds("the work fits at the start and not 1 ms earlier", [] {
    constexpr int Workers = 3;
    const Millis Now{1000};
    Ledger Accounts = makeFleet(Workers);
    reserveRandomTasks(Accounts, Workers);
    BlockedWork Work{"gang", *arbitrarySize(), *rc::gen::inRange(1, 4), Now};
    Work.Size_.Accelerators_ = 0;
    const auto Reserved = earliestStart(Accounts, Work, Now);
    RC_PRE(Reserved.has_value());
    const auto TasksFittingAt = [&](Millis Time) {
      std::int64_t FittingTasks = 0;
      Ledger LaterLedger = Accounts;
      for (const auto &[Attempt, Running] : Accounts.reservations())
        if (Running.EstimatedEnd_ != Millis{} && Running.EstimatedEnd_ <= Time)
          LaterLedger.release(Attempt);
      // Reserves the tasks one by one, independently of the tested computation.
      for (int Number = 0; Number < Workers; ++Number)
        for (int Task = 0; Task < Work.Tasks_; ++Task)
          FittingTasks +=
              LaterLedger
                      .reserve(makeReservation(
                          "x." + std::to_string(Number * 10 + Task) + ".1",
                          workerId(Number), Work.Size_))
                      .has_value()
                  ? 1
                  : 0;
      return FittingTasks;
    };
    RC_ASSERT(TasksFittingAt(Reserved->Start_) >= Work.Tasks_);
    if (Reserved->Start_ > Now)
      RC_ASSERT(TasksFittingAt(Reserved->Start_ - Millis{1}) < Work.Tasks_);
  }));
}

// Guards against a blocked gang that starves because tasks with too short
// estimates repeatedly take its reserved capacity.
BOOST_AUTO_TEST_CASE(StrictReservationKeepsItsWorkers) {
  Ledger Accounts = makeFleet(2);
  BOOST_REQUIRE(Accounts.reserve(
      makeRunningTask("a.0.1", workerId(0), {8000, 0, 0, 1, 0}, 50000)));
  BOOST_REQUIRE(Accounts.reserve(
      makeRunningTask("a.1.1", workerId(1), {8000, 0, 0, 1, 0}, 90000)));
  const BlockedWork Work{"large", {16000, 0, 0, 1, 0}, 1, Millis{1000}};
  const auto Reserved = earliestStart(Accounts, Work, Millis{1000});
  BOOST_REQUIRE(Reserved);
  BOOST_TEST(Reserved->Start_.Value_ == 50000);
  const WorkerAccount &Worker = *Accounts.worker(workerId(0));
  const Resources Small{1000, 0, 0, 1, 0};
  BOOST_TEST(mayBackfill(Accounts, *Reserved, Worker, Small, Millis{40000},
                         Millis{2000}));
  BOOST_TEST(!mayBackfill(Accounts, *Reserved, Worker, Small, Millis{60000},
                          Millis{2000}));
  BOOST_TEST(!mayBackfill(Accounts, *Reserved, Worker, Small, Millis{40000},
                          Millis{31000}));
  // The task on the reserved worker is late; the other one is now expected to
  // end earlier.
  Accounts.setEstimatedEnd("a.0.1", Millis{95000});
  const auto MovedReservation =
      refreshReservation(Accounts, *Reserved, Millis{2000});
  BOOST_REQUIRE(MovedReservation);
  BOOST_TEST(MovedReservation->Rooms_.front().Worker_ == workerId(1));
  const auto KeptReservation =
      refreshReservation(Accounts, *Reserved, Millis{31000});
  BOOST_REQUIRE(KeptReservation);
  BOOST_TEST(KeptReservation->Rooms_.front().Worker_ == workerId(0));
}

BOOST_AUTO_TEST_SUITE_END()
