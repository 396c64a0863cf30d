#include "ownership/agent.h"

#include "tests/fakes/fake_table.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace damaskglade;
using namespace damaskglade::ownership;

namespace {

// A fifth of the default times, so that takeovers happen within a second.
ProtocolConfig fastConfig() {
  ProtocolConfig Config;
  for (Millis *Time :
       {&Config.Lease_, &Config.RenewInterval_, &Config.ClaimMargin_,
        &Config.ClockError_, &Config.PromiseTime_, &Config.ConsentTime_,
        &Config.AskInterval_, &Config.NodeReadInterval_,
        &Config.ShardReadInterval_, &Config.ClaimStagger_})
    *Time = *Time / 5;
  Config.VmLag_ = Millis{1500};
  return Config;
}

template <typename Condition> bool eventually(Condition Holds, Millis Limit) {
  const SystemClock Time;
  const Millis End = Time.monotonic() + Limit;
  while (!Holds()) {
    if (Time.monotonic() > End)
      return false;
    sleepFor(Millis{5});
  }
  return true;
}

class FakeVms : public VmList {
public:
  void set(std::vector<VmEntry> Entries) {
    const MutexLock Guard(Lock_);
    Entries_ = std::move(Entries);
  }
  Result<std::vector<VmEntry>> list(Millis) override {
    const MutexLock Guard(Lock_);
    return Entries_;
  }

private:
  Mutex Lock_;
  std::vector<VmEntry> Entries_;
};

/// A zone of agents over one table and a network in memory.
class Zone {
public:
  Zone(const std::vector<std::string> &Nodes, int Racks) {
    std::vector<VmEntry> Vms;
    Vms.reserve(Nodes.size() + static_cast<std::size_t>(Racks));
    for (const std::string &Node : Nodes)
      Vms.push_back({Node, "z", "", Node, false, false});
    for (int Rack = 0; Rack < Racks; ++Rack)
      Vms.push_back({"w" + std::to_string(Rack), "z",
                     "r" + std::to_string(Rack), "", true, false});
    Vms_.set(Vms);
    for (const std::string &Node : Nodes)
      add(Node);
  }
  ~Zone() {
    for (const auto &[Node, Member] : Agents_)
      Member->stop();
  }
  Zone(const Zone &) = delete;
  Zone &operator=(const Zone &) = delete;

  void add(const std::string &Node) {
    Links_[Node] = std::make_unique<fakes::FakeTableLink>(Table_);
    auto Send = [this, Node](const std::string &To,
                             const std::string &Text) -> Result<std::string> {
      Agent *Peer = nullptr;
      {
        const MutexLock Guard(Lock_);
        const auto Found = Agents_.find(To);
        if (Found != Agents_.end() && !Cut_.count(To) && !Cut_.count(Node))
          Peer = Found->second.get();
      }
      if (!Peer)
        return Error{
            Reason::ConnectFailed, Effect::None, "send", To, "", Millis{}};
      return Peer->handleMessage(Text);
    };
    const MutexLock Guard(Lock_);
    Agents_[Node] =
        std::make_unique<Agent>(AgentOptions{Node, "z", Node, fastConfig()},
                                *Links_[Node], Vms_, Time_, Send);
  }
  void start() {
    for (const auto &[Node, Member] : Agents_)
      Member->start();
  }
  /// Cuts a node off from its peers, and from the table as well on request.
  void cut(const std::string &Node, bool AlsoTable) {
    const MutexLock Guard(Lock_);
    Cut_.insert(Node);
    Links_[Node]->setCut(AlsoTable);
  }
  Agent &at(const std::string &Node) { return *Agents_.at(Node); }
  std::vector<std::size_t> counts() {
    std::vector<std::size_t> Out;
    for (const auto &[Node, Member] : Agents_)
      Out.push_back(Member->ownedShards().size());
    std::sort(Out.begin(), Out.end());
    return Out;
  }
  std::size_t granted() {
    std::size_t Out = 0;
    for (const auto &[Node, Member] : Agents_)
      for (const OwnedShard &Shard : Member->ownedShards())
        Out += Member->mayGrant(Shard.Shard_) ? 1 : 0;
    return Out;
  }

  /// All nodes are listed and have waited as long as a restarted node must.
  bool settles() {
    const bool Listed = eventually(
        [this] {
          const auto Row = Table_.read({ListKind, "z"}, Millis{100});
          return Row && Row.value() &&
                 decodeZoneList(*Row.value()).value().Nodes_.size() ==
                     Agents_.size();
        },
        Millis{10000});
    sleepFor(fastConfig().Lease_);
    return Listed;
  }

  fakes::FakeTable Table_;
  FakeVms Vms_;
  SystemClock Time_;

private:
  Mutex Lock_;
  std::set<std::string> Cut_;
  std::map<std::string, std::unique_ptr<fakes::FakeTableLink>> Links_;
  std::map<std::string, std::unique_ptr<Agent>> Agents_;
};

using Counts = std::vector<std::size_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(AgentRuns)

// Guards against shards that nobody claims and against an uneven spread.
BOOST_AUTO_TEST_CASE(ShardsSpreadEvenly) {
  Zone Cell({"a", "b", "c"}, 6);
  Cell.start();
  BOOST_TEST(eventually(
      [&] {
        return Cell.counts() == Counts{2, 2, 2};
      },
      Millis{10000}));
  BOOST_TEST(Cell.at("a").isReady());
  BOOST_TEST(Cell.at("b").nodes().size() == 3U);
  BOOST_TEST(Cell.at("c").shards().size() == 6U);
  const Millis End =
      Cell.at("a").grantEnd(Cell.at("a").ownedShards()[0].Shard_);
  BOOST_TEST((End > Cell.Time_.wall()));
  BOOST_TEST((End <= Cell.Time_.wall() + fastConfig().Lease_));
}

// Guards against a dead owner's shards staying without an owner.
BOOST_AUTO_TEST_CASE(DeadNodeIsTakenOver) {
  Zone Cell({"a", "b", "c"}, 6);
  Cell.start();
  BOOST_REQUIRE(eventually(
      [&] {
        return Cell.counts() == Counts{2, 2, 2};
      },
      Millis{10000}));
  BOOST_REQUIRE(Cell.settles());
  Cell.cut("a", true);
  BOOST_TEST(eventually(
      [&] {
        return Cell.at("b").ownedShards().size() +
                   Cell.at("c").ownedShards().size() ==
               6U;
      },
      Millis{10000}));
  BOOST_TEST(!Cell.at("a").isReady());
}

// Guards against an outage of a stop: a peer must claim at once.
BOOST_AUTO_TEST_CASE(PlannedStopHandsOver) {
  Zone Cell({"a", "b"}, 4);
  Cell.start();
  BOOST_REQUIRE(eventually(
      [&] {
        return Cell.counts() == Counts{2, 2};
      },
      Millis{10000}));
  Cell.at("a").stop();
  BOOST_TEST(eventually(
      [&] {
        return Cell.counts() == Counts{0, 4};
      },
      fastConfig().Lease_ / 2));
}

// Guards against lost ownership while the table is down, and against the zone
// claiming its own rows when the table is back.
BOOST_AUTO_TEST_CASE(TableOutageIsBridgedByPromises) {
  Zone Cell({"a", "b", "c"}, 3);
  Cell.start();
  BOOST_REQUIRE(eventually(
      [&] {
        return Cell.counts() == Counts{1, 1, 1};
      },
      Millis{10000}));
  BOOST_REQUIRE(Cell.settles());
  const auto Before = Cell.at("a").ownedShards();
  Cell.Table_.setOutage(true);
  sleepFor(fastConfig().Lease_ * 3);
  BOOST_TEST(Cell.granted() == 3U);
  Cell.Table_.setOutage(false);
  sleepFor(fastConfig().Lease_ * 2);
  BOOST_TEST(Cell.granted() == 3U);
  BOOST_TEST((Cell.at("a").ownedShards() == Before));
}

// Guards against writes whose outcome is misjudged after a lost answer.
BOOST_AUTO_TEST_CASE(LostAnswersAreReadBack) {
  Zone Cell({"a", "b"}, 4);
  Cell.Table_.loseAnswers(6);
  Cell.start();
  BOOST_TEST(eventually(
      [&] {
        return Cell.counts() == Counts{2, 2};
      },
      Millis{10000}));
  Cell.Table_.holdWrites(2);
  sleepFor(fastConfig().RenewInterval_ * 2);
  Cell.Table_.applyLate();
  BOOST_TEST(eventually([&] { return Cell.granted() == 4U; }, Millis{10000}));
}

BOOST_AUTO_TEST_SUITE_END()
