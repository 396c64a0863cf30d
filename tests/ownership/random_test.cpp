#include "tests/ownership/model.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace damaskglade;
using namespace damaskglade::ownership;
using namespace damaskglade::ownership::model;

namespace {

constexpr Millis Unit{100};
const std::vector<std::string> Shards = {"z/r0", "z/r1", "z/r2",
                                         "z/r3", "z/r4", "z/r5"};

Fault noFault(const Delivery &) { return Fault::None; }

void runFor(Model &Zone, Millis Time) {
  for (Millis End = Zone.Now_ + Time; Zone.Now_ < End;)
    Zone.run(Unit, noFault);
}

/// Random faults on a zone whose nodes fail, return and are replaced.
class Adversary {
public:
  explicit Adversary(std::uint32_t Seed) : Random_(Seed) {}

  Model makeZone(std::size_t Nodes, std::size_t Live) {
    Model Zone(Nodes, Shards, ProtocolConfig{});
    const std::int64_t Base = pick(250);
    for (std::size_t I = 0; I < Nodes; ++I) {
      Zone.Nodes_[I].Alive_ = I < Live;
      Zone.Nodes_[I].WallOffset_ = Millis{pick(250) - Base};
      Zone.Nodes_[I].RatePerMille_ = 990 + pick(20);
    }
    return Zone;
  }

  /// One unit of time with whatever may go wrong in it.
  void disturb(Model &Zone) {
    for (std::size_t I = 0; I < Zone.Nodes_.size(); ++I)
      change(Zone, I);
    for (std::size_t I = Zone.Held_.size(); I-- > 0;)
      if (chance(20))
        Zone.deliverHeld(I);
    Zone.run(Unit, [this](const Delivery &) {
      if (!chance(3))
        return Fault::None;
      return static_cast<Fault>(1 + pick(2));
    });
  }

private:
  std::int64_t pick(std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(0, Max)(Random_);
  }
  /// True in so many of a hundred cases.
  bool chance(std::int64_t Percent) { return pick(99) < Percent; }

  void change(Model &Zone, std::size_t I) {
    ModelNode &Node = Zone.Nodes_[I];
    // On average every fault starts once in 20 s and lasts for 3 s.
    const auto Toggle = [this](bool &Flag) {
      if (Flag ? chance(3) : pick(199) == 0)
        Flag = !Flag;
    };
    Toggle(Node.Paused_);
    Toggle(Node.TableCut_);
    Toggle(Node.PeersCut_);
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

// Guards against two owners under list changes and many faults at once, and
// against a zone that does not recover from them.
BOOST_AUTO_TEST_CASE(ZoneStaysSafeAndRecovers) {
  const std::uint32_t Seeds = std::getenv("DAMASKGLADE_LONG") ? 1000 : 30;
  for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      Adversary Faults(Seed);
      Model Zone = Faults.makeZone(6, 3);
      for (int I = 0; I < 1200; ++I)
        Faults.disturb(Zone);
      Zone.Held_.clear();
      for (std::size_t I = 0; I < Zone.Nodes_.size(); ++I) {
        ModelNode &Node = Zone.Nodes_[I];
        Node.Paused_ = Node.TableCut_ = Node.PeersCut_ = false;
        // A call whose result was held in vain ends with the process.
        if (Node.Alive_)
          Zone.restart(I);
        else if (I < 3)
          Zone.boot(I);
      }
      runFor(Zone, Millis{90000});
      BOOST_TEST(Zone.violation() == "");
      BOOST_TEST(Zone.granted() == Shards.size());
    }
  }
}

// Guards against a takeover that misses its target of lease time plus 2 s.
BOOST_AUTO_TEST_CASE(TakeoverIsInTime) {
  Millis Slowest{};
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    Model Zone = Adversary(Seed).makeZone(3, 3);
    runFor(Zone, Millis{20000} + Unit * Seed);
    BOOST_REQUIRE(Zone.granted() == Shards.size());
    Zone.kill(Seed % 3);
    const Millis Killed = Zone.Now_;
    while (Zone.granted() < Shards.size() && Zone.Now_ < Killed + Millis{20000})
      Zone.run(Unit, noFault);
    Slowest = std::max(Slowest, Zone.Now_ - Killed);
    BOOST_TEST(Zone.violation() == "");
  }
  BOOST_TEST_MESSAGE("slowest takeover " << Slowest.Value_ << " ms");
  BOOST_TEST((Slowest <= ProtocolConfig{}.Lease_ + Millis{2000}));
}

// Guards against a zone that stays without owners after all of its VMs were
// replaced at once by ones of other ids.
BOOST_AUTO_TEST_CASE(ReplacedZoneIsTakenOver) {
  Model Zone = Adversary(1).makeZone(6, 3);
  runFor(Zone, Millis{20000});
  for (std::size_t I = 0; I < 3; ++I) {
    Zone.kill(I);
    Zone.boot(I + 3);
  }
  runFor(Zone, Millis{100000});
  BOOST_TEST(Zone.violation() == "");
  BOOST_TEST(Zone.granted() == Shards.size());
  BOOST_TEST(Zone.listed() == 3U);
}

// Guards against a two-node zone that loses its shards when one VM is removed.
BOOST_AUTO_TEST_CASE(LoneSurvivorClaims) {
  Model Zone = Adversary(1).makeZone(2, 2);
  runFor(Zone, Millis{20000});
  Zone.kill(0);
  runFor(Zone, Millis{25000});
  BOOST_TEST(Zone.granted() < Shards.size());
  runFor(Zone, Millis{15000});
  BOOST_TEST(Zone.granted() == Shards.size());
  BOOST_TEST(Zone.violation() == "");
}

// Guards against a hold that goes on past its bound.
BOOST_AUTO_TEST_CASE(HoldIsBounded) {
  Model Zone(3, Shards, ProtocolConfig{});
  runFor(Zone, Millis{20000});
  for (ModelNode &Node : Zone.Nodes_)
    Node.TableCut_ = true;
  const Millis Cut = Zone.Now_;
  while (Zone.granted() == Shards.size())
    Zone.run(Unit, noFault);
  const Millis Held = Zone.Now_ - Cut;
  const ProtocolConfig Config;
  BOOST_TEST((Held >= Config.MaxHold_ - Config.Lease_));
  BOOST_TEST((Held <= Config.MaxHold_ + Config.Lease_));
  BOOST_TEST(Zone.violation() == "");
}

BOOST_AUTO_TEST_SUITE_END()
