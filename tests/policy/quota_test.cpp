#include "policy/quota.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <rapidcheck.h>

using namespace damaskglade;
using namespace damaskglade::policy;

namespace {

constexpr int Nodes = 3;
constexpr std::int64_t Total = 30;

Resources slots(std::int64_t Count) { return Resources{0, 0, 0, Count, 0}; }

std::string nodeId(int Number) { return "n" + std::to_string(Number) + "#1"; }

TeamQuota makeQuota(std::int64_t Initial, std::int64_t Generation = 1) {
  return TeamQuota{"dock", Generation, slots(Total), slots(Initial)};
}

/// Nodes that exchange rows over a network that loses, duplicates and reorders
/// them.
struct QuotaCluster {
  std::vector<QuotaLedger> Ledgers_;
  std::vector<QuotaRow> SentRows_;
  std::vector<std::vector<std::int64_t>> AcquiredAmounts_;

  QuotaCluster() : AcquiredAmounts_(Nodes) {
    for (int Number = 0; Number < Nodes; ++Number) {
      Ledgers_.emplace_back(nodeId(Number));
      Ledgers_.back().setQuota(makeQuota(Total / Nodes));
    }
  }

  void applyRandomChange() {
    const int Node = *rc::gen::inRange(0, Nodes);
    QuotaLedger &NodeLedger = Ledgers_[Node];
    switch (*rc::gen::inRange(0, 5)) {
    case 0: {
      const std::int64_t Count = *rc::gen::inRange(1, 15);
      if (NodeLedger.acquire("dock", slots(Count)))
        AcquiredAmounts_[Node].push_back(Count);
      break;
    }
    case 1:
      if (AcquiredAmounts_[Node].empty())
        break;
      NodeLedger.release("dock", slots(AcquiredAmounts_[Node].back()));
      AcquiredAmounts_[Node].pop_back();
      break;
    case 2:
      for (const QuotaRow &Row : NodeLedger.advertise())
        SentRows_.push_back(Row);
      break;
    case 3:
      if (!SentRows_.empty())
        NodeLedger.merge(
            SentRows_[*rc::gen::inRange<std::size_t>(0, SentRows_.size())]);
      break;
    default:
      NodeLedger.transferUnused();
    }
  }

  std::int64_t used() const {
    std::int64_t Sum = 0;
    for (const auto &Node : AcquiredAmounts_)
      for (const std::int64_t Count : Node)
        Sum += Count;
    return Sum;
  }

  std::int64_t allowances() const {
    std::int64_t Sum = 0;
    for (const QuotaLedger &NodeLedger : Ledgers_)
      Sum += NodeLedger.allowance("dock").Slots_;
    return Sum;
  }
};

bool holdsForRandomInput(void (*Body)()) {
  rc::detail::TestMetadata Metadata;
  Metadata.id = "quota";
  rc::detail::TestParams Params;
  Params.seed = 20261204;
  Params.maxSuccess = 300;
  const auto Outcome = rc::detail::checkTestable(Body, Metadata, Params);
  rc::detail::printResultMessage(Outcome, std::cerr);
  return Outcome.is<rc::detail::SuccessResult>();
}

/// Sends all rows of one node to all others.
void broadcast(std::vector<QuotaLedger> &Ledgers, QuotaLedger &Sender) {
  for (const QuotaRow &Row : Sender.advertise())
    for (QuotaLedger &Receiver : Ledgers)
      Receiver.merge(Row);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Quota)

// Guards against a team that exceeds its quota because advertised rows are
// lost, duplicated or reordered.
BOOST_AUTO_TEST_CASE(SumNeverExceedsTheQuota) {
  BOOST_TEST(holdsForRandomInput([] {
    QuotaCluster Cluster;
    const int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      Cluster.applyRandomChange();
      RC_ASSERT(Cluster.used() <= Total);
      RC_ASSERT(Cluster.allowances() <= Total);
    }
  }));
}

// Guards against allowance that stays unused on one node while another node
// refuses work.
BOOST_AUTO_TEST_CASE(UnusedAllowanceMovesToNodesWithAShortfall) {
  QuotaCluster Cluster;
  std::vector<QuotaLedger> &Ledgers = Cluster.Ledgers_;
  BOOST_REQUIRE(!!Ledgers[0].acquire("dock", slots(10)));
  for (int Round = 0; Round < 20; ++Round) {
    const Status Refused = Ledgers[0].acquire("dock", slots(18));
    if (Refused)
      break;
    BOOST_TEST((Refused.error().Reason_ == Reason::QuotaExceeded));
    BOOST_TEST((Refused.error().RetryAfter_ > Millis{}));
    broadcast(Ledgers, Ledgers[0]);
    for (int Number = 1; Number < Nodes; ++Number) {
      Ledgers[Number].transferUnused();
      broadcast(Ledgers, Ledgers[Number]);
    }
  }
  BOOST_TEST(Ledgers[0].used("dock").Slots_ == 28);
  const Status Never = Ledgers[0].acquire("dock", slots(Total + 1));
  BOOST_REQUIRE(!Never);
  BOOST_TEST((Never.error().RetryAfter_ == Millis{}));
}

// Guards against allowance that is lost with its node or reclaimed twice.
BOOST_AUTO_TEST_CASE(AllowanceOfAFailedNodeIsReclaimedOnce) {
  QuotaCluster Cluster;
  std::vector<QuotaLedger> &Ledgers = Cluster.Ledgers_;
  BOOST_TEST(!Ledgers[0].acquire("dock", slots(12)));
  broadcast(Ledgers, Ledgers[0]);
  Ledgers[2].transferUnused();
  // Node 2 fails after only node 0 has received its last row. Node 1 gets a
  // copy of the row from node 0.
  for (const QuotaRow &Row : Ledgers[2].advertise())
    Ledgers[0].merge(Row);
  for (const QuotaRow &Row : Ledgers[0].rowsOf(nodeId(2)))
    Ledgers[1].merge(Row);
  Ledgers[1].reclaim(nodeId(2));
  Ledgers[1].reclaim(nodeId(2));
  BOOST_TEST(Ledgers[0].allowance("dock").Slots_ == 12);
  BOOST_TEST(Ledgers[1].allowance("dock").Slots_ == 18);
}

// Guards against a new configuration whose allowances are added to the old
// ones, and against limits on teams without a quota.
BOOST_AUTO_TEST_CASE(NewGenerationReplacesAllowances) {
  QuotaLedger NodeLedger("n0#1");
  BOOST_TEST(!!NodeLedger.acquire("dock", slots(500)));
  NodeLedger.setQuota(makeQuota(10, 1));
  BOOST_TEST(!NodeLedger.acquire("dock", slots(1)));
  NodeLedger.release("dock", slots(500));
  NodeLedger.setQuota(makeQuota(5, 2));
  NodeLedger.setQuota(makeQuota(10, 1));
  BOOST_TEST(NodeLedger.allowance("dock").Slots_ == 5);
  BOOST_TEST(!!NodeLedger.acquire("kitchen", slots(500)));
}

BOOST_AUTO_TEST_SUITE_END()
