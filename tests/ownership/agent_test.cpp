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
       {&Config.LeaseDuration_, &Config.RenewInterval_, &Config.ClaimMargin_,
        &Config.ClockError_, &Config.PromiseDuration_, &Config.ConsentDuration_,
        &Config.RequestInterval_, &Config.NodeReadInterval_,
        &Config.ShardReadInterval_, &Config.ClaimStagger_})
    *Time = *Time / 5;
  Config.VmListLag_ = Millis{1500};
  return Config;
}

template <typename Predicate> bool waitUntil(Predicate Holds, Millis Limit) {
  const SystemClock Time;
  const Millis End = Time.monotonic() + Limit;
  while (!Holds()) {
    if (Time.monotonic() > End)
      return false;
    sleepFor(Millis{5});
  }
  return true;
}

class FakeVmList : public VmList {
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

/// A zone of agents with one in-memory table and network.
class TestZone {
public:
  TestZone(const std::vector<std::string> &Nodes, int Racks) {
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
  ~TestZone() {
    for (const auto &[Node, Instance] : Agents_)
      Instance->stop();
  }
  TestZone(const TestZone &) = delete;
  TestZone &operator=(const TestZone &) = delete;

  void add(const std::string &Node) {
    Links_[Node] = std::make_unique<fakes::FakeTableLink>(Table_);
    auto Send = [this, Node](const std::string &To,
                             const std::string &Text) -> Result<std::string> {
      Agent *Peer = nullptr;
      {
        const MutexLock Guard(Lock_);
        const auto Found = Agents_.find(To);
        if (Found != Agents_.end() && !Isolated_.count(To) &&
            !Isolated_.count(Node))
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
    for (const auto &[Node, Instance] : Agents_)
      Instance->start();
  }
  /// Isolates a node from its peers, and with AlsoTable from the table as well.
  void isolate(const std::string &Node, bool AlsoTable) {
    const MutexLock Guard(Lock_);
    Isolated_.insert(Node);
    Links_[Node]->setCut(AlsoTable);
  }
  Agent &at(const std::string &Node) { return *Agents_.at(Node); }
  std::vector<std::size_t> shardCounts() {
    std::vector<std::size_t> PerNode;
    for (const auto &[Node, Instance] : Agents_)
      PerNode.push_back(Instance->ownedShards().size());
    std::sort(PerNode.begin(), PerNode.end());
    return PerNode;
  }
  std::size_t countStartableShards() {
    std::size_t Count = 0;
    for (const auto &[Node, Instance] : Agents_)
      for (const OwnedShard &Shard : Instance->ownedShards())
        Count += Instance->mayGrant(Shard.Shard_) ? 1 : 0;
    return Count;
  }

  /// Waits until all nodes are listed and may give promises and consents.
  bool waitUntilSettled() {
    const bool Listed = waitUntil(
        [this] {
          const auto Row = Table_.read({ListKind, "z"}, Millis{100});
          return Row && Row.value() &&
                 decodeZoneList(*Row.value()).value().Nodes_.size() ==
                     Agents_.size();
        },
        Millis{10000});
    sleepFor(fastConfig().LeaseDuration_);
    return Listed;
  }

  fakes::FakeTable Table_;
  FakeVmList Vms_;
  SystemClock Time_;

private:
  Mutex Lock_;
  std::set<std::string> Isolated_;
  std::map<std::string, std::unique_ptr<fakes::FakeTableLink>> Links_;
  std::map<std::string, std::unique_ptr<Agent>> Agents_;
};

using ShardCountList = std::vector<std::size_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(AgentRuns)

// Guards against unclaimed shards and an unbalanced assignment.
BOOST_AUTO_TEST_CASE(ShardsSpreadEvenly) {
  TestZone Zone({"a", "b", "c"}, 6);
  Zone.start();
  BOOST_TEST(waitUntil(
      [&] {
        return Zone.shardCounts() == ShardCountList{2, 2, 2};
      },
      Millis{10000}));
  BOOST_TEST(Zone.at("a").isReady());
  BOOST_TEST(Zone.at("b").nodes().size() == 3U);
  BOOST_TEST(Zone.at("c").shards().size() == 6U);
  const Millis End =
      Zone.at("a").grantEnd(Zone.at("a").ownedShards()[0].Shard_);
  BOOST_TEST((End > Zone.Time_.wall()));
  BOOST_TEST((End <= Zone.Time_.wall() + fastConfig().LeaseDuration_));
}

// Guards against shards of a dead node that no peer claims.
BOOST_AUTO_TEST_CASE(DeadNodeIsTakenOver) {
  TestZone Zone({"a", "b", "c"}, 6);
  Zone.start();
  BOOST_REQUIRE(waitUntil(
      [&] {
        return Zone.shardCounts() == ShardCountList{2, 2, 2};
      },
      Millis{10000}));
  BOOST_REQUIRE(Zone.waitUntilSettled());
  Zone.isolate("a", true);
  BOOST_TEST(waitUntil(
      [&] {
        return Zone.at("b").ownedShards().size() +
                   Zone.at("c").ownedShards().size() ==
               6U;
      },
      Millis{10000}));
  BOOST_TEST(!Zone.at("a").isReady());
}

// Guards against an ownership gap in a planned stop: the peer must own the
// shards without waiting for the lease to expire.
BOOST_AUTO_TEST_CASE(PlannedStopHandsOver) {
  TestZone Zone({"a", "b"}, 4);
  Zone.start();
  BOOST_REQUIRE(waitUntil(
      [&] {
        return Zone.shardCounts() == ShardCountList{2, 2};
      },
      Millis{10000}));
  Zone.at("a").stop();
  BOOST_TEST(waitUntil(
      [&] {
        return Zone.shardCounts() == ShardCountList{0, 4};
      },
      fastConfig().LeaseDuration_ / 2));
}

// Guards against loss of ownership during a table outage, and against nodes
// that claim each other's rows after it.
BOOST_AUTO_TEST_CASE(TableOutageIsBridgedByPromises) {
  TestZone Zone({"a", "b", "c"}, 3);
  Zone.start();
  BOOST_REQUIRE(waitUntil(
      [&] {
        return Zone.shardCounts() == ShardCountList{1, 1, 1};
      },
      Millis{10000}));
  BOOST_REQUIRE(Zone.waitUntilSettled());
  const auto OwnedBefore = Zone.at("a").ownedShards();
  Zone.Table_.setOutage(true);
  sleepFor(fastConfig().LeaseDuration_ * 3);
  BOOST_TEST(Zone.countStartableShards() == 3U);
  Zone.Table_.setOutage(false);
  sleepFor(fastConfig().LeaseDuration_ * 2);
  BOOST_TEST(Zone.countStartableShards() == 3U);
  BOOST_TEST((Zone.at("a").ownedShards() == OwnedBefore));
}

// Guards against a wrong outcome of a write whose answer was lost.
BOOST_AUTO_TEST_CASE(LostAnswersAreReadBack) {
  TestZone Zone({"a", "b"}, 4);
  Zone.Table_.loseAnswers(6);
  Zone.start();
  BOOST_TEST(waitUntil(
      [&] {
        return Zone.shardCounts() == ShardCountList{2, 2};
      },
      Millis{10000}));
  Zone.Table_.holdWrites(2);
  sleepFor(fastConfig().RenewInterval_ * 2);
  Zone.Table_.applyLate();
  BOOST_TEST(waitUntil([&] { return Zone.countStartableShards() == 4U; },
                       Millis{10000}));
}

BOOST_AUTO_TEST_SUITE_END()
