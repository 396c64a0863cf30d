// How nodes keep their configuration current.

#include "tests/cell/fake_cell.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>

using namespace damaskglade;
using namespace damaskglade::cell;
using namespace damaskglade::fakes;

namespace {

constexpr Millis Second{1000};
/// In this time a version is in force on the nodes of a small deployment.
constexpr Millis ApplyLimit{2000};
/// In this time an election is over, and all nodes know each other.
constexpr Millis StartTime{3000};

SharedConfig makeVersion(std::int64_t Version) {
  CellConfig Config;
  Config.Version_ = Version;
  Config.Text_ = std::to_string(Version);
  return std::make_shared<const CellConfig>(std::move(Config));
}

/// Answers each request at once with the next outcome, the last one for ever.
class ScriptedSource : public ConfigSource {
public:
  void next(std::function<void(Result<ConfigRead>)> Done) override {
    ++Requests_;
    Result<ConfigRead> Outcome = Outcomes_.front();
    if (Outcomes_.size() > 1)
      Outcomes_.pop_front();
    Done(std::move(Outcome));
  }
  Result<SharedConfig> decode(const std::string &Text) const override {
    const std::int64_t Version = std::atoll(Text.c_str());
    if (Version <= 0)
      return Error{};
    return makeVersion(Version);
  }

  std::deque<Result<ConfigRead>> Outcomes_;
  int Requests_ = 0;
};

/// Answers each call with the next reply, the last one for ever.
class ScriptedPeers : public WebClient {
public:
  explicit ScriptedPeers(FakeLoop &Loop) : Loop_(Loop) {}
  void call(const WebCall &Call, WebReplyHandler Done) override {
    Called_.push_back(Call.Address_);
    const WebReply Reply{200, Replies_.front()};
    if (Replies_.size() > 1)
      Replies_.pop_front();
    Loop_.after(Millis{1}, [Done, Reply] { Done(Reply); });
  }

  std::deque<std::string> Replies_{"{}"};
  std::vector<std::string> Called_;

private:
  FakeLoop &Loop_;
};

/// A follower whose source and peers are scripted.
struct FollowerFixture {
  FollowerFixture()
      : Peers_(Loop_), Rpc_(Peers_),
        Follower_(ConfigPorts{Loop_, Loop_, Source_, Rpc_, Log_, Metrics_},
                  "own", [this](const SharedConfig &Config) {
                    Applied_.push_back(Config->Version_);
                  }) {}

  static Result<ConfigRead> read(std::int64_t Version) {
    return ConfigRead{makeVersion(Version), false};
  }
  static Result<ConfigRead> failure(Reason Why) {
    return Error{Why, Effect::None, "follow", "store", "", {}};
  }

  FakeLoop Loop_;
  ScriptedSource Source_;
  ScriptedPeers Peers_;
  RpcClient Rpc_;
  NullEventLog Log_;
  NullMetrics Metrics_;
  std::vector<std::int64_t> Applied_;
  ConfigFollower Follower_;
};

using Versions = std::vector<std::int64_t>;

/// Whether all nodes have the newest version within the time.
bool allHaveNewest(FakeCell &Cell, Millis Time) {
  const std::int64_t Newest = Cell.StoreState_.Configs_.back()->Version_;
  return Cell.Loop_.runUntil(Time, [&] {
    const auto Names = Cell.nodes();
    return std::all_of(Names.begin(), Names.end(), [&](const auto &Name) {
      return Cell.configVersion(Name) == Newest;
    });
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigTests)

BOOST_AUTO_TEST_CASE(PeersAreAskedForWhatTheStoreDoesNotDeliver) {
  const Millis Now{10000};
  ConfigKnowledge Known{4, 4, Millis{}, Now, false};
  BOOST_TEST(!shouldAskPeer(Known, Now));
  Known.NewestVersion_ = 7;
  Known.NewestHeardAt_ = Now;
  BOOST_TEST(!shouldAskPeer(Known, Now));
  BOOST_TEST(shouldAskPeer(Known, Now + Second));
  Known.ReadsFail_ = true;
  BOOST_TEST(shouldAskPeer(Known, Now));
  Known.Version_ = 7;
  BOOST_TEST(!shouldAskPeer(Known, Now));
  BOOST_TEST(shouldAskPeer(Known, Now + Second * 2));
}

// Guards against a version that is taken back when the store answers with an
// older one, and against one that is taken twice.
BOOST_AUTO_TEST_CASE(VersionNeverGoesBack) {
  FollowerFixture Fixture;
  Fixture.Source_.Outcomes_ = {
      FollowerFixture::read(5), FollowerFixture::read(3),
      FollowerFixture::read(5), FollowerFixture::read(8),
      FollowerFixture::failure(Reason::TableUnavailable)};
  Fixture.Peers_.Replies_ = {
      R"({"result":{"version":6,"age_ms":0,"text":"6"}})"};
  Fixture.Follower_.setNodes({"own", "n2"});
  Fixture.Follower_.start();
  Fixture.Loop_.run(Second * 5);
  BOOST_TEST(Fixture.Applied_ == (Versions{5, 8}),
             boost::test_tools::per_element());
  BOOST_TEST(!Fixture.Peers_.Called_.empty());
}

// Guards against a store that is read in full again and again without a pause
// because it has lost its history each time.
BOOST_AUTO_TEST_CASE(LostHistoryIsNotReadWithoutAPause) {
  FollowerFixture Fixture;
  Fixture.Source_.Outcomes_ = {ConfigRead{makeVersion(5), true}};
  Fixture.Follower_.start();
  Fixture.Loop_.run(Second * 10);
  BOOST_TEST(Fixture.Source_.Requests_ <= 15);
  BOOST_TEST(Fixture.Source_.Requests_ >= 5);
}

// Guards against a node that never again reads a configuration that it could
// not use once, and against one that reads it without a pause.
BOOST_AUTO_TEST_CASE(UnusableConfigurationIsTriedAgain) {
  FollowerFixture Fixture;
  Fixture.Source_.Outcomes_ = {FollowerFixture::read(5),
                               FollowerFixture::failure(Reason::InvalidField)};
  Fixture.Follower_.start();
  Fixture.Loop_.run(Second * 10);
  BOOST_TEST(Fixture.Source_.Requests_ <= 15);
  Fixture.Source_.Outcomes_ = {FollowerFixture::read(8),
                               FollowerFixture::failure(Reason::InvalidField)};
  Fixture.Loop_.run(Second * 2);
  BOOST_TEST(Fixture.Applied_ == (Versions{5, 8}),
             boost::test_tools::per_element());
}

// Guards against a node that ends, or takes over what is no configuration,
// because of the reply of another node.
BOOST_AUTO_TEST_CASE(InvalidReplyOfAPeerIsNotTaken) {
  FollowerFixture Fixture;
  Fixture.Source_.Outcomes_ = {
      FollowerFixture::read(5),
      FollowerFixture::failure(Reason::TableUnavailable)};
  Fixture.Peers_.Replies_ = {
      "not JSON",
      R"({"result":7})",
      "[1]",
      R"({"error":"busy"})",
      R"({"error":{"data":[]}})",
      R"({"result":{"version":{},"age_ms":0,"text":"9"}})",
      R"({"result":{"version":9,"age_ms":0,"text":"no configuration"}})",
      R"({"result":{"version":9,"age_ms":0,"text":7}})",
      R"({"result":{"version":9,"age_ms":-5,"text":"9"}})",
      R"({"result":{"version":8,"age_ms":40,"text":"8"}})"};
  Fixture.Follower_.setNodes({"n2", "n3"});
  Fixture.Follower_.start();
  Fixture.Loop_.run(Second * 10);
  BOOST_TEST(Fixture.Applied_ == (Versions{5, 8}),
             boost::test_tools::per_element());
}

// Guards against advice, which is a list, that is taken for no reply.
BOOST_AUTO_TEST_CASE(ListIsAReply) {
  FollowerFixture Fixture;
  Fixture.Peers_.Replies_ = {R"({"result":[["w1","ticket"]]})"};
  bool IsReply = false;
  Fixture.Rpc_.call("n2", "advice.ask", Json::Value(), Second,
                    [&](const Result<Json::Value> &Reply) {
                      IsReply = Reply && Reply.value().size() == 1;
                    });
  Fixture.Loop_.run(Second);
  BOOST_TEST(IsReply);
}

// Guards against a node that asks a busy holder alone.
BOOST_AUTO_TEST_CASE(OtherNodesAreAskedIfTheHolderIsBusy) {
  FollowerFixture Fixture;
  Fixture.Source_.Outcomes_ = {
      FollowerFixture::read(5),
      FollowerFixture::failure(Reason::TableUnavailable)};
  Fixture.Peers_.Replies_ = {
      R"({"error":{"data":{"reason":"queue_full","effect":"none"}}})",
      R"({"result":{"version":8,"age_ms":0,"text":"8"}})"};
  Fixture.Follower_.setNodes({"own", "n2"});
  Fixture.Follower_.start();
  Fixture.Loop_.run(Millis{500});
  Fixture.Follower_.noteVersion(8, "holder");
  Fixture.Loop_.run(Millis{400});
  BOOST_TEST(Fixture.Peers_.Called_ ==
                 (std::vector<std::string>{"holder", "n2"}),
             boost::test_tools::per_element());
  BOOST_TEST(Fixture.Follower_.knowledge().Version_ == 8);
}

// Guards against a node that sends its configuration to all others at once.
BOOST_AUTO_TEST_CASE(ConfigurationIsSentToOneNodeAtATime) {
  FollowerFixture Fixture;
  Fixture.Source_.Outcomes_ = {
      FollowerFixture::read(5),
      FollowerFixture::failure(Reason::TableUnavailable)};
  Fixture.Follower_.start();
  int Sent = 0;
  Json::Value Params;
  Params["version"] = 4;
  for (int Count = 0; Count < 10; ++Count) {
    Fixture.Loop_.run(Millis{10});
    Fixture.Follower_.serve(Params, [&](const Result<Json::Value> &Reply) {
      Sent += Reply && Reply.value()["text"] == "5" ? 1 : 0;
    });
  }
  BOOST_TEST(Sent == 2);
  Params["version"] = 5;
  Fixture.Follower_.serve(Params, [&](const Result<Json::Value> &Reply) {
    BOOST_TEST_REQUIRE(Reply.has_value());
    BOOST_TEST(!Reply.value().isMember("text"));
  });
}

// Guards against nodes that answer by an older version while the store does not
// serve them, although they reach nodes that it serves.
BOOST_AUTO_TEST_CASE(NodesThatTheStoreTurnsAwayTakeTheVersionFromPeers) {
  for (const StoreMode Mode : {StoreMode::Rejects, StoreMode::TimesOut})
    for (const bool LeaderToo : {false, true}) {
      FakeCell Cell(7, 4);
      Cell.Loop_.run(StartTime);
      const std::string Leader = Cell.leader();
      int Rejected = 0;
      for (const std::string &Name : Cell.nodes())
        if (Name == Leader ? LeaderToo : ++Rejected <= 3)
          Cell.StoreState_.StoreModes_[Name] = Mode;
      for (int Change = 0; Change < 4; ++Change) {
        Cell.changeConfig();
        BOOST_TEST(allHaveNewest(Cell, ApplyLimit),
                   "mode " << static_cast<int>(Mode) << " change " << Change);
      }
      BOOST_TEST(Cell.ConfigRegressions_.empty());
    }
}

// Guards against a version that stops at the only node that the store serves.
BOOST_AUTO_TEST_CASE(VersionSpreadsFromASingleNode) {
  constexpr int Nodes = 40;
  FakeCell Cell(Nodes, 4);
  Cell.Loop_.run(StartTime);
  const std::string Leader = Cell.leader();
  for (const std::string &Name : Cell.nodes())
    if (Name != Leader)
      Cell.StoreState_.StoreModes_[Name] = StoreMode::Rejects;
  for (int Change = 0; Change < 4; ++Change) {
    Cell.changeConfig();
    BOOST_TEST(allHaveNewest(Cell, ApplyLimit), "change " << Change);
  }
}

// Guards against a node that learns of versions from the leader alone.
BOOST_AUTO_TEST_CASE(NodeWithoutStoreAndLeaderAsksOthers) {
  FakeCell Cell(5, 4);
  Cell.Loop_.run(StartTime);
  const std::string Leader = Cell.leader();
  const auto Names = Cell.nodes();
  const std::string Rejected =
      *std::find_if(Names.begin(), Names.end(),
                    [&](const std::string &Name) { return Name != Leader; });
  Cell.StoreState_.StoreModes_[Rejected] = StoreMode::Rejects;
  Cell.setIsolated(Leader, true);
  Cell.Loop_.run(Millis{100});
  const std::int64_t Version = Cell.changeConfig();
  BOOST_TEST(Cell.Loop_.runUntil(
      Second * 4, [&] { return Cell.configVersion(Rejected) == Version; }));
}

// Guards against a node that ends because of the call of another one: it is
// handled on a thread where nobody else catches errors of the JSON library.
BOOST_AUTO_TEST_CASE(InvalidCallForTheConfigurationIsRejected) {
  FollowerFixture Fixture;
  Fixture.Source_.Outcomes_ = {
      FollowerFixture::read(5),
      FollowerFixture::failure(Reason::TableUnavailable)};
  Fixture.Follower_.start();
  Json::Value WrongType;
  WrongType["version"] = "5";
  for (const Json::Value &Params :
       {Json::Value(), Json::Value(7), Json::Value(Json::arrayValue),
        Json::Value(Json::objectValue), WrongType}) {
    std::optional<Reason> Why;
    Fixture.Follower_.serve(Params, [&](const Result<Json::Value> &Reply) {
      Why = Reply ? Reason::None : Reply.error().Reason_;
    });
    BOOST_TEST((Why == Reason::InvalidField));
  }
}

// Guards against jobs of a new queue that are lost, or started on workers of
// another service, because the leader does not know the queue yet.
BOOST_AUTO_TEST_CASE(JobOfAQueueThatTheLeaderDoesNotKnowYetWaits) {
  FakeCell Cell(3, 4);
  Cell.Loop_.run(StartTime);
  const std::string Leader = Cell.leader();
  const std::string Other = Leader == "n1" ? "n2" : "n1";
  // Pauses the reads of the leader for a while.
  Cell.StoreState_.StoreModes_[Leader] = StoreMode::TimesOut;
  Cell.changeConfig({"late"});
  BOOST_TEST_REQUIRE(Cell.Loop_.runUntil(Millis{300}, [&] {
    return Cell.configVersion(Other) > Cell.configVersion(Leader);
  }));
  Cell.StoreState_.StoreModes_[Leader] = StoreMode::Healthy;
  CallerRequest Request;
  Request.Verb_ = CallerVerb::Submit;
  Request.Queue_ = "late";
  Request.Id_ = jobId(1);
  Request.Spec_.Id_ = jobId(1);
  Request.Spec_.Queue_ = "late";
  Request.Spec_.Payload_ = "50";
  dispatch::StepSpec Step;
  Step.Count_ = 2;
  Step.Size_ = dispatch::Size{500, 100, 0};
  Request.Spec_.Steps_ = {Step};
  const auto Answer = Cell.call(Other, Request);
  BOOST_TEST_REQUIRE(
      Cell.Loop_.runUntil(Second, [&] { return Answer->has_value(); }));
  BOOST_TEST((*Answer)->has_value());
  BOOST_TEST(Cell.Loop_.runUntil(Second * 3, [&] {
    return Cell.state(Other, jobId(1)) == dispatch::JobState::Complete;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
