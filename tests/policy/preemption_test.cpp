#include "policy/overgrowth.h"
#include "policy/preemption.h"
#include "tests/policy/fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

constexpr Resources HalfWorker{8000, 1024, 0, 1, 1};

Reservation makeTask(const std::string &Attempt, int Worker,
                     const Resources &Size, Urgency Level, std::int64_t Start,
                     bool Idempotent) {
  Reservation Task = makeReservation(Attempt, workerId(Worker), Size);
  Task.Urgency_ = Level;
  Task.Start_ = Millis{Start};
  Task.Idempotent_ = Idempotent;
  return Task;
}

// Returns a ledger with random tasks of all urgencies; gangs span workers.
Ledger randomLoadedFleet(int Workers) {
  Ledger Accounts;
  for (int Number = 0; Number < Workers; ++Number) {
    WorkerInfo Info = makeWorker(Number);
    Info.CanCheckpoint_ = *rc::gen::inRange(0, 2) == 0;
    Info.CanThrottle_ = *rc::gen::inRange(0, 2) == 0;
    (void)Accounts.putWorker(Info);
  }
  for (int Task = 0; Task < 60; ++Task) {
    Resources Size = *arbitrarySize();
    Size.Accelerators_ = 0;
    Size.Slots_ = std::min<std::int64_t>(Size.Slots_, 3);
    const TaskClass Class = randomClass();
    const std::string Job = Class == TaskClass::Gang
                                ? "gang" + std::to_string(Task % 4)
                                : "job" + std::to_string(Task);
    Reservation Wanted = makeTask(
        Job + "." + std::to_string(Task) + ".1", *rc::gen::inRange(0, Workers),
        Size, static_cast<Urgency>(*rc::gen::inRange(0, 3)),
        *rc::gen::inRange(0, 1000), *rc::gen::inRange(0, 2) == 0);
    // All tasks of a gang have the same urgency.
    if (Class == TaskClass::Gang)
      Wanted.Urgency_ = static_cast<Urgency>(Task % 4 % 3);
    Wanted.Class_ = Class;
    (void)Accounts.reserve(Wanted);
  }
  return Accounts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Preemption)

// Guards against plans that preempt more or other tasks than allowed, and
// against plans that do not free enough capacity.
BOOST_AUTO_TEST_CASE(PlansKeepTheRules) {
  BOOST_TEST(holds("a plan frees enough capacity by allowed steps only", [] {
    Ledger Accounts = randomLoadedFleet(4);
    PreemptionRequest Request;
    Request.Size_ = *arbitrarySize();
    Request.Size_.Accelerators_ = 0;
    Request.Tasks_ = *rc::gen::inRange(1, 4);
    Request.Class_ = randomClass();
    const std::int64_t MaxTasks = *rc::gen::inRange(0, 12);
    const auto Plan =
        planPreemption(Accounts, Request, PreemptionSettings{}, MaxTasks);
    RC_PRE(Plan.has_value());
    RC_ASSERT(static_cast<std::int64_t>(Plan->Steps_.size()) <= MaxTasks);
    std::map<std::string, std::size_t> GangSteps;
    for (const PreemptionStep &Step : Plan->Steps_) {
      const Reservation &Task = *Accounts.find(Step.Attempt_);
      const WorkerInfo &Worker = Accounts.worker(Task.Worker_)->Info_;
      RC_ASSERT(Task.Urgency_ > Urgency::Urgent);
      if (Step.Action_ == TaskControl::Stop)
        RC_ASSERT(Task.Idempotent_ && !Worker.CanCheckpoint_);
      else if (Step.Action_ == TaskControl::Checkpoint)
        RC_ASSERT(Worker.CanCheckpoint_);
      else
        RC_ASSERT(Worker.CanThrottle_);
      if (Task.Class_ == TaskClass::Gang &&
          Step.Action_ != TaskControl::Throttle)
        ++GangSteps[std::string(jobOfAttempt(Step.Attempt_))];
    }
    for (const auto &[Gang, Count] : GangSteps) {
      std::size_t Tasks = 0;
      for (const auto &[Attempt, ExistingReservation] : Accounts.reservations())
        Tasks += jobOfAttempt(Attempt) == Gang ? 1 : 0;
      RC_ASSERT(Count == Tasks);
    }
    for (const PreemptionStep &Step : Plan->Steps_)
      applyPreemption(Accounts, Step);
    for (std::size_t Task = 0; Task < Plan->Workers_.size(); ++Task)
      RC_ASSERT(
          Accounts
              .reserve(makeReservation("u." + std::to_string(Task) + ".1",
                                       Plan->Workers_[Task], Request.Size_))
              .has_value());
    RC_ASSERT(Accounts.verify().has_value());
  }));
}

// Guards against stopping older or more urgent work where stopping newer or
// less urgent work suffices, and against stopping non-idempotent work.
BOOST_AUTO_TEST_CASE(NewestAndLeastUrgentArePreemptedFirst) {
  WorkerInfo Info = makeWorker(0);
  Info.CanCheckpoint_ = false;
  Info.CanThrottle_ = false;
  Ledger Accounts;
  BOOST_REQUIRE(Accounts.putWorker(Info));
  const Resources Quarter{4000, 1024, 0, 1, 1};
  BOOST_REQUIRE(Accounts.reserve(
      makeTask("normal.0.1", 0, Quarter, Urgency::Normal, 900, true)));
  BOOST_REQUIRE(Accounts.reserve(
      makeTask("old.0.1", 0, Quarter, Urgency::Low, 100, true)));
  BOOST_REQUIRE(Accounts.reserve(
      makeTask("new.0.1", 0, Quarter, Urgency::Low, 500, true)));
  BOOST_REQUIRE(Accounts.reserve(
      makeTask("bill.0.1", 0, Quarter, Urgency::Low, 800, false)));
  PreemptionRequest Request;
  Request.Size_ = Quarter;
  const auto Plan = planPreemption(Accounts, Request, {}, 8);
  BOOST_REQUIRE(Plan);
  BOOST_REQUIRE(Plan->Steps_.size() == 1u);
  BOOST_TEST(Plan->Steps_.front().Attempt_ == "new.0.1");
  BOOST_TEST((Plan->Steps_.front().Action_ == TaskControl::Stop));
  Request.Size_ = Resources{16000, 0, 0, 1, 0};
  BOOST_TEST(!planPreemption(Accounts, Request, {}, 8));
}

// Guards against a flood of urgent work that takes the guaranteed minimum of
// another class.
BOOST_AUTO_TEST_CASE(ProtectedShareIsKept) {
  Ledger Accounts = makeFleet(10);
  for (int Worker = 0; Worker < 10; ++Worker)
    for (int Task = 0; Task < 2; ++Task)
      BOOST_REQUIRE(Accounts.reserve(
          makeTask("low." + std::to_string(Worker * 2 + Task) + ".1", Worker,
                   {8000, 32768, 0, 4, 32}, Urgency::Low, Worker, true)));
  PreemptionRequest Request;
  Request.Size_ = {8000, 32768, 0, 4, 32};
  Request.Class_ = TaskClass::Request;
  int Started = 0;
  while (const auto Plan = planPreemption(Accounts, Request, {}, 8)) {
    for (const PreemptionStep &Step : Plan->Steps_)
      applyPreemption(Accounts, Step);
    Reservation Urgent = makeTask("u." + std::to_string(Started) + ".1", 0,
                                  Request.Size_, Urgency::Urgent, 100, true);
    Urgent.Worker_ = Plan->Workers_.front();
    Urgent.Class_ = TaskClass::Request;
    BOOST_REQUIRE(Accounts.reserve(Urgent));
    ++Started;
  }
  // The fleet is full with 20 batch tasks of 5% each. Batch work keeps its
  // protected share of 10%, which is two tasks.
  BOOST_TEST(Started == 18);
}

// Guards against ending work where throttling it frees enough capacity.
BOOST_AUTO_TEST_CASE(ThrottlesWhereProcessorsAreShort) {
  Ledger Accounts = makeFleet(1);
  BOOST_REQUIRE(Accounts.reserve(
      makeTask("a.0.1", 0, HalfWorker, Urgency::Low, 1, false)));
  BOOST_REQUIRE(Accounts.reserve(
      makeTask("b.0.1", 0, HalfWorker, Urgency::Low, 2, false)));
  PreemptionRequest Request;
  Request.Size_ = {6000, 1024, 0, 1, 1};
  const auto Plan = planPreemption(Accounts, Request, {}, 8);
  BOOST_REQUIRE(Plan);
  BOOST_REQUIRE(Plan->Steps_.size() == 1u);
  BOOST_TEST((Plan->Steps_.front() == PreemptionStep{"b.0.1",
                                                     workerId(0),
                                                     TaskControl::Throttle,
                                                     {2000, 1024, 0, 1, 1}}));
}

// Guards against unbounded preemption in a flood of urgent work.
BOOST_AUTO_TEST_CASE(BudgetBoundsTheRate) {
  BOOST_TEST(holds("spent tasks never exceed burst plus rate times time", [] {
    const double Rate = 2.0;
    const std::int64_t Burst = 5;
    PreemptionBudget Budget(Rate, Burst);
    std::int64_t Spent = 0;
    std::int64_t Now = 0;
    for (int Step = 0; Step < 50; ++Step) {
      Now += *rc::gen::inRange(0, 700);
      const std::int64_t Tasks = *rc::gen::inRange(1, 4);
      if (Budget.spend(Tasks, Millis{Now}))
        Spent += Tasks;
      RC_ASSERT(static_cast<double>(Spent) <=
                static_cast<double>(Burst) +
                    Rate * static_cast<double>(Now) / 1000.0 + 1e-6);
    }
  }));
}

// Guards against a task that uses capacity reserved by another one, and against
// actions on a task that exceeds its reservation while the worker still has
// enough capacity for the reservations of its other tasks.
BOOST_AUTO_TEST_CASE(OveruseEscalates) {
  Ledger Accounts = makeFleet(1);
  const std::string Id = workerId(0);
  BOOST_REQUIRE(Accounts.reserve(
      makeTask("big.0.1", 0, {4000, 1024, 0, 1, 1}, Urgency::Normal, 1, true)));
  OvergrowthTracker Tracker;
  const std::vector<TaskUsage> ExcessUsage{{"big.0.1", {12000, 1024, 0, 1, 1}}};
  BOOST_TEST(Tracker.step(Accounts, Id, ExcessUsage, Millis{0}).empty());
  BOOST_REQUIRE(Accounts.reserve(
      makeTask("fair.0.1", 0, HalfWorker, Urgency::Normal, 2, true)));
  const auto ExpectStep = [&](Millis Now, TaskControl Action) {
    const auto Steps = Tracker.step(Accounts, Id, ExcessUsage, Now);
    BOOST_REQUIRE(Steps.size() == 1u);
    BOOST_TEST((Steps.front() == OvergrowthStep{"big.0.1", Action}));
  };
  ExpectStep(Millis{0}, TaskControl::Throttle);
  BOOST_TEST(Tracker.step(Accounts, Id, ExcessUsage, Millis{4999}).empty());
  ExpectStep(Millis{5000}, TaskControl::Checkpoint);
  ExpectStep(Millis{10000}, TaskControl::Stop);
}

// Guards against a task that stays throttled after its usage is back within its
// reservation, and against endless cycles of throttling and resuming.
BOOST_AUTO_TEST_CASE(ThrottledTaskResumes) {
  Ledger Accounts = makeFleet(1);
  const std::string Id = workerId(0);
  for (const char *Attempt : {"a.0.1", "b.0.1"})
    BOOST_REQUIRE(Accounts.reserve(
        makeTask(Attempt, 0, HalfWorker, Urgency::Normal, 1, true)));
  OvergrowthTracker Tracker;
  const std::vector<TaskUsage> ExcessUsage{{"a.0.1", {9000, 0, 0, 1, 1}}};
  BOOST_TEST(Tracker.step(Accounts, Id, ExcessUsage, Millis{0}).size() == 1u);
  const auto Steps =
      Tracker.step(Accounts, Id, {{"a.0.1", HalfWorker}}, Millis{6000});
  BOOST_REQUIRE(Steps.size() == 1u);
  BOOST_TEST((Steps.front().Action_ == TaskControl::Resume));
  BOOST_TEST(Tracker.step(Accounts, Id, {{"a.0.1", HalfWorker}}, Millis{12000})
                 .empty());
  const auto SecondSteps =
      Tracker.step(Accounts, Id, ExcessUsage, Millis{13000});
  BOOST_REQUIRE(SecondSteps.size() == 1u);
  BOOST_TEST((SecondSteps.front().Action_ == TaskControl::Checkpoint));
}

BOOST_AUTO_TEST_SUITE_END()
