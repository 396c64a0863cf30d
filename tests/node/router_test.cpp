#include "node/election.h"
#include "node/router.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace damaskglade;
using namespace damaskglade::node;

namespace {

constexpr Resources Capacity{8000, 8000, 0, 8, 8};
constexpr Resources OneTask{1000, 1000, 0, 1, 1};
constexpr Millis Start{1000000};

/// A number of eighths of the capacity.
Resources eighths(std::int64_t Count) {
  return Resources{1000 * Count, 1000 * Count, 0, Count, Count};
}

class RouterFixture {
public:
  void addPeers(const std::vector<std::string> &Ids) {
    std::vector<ownership::NodeInfo> Nodes;
    Nodes.reserve(Ids.size());
    for (const std::string &Id : Ids)
      Nodes.push_back({Id, "z1", "127.0.0.1:" + Id, 1, true, false});
    Routes_.setNodes(Nodes);
  }

  void advertise(const std::string &Id, const Resources &Free,
                 Millis Now = Start, bool Leaving = false) {
    Heartbeat Message;
    Message.Headroom_ = Headroom{Id, Free, Free, Capacity, Capacity};
    Message.Leaving_ = Leaving;
    Routes_.recordHeartbeat(Message, Now);
  }

  std::vector<std::string> pick(std::size_t Count = 4, Millis Now = Start) {
    return Routes_.pickOwners(OneTask, Count, Now);
  }

  Router Routes_{"self", 20261204};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Routing, RouterFixture)

// Guards against choosing the owner with less free capacity of the two
// compared.
BOOST_AUTO_TEST_CASE(BetterOfTwoComesFirst) {
  addPeers({"a", "b"});
  advertise("a", eighths(2));
  advertise("b", eighths(6));
  for (int Try = 0; Try < 50; ++Try)
    BOOST_REQUIRE((pick() == std::vector<std::string>{"b", "a"}));
}

// Guards against homes that all choose the owner with the most free capacity
// until its next heartbeat, and against choosing the fullest owner first.
BOOST_AUTO_TEST_CASE(ChoiceIsSpreadOverBetterOwners) {
  addPeers({"a", "b", "c"});
  advertise("a", eighths(2));
  advertise("b", eighths(4));
  advertise("c", eighths(6));
  std::map<std::string, int> FirstChoices;
  constexpr int Tries = 300;
  for (int Try = 0; Try < Tries; ++Try)
    ++FirstChoices[pick(1).at(0)];
  // Two of the three pairs contain the best owner; the fullest is chosen in
  // none.
  BOOST_TEST(FirstChoices["c"] > Tries / 2);
  BOOST_TEST(FirstChoices["b"] > Tries / 5);
  BOOST_TEST(FirstChoices["a"] == 0);
}

// Guards against work that is sent to an owner whose heartbeats have stopped.
BOOST_AUTO_TEST_CASE(StaleAdvertisementIsIgnored) {
  addPeers({"a", "b"});
  advertise("a", eighths(4));
  constexpr Millis MaxAge{6000};
  BOOST_TEST(pick(1, Start + MaxAge - Millis{1}).size() == 1U);
  BOOST_TEST(pick(1, Start + MaxAge).empty());
  BOOST_TEST(
      Routes_.pickCapableOwner("job", OneTask, false, Start + MaxAge).empty());
  advertise("b", eighths(1), Start + MaxAge);
  BOOST_TEST((pick(2, Start + MaxAge) == std::vector<std::string>{"b"}));
}

// Guards against repeated calls to an owner that has just refused a request.
BOOST_AUTO_TEST_CASE(RefusalRemovesAdvertisement) {
  addPeers({"a", "b"});
  advertise("a", eighths(4));
  advertise("b", eighths(4));
  Routes_.recordRefusal("a");
  BOOST_TEST((pick() == std::vector<std::string>{"b"}));
  advertise("a", eighths(4));
  BOOST_TEST(pick().size() == 2U);
}

// Guards against sending an owner more work between two heartbeats than it
// advertised capacity for.
BOOST_AUTO_TEST_CASE(UseCountsUntilNextHeartbeat) {
  addPeers({"a"});
  advertise("a", eighths(2));
  Routes_.recordUse("a", OneTask);
  BOOST_TEST(pick().size() == 1U);
  Routes_.recordUse("a", OneTask);
  BOOST_TEST(pick().empty());
  Routes_.recordUse("a", OneTask);
  BOOST_TEST((Routes_.peers().at(0).Headroom_.Free_ == Resources{}));
  advertise("a", eighths(2));
  BOOST_TEST(pick().size() == 1U);
}

// Guards against work that is sent to an owner that is being stopped.
BOOST_AUTO_TEST_CASE(LeavingOwnerIsNotPicked) {
  addPeers({"a"});
  advertise("a", eighths(4), Start, true);
  BOOST_TEST(pick().empty());
  BOOST_TEST(Routes_.pickCapableOwner("job", OneTask, false, Start).empty());
}

// Guards against removing all peers during an outage of the table, when the
// list of nodes is empty, and against keeping peers that were removed.
BOOST_AUTO_TEST_CASE(EmptyNodeListKeepsPeers) {
  addPeers({"a", "b"});
  Routes_.setNodes({});
  BOOST_TEST(Routes_.peers().size() == 2U);
  addPeers({"b"});
  BOOST_TEST(Routes_.peers().size() == 1U);
  BOOST_TEST(Routes_.addressOf("a").empty());
  BOOST_TEST(Routes_.addressOf("b") == "127.0.0.1:b");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Election)

// Guards against subjects that move although their elected candidate stayed,
// and against a choice that depends on the order of the candidates.
BOOST_AUTO_TEST_CASE(StableWhenAnotherCandidateLeaves) {
  const std::vector<std::string> Candidates = {"a", "b", "c", "d"};
  const std::vector<std::string> Reversed(Candidates.rbegin(),
                                          Candidates.rend());
  std::map<std::string, int> Wins;
  constexpr int Subjects = 400;
  for (int Subject = 0; Subject < Subjects; ++Subject) {
    const std::string Name = "job" + std::to_string(Subject);
    const std::string Chosen = elect(Name, Candidates);
    ++Wins[Chosen];
    BOOST_REQUIRE_EQUAL(elect(Name, Reversed), Chosen);
    for (const std::string &Removed : Candidates) {
      std::vector<std::string> Remaining = Candidates;
      std::erase(Remaining, Removed);
      if (Removed == Chosen)
        BOOST_REQUIRE(elect(Name, Remaining) != Chosen);
      else
        BOOST_REQUIRE_EQUAL(elect(Name, Remaining), Chosen);
    }
  }
  // An equal distribution would give each candidate a quarter.
  for (const std::string &Candidate : Candidates)
    BOOST_TEST(Wins[Candidate] > Subjects / 8);
  BOOST_TEST(elect("job", {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
