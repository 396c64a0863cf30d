#include "cell/advice_balancer.h"
#include "cell/loop_delay.h"
#include "cell/member.h"
#include "cell/rpc.h"
#include "cell/worker_rows.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::cell;

BOOST_AUTO_TEST_SUITE(Units)

BOOST_AUTO_TEST_CASE(TakeoverRequiresFailedLeader) {
  ElectionInput Input;
  BOOST_TEST(!shouldTakeOver(Input));
  Input.ConnectionRefused_ = true;
  BOOST_TEST(shouldTakeOver(Input));
  Input.LeaderReachedByOther_ = true;
  BOOST_TEST(!shouldTakeOver(Input));
  Input = ElectionInput{};
  Input.DeniesLeadership_ = true;
  BOOST_TEST(shouldTakeOver(Input));
}

// Guards against a node that takes over because it has lost contact with the
// leader, while the leader is still in contact with a majority of the nodes.
BOOST_AUTO_TEST_CASE(MinorityWaitsLonger) {
  ElectionInput Input;
  Input.LeaderSilence_ = Millis{2000};
  BOOST_TEST(shouldTakeOver(Input));
  Input.MajorityReached_ = false;
  BOOST_TEST(!shouldTakeOver(Input));
  Input.LeaderSilence_ = Millis{7000};
  BOOST_TEST(shouldTakeOver(Input));
}

// Guards against a leader that counts nodes as heard long after their last
// ping.
BOOST_AUTO_TEST_CASE(ContactIsAsOldAsThePingThatCompletedTheMajority) {
  const auto Heard = [](std::int64_t At) {
    PeerNode Node;
    Node.HeardAt_ = Millis{At};
    return Node;
  };
  const PeerNodes Nodes{{"b", Heard(9900)},
                        {"c", Heard(9000)},
                        {"d", Heard(8500)},
                        {"e", Heard(2000)}};
  const Millis Now{10000};
  // Of five nodes two others complete the majority, of four as well.
  BOOST_TEST((majorityHeardAt(Nodes, {}, Millis{}, Now) == Millis{9000}));
  BOOST_TEST((majorityHeardAt(Nodes, {}, Millis{2000}, Now) == Millis{9000}));
  BOOST_TEST((majorityHeardAt(Nodes, {}, Millis{8900}, Now) == Millis{9900}));
  BOOST_TEST((majorityHeardAt({}, {}, Millis{}, Now) == Now));
  // Nodes that have to be heard still count as known.
  BOOST_TEST((majorityHeardAt(Nodes, {"b", "f", "g"}, Millis{2000}, Now) ==
              Millis{8500}));
  BOOST_TEST((majorityHeardAt({}, {"f"}, Millis{}, Now) == Millis{}));
}

// Guards against a leader that takes the entry of an earlier process for that
// of the one which the row is about.
BOOST_AUTO_TEST_CASE(WorkerRowTellsItsProcess) {
  WorkerRow Row;
  Row.Info_.Id_ = "w1";
  Row.Info_.Address_ = "w1:1";
  Row.Info_.Service_ = "desk";
  StoredRow Stored{RowName{WorkersTable, MainPart, "w1"}, "", 1};
  for (const std::int64_t Start : {0, 8}) {
    Row.Info_.ProcessStart_ = Start;
    Stored.Value_ = encodeWorkerRow(Row);
    BOOST_TEST((decodeWorkerRow(Stored).value() == Row));
  }
}

// Guards against a node that ends because of a row or a call with a field of
// another type.
BOOST_AUTO_TEST_CASE(FieldsOfOtherTypesAreErrors) {
  StoredRow Row;
  for (const char *Value : {R"({"a":{}})", R"({"closed_in":"x"})",
                            R"({"closed_in":1,"runs":[[]]})"}) {
    Row.Value_ = Value;
    BOOST_TEST(!decodeWorkerRow(Row).has_value(), Value);
  }
  for (const char *Value : {R"({"epoch":{}})", R"({"waiting":[7]})",
                            R"({"waiting":{"j":[[],1,1]}})"}) {
    Row.Value_ = Value;
    BOOST_TEST(!decodeResignation(Row).has_value(), Value);
  }
  WebRequest Request;
  Request.Body_ = R"({"method":{}})";
  bool Answered = false;
  RpcServer().handle(Request, [&](const WebReply &) { Answered = true; });
  BOOST_TEST(Answered);
}

// Guards against a short call to the advice service that waits behind a call of
// 0.6 s.
BOOST_AUTO_TEST_CASE(ShortAdviceCallsHaveReservedNodes) {
  std::vector<AdviceNode> Nodes(4);
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{30}, false, Millis{0}) == 0);
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, false, Millis{0}) == 1);
  Nodes[1].Backlog_ = Millis{600};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, false, Millis{0}) == 2);
  Nodes[2].AvoidUntil_ = Millis{10};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, false, Millis{0}) == 3);
  Nodes[0].AvoidUntil_ = Millis{10};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{30}, false, Millis{0}) == 3);
}

BOOST_AUTO_TEST_CASE(NodesWithFullBacklogGetNoAdviceCalls) {
  std::vector<AdviceNode> Nodes(2);
  Nodes[0].Backlog_ = Nodes[1].Backlog_ = Millis{5000};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, false, Millis{0}) == -1);
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, true, Millis{0}) == -1);
}

// Guards against long-running tasks that wait for advice behind batch work
// after many workers have crashed.
BOOST_AUTO_TEST_CASE(BatchWorkDoesNotFillTheAdviceBacklog) {
  std::vector<AdviceNode> Nodes(4);
  const Millis CallTime{600};
  for (int Calls = 0; Calls < 100; ++Calls) {
    const int Chosen = chooseAdviceNode(Nodes, CallTime, false, Millis{0});
    if (Chosen < 0)
      break;
    Millis &Backlog = Nodes[static_cast<std::size_t>(Chosen)].Backlog_;
    Backlog = Backlog + CallTime;
  }
  BOOST_TEST(chooseAdviceNode(Nodes, CallTime, false, Millis{0}) == -1);
  BOOST_TEST(chooseAdviceNode(Nodes, CallTime, true, Millis{0}) == 1);
}

BOOST_AUTO_TEST_CASE(SingleNodeMakesAllAdviceCalls) {
  const std::vector<AdviceNode> Nodes(1);
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{30}, false, Millis{0}) == 0);
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{600}, false, Millis{0}) == 0);
}

// Guards against the election of a node with too little CPU capacity to lead
// the cell while nodes with more capacity are available.
BOOST_AUTO_TEST_CASE(WeakNodesDelayTheirCandidacy) {
  BOOST_TEST((candidacyDelay(0.5, 0.5) == Millis{}));
  BOOST_TEST((candidacyDelay(0.12, 0.5) > Millis{}));
  // While no other node is known, a node compares itself with a default CPU
  // capacity.
  BOOST_TEST((candidacyDelay(0.12, 0) > Millis{}));
  BOOST_TEST((candidacyDelay(0.25, 0) == Millis{}));
  // In a cell of weak nodes only, no node waits.
  BOOST_TEST((candidacyDelay(0.12, 0.12) == Millis{}));
}

// Guards against jobs that are rejected because of a single burst of work.
BOOST_AUTO_TEST_CASE(OnlyStandingLoopDelayCounts) {
  LoopDelay Delay;
  BOOST_TEST((standingDelay(Delay) == Millis{}));
  for (const Millis Sample : {Millis{400}, Millis{300}})
    Delay = addDelay(Delay, Sample);
  BOOST_TEST((standingDelay(Delay) == Millis{}));
  Delay = addDelay(Delay, Millis{500});
  BOOST_TEST((standingDelay(Delay) == Millis{300}));
  Delay = addDelay(Delay, Millis{600});
  BOOST_TEST((standingDelay(Delay) == Millis{300}));
  Delay = addDelay(Delay, Millis{700});
  BOOST_TEST((standingDelay(Delay) == Millis{500}));
  // A timer that runs early is not late.
  Delay = addDelay(Delay, Millis{-1});
  BOOST_TEST((standingDelay(Delay) == Millis{}));
}

BOOST_AUTO_TEST_CASE(LateLeaderRejectsUrgentJobsLast) {
  const auto StandingAt = [](Millis Time) {
    LoopDelay Delay;
    for (std::size_t Count = 0; Count < LoopDelay::SampleCount; ++Count)
      Delay = addDelay(Delay, Time);
    return Delay;
  };
  constexpr int Urgent = 0;
  constexpr int Batch = 1;
  BOOST_TEST(!shouldReject(LoopDelay{}, Batch));
  BOOST_TEST(!shouldReject(StandingAt(Millis{50}), Batch));
  BOOST_TEST(!isLate(StandingAt(Millis{50})));
  BOOST_TEST(shouldReject(StandingAt(Millis{51}), Batch));
  BOOST_TEST(isLate(StandingAt(Millis{51})));
  BOOST_TEST(!shouldReject(StandingAt(Millis{150}), Urgent));
  BOOST_TEST(shouldReject(StandingAt(Millis{151}), Urgent));
}

BOOST_AUTO_TEST_CASE(HandOverSelectsLiveStrongerNode) {
  const PeerNodes Nodes = {{"a", {Millis{100}, 0.12, ""}},
                           {"b", {Millis{100}, 0.5, ""}},
                           {"c", {Millis{10}, 1.0, ""}}};
  BOOST_TEST(strongerNode(Nodes, 0.12, Millis{50}, 0) == "b");
  BOOST_TEST(strongerNode(Nodes, 0.5, Millis{50}, 0).empty());
  BOOST_TEST(strongestNode(Nodes, Millis{50}, 7) == "b");
  BOOST_TEST(strongestNode(Nodes, Millis{200}, 7).empty());
}

// Guards against a leader that is overloaded by its status polls: while the
// store was slow, it made 4,400 polls per second with 350 workers.
BOOST_AUTO_TEST_CASE(PollRateIsBoundedWhileStoreIsSlow) {
  constexpr double MillisPerSecond = 1000;
  constexpr double MaxPollsPerSecond = 400;
  for (const std::size_t Workers : {1U, 48U, 350U, 500U}) {
    const auto Delay =
        static_cast<double>(unrecordedEndsPollDelay(Workers).Value_);
    BOOST_TEST(static_cast<double>(Workers) * MillisPerSecond / Delay <=
               MaxPollsPerSecond);
  }
}

// Guards against an overloaded leader that plans all the time, so that leases
// run out and the other nodes elect another leader.
BOOST_AUTO_TEST_CASE(PlanningTakesAQuarterOfTheTimeAtMost) {
  for (const std::int64_t Duration : {2, 5, 12}) {
    const Millis Interval = decisionInterval(Millis{Duration});
    BOOST_TEST(Duration * 4 <= Interval.Value_);
  }
  // Passes that cost nothing still share their events.
  BOOST_TEST(decisionInterval(Millis{}).Value_ == 5);
}

// Guards against the same with passes that are longer than the pause that
// lookups can bear.
BOOST_AUTO_TEST_CASE(SlowPassesTakeHalfOfTheTimeAtMost) {
  for (const std::int64_t Duration : {13, 25, 50, 1000}) {
    const std::int64_t Interval = decisionInterval(Millis{Duration}).Value_;
    BOOST_TEST(Interval >= Duration * 2);
    BOOST_TEST(Interval <= std::max<std::int64_t>(50, Duration * 2));
  }
}

// Guards against passes that keep callers waiting on a slow processor, and
// against many small ones that each rank all steps while a backlog waits.
BOOST_AUTO_TEST_CASE(StartLimitFollowsTheDurationOfPasses) {
  constexpr std::size_t Least = dispatch::Dispatcher::MaxStartsPerPass;
  BOOST_TEST(nextStartLimit(Least, true, Millis{6}) == Least * 2);
  BOOST_TEST(nextStartLimit(Least, true, Millis{20}) == Least);
  BOOST_TEST(nextStartLimit(Least * 4, false, Millis{6}) == Least * 4);
  BOOST_TEST(nextStartLimit(Least * 4, true, Millis{30}) == Least * 2);
  BOOST_TEST(nextStartLimit(Least, false, Millis{1000}) == Least);
  std::size_t Limit = Least;
  for (int Pass = 0; Pass < 100; ++Pass)
    Limit = nextStartLimit(Limit, true, Millis{});
  BOOST_TEST(Limit <= 1024U);
}

// Guards against a hand-over in which all nodes write the leader row at once,
// so that a weak node is elected.
BOOST_AUTO_TEST_CASE(StrongNodesAreAskedFirst) {
  const PeerNodes Nodes = {{"a", {Millis{100}, 0.12, ""}},
                           {"b", {Millis{100}, 0.5, ""}},
                           {"c", {Millis{100}, 0.12, ""}},
                           {"d", {Millis{100}, 0.5, ""}},
                           {"e", {Millis{10}, 1.0, ""}}};
  for (unsigned long Rotation = 0; Rotation < 4; ++Rotation) {
    const auto Addresses = nodesByStrength(Nodes, Millis{50}, Rotation);
    BOOST_TEST_REQUIRE(Addresses.size() == 4U);
    BOOST_TEST(Nodes.at(Addresses[0]).Cpu_ == 0.5);
    BOOST_TEST(Nodes.at(Addresses[1]).Cpu_ == 0.5);
  }
  BOOST_TEST(nodesByStrength(Nodes, Millis{50}, 0).front() !=
             nodesByStrength(Nodes, Millis{50}, 2).front());
}

BOOST_AUTO_TEST_SUITE_END()
