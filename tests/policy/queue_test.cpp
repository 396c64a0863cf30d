#include "policy/queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

constexpr Resources Fleet{100000, 100000, 0, 100, 1000};
constexpr Resources Task{1000, 1000, 0, 1, 1};

struct QueueFixture {
  Shares Shares_{ShareSettings{}};
  JobQueue Queue_;
  std::int64_t NextId_ = 0;

  explicit QueueFixture(QueueSettings Settings = {})
      : Queue_(Settings, Shares_) {
    Shares_.setFleet(Fleet);
  }

  QueuedJob makeJob(TaskClass Class, const std::string &Team,
                    Urgency Level = Urgency::Normal) {
    return QueuedJob{"job-" + std::to_string(NextId_++),
                     Team,
                     Class,
                     Level,
                     Task,
                     1,
                     Millis{100},
                     Millis{0},
                     Millis{0}};
  }

  /// Starts candidates until the free slots are used up; counts them by class
  /// and team.
  std::map<std::pair<TaskClass, std::string>, int> fill(int FreeSlots) {
    std::map<std::pair<TaskClass, std::string>, int> Started;
    for (; FreeSlots > 0; --FreeSlots) {
      const auto Next = Queue_.take(Millis{0}, timesTasks(Task, FreeSlots));
      if (!Next)
        break;
      const QueuedJob &Job = Next->Job_;
      Shares_.start(Job.Class_, Job.Team_, Job.Urgency_, totalSize(Job),
                    Millis{0});
      ++Started[{Job.Class_, Job.Team_}];
    }
    return Started;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Queue)

// Guards against a flood of one team's jobs that fills the queues of other
// teams and classes.
BOOST_AUTO_TEST_CASE(FloodCannotFillTheQueuesOfOtherTeams) {
  QueueFixture Fixture{
      QueueSettings{{100, 100, 100, 100, 100}, 80, 10, 8, 16, 16}};
  std::size_t Accepted = 0;
  for (int Index = 0; Index < 1000; ++Index)
    for (const char *Team : {"a", "b"})
      Accepted +=
          Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, Team)) ? 1 : 0;
  BOOST_TEST(Accepted == 100U);
  const Status Refused =
      Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "a"));
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Reason_ == Reason::QueueFull));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
  BOOST_TEST((Refused.error().RetryAfter_ > Millis{0}));
  for (int Index = 0; Index < 10; ++Index)
    BOOST_TEST(!!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "c")));
  BOOST_TEST(!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "c")));
  BOOST_TEST(!!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Gang, "a")));
}

// Guards against queue capacity that is reserved and never released.
BOOST_AUTO_TEST_CASE(ReservationsCountUntilReleased) {
  QueueFixture Fixture{
      QueueSettings{{100, 100, 100, 100, 100}, 2, 0, 8, 16, 16}};
  BOOST_TEST(!!Fixture.Queue_.reserve(TaskClass::Batch, "a"));
  BOOST_TEST(!!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "a")));
  BOOST_TEST(!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "a")));
  Fixture.Queue_.unreserve(TaskClass::Batch, "a");
  BOOST_TEST(!!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "a")));
}

// Guards against a flood of urgent work of one team that starves other teams or
// other classes.
BOOST_AUTO_TEST_CASE(UrgentFloodStaysWithinItsShare) {
  QueueFixture Fixture;
  for (int Index = 0; Index < 1000; ++Index)
    BOOST_REQUIRE(!!Fixture.Queue_.push(
        Fixture.makeJob(TaskClass::Batch, "flood", Urgency::Urgent)));
  for (int Index = 0; Index < 30; ++Index) {
    BOOST_REQUIRE(
        !!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "b")));
    BOOST_REQUIRE(
        !!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Lookup, "c")));
    BOOST_REQUIRE(
        !!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Service, "d")));
  }
  auto Started = Fixture.fill(100);
  // All 30 lookups start: the first 25 are within the guaranteed minimum of
  // their class, and for the others the class has twice the weight of batch
  // work.
  BOOST_TEST((Started[{TaskClass::Lookup, "c"}]) == 30);
  BOOST_TEST((Started[{TaskClass::Service, "d"}]) >= 29);
  BOOST_TEST((Started[{TaskClass::Batch, "b"}]) >= 19);
  BOOST_TEST((Started[{TaskClass::Batch, "flood"}]) >= 19);
}

// Guards against urgent work that waits behind less urgent work.
BOOST_AUTO_TEST_CASE(UrgentWorkWithinItsShareGoesFirst) {
  QueueFixture Fixture;
  for (int Index = 0; Index < 50; ++Index) {
    BOOST_REQUIRE(
        !!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "a")));
    BOOST_REQUIRE(
        !!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Request, "b")));
  }
  Fixture.fill(60);
  const QueuedJob Urgent =
      Fixture.makeJob(TaskClass::Batch, "a", Urgency::Urgent);
  BOOST_REQUIRE(!!Fixture.Queue_.push(Urgent));
  const auto Next = Fixture.Queue_.take(Millis{0}, Resources{});
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->Job_.Id_ == Urgent.Id_);
  BOOST_TEST(Next->MayPreempt_);
}

// Guards against capacity that is borrowed while other teams are idle and not
// returned when they have work.
BOOST_AUTO_TEST_CASE(BorrowedCapacityIsReturned) {
  QueueFixture Fixture;
  for (int Index = 0; Index < 200; ++Index)
    BOOST_REQUIRE(
        !!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "a")));
  BOOST_TEST((Fixture.fill(100)[{TaskClass::Batch, "a"}]) == 100);
  for (int Index = 0; Index < 100; ++Index)
    BOOST_REQUIRE(
        !!Fixture.Queue_.push(Fixture.makeJob(TaskClass::Batch, "b")));
  for (int Index = 0; Index < 50; ++Index) {
    Fixture.Shares_.finish(TaskClass::Batch, "a", Urgency::Normal, Task,
                           Millis{0});
    auto Started = Fixture.fill(1);
    BOOST_TEST((Started[{TaskClass::Batch, "b"}]) == 1);
  }
}

// Guards against a refused job that blocks the smaller jobs behind it, that is
// offered again in the same round, or that loses its position.
BOOST_AUTO_TEST_CASE(RefusedJobIsSkippedUntilTheNextRound) {
  QueueFixture Fixture;
  QueuedJob Large = Fixture.makeJob(TaskClass::Batch, "a");
  Large.Size_ = timesTasks(Task, 4);
  QueuedJob Larger = Fixture.makeJob(TaskClass::Batch, "a");
  Larger.Size_ = timesTasks(Task, 5);
  const QueuedJob Small = Fixture.makeJob(TaskClass::Batch, "a");
  for (const QueuedJob &Job : {Large, Larger, Small})
    BOOST_REQUIRE(!!Fixture.Queue_.push(Job));
  auto Next = Fixture.Queue_.take(Millis{0}, Task);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->Job_ == Large));
  Fixture.Queue_.putBack(*Next);
  Next = Fixture.Queue_.take(Millis{0}, Task);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->Job_ == Small));
  BOOST_TEST(!Fixture.Queue_.take(Millis{0}, Task).has_value());
  Fixture.Queue_.beginRound();
  Next = Fixture.Queue_.take(Millis{0}, Task);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->Job_ == Large));
}

// Guards against removed jobs that expire, and against expired jobs that stay
// in the queue.
BOOST_AUTO_TEST_CASE(DeadlinesExpireOnlyQueuedJobs) {
  QueueFixture Fixture;
  QueuedJob First = Fixture.makeJob(TaskClass::Request, "a");
  First.Deadline_ = Millis{10};
  QueuedJob Second = Fixture.makeJob(TaskClass::Request, "a");
  Second.Deadline_ = Millis{5};
  QueuedJob Third = Fixture.makeJob(TaskClass::Request, "a");
  Third.Deadline_ = Millis{50};
  for (const QueuedJob &Job : {First, Second, Third})
    BOOST_REQUIRE(!!Fixture.Queue_.push(Job));
  BOOST_TEST(Fixture.Queue_.remove(First.Id_).has_value());
  BOOST_TEST(!Fixture.Queue_.remove(First.Id_).has_value());
  const auto Expired = Fixture.Queue_.takeExpired(Millis{20}, 10);
  BOOST_REQUIRE(Expired.size() == 1U);
  BOOST_TEST((Expired.front() == Second));
  BOOST_TEST(Fixture.Queue_.size() == 1U);
  BOOST_TEST(Fixture.Queue_.workAhead(TaskClass::Request, "a",
                                      Urgency::Normal) > 0.99);
}

BOOST_AUTO_TEST_SUITE_END()
