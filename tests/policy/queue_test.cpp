#include "policy/queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

constexpr Resources Fleet{100000, 100000, 0, 100, 1000};
constexpr Resources Task{1000, 1000, 0, 1, 1};

struct Home {
  Shares Accounts_{ShareSettings{}};
  JobQueue Queue_;
  std::int64_t Next_ = 0;

  explicit Home(QueueSettings Settings = {}) : Queue_(Settings, Accounts_) {
    Accounts_.setFleet(Fleet);
  }

  QueuedJob make(TaskClass Class, const std::string &Team,
                 Urgency Level = Urgency::Normal) {
    return QueuedJob{"job-" + std::to_string(Next_++),
                     Team,
                     Class,
                     Level,
                     Task,
                     1,
                     Millis{100},
                     Millis{0},
                     Millis{0}};
  }

  /// Starts candidates until the fleet is full; counts them by class and team.
  std::map<std::pair<TaskClass, std::string>, int> fill(int Slots) {
    std::map<std::pair<TaskClass, std::string>, int> Started;
    for (; Slots > 0; --Slots) {
      const auto Next = Queue_.take(Millis{0}, timesTasks(Task, Slots));
      if (!Next)
        break;
      const QueuedJob &Job = Next->Job_;
      Accounts_.start(Job.Class_, Job.Team_, Job.Urgency_, totalSize(Job),
                      Millis{0});
      ++Started[{Job.Class_, Job.Team_}];
    }
    return Started;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Queue)

// Guards against a flood that takes the places of other teams and classes.
BOOST_AUTO_TEST_CASE(FloodCannotFillTheQueueOfOthers) {
  Home Node{QueueSettings{{100, 100, 100, 100, 100}, 80, 10, 8, 16, 16}};
  std::size_t Accepted = 0;
  for (int Index = 0; Index < 1000; ++Index)
    for (const char *Team : {"a", "b"})
      Accepted += Node.Queue_.push(Node.make(TaskClass::Batch, Team)) ? 1 : 0;
  BOOST_TEST(Accepted == 100U);
  const Status Full = Node.Queue_.push(Node.make(TaskClass::Batch, "a"));
  BOOST_REQUIRE(!Full);
  BOOST_TEST((Full.error().Reason_ == Reason::QueueFull));
  BOOST_TEST((Full.error().Effect_ == Effect::None));
  BOOST_TEST((Full.error().RetryAfter_ > Millis{0}));
  for (int Index = 0; Index < 10; ++Index)
    BOOST_TEST(!!Node.Queue_.push(Node.make(TaskClass::Batch, "c")));
  BOOST_TEST(!Node.Queue_.push(Node.make(TaskClass::Batch, "c")));
  BOOST_TEST(!!Node.Queue_.push(Node.make(TaskClass::Gang, "a")));
}

// Guards against places that are set aside and never given back.
BOOST_AUTO_TEST_CASE(ReservedPlacesCountUntilReleased) {
  Home Node{QueueSettings{{100, 100, 100, 100, 100}, 2, 0, 8, 16, 16}};
  BOOST_TEST(!!Node.Queue_.reserve(TaskClass::Batch, "a"));
  BOOST_TEST(!!Node.Queue_.push(Node.make(TaskClass::Batch, "a")));
  BOOST_TEST(!Node.Queue_.push(Node.make(TaskClass::Batch, "a")));
  Node.Queue_.unreserve(TaskClass::Batch, "a");
  BOOST_TEST(!!Node.Queue_.push(Node.make(TaskClass::Batch, "a")));
}

// Guards against a flood of urgent work of one team that starves other teams,
// other classes or lookups.
BOOST_AUTO_TEST_CASE(UrgentFloodKeepsToItsShare) {
  Home Node;
  for (int Index = 0; Index < 1000; ++Index)
    BOOST_REQUIRE(!!Node.Queue_.push(
        Node.make(TaskClass::Batch, "flood", Urgency::Urgent)));
  for (int Index = 0; Index < 30; ++Index) {
    BOOST_REQUIRE(!!Node.Queue_.push(Node.make(TaskClass::Batch, "b")));
    BOOST_REQUIRE(!!Node.Queue_.push(Node.make(TaskClass::Lookup, "c")));
    BOOST_REQUIRE(!!Node.Queue_.push(Node.make(TaskClass::Service, "d")));
  }
  auto Started = Node.fill(100);
  // The first 25 lookups are in the class's minimum, the rest has a weight
  // twice that of batch work.
  BOOST_TEST((Started[{TaskClass::Lookup, "c"}]) == 30);
  BOOST_TEST((Started[{TaskClass::Service, "d"}]) >= 29);
  BOOST_TEST((Started[{TaskClass::Batch, "b"}]) >= 19);
  BOOST_TEST((Started[{TaskClass::Batch, "flood"}]) >= 19);
}

// Guards against urgent work that waits behind other work of its own team.
BOOST_AUTO_TEST_CASE(UrgentWorkWithinItsShareGoesFirst) {
  Home Node;
  for (int Index = 0; Index < 50; ++Index) {
    BOOST_REQUIRE(!!Node.Queue_.push(Node.make(TaskClass::Batch, "a")));
    BOOST_REQUIRE(!!Node.Queue_.push(Node.make(TaskClass::Request, "b")));
  }
  Node.fill(60);
  const QueuedJob Urgent = Node.make(TaskClass::Batch, "a", Urgency::Urgent);
  BOOST_REQUIRE(!!Node.Queue_.push(Urgent));
  const auto Next = Node.Queue_.take(Millis{0}, Resources{});
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->Job_.Id_ == Urgent.Id_);
  BOOST_TEST(Next->MayPreempt_);
}

// Guards against capacity that was borrowed while others were idle and is not
// given back.
BOOST_AUTO_TEST_CASE(BorrowedCapacityIsReturned) {
  Home Node;
  for (int Index = 0; Index < 200; ++Index)
    BOOST_REQUIRE(!!Node.Queue_.push(Node.make(TaskClass::Batch, "a")));
  BOOST_TEST((Node.fill(100)[{TaskClass::Batch, "a"}]) == 100);
  for (int Index = 0; Index < 100; ++Index)
    BOOST_REQUIRE(!!Node.Queue_.push(Node.make(TaskClass::Batch, "b")));
  for (int Index = 0; Index < 50; ++Index) {
    Node.Accounts_.finish(TaskClass::Batch, "a", Urgency::Normal, Task,
                          Millis{0});
    auto Started = Node.fill(1);
    BOOST_TEST((Started[{TaskClass::Batch, "b"}]) == 1);
  }
}

// Guards against a refused job that blocks the smaller jobs behind it, that is
// offered again and again, or that loses its place.
BOOST_AUTO_TEST_CASE(RefusedJobIsPassedOverUntilTheNextRound) {
  Home Node;
  QueuedJob Large = Node.make(TaskClass::Batch, "a");
  Large.Size_ = timesTasks(Task, 4);
  QueuedJob Larger = Node.make(TaskClass::Batch, "a");
  Larger.Size_ = timesTasks(Task, 5);
  const QueuedJob Small = Node.make(TaskClass::Batch, "a");
  for (const QueuedJob &Job : {Large, Larger, Small})
    BOOST_REQUIRE(!!Node.Queue_.push(Job));
  auto Next = Node.Queue_.take(Millis{0}, Task);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->Job_ == Large));
  Node.Queue_.putBack(*Next);
  Next = Node.Queue_.take(Millis{0}, Task);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->Job_ == Small));
  BOOST_TEST(!Node.Queue_.take(Millis{0}, Task).has_value());
  Node.Queue_.beginRound();
  Next = Node.Queue_.take(Millis{0}, Task);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->Job_ == Large));
}

// Guards against removed or replaced jobs that expire, and expired jobs that
// stay.
BOOST_AUTO_TEST_CASE(DeadlinesExpireOnlyQueuedJobs) {
  Home Node;
  QueuedJob First = Node.make(TaskClass::Request, "a");
  First.Deadline_ = Millis{10};
  QueuedJob Second = Node.make(TaskClass::Request, "a");
  Second.Deadline_ = Millis{5};
  QueuedJob Third = Node.make(TaskClass::Request, "a");
  Third.Deadline_ = Millis{50};
  for (const QueuedJob &Job : {First, Second, Third})
    BOOST_REQUIRE(!!Node.Queue_.push(Job));
  BOOST_TEST(Node.Queue_.remove(First.Id_).has_value());
  BOOST_TEST(!Node.Queue_.remove(First.Id_).has_value());
  const auto Expired = Node.Queue_.takeExpired(Millis{20}, 10);
  BOOST_REQUIRE(Expired.size() == 1U);
  BOOST_TEST((Expired.front() == Second));
  BOOST_TEST(Node.Queue_.size() == 1U);
  BOOST_TEST(Node.Queue_.workAhead(TaskClass::Request, "a", Urgency::Normal) >
             0.99);
}

BOOST_AUTO_TEST_SUITE_END()
