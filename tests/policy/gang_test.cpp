#include "policy/gang.h"
#include "tests/policy/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

GangRequest makeGang(const std::string &Job, int Tasks, const Resources &Size) {
  GangRequest Request;
  Request.Job_ = Job;
  for (int Task = 0; Task < Tasks; ++Task)
    Request.Attempts_.push_back(Job + "." + std::to_string(Task) + ".1");
  Request.Size_ = Size;
  Request.Team_ = "dock";
  Request.Guards_ = NoGuards;
  return Request;
}

std::size_t countReserved(const Ledger &Accounts, const GangRequest &Request) {
  std::size_t Count = 0;
  for (const std::string &Attempt : Request.Attempts_)
    Count += Accounts.find(Attempt) != nullptr ? 1 : 0;
  return Count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Gangs)

// Guards against a gang of which only some tasks have reservations or start.
BOOST_AUTO_TEST_CASE(NeverReservedPartially) {
  BOOST_TEST(holds("all tasks of a gang are reserved, or none", [] {
    Ledger Accounts = makeFleet(6);
    GangHolds Holds;
    std::vector<GangRequest> Gangs;
    Millis Now{};
    for (int Step = 0; Step < 30; ++Step) {
      Resources Size = *arbitrarySize();
      Size.Accelerators_ = 0;
      Size.MilliCpus_ /= 2;
      const GangRequest Request =
          makeGang("g" + std::to_string(*rc::gen::inRange(0, 8)),
                   *rc::gen::inRange(1, 12), Size);
      Now = Now + Millis{*rc::gen::inRange(0, 800)};
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
        (void)Holds.confirm(Accounts, Request.Job_, Now);
        break;
      case 1:
        Holds.cancel(Accounts, Request.Job_);
        break;
      default: {
        const std::int64_t Tasks =
            static_cast<std::int64_t>(Request.Attempts_.size());
        const bool IsKnown = std::any_of(
            Gangs.begin(), Gangs.end(),
            [&](const GangRequest &Gang) { return Gang.Job_ == Request.Job_; });
        if (IsKnown)
          break;
        Holds.expire(Accounts, Now);
        const bool Fits = gangRoom(Accounts, Size, Tasks) == Tasks;
        const auto Hold = Holds.hold(Accounts, Request, Now);
        RC_ASSERT(Hold.has_value() == Fits);
        Gangs.push_back(Request);
      }
      }
      for (const GangRequest &Gang : Gangs) {
        const std::size_t Count = countReserved(Accounts, Gang);
        RC_ASSERT(Count == 0 || Count == Gang.Attempts_.size());
      }
      RC_ASSERT(Accounts.verify().has_value());
    }
  }));
}

// Guards against tasks that start after their reservation has expired, and
// against capacity that stays reserved for an abandoned gang.
BOOST_AUTO_TEST_CASE(HoldExpires) {
  Ledger Accounts = makeFleet(2);
  GangHolds Holds;
  const GangRequest Request = makeGang("g", 16, {1000, 0, 0, 1, 0});
  const auto Hold = Holds.hold(Accounts, Request, Millis{100});
  BOOST_REQUIRE(Hold);
  BOOST_TEST(Hold.value().Expires_.Value_ == 2100);
  BOOST_TEST(
      (Holds.hold(Accounts, Request, Millis{200}).value() == Hold.value()));
  const auto LateConfirmation = Holds.confirm(Accounts, "g", Millis{2100});
  BOOST_REQUIRE(!LateConfirmation);
  BOOST_TEST((LateConfirmation.error().Reason_ == Reason::StartExpired));
  BOOST_TEST(Accounts.totals().Tasks_ == 0u);

  BOOST_REQUIRE(Holds.hold(Accounts, Request, Millis{3000}));
  BOOST_REQUIRE(Holds.confirm(Accounts, "g", Millis{3500}));
  BOOST_TEST(Holds.expire(Accounts, Millis{9000}).empty());
  BOOST_TEST(Accounts.totals().Tasks_ == 16u);
}

// Guards against a gang that starts without the tasks of a lost worker.
BOOST_AUTO_TEST_CASE(LostWorkerEndsTheHold) {
  Ledger Accounts = makeFleet(3);
  GangHolds Holds;
  const GangRequest Request = makeGang("g", 20, {1000, 0, 0, 1, 0});
  BOOST_REQUIRE(Holds.hold(Accounts, Request, Millis{}));
  BOOST_TEST(!Accounts.removeWorker(workerId(1)).empty());
  BOOST_TEST(!Holds.confirm(Accounts, "g", Millis{1}));
  BOOST_TEST(countReserved(Accounts, Request) == 0u);
}

// Guards against deadlocks between gangs that reserve workers or shards in
// different orders.
BOOST_AUTO_TEST_CASE(ReservesInFixedOrder) {
  const Ledger Accounts = makeFleet(4);
  const auto Plan = planGang(Accounts, makeGang("g", 20, {1000, 0, 0, 1, 0}));
  BOOST_REQUIRE(Plan);
  for (std::size_t Task = 1; Task < Plan->size(); ++Task)
    BOOST_TEST((*Plan)[Task - 1].Worker_ <= (*Plan)[Task].Worker_);

  const auto ShardTasks = splitGang({{"z/c", 3}, {"z/a", 5}, {"z/b", 1}}, 8);
  BOOST_REQUIRE(ShardTasks);
  BOOST_TEST((*ShardTasks == std::vector<ShardRoom>{{"z/a", 5}, {"z/c", 3}}));
  BOOST_TEST(!splitGang({{"z/a", 5}}, 6));
}

BOOST_AUTO_TEST_SUITE_END()
