#include "tests/policy/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

Reservation randomReservation(int Workers, int Attempts) {
  Reservation NewReservation = makeReservation(
      "job" + std::to_string(*rc::gen::inRange(0, 3)) + "." +
          std::to_string(*rc::gen::inRange(0, Attempts)) + ".1",
      workerId(*rc::gen::inRange(0, Workers)), *arbitrarySize(), randomClass());
  NewReservation.Size_.Slots_ /= 4;
  NewReservation.Size_.MilliCpus_ /= 4;
  NewReservation.Team_ = "t" + std::to_string(*rc::gen::inRange(0, 3));
  return NewReservation;
}

// Applies one random change. Adopts no tasks, because adopted tasks may exceed
// the capacity of a worker.
void applyRandomChange(Ledger &Accounts) {
  constexpr int Workers = 6;
  const Reservation Random = randomReservation(Workers, 20);
  switch (*rc::gen::inRange(0, 10)) {
  case 0: {
    WorkerInfo Info = makeWorker(*rc::gen::inRange(0, Workers));
    Info.Capacity_.Accelerators_ = *rc::gen::inRange(0, 3);
    Info.Leaving_ = *rc::gen::inRange(0, 5) == 0;
    Info.Listed_ = *rc::gen::inRange(0, 5) != 0;
    Info.Quarantined_ = *rc::gen::inRange(0, 5) == 0;
    // A known worker keeps its accelerator count, because running tasks may use
    // its accelerators.
    if (const WorkerAccount *Old = Accounts.worker(Info.Id_))
      Info.Capacity_.Accelerators_ = Old->Info_.Capacity_.Accelerators_;
    (void)Accounts.putWorker(Info);
    break;
  }
  case 1:
    Accounts.removeWorker(Random.Worker_);
    break;
  case 2:
    (void)Accounts.setReported(Random.Worker_, Random.Size_);
    break;
  case 3:
  case 4:
    Accounts.release(Random.Attempt_);
    break;
  case 5:
    (void)Accounts.resize(Random.Attempt_, Random.Size_);
    break;
  default:
    (void)Accounts.reserve(Random);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(LedgerAccounts)

// Guards against sums and indexes that drift from the reservations, and against
// reservations beyond the capacity of a worker.
BOOST_AUTO_TEST_CASE(IncrementalEqualsRecomputed) {
  BOOST_TEST(holds("incremental ledger equals the recomputed one", [] {
    Ledger Accounts;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      applyRandomChange(Accounts);
      const Status VerifyStatus = Accounts.verify();
      if (!VerifyStatus)
        RC_FAIL(describe(VerifyStatus.error()));
      for (int Number = 0; Number < 6; ++Number)
        if (const WorkerAccount *Account = Accounts.worker(workerId(Number))) {
          RC_ASSERT(fits(Account->Reserved_, Account->Info_.Capacity_));
          RC_ASSERT(fits(Resources{}, Account->Free_));
        }
    }
  }));
}

// Guards against refusals without a specific reason, and against refusals that
// change the ledger.
BOOST_AUTO_TEST_CASE(RefusalsNameTheReason) {
  Ledger Accounts = makeFleet(1);
  const std::string Id = workerId(0);
  BOOST_TEST(
      (Accounts.reserve(makeReservation("j.0.1", "w9", {})).error().Reason_ ==
       Reason::NotFound));
  for (const Resources &Excessive :
       {Resources{16001, 0, 0, 0, 0}, Resources{0, 65537, 0, 0, 0},
        Resources{0, 0, 1, 0, 0}, Resources{0, 0, 0, 9, 0},
        Resources{0, 0, 0, 0, 65}})
    BOOST_TEST((Accounts.reserve(makeReservation("j.0.1", Id, Excessive))
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

// Guards against placing work on a worker whose running tasks are not yet
// known.
BOOST_AUTO_TEST_CASE(WorkerWithUnknownTasksCountsAsFull) {
  WorkerInfo UnknownTasksWorker = makeWorker(0);
  UnknownTasksWorker.Listed_ = false;
  Ledger Accounts;
  BOOST_REQUIRE(Accounts.putWorker(UnknownTasksWorker));
  BOOST_TEST((Accounts.freeOf(UnknownTasksWorker.Id_) == Resources{}));
  BOOST_TEST(
      (Accounts.reserve(makeReservation("j.0.1", UnknownTasksWorker.Id_, {}))
           .error()
           .Reason_ == Reason::WorkerFull));
  const Resources AboveCapacity{20000, 0, 0, 1, 0};
  BOOST_REQUIRE(Accounts.adopt(
      makeReservation("j.1.1", UnknownTasksWorker.Id_, AboveCapacity)));
  BOOST_REQUIRE(Accounts.putWorker(makeWorker(0)));
  BOOST_TEST(Accounts.freeOf(UnknownTasksWorker.Id_).MilliCpus_ == 0);
  BOOST_TEST(Accounts.freeOf(UnknownTasksWorker.Id_).Slots_ == 7);
}

// Guards against capacity that is granted twice because a task uses more than
// it reserved, and against tasks that ended but block a worker until its next
// report.
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

// Guards against a repeated message that reserves capacity twice.
BOOST_AUTO_TEST_CASE(RepeatedReserveHasNoSecondEffect) {
  Ledger Accounts = makeFleet(2);
  const Reservation Original =
      makeReservation("j.0.1", workerId(0), {1000, 1, 0, 1, 1});
  BOOST_REQUIRE(Accounts.reserve(Original));
  BOOST_REQUIRE(Accounts.reserve(Original));
  BOOST_TEST(Accounts.totals().Tasks_ == 1u);
  Reservation OnOtherWorker = Original;
  OnOtherWorker.Worker_ = workerId(1);
  BOOST_TEST(!Accounts.reserve(OnOtherWorker));
  BOOST_TEST(Accounts.totals().Tasks_ == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
