#include "tests/policy/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

Reservation anyReservation(int Workers, int Attempts) {
  Reservation Wanted = makeReservation(
      "job" + std::to_string(*rc::gen::inRange(0, 3)) + "." +
          std::to_string(*rc::gen::inRange(0, Attempts)) + ".1",
      workerId(*rc::gen::inRange(0, Workers)), *anySize(), anyClass());
  Wanted.Size_.Slots_ /= 4;
  Wanted.Size_.MilliCpus_ /= 4;
  Wanted.Team_ = "t" + std::to_string(*rc::gen::inRange(0, 3));
  return Wanted;
}

// One random change; adopted tasks stay out so that capacity must hold.
void step(Ledger &Accounts) {
  constexpr int Workers = 6;
  const Reservation Some = anyReservation(Workers, 20);
  switch (*rc::gen::inRange(0, 10)) {
  case 0: {
    WorkerInfo Info = makeWorker(*rc::gen::inRange(0, Workers));
    Info.Capacity_.Accelerators_ = *rc::gen::inRange(0, 3);
    Info.Leaving_ = *rc::gen::inRange(0, 5) == 0;
    Info.Listed_ = *rc::gen::inRange(0, 5) != 0;
    Info.Quarantined_ = *rc::gen::inRange(0, 5) == 0;
    // A worker keeps its accelerators while tasks use them.
    if (const WorkerAccount *Old = Accounts.worker(Info.Id_))
      Info.Capacity_.Accelerators_ = Old->Info_.Capacity_.Accelerators_;
    (void)Accounts.putWorker(Info);
    break;
  }
  case 1:
    Accounts.removeWorker(Some.Worker_);
    break;
  case 2:
    (void)Accounts.setReported(Some.Worker_, Some.Size_);
    break;
  case 3:
  case 4:
    Accounts.release(Some.Attempt_);
    break;
  case 5:
    (void)Accounts.resize(Some.Attempt_, Some.Size_);
    break;
  default:
    (void)Accounts.reserve(Some);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(LedgerAccounts)

// Guards against sums and indexes that drift from the reservations, and
// against grants beyond what a worker has.
BOOST_AUTO_TEST_CASE(IncrementalEqualsRecomputed) {
  BOOST_TEST(holds("incremental ledger equals the recomputed one", [] {
    Ledger Accounts;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      step(Accounts);
      const Status Checked = Accounts.verify();
      if (!Checked)
        RC_FAIL(describe(Checked.error()));
      for (int Number = 0; Number < 6; ++Number)
        if (const WorkerAccount *Account = Accounts.worker(workerId(Number))) {
          RC_ASSERT(fits(Account->Reserved_, Account->Info_.Capacity_));
          RC_ASSERT(fits(Resources{}, Account->Free_));
        }
    }
  }));
}

// Guards against a refusal that does not say why, or that changes accounts.
BOOST_AUTO_TEST_CASE(RefusalsAreTyped) {
  Ledger Accounts = makeFleet(1);
  const std::string Id = workerId(0);
  BOOST_TEST(
      (Accounts.reserve(makeReservation("j.0.1", "w9", {})).error().Reason_ ==
       Reason::NotFound));
  for (const Resources &TooMuch :
       {Resources{16001, 0, 0, 0, 0}, Resources{0, 65537, 0, 0, 0},
        Resources{0, 0, 1, 0, 0}, Resources{0, 0, 0, 9, 0},
        Resources{0, 0, 0, 0, 65}})
    BOOST_TEST((Accounts.reserve(makeReservation("j.0.1", Id, TooMuch))
                    .error()
                    .Reason_ == Reason::WorkerFull));
  BOOST_TEST((Accounts.reserve(makeReservation("j.0.1", Id, {-1, 0, 0, 0, 0}))
                  .error()
                  .Reason_ == Reason::InvalidField));
  BOOST_TEST((Accounts.totals().Reserved_ == Resources{}));

  WorkerInfo Leaving = makeWorker(0);
  Leaving.Leaving_ = true;
  BOOST_REQUIRE(Accounts.putWorker(Leaving));
  BOOST_TEST(
      (Accounts.reserve(makeReservation("j.0.1", Id, {})).error().Reason_ ==
       Reason::WorkerLeaving));
}

// Guards against work on a worker whose running tasks are not yet known.
BOOST_AUTO_TEST_CASE(UnlistedWorkerCountsAsFull) {
  WorkerInfo Unlisted = makeWorker(0);
  Unlisted.Listed_ = false;
  Ledger Accounts;
  BOOST_REQUIRE(Accounts.putWorker(Unlisted));
  BOOST_TEST((Accounts.freeOf(Unlisted.Id_) == Resources{}));
  BOOST_TEST((Accounts.reserve(makeReservation("j.0.1", Unlisted.Id_, {}))
                  .error()
                  .Reason_ == Reason::WorkerFull));
  const Resources Over{20000, 0, 0, 1, 0};
  BOOST_REQUIRE(Accounts.adopt(makeReservation("j.1.1", Unlisted.Id_, Over)));
  BOOST_REQUIRE(Accounts.putWorker(makeWorker(0)));
  BOOST_TEST(Accounts.freeOf(Unlisted.Id_).MilliCpus_ == 0);
  BOOST_TEST(Accounts.freeOf(Unlisted.Id_).Slots_ == 7);
}

// Guards against room that is granted twice because a task uses more than it
// reserved, and against short tasks that block a worker until the next report.
BOOST_AUTO_TEST_CASE(LargerOfReservedAndReportedCounts) {
  Ledger Accounts = makeFleet(1);
  const std::string Id = workerId(0);
  BOOST_REQUIRE(
      Accounts.reserve(makeReservation("j.0.1", Id, {4000, 0, 0, 1, 0})));
  BOOST_REQUIRE(Accounts.setReported(Id, {10000, 0, 0, 1, 0}));
  BOOST_TEST(Accounts.freeOf(Id).MilliCpus_ == 6000);
  BOOST_REQUIRE(
      Accounts.reserve(makeReservation("j.1.1", Id, {6000, 0, 0, 1, 0})));
  BOOST_TEST(Accounts.freeOf(Id).MilliCpus_ == 0);
  BOOST_REQUIRE(Accounts.setReported(Id, {2000, 0, 0, 2, 0}));
  BOOST_TEST(Accounts.freeOf(Id).MilliCpus_ == 6000);
  BOOST_TEST(Accounts.release("j.0.1"));
  BOOST_TEST(Accounts.freeOf(Id).MilliCpus_ == 10000);
  BOOST_TEST(!Accounts.release("j.0.1"));
}

// Guards against a repeated message that reserves twice.
BOOST_AUTO_TEST_CASE(RepeatedReserveHasNoSecondEffect) {
  Ledger Accounts = makeFleet(2);
  const Reservation Once =
      makeReservation("j.0.1", workerId(0), {1000, 1, 0, 1, 1});
  BOOST_REQUIRE(Accounts.reserve(Once));
  BOOST_REQUIRE(Accounts.reserve(Once));
  BOOST_TEST(Accounts.totals().Tasks_ == 1u);
  Reservation Elsewhere = Once;
  Elsewhere.Worker_ = workerId(1);
  BOOST_TEST(!Accounts.reserve(Elsewhere));
  BOOST_TEST(Accounts.totals().Tasks_ == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
