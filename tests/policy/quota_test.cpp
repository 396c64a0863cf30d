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

TeamQuota quotaOf(std::int64_t Initial, std::int64_t Generation = 1) {
  return TeamQuota{"dock", Generation, slots(Total), slots(Initial)};
}

/// Nodes that exchange rows over a network that loses, repeats and reorders.
struct Cell {
  std::vector<QuotaBook> Books_;
  std::vector<QuotaRow> Sent_;
  std::vector<std::vector<std::int64_t>> Held_;

  Cell() : Held_(Nodes) {
    for (int Number = 0; Number < Nodes; ++Number) {
      Books_.emplace_back(nodeId(Number));
      Books_.back().setQuota(quotaOf(Total / Nodes));
    }
  }

  void step() {
    const int Node = *rc::gen::inRange(0, Nodes);
    QuotaBook &Book = Books_[Node];
    switch (*rc::gen::inRange(0, 5)) {
    case 0: {
      const std::int64_t Count = *rc::gen::inRange(1, 15);
      if (Book.acquire("dock", slots(Count)))
        Held_[Node].push_back(Count);
      break;
    }
    case 1:
      if (Held_[Node].empty())
        break;
      Book.release("dock", slots(Held_[Node].back()));
      Held_[Node].pop_back();
      break;
    case 2:
      for (const QuotaRow &Row : Book.advertise())
        Sent_.push_back(Row);
      break;
    case 3:
      if (!Sent_.empty())
        Book.merge(Sent_[*rc::gen::inRange<std::size_t>(0, Sent_.size())]);
      break;
    default:
      Book.giveToOthers();
    }
  }

  std::int64_t used() const {
    std::int64_t Sum = 0;
    for (const auto &Node : Held_)
      for (const std::int64_t Count : Node)
        Sum += Count;
    return Sum;
  }

  std::int64_t allowances() const {
    std::int64_t Sum = 0;
    for (const QuotaBook &Book : Books_)
      Sum += Book.allowance("dock").Slots_;
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
void broadcast(std::vector<QuotaBook> &Books, QuotaBook &From) {
  for (const QuotaRow &Row : From.advertise())
    for (QuotaBook &Book : Books)
      Book.merge(Row);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Quota)

// Guards against a team that runs more than its quota because advertisements
// are lost, repeated or reordered.
BOOST_AUTO_TEST_CASE(SumNeverPassesTheQuota) {
  BOOST_TEST(holdsForRandomInput([] {
    Cell Tested;
    const int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      Tested.step();
      RC_ASSERT(Tested.used() <= Total);
      RC_ASSERT(Tested.allowances() <= Total);
    }
  }));
}

// Guards against allowance that stays unused on one node while another refuses
// work.
BOOST_AUTO_TEST_CASE(UnusedAllowanceMovesToWhereItIsWanted) {
  Cell Tested;
  std::vector<QuotaBook> &Books = Tested.Books_;
  BOOST_REQUIRE(!!Books[0].acquire("dock", slots(10)));
  for (int Round = 0; Round < 20; ++Round) {
    const Status Refused = Books[0].acquire("dock", slots(18));
    if (Refused)
      break;
    BOOST_TEST((Refused.error().Reason_ == Reason::QuotaExceeded));
    BOOST_TEST((Refused.error().RetryAfter_ > Millis{}));
    broadcast(Books, Books[0]);
    for (int Number = 1; Number < Nodes; ++Number) {
      Books[Number].giveToOthers();
      broadcast(Books, Books[Number]);
    }
  }
  BOOST_TEST(Books[0].used("dock").Slots_ == 28);
  const Status Never = Books[0].acquire("dock", slots(Total + 1));
  BOOST_REQUIRE(!Never);
  BOOST_TEST((Never.error().RetryAfter_ == Millis{}));
}

// Guards against allowance that is lost with its node or inherited twice.
BOOST_AUTO_TEST_CASE(AllowanceOfAGoneNodeIsInheritedOnce) {
  Cell Tested;
  std::vector<QuotaBook> &Books = Tested.Books_;
  BOOST_TEST(!Books[0].acquire("dock", slots(12)));
  broadcast(Books, Books[0]);
  Books[2].giveToOthers();
  // Only one other node has received the last row of the node that dies.
  for (const QuotaRow &Row : Books[2].advertise())
    Books[0].merge(Row);
  for (const QuotaRow &Row : Books[0].copiesOf(nodeId(2)))
    Books[1].merge(Row);
  Books[1].inherit(nodeId(2));
  Books[1].inherit(nodeId(2));
  BOOST_TEST(Books[0].allowance("dock").Slots_ == 12);
  BOOST_TEST(Books[1].allowance("dock").Slots_ == 18);
}

// Guards against a new configuration whose allowances add to the old ones, and
// against limits on teams that have no quota.
BOOST_AUTO_TEST_CASE(NewGenerationReplacesAllowances) {
  QuotaBook Book("n0#1");
  BOOST_TEST(!!Book.acquire("dock", slots(500)));
  Book.setQuota(quotaOf(10, 1));
  BOOST_TEST(!Book.acquire("dock", slots(1)));
  Book.release("dock", slots(500));
  Book.setQuota(quotaOf(5, 2));
  Book.setQuota(quotaOf(10, 1));
  BOOST_TEST(Book.allowance("dock").Slots_ == 5);
  BOOST_TEST(!!Book.acquire("kitchen", slots(500)));
}

BOOST_AUTO_TEST_SUITE_END()
