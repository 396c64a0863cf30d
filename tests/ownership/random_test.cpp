#include "tests/ownership/model.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace damaskglade;
using namespace damaskglade::ownership;
using namespace damaskglade::ownership::model;

namespace {

constexpr Millis StepTime{100};
const std::vector<std::string> Shards = {"z/r0", "z/r1", "z/r2",
                                         "z/r3", "z/r4", "z/r5"};

Fault noFault(const Delivery &) { return Fault::None; }

void runFor(Model &Zone, Millis Time) {
  for (Millis End = Zone.Now_ + Time; Zone.Now_ < End;)
    Zone.run(StepTime, noFault);
}

/// Injects random faults into a zone whose nodes fail, restart, stop and
/// are replaced.
class FaultInjector {
public:
  explicit FaultInjector(std::uint32_t Seed) : Random_(Seed) {}

  Model makeZone(std::size_t Nodes, std::size_t Live) {
    Model Zone(Nodes, Shards, ProtocolConfig{});
    const std::int64_t MaxBehind = pick(250);
    for (std::size_t I = 0; I < Nodes; ++I) {
      Zone.Nodes_[I].Alive_ = I < Live;
      Zone.Nodes_[I].WallOffset_ = Millis{pick(250) - MaxBehind};
      Zone.Nodes_[I].RatePerMille_ = 990 + pick(20);
    }
    return Zone;
  }

  /// Runs one step with random faults.
  void runWithFaults(Model &Zone) {
    for (std::size_t I = 0; I < Zone.Nodes_.size(); ++I)
      injectNodeFaults(Zone, I);
    for (std::size_t I = Zone.Delayed_.size(); I-- > 0;)
      if (chance(20))
        Zone.deliverDelayed(I);
    Zone.run(StepTime, [this](const Delivery &) {
      if (!chance(3))
        return Fault::None;
      return static_cast<Fault>(1 + pick(2));
    });
  }

private:
  std::int64_t pick(std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(0, Max)(Random_);
  }
  bool chance(std::int64_t Percent) { return pick(99) < Percent; }

  void injectNodeFaults(Model &Zone, std::size_t I) {
    ModelNode &Node = Zone.Nodes_[I];
    // On average each of these faults starts once in 20 s and lasts 3 s.
    const auto Toggle = [this](bool &Flag) {
      if (Flag ? chance(3) : pick(199) == 0)
        Flag = !Flag;
    };
    Toggle(Node.Paused_);
    Toggle(Node.TableUnreachable_);
    Toggle(Node.PeersUnreachable_);
    if (!Node.Alive_ && pick(299) == 0)
      Zone.boot(I);
    else if (Node.Alive_ && pick(599) == 0)
      Zone.kill(I);
    else if (Node.Alive_ && pick(399) == 0)
      Zone.restart(I);
    else if (Node.Alive_ && !Node.Paused_ && pick(999) == 0)
      Zone.requestStop(I);
  }

  std::mt19937 Random_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RandomSchedules)

// Guards against two owners under list changes and concurrent faults, and
// against a zone that does not recover after them.
BOOST_AUTO_TEST_CASE(ZoneStaysSafeAndRecovers) {
  const std::uint32_t Seeds = std::getenv("DAMASKGLADE_LONG") ? 1000 : 30;
  for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      FaultInjector Faults(Seed);
      Model Zone = Faults.makeZone(6, 3);
      for (int I = 0; I < 1200; ++I)
        Faults.runWithFaults(Zone);
      Zone.Delayed_.clear();
      for (std::size_t I = 0; I < Zone.Nodes_.size(); ++I) {
        ModelNode &Node = Zone.Nodes_[I];
        Node.Paused_ = Node.TableUnreachable_ = Node.PeersUnreachable_ = false;
        // A restart ends calls whose delayed results were discarded above.
        if (Node.Alive_)
          Zone.restart(I);
        else if (I < 3)
          Zone.boot(I);
      }
      runFor(Zone, Millis{90000});
      BOOST_TEST(Zone.violation() == "");
      BOOST_TEST(Zone.countStartableShards() == Shards.size());
    }
  }
}

// Guards against a takeover that takes longer than the lease duration plus 2 s.
BOOST_AUTO_TEST_CASE(TakeoverIsInTime) {
  Millis Slowest{};
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    Model Zone = FaultInjector(Seed).makeZone(3, 3);
    runFor(Zone, Millis{20000} + StepTime * Seed);
    BOOST_REQUIRE(Zone.countStartableShards() == Shards.size());
    Zone.kill(Seed % 3);
    const Millis KilledAt = Zone.Now_;
    while (Zone.countStartableShards() < Shards.size() &&
           Zone.Now_ < KilledAt + Millis{20000})
      Zone.run(StepTime, noFault);
    Slowest = std::max(Slowest, Zone.Now_ - KilledAt);
    BOOST_TEST(Zone.violation() == "");
  }
  BOOST_TEST_MESSAGE("slowest takeover " << Slowest.Value_ << " ms");
  BOOST_TEST((Slowest <= ProtocolConfig{}.LeaseDuration_ + Millis{2000}));
}

// Guards against a zone whose shards stay without owners after all of its VMs
// were replaced at once by VMs with other ids.
BOOST_AUTO_TEST_CASE(ReplacedZoneIsTakenOver) {
  Model Zone = FaultInjector(1).makeZone(6, 3);
  runFor(Zone, Millis{20000});
  for (std::size_t I = 0; I < 3; ++I) {
    Zone.kill(I);
    Zone.boot(I + 3);
  }
  runFor(Zone, Millis{100000});
  BOOST_TEST(Zone.violation() == "");
  BOOST_TEST(Zone.countStartableShards() == Shards.size());
  BOOST_TEST(Zone.countListedNodes() == 3U);
}

// Guards against shards that stay without an owner after one VM of a two-node
// zone is removed.
BOOST_AUTO_TEST_CASE(LoneSurvivorClaims) {
  Model Zone = FaultInjector(1).makeZone(2, 2);
  runFor(Zone, Millis{20000});
  Zone.kill(0);
  runFor(Zone, Millis{25000});
  BOOST_TEST(Zone.countStartableShards() < Shards.size());
  runFor(Zone, Millis{15000});
  BOOST_TEST(Zone.countStartableShards() == Shards.size());
  BOOST_TEST(Zone.violation() == "");
}

// Guards against promises that extend a lease beyond MaxHold_ in a table
// outage.
BOOST_AUTO_TEST_CASE(HoldIsBounded) {
  Model Zone(3, Shards, ProtocolConfig{});
  runFor(Zone, Millis{20000});
  for (ModelNode &Node : Zone.Nodes_)
    Node.TableUnreachable_ = true;
  const Millis CutAt = Zone.Now_;
  while (Zone.countStartableShards() == Shards.size())
    Zone.run(StepTime, noFault);
  const Millis HoldDuration = Zone.Now_ - CutAt;
  const ProtocolConfig Config;
  BOOST_TEST((HoldDuration >= Config.MaxHold_ - Config.LeaseDuration_));
  BOOST_TEST((HoldDuration <= Config.MaxHold_ + Config.LeaseDuration_));
  BOOST_TEST(Zone.violation() == "");
}

BOOST_AUTO_TEST_SUITE_END()
