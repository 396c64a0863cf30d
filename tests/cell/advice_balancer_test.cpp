// Calls to the advice service that a leader distributes over the nodes.

#include "cell/advice_balancer.h"
#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::cell;
using namespace damaskglade::fakes;

namespace {

constexpr Millis CallDuration{50};

/// The advice service, which handles one call at a time for a node.
class SerialAdvisor : public Advisor {
public:
  explicit SerialAdvisor(FakeLoop &Loop) : Loop_(Loop) {}
  void
  ask(const std::string &, const std::vector<std::string> &, Millis Timeout,
      std::function<void(Result<std::vector<AdvisedWorker>>)> Done) override {
    if (CutOff_)
      return Loop_.after(Timeout, [Done] {
        Done(Error{Reason::Timeout, Effect::Unknown, "ask", "", "", {}});
      });
    BusyUntil_ = std::max(BusyUntil_, Loop_.monotonic()) + CallDuration;
    Loop_.after(BusyUntil_ - Loop_.monotonic(),
                [Done] { Done(std::vector<AdvisedWorker>{}); });
  }

  bool CutOff_ = false;

private:
  FakeLoop &Loop_;
  Millis BusyUntil_{};
};

/// Carries the calls of the leader to the nodes.
class NodeNetwork : public WebClient {
public:
  explicit NodeNetwork(FakeLoop &Loop) : Loop_(Loop) {}
  void call(const WebCall &Call, WebReplyHandler Done) override {
    const auto Node =
        Advisors_.try_emplace(Call.Address_, SerialAdvisor(Loop_)).first;
    Node->second.ask("", {}, Call.Timeout_,
                     [Done](const Result<std::vector<AdvisedWorker>> &Answer) {
                       if (!Answer)
                         return Done(Answer.error());
                       WebReply Reply;
                       Reply.Body_ = R"({"jsonrpc":"2.0","id":1,"result":[]})";
                       Done(Reply);
                     });
  }

  std::map<std::string, SerialAdvisor> Advisors_; ///< By node.

private:
  FakeLoop &Loop_;
};

/// A leader whose steps ask for advice at a constant rate.
class AdvicePlay {
public:
  explicit AdvicePlay(const std::vector<std::string> &Nodes) {
    Balancer_.setNodes(Nodes);
    for (const std::string &Node : Nodes)
      Network_.Advisors_.try_emplace(Node, SerialAdvisor(Loop_));
  }

  void cutOff(const std::vector<std::string> &Nodes) {
    for (const std::string &Node : Nodes)
      Network_.Advisors_.at(Node).CutOff_ = true;
  }

  /// Asks for the given time, and returns how many of these questions are not
  /// answered within ten times the duration of a call.
  int askFor(Millis Duration) {
    constexpr Millis Interval{15};
    const int FirstStep = NextStep_;
    for (const Millis End = Loop_.monotonic() + Duration;
         Loop_.monotonic() < End; Loop_.run(Interval)) {
      dispatch::AdviceQuestion Question;
      Question.Step_ = NextStep_++;
      Question.Workers_ = {"w1"};
      Question.Expected_ = CallDuration;
      Question.Urgent_ = true;
      Balancer_.ask(Question);
    }
    Loop_.run(CallDuration * 10);
    int Late = 0;
    for (int Step = FirstStep; Step < NextStep_; ++Step)
      Late += Answered_.count(Step) == 0 ? 1 : 0;
    return Late;
  }

private:
  FakeLoop Loop_;
  FakeStoreState StoreState_;
  FakeStore Store_{Loop_, StoreState_, "n"};
  class : public TaskWorkers {
    void start(const WorkerTarget &, const StartOrder &,
               OrderHandler) override {}
    void stop(const WorkerTarget &, const std::string &, std::int64_t,
              OrderHandler) override {}
    void pace(const WorkerTarget &, const std::string &, std::int64_t, int,
              OrderHandler) override {}
    void poll(const WorkerTarget &, const PollRequest &,
              std::function<void(Result<PollReply>)>) override {}
  } Workers_;
  class : public WorkerRegistry {
    void list(std::function<void(Result<RegistrySnapshot>)>) override {}
  } Registry_;
  SerialAdvisor Advisor_{Loop_};
  NodeNetwork Network_{Loop_};
  RpcClient Peers_{Network_};
  NullEventLog Log_;
  NullMetrics Metrics_;
  AdviceBalancer Balancer_{
      CellPorts{Loop_, Loop_, Store_, Workers_, Advisor_, Registry_, Peers_,
                Log_, Metrics_},
      [this](const dispatch::AdviceQuestion &Question,
             const Result<std::vector<AdvisedWorker>> &Reply) {
        if (Reply)
          Answered_.insert(Question.Step_);
      }};
  std::set<int> Answered_;
  int NextStep_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdviceBalancing)

// Guards against lookups that wait for nodes of a zone that is cut off until
// the calls to them time out.
BOOST_AUTO_TEST_CASE(NodesThatAreCutOffGetNoFurtherAdviceCalls) {
  AdvicePlay Play({"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"});
  BOOST_TEST(Play.askFor(Millis{1000}) == 0);
  Play.cutOff({"n1", "n2"});
  BOOST_TEST(Play.askFor(Millis{200}) <= 8);
  BOOST_TEST(Play.askFor(Millis{600}) == 0);
}

BOOST_AUTO_TEST_CASE(SlowAdviceServiceIsStillCalled) {
  std::vector<AdviceNode> Nodes(2);
  Nodes[0].Backlog_ = Nodes[1].Backlog_ = Millis{50};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{30}, false, Millis{1000}) == 0);
  Nodes[1].AnswerDueAt_ = Millis{950};
  BOOST_TEST(chooseAdviceNode(Nodes, Millis{30}, false, Millis{1000}) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
