#include "config/folder.h"
#include "config/follower.h"
#include "tests/config/fake_objects.h"
#include "tests/records/fake_table.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::config;
using records::Fault;

namespace {

constexpr Millis Wait{3000};

std::string textWith(int LeaseMs) {
  return "[ownership]\nlease_ms = " + std::to_string(LeaseMs) + "\n";
}

Result<std::string> noPeer(const std::string &, Millis) {
  return Error{Reason::ConnectFailed, Effect::None, "config body", "", "none"};
}

struct Fixture {
  records::FakeTable Table_;
  FakeObjects Objects_;
  SystemClock Time_;
  NullMetrics Metrics_;
  VersionStore Store_{Table_, Objects_, Time_, "n1"};

  static FollowerOptions fast() { return {Millis{20}, Millis{50}}; }
};

// Waits until the condition holds, at most for two seconds.
bool becomesTrue(const std::function<bool()> &Holds) {
  for (int Try = 0; Try < 400 && !Holds(); ++Try)
    sleepFor(Millis{5});
  return Holds();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Versions, Fixture)

// Guards against a push that overwrites one which its operator has not seen.
BOOST_AUTO_TEST_CASE(StalePushIsRefusedWithBothVersions) {
  BOOST_TEST(Store_.push(textWith(3000), 0, Wait).value().Version_ == 1);
  BOOST_TEST(Store_.push(textWith(4000), 1, Wait).value().Version_ == 2);
  const auto Stale = Store_.push(textWith(4500), 1, Wait);
  BOOST_REQUIRE(!Stale);
  BOOST_TEST((Stale.error().Reason_ == Reason::VersionMoved));
  BOOST_TEST((Stale.error().Effect_ == Effect::None));
  BOOST_TEST(Stale.error().Message_ == "version moved, yours was based on 1; "
                                       "the current version is 2");
  BOOST_TEST(!Store_.push("[ownership]\nlease_ms = x\n", 2, Wait));
}

// Guards against two operators who push at once and are both told they won.
BOOST_AUTO_TEST_CASE(OneOfConcurrentPushesWins) {
  std::atomic<int> Won = 0;
  std::atomic<int> Moved = 0;
  {
    std::vector<Thread> Operators;
    Operators.reserve(8);
    for (int Index = 0; Index < 8; ++Index)
      Operators.emplace_back([&, Index] {
        const auto Pushed = Store_.push(textWith(3000 + Index), 0, Wait);
        Won += Pushed ? 1 : 0;
        Moved += !Pushed && Pushed.error().Reason_ == Reason::VersionMoved;
      });
  }
  BOOST_TEST(Won == 1);
  BOOST_TEST(Moved == 7);
}

// Guards against a push reported as failed that took effect, or the reverse.
BOOST_AUTO_TEST_CASE(LostAnswersAreResolved) {
  std::int64_t Version = 0;
  for (const Fault Each : {Fault::AnswerLost, Fault::Dropped, Fault::Late,
                           Fault::Refused, Fault::Slow}) {
    Table_.plan({Each});
    const auto Pushed =
        Store_.push(textWith(3000 + static_cast<int>(Version)), Version, Wait);
    BOOST_REQUIRE(Pushed);
    BOOST_TEST(Pushed.value().Version_ == ++Version);
  }
  Table_.deliverLate();
  BOOST_TEST(Store_.current(Wait).value()->Version_ == Version);
  BOOST_TEST(Store_.history(10, Wait).value().size() == 5U);
  Table_.setOutage(true);
  const auto Down = Store_.push(textWith(4000), Version, Millis{200});
  BOOST_TEST((Down.error().Reason_ == Reason::TableUnavailable));
  BOOST_TEST((Down.error().Effect_ == Effect::None));
}

// Guards against a pointer to a body that was never stored.
BOOST_AUTO_TEST_CASE(PushIsRefusedWithoutObjectStore) {
  Objects_.setOutage(true);
  const auto Pushed = Store_.push(textWith(3000), 0, Wait);
  BOOST_TEST((Pushed.error().Reason_ == Reason::ObjectStoreUnavailable));
  BOOST_TEST((Pushed.error().Effect_ == Effect::None));
  BOOST_TEST(!Store_.current(Wait).value());
}

// Guards against a rollback that moves the version down.
BOOST_AUTO_TEST_CASE(RollbackIsANewVersionWithEarlierContent) {
  const VersionInfo First = Store_.push(textWith(3000), 0, Wait).value();
  BOOST_TEST(Store_.push(textWith(4000), 1, Wait).has_value());
  const VersionInfo Back = Store_.rollback(1, 2, Wait).value();
  BOOST_TEST(Back.Version_ == 3);
  BOOST_TEST(Back.Hash_ == First.Hash_);
  const auto History = Store_.history(2, Wait).value();
  BOOST_REQUIRE(History.size() == 2U);
  BOOST_TEST(History[0].Version_ == 3);
  BOOST_TEST(History[1].Version_ == 2);
  BOOST_TEST((Store_.rollback(9, 3, Wait).error().Reason_ == Reason::NotFound));
}

// Guards against a node that stays behind, and against one that goes back to
// an earlier version.
BOOST_AUTO_TEST_CASE(FollowerOnlyMovesUp) {
  Follower Node(fast(), Store_, noPeer, Time_, Metrics_);
  BOOST_TEST(Node.current() == nullptr);
  Node.start();
  BOOST_TEST(becomesTrue([&] { return Node.current() != nullptr; }));
  BOOST_TEST(Node.version() == 0);
  const VersionInfo First = Store_.push(textWith(3000), 0, Wait).value();
  const VersionInfo Second = Store_.push(textWith(4500), 1, Wait).value();
  BOOST_TEST(becomesTrue([&] { return Node.version() == 2; }));
  Node.offer(First.Version_, First.Hash_);
  sleepFor(Millis{60});
  BOOST_TEST(Node.version() == 2);
  BOOST_TEST(Node.current()->Ownership_.Lease_.Value_ == 4500);
  BOOST_TEST(Node.body(Second.Hash_).value() == textWith(4500));
  BOOST_TEST(!Node.body(First.Hash_));
}

// Guards against a node of a cut-off zone that starts without configuration or
// takes a body that is not the one offered.
BOOST_AUTO_TEST_CASE(CutOffNodeTakesTheVersionFromAPeer) {
  Table_.setOutage(true);
  Objects_.setOutage(true);
  std::atomic<bool> Corrupt = true;
  const std::string Text = textWith(4500);
  const auto Fetch = [&](const std::string &, Millis) -> Result<std::string> {
    return Corrupt ? Text.substr(1) : Text;
  };
  Follower Node(fast(), Store_, Fetch, Time_, Metrics_);
  Node.start();
  Node.offer(7, contentHash(Text));
  BOOST_TEST(becomesTrue([&] { return !Node.problem().empty(); }));
  BOOST_TEST(Node.current() == nullptr);
  Corrupt = false;
  BOOST_TEST(becomesTrue([&] { return Node.version() == 7; }));
  BOOST_TEST(Node.problem() == "");
}

// Guards against an offer that cannot be followed and keeps the node from the
// version in the table.
BOOST_AUTO_TEST_CASE(UnusableOfferDoesNotBlockTheTable) {
  BOOST_TEST(Store_.push(textWith(3000), 0, Wait).has_value());
  Follower Node(fast(), Store_, noPeer, Time_, Metrics_);
  Node.offer(99, contentHash("lost"));
  Node.pollOnce();
  BOOST_TEST(Node.version() == 1);
  BOOST_TEST(!Node.problem().empty());
}

BOOST_AUTO_TEST_SUITE_END()
