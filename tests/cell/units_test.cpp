#include "cell/advice_desk.h"
#include "cell/member.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::cell;

BOOST_AUTO_TEST_SUITE(Units)

BOOST_AUTO_TEST_CASE(TakeoverNeedsALostLeader) {
  ElectionInput Input;
  BOOST_TEST(!shouldTakeOver(Input));
  Input.Refused_ = true;
  BOOST_TEST(shouldTakeOver(Input));
  Input.OtherNodeHearsIt_ = true;
  BOOST_TEST(!shouldTakeOver(Input));
  Input = ElectionInput{};
  Input.SaysItDoesNotLead_ = true;
  BOOST_TEST(shouldTakeOver(Input));
}

// Guards against a minority that replaces a leader which a majority confirms.
BOOST_AUTO_TEST_CASE(MinorityWaitsLonger) {
  ElectionInput Input;
  Input.SilentFor_ = Millis{2000};
  BOOST_TEST(shouldTakeOver(Input));
  Input.Majority_ = false;
  BOOST_TEST(!shouldTakeOver(Input));
  Input.SilentFor_ = Millis{7000};
  BOOST_TEST(shouldTakeOver(Input));
}

// Guards against a lookup's question that waits behind one of 0.6 s.
BOOST_AUTO_TEST_CASE(FastQuestionsKeepNodesOfTheirOwn) {
  std::vector<AdviceNode> Nodes(4);
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{30}, Millis{0}) == 0);
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, Millis{0}) == 1);
  Nodes[1].Outstanding_ = Millis{600};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, Millis{0}) == 2);
  Nodes[2].AvoidUntil_ = Millis{10};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, Millis{0}) == 3);
  Nodes[0].AvoidUntil_ = Millis{10};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{30}, Millis{0}) == 3);
}

BOOST_AUTO_TEST_CASE(BusyNodesTakeNoMoreQuestions) {
  std::vector<AdviceNode> Nodes(2);
  Nodes[0].Outstanding_ = Nodes[1].Outstanding_ = Millis{5000};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, Millis{0}) == -1);
}

BOOST_AUTO_TEST_CASE(OnlyNodeAsksEverything) {
  const std::vector<AdviceNode> Nodes(1);
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{30}, Millis{0}) == 0);
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, Millis{0}) == 0);
}

// Guards against a site whose leader has too little processor time for it while
// larger nodes follow.
BOOST_AUTO_TEST_CASE(WeakNodesLeaveTheLeadToStrongOnes) {
  BOOST_TEST((candidacyDelay(0.5, 0.5) == Millis{}));
  BOOST_TEST((candidacyDelay(0.12, 0.5) > Millis{}));
  // Before a leader has told, a node judges by itself.
  BOOST_TEST((candidacyDelay(0.12, 0) > Millis{}));
  BOOST_TEST((candidacyDelay(0.25, 0) == Millis{}));
  // On a site of small nodes only, none waits.
  BOOST_TEST((candidacyDelay(0.12, 0.12) == Millis{}));
}

BOOST_AUTO_TEST_CASE(LeadPassesToAStrongerNodeThatIsAlive) {
  const PeerNodes Nodes = {{"a", {Millis{100}, 0.12}},
                           {"b", {Millis{100}, 0.5}},
                           {"c", {Millis{10}, 1.0}}};
  BOOST_TEST(strongerNode(Nodes, 0.12, Millis{50}) == "b");
  BOOST_TEST(strongerNode(Nodes, 0.5, Millis{50}).empty());
  BOOST_TEST(strongestNode(Nodes, Millis{50}, 7) == "b");
  BOOST_TEST(strongestNode(Nodes, Millis{200}, 7).empty());
}

// Guards against a leader that a slow store drowns in looks: at 350 workers it
// made 4,400 a second.
BOOST_AUTO_TEST_CASE(LooksAreBoundedWhileTheStoreIsSlow) {
  constexpr double MillisPerSecond = 1000;
  constexpr double MostLooks = 400;
  for (const std::size_t Workers : {1U, 48U, 350U, 500U}) {
    const auto Delay = static_cast<double>(unrecordedLookDelay(Workers).Value_);
    BOOST_TEST(static_cast<double>(Workers) * MillisPerSecond / Delay <=
               MostLooks);
  }
}

// Guards against a hand-over that makes all nodes write the leader row at once,
// so that a weak one wins.
BOOST_AUTO_TEST_CASE(StrongNodesAreAskedFirst) {
  const PeerNodes Nodes = {{"a", {Millis{100}, 0.12}},
                           {"b", {Millis{100}, 0.5}},
                           {"c", {Millis{100}, 0.12}},
                           {"d", {Millis{100}, 0.5}},
                           {"e", {Millis{10}, 1.0}}};
  for (unsigned long Draw = 0; Draw < 4; ++Draw) {
    const auto Order = byStrength(Nodes, Millis{50}, Draw);
    BOOST_TEST_REQUIRE(Order.size() == 4U);
    BOOST_TEST(Nodes.at(Order[0]).Cpu_ == 0.5);
    BOOST_TEST(Nodes.at(Order[1]).Cpu_ == 0.5);
  }
  BOOST_TEST(byStrength(Nodes, Millis{50}, 0).front() !=
             byStrength(Nodes, Millis{50}, 2).front());
}

BOOST_AUTO_TEST_SUITE_END()
