// API keys: who may use a route, and how recent the configuration of a node has
// to be for that.

#include "cell/access.h"
#include "cell/store_clock.h"
#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace damaskglade;
using namespace damaskglade::cell;
using namespace damaskglade::fakes;

namespace {

constexpr Millis Second{1000};
/// In this time an election is over, and all nodes know each other.
constexpr Millis StartTime{3000};

const AccessSettings Strict{true, Millis{5000}, Millis{3000}};

CellConfig makeConfig() {
  CellConfig Config;
  Config.KeysRequired_ = true;
  Config.Workspaces_["lab"] = dispatch::WorkspacePolicy{3, {}};
  Config.WorkspaceOfKey_["key-1"] = "lab";
  return Config;
}

Access decide(const std::string &Key, Millis Age,
              const AccessSettings &Settings = Strict) {
  return decideAccess(QueueRoute{}, Key, makeConfig(), Age, Settings).Access_;
}

/// A source whose reads are answered by hand.
class ManualSource : public ConfigSource {
public:
  void next(std::function<void(Result<ConfigRead>)> Done) override {
    Open_.push_back(std::move(Done));
  }
  Result<SharedConfig> decode(const std::string &Text) const override {
    CellConfig Config;
    Config.Version_ = std::atoll(Text.c_str());
    Config.Text_ = Text;
    return std::make_shared<const CellConfig>(std::move(Config));
  }
  void answer(const Result<ConfigRead> &Read) {
    const auto Done = std::move(Open_.front());
    Open_.pop_front();
    Done(Read);
  }

  std::deque<std::function<void(Result<ConfigRead>)>> Open_;
};

/// Answers each call after a delay.
class SlowPeers : public WebClient {
public:
  explicit SlowPeers(FakeLoop &Loop) : Loop_(Loop) {}
  void call(const WebCall &, WebReplyHandler Done) override {
    Loop_.after(Delay_, [this, Done] { Done(WebReply{200, Reply_}); });
  }

  std::string Reply_;
  Millis Delay_{700};

private:
  FakeLoop &Loop_;
};

struct ConfirmationFixture {
  ConfirmationFixture()
      : Peers_(Loop_), Rpc_(Peers_),
        Follower_(
            ConfigPorts{Loop_, Loop_, Source_, Rpc_, Log_, Metrics_}, "own",
            [](const SharedConfig &) {},
            [this](Millis ConfirmedAt) { ConfirmedAt_ = ConfirmedAt; }) {
    Loop_.run(Second * 50);
    Follower_.setNodes({"n2"});
    Follower_.start();
  }

  ConfigRead read(std::int64_t Version, Millis StoreClock = {}) const {
    return ConfigRead{Source_.decode(std::to_string(Version)).value(), false,
                      StoreClock};
  }

  FakeLoop Loop_;
  ManualSource Source_;
  SlowPeers Peers_;
  RpcClient Rpc_;
  NullEventLog Log_;
  NullMetrics Metrics_;
  std::optional<Millis> ConfirmedAt_;
  ConfigFollower Follower_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AccessTests)

BOOST_AUTO_TEST_CASE(KeyDecidesTheWorkspace) {
  const CellConfig Config = makeConfig();
  const AccessDecision Known =
      decideAccess(QueueRoute{}, "key-1", Config, Second, Strict);
  BOOST_TEST((Known == AccessDecision{Access::Admitted, "lab"}));
  BOOST_TEST((decide("key-2", Second) == Access::UnknownKey));
  BOOST_TEST((decide("", Second) == Access::UnknownKey));
}

// Guards against callers of public routes, and of cells without workspaces,
// that are rejected for want of a key or of a recent configuration.
BOOST_AUTO_TEST_CASE(NoKeyIsAskedForWhereNoneIsNeeded) {
  CellConfig Config = makeConfig();
  QueueRoute Route;
  Route.Public_ = true;
  BOOST_TEST((decideAccess(Route, "", Config, Second * 900, Strict).Access_ ==
              Access::Admitted));
  Config.KeysRequired_ = false;
  BOOST_TEST(
      (decideAccess(QueueRoute{}, "", Config, Second * 900, Strict).Access_ ==
       Access::Admitted));
}

// Guards against a revoked key that a node without contact goes on serving, and
// against one without the rule that stops serving.
BOOST_AUTO_TEST_CASE(OldConfigurationAdmitsNoKeyIfRevocationIsStrict) {
  BOOST_TEST((decide("key-1", Second * 3) == Access::Admitted));
  BOOST_TEST((decide("key-1", Second * 5) == Access::Undecided));
  BOOST_TEST((decide("key-1", Second * 900,
                     AccessSettings{false, Second * 5, Second * 3}) ==
              Access::Admitted));
}

// Guards against a 401 for a key that has been added since the node lost
// contact.
BOOST_AUTO_TEST_CASE(OldConfigurationCallsNoKeyUnknown) {
  BOOST_TEST((decide("key-2", Second * 3) == Access::Undecided));
}

// Guards against a confirmation that dates from the arrival of a late reply.
BOOST_AUTO_TEST_CASE(ConfirmationDatesFromTheRequest) {
  ConfirmationFixture Fixture;
  const Millis SentAt = Fixture.Loop_.monotonic();
  Fixture.Loop_.run(Second * 4);
  Fixture.Source_.answer(Fixture.read(5));
  BOOST_TEST_REQUIRE(Fixture.ConfirmedAt_.has_value());
  BOOST_TEST(Fixture.ConfirmedAt_->Value_ == SentAt.Value_);
}

// Guards against a node that rejects keys too early, since the reply to a long
// poll seems to be as old as the poll.
BOOST_AUTO_TEST_CASE(StoreClockTellsWhenALongPollWasAnswered) {
  ConfirmationFixture Fixture;
  constexpr Millis StoreAhead{777000};
  Fixture.Loop_.run(Millis{6});
  Fixture.Source_.answer(
      Fixture.read(5, Fixture.Loop_.monotonic() + StoreAhead - Millis{3}));
  Fixture.Loop_.run(Second);
  const Millis AnsweredAt = Fixture.Loop_.monotonic();
  Fixture.Loop_.run(Millis{400});
  Fixture.Source_.answer(ConfigRead{nullptr, false, AnsweredAt + StoreAhead});
  BOOST_TEST(Fixture.ConfirmedAt_->Value_ <= AnsweredAt.Value_);
  BOOST_TEST(Fixture.ConfirmedAt_->Value_ >= AnsweredAt.Value_ - 10);
}

// Guards against a store's clock that jumps, and makes a late reply seem new.
BOOST_AUTO_TEST_CASE(ImpossibleStoreTimeCountsAsTheTimeOfTheRequest) {
  const StoreClockReading First{Millis{1000}, Millis{1004}, Millis{9002}};
  const StoreClockLead Lead = updateLead(std::nullopt, First);
  const StoreClockReading Jumped{Millis{2000}, Millis{3000}, Millis{90000}};
  BOOST_TEST(earliestWriteTime(Lead, Jumped).Value_ == 2000);
  const StoreClockLead After = updateLead(Lead, Jumped);
  BOOST_TEST(earliestWriteTime(After, Jumped).Value_ == 2000);
  // A late reply after the jump would seem new by the earlier bound.
  const StoreClockReading Late{Millis{3000}, Millis{103000}, Millis{91000}};
  BOOST_TEST(earliestWriteTime(After, Late).Value_ <= 3000);
}

// Guards against the age of another node's knowledge that is not added, and
// against the way of its reply that counts as nothing.
BOOST_AUTO_TEST_CASE(AgesOfOtherNodesAddUp) {
  ConfirmationFixture Fixture;
  Fixture.Peers_.Reply_ =
      R"({"result":{"version":8,"age_ms":1500,"text":"8"}})";
  const Millis AskedAt = Fixture.Loop_.monotonic();
  Fixture.Source_.answer(
      Error{Reason::TableUnavailable, Effect::None, "", "", "", {}});
  Fixture.Loop_.run(Second);
  BOOST_TEST_REQUIRE(Fixture.ConfirmedAt_.has_value());
  BOOST_TEST(Fixture.ConfirmedAt_->Value_ == AskedAt.Value_ - 1500);
}

// Guards against a node that takes its own start for a confirmation.
BOOST_AUTO_TEST_CASE(OldKnowledgeOfAnotherNodeStaysOldAfterAStart) {
  ConfirmationFixture Fixture;
  Fixture.Peers_.Reply_ =
      R"({"result":{"version":8,"age_ms":30000,"text":"8"}})";
  Fixture.Source_.answer(
      Error{Reason::TableUnavailable, Effect::None, "", "", "", {}});
  Fixture.Loop_.run(Second);
  BOOST_TEST_REQUIRE(Fixture.ConfirmedAt_.has_value());
  BOOST_TEST((Fixture.Loop_.monotonic() - *Fixture.ConfirmedAt_).Value_ >=
             30000);
}

// Guards against a confirmation of an older version that counts for a newer
// one, and the reverse.
BOOST_AUTO_TEST_CASE(ConfirmationCountsForItsVersionOnly) {
  ConfirmationFixture Fixture;
  Fixture.Source_.answer(Fixture.read(5));
  const Millis Before = *Fixture.ConfirmedAt_;
  Fixture.Loop_.run(Second);
  Fixture.Follower_.noteConfirmation(4, Fixture.Loop_.monotonic());
  Fixture.Follower_.noteConfirmation(6, Fixture.Loop_.monotonic());
  BOOST_TEST(Fixture.ConfirmedAt_->Value_ == Before.Value_);
  Fixture.Follower_.noteConfirmation(5, Fixture.Loop_.monotonic());
  BOOST_TEST(Fixture.ConfirmedAt_->Value_ == Before.Value_ + 1000);
}

// Guards against nodes that the store turns away and that reject all keys,
// although nodes that they reach know that their configuration is current.
BOOST_AUTO_TEST_CASE(NodesThatTheStoreTurnsAwayStayCurrent) {
  for (const StoreMode Mode : {StoreMode::Rejects, StoreMode::TimesOut})
    for (const bool LeaderToo : {false, true}) {
      FakeCell Cell(7, 4);
      Cell.Loop_.run(StartTime);
      const std::string Leader = Cell.leader();
      int Rejected = 0;
      for (const std::string &Name : Cell.nodes())
        if (Name == Leader ? LeaderToo : ++Rejected <= 3)
          Cell.StoreState_.StoreModes_[Name] = Mode;
      for (int Step = 0; Step < 100; ++Step) {
        Cell.Loop_.run(Millis{100});
        for (const std::string &Name : Cell.nodes()) {
          const auto Age = Cell.configAge(Name);
          BOOST_TEST_REQUIRE(Age.has_value());
          BOOST_TEST(Age->Value_ < 4700, Name << " mode "
                                              << static_cast<int>(Mode)
                                              << " step " << Step);
        }
      }
    }
}

// Guards against a node without contact whose configuration seems current.
BOOST_AUTO_TEST_CASE(AgeGrowsWithoutContact) {
  FakeCell Cell(5, 4);
  Cell.Loop_.run(StartTime);
  const std::string Leader = Cell.leader();
  const auto Names = Cell.nodes();
  const std::string Cut =
      *std::find_if(Names.begin(), Names.end(),
                    [&](const std::string &Name) { return Name != Leader; });
  Cell.StoreState_.StoreModes_[Cut] = StoreMode::TimesOut;
  Cell.setIsolated(Cut, true);
  Cell.Loop_.run(Second * 6);
  BOOST_TEST(Cell.configAge(Cut)->Value_ >= 6000);
  Cell.StoreState_.StoreModes_.erase(Cut);
  Cell.setIsolated(Cut, false);
  Cell.Loop_.run(Second * 6);
  BOOST_TEST(Cell.configAge(Cut)->Value_ < 3000);
}

BOOST_AUTO_TEST_SUITE_END()
