#include "cell/advice_balancer.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

constexpr Millis FastQuestionLimit{100};
// A ticket is valid for about 2 s, so a longer queue would waste it.
constexpr Millis MaxOutstanding{2500};
constexpr Millis FailureBackoff{1500};
constexpr Millis TimeoutMargin{400};
// One of this many nodes is reserved for fast questions, but at least one.
constexpr std::size_t NodesPerReservedNode = 4;

} // namespace

int chooseAdviceNode(const std::vector<AdviceNode> &Nodes, Millis Expected,
                     Millis Now) {
  const std::size_t ReservedNodes = std::max<std::size_t>(
      1, (Nodes.size() + NodesPerReservedNode - 1) / NodesPerReservedNode);
  const bool Fast = Expected < FastQuestionLimit;
  const auto Choose = [&](std::size_t Begin, std::size_t End) {
    int Best = -1;
    for (std::size_t Index = Begin; Index < End; ++Index) {
      const AdviceNode &Node = Nodes[Index];
      if (Node.AvoidUntil_ > Now || Node.Outstanding_ > MaxOutstanding)
        continue;
      if (Best < 0 || Node.Outstanding_ <
                          Nodes[static_cast<std::size_t>(Best)].Outstanding_)
        Best = static_cast<int>(Index);
    }
    return Best;
  };
  if (Fast) {
    const int Chosen = Choose(0, ReservedNodes);
    return Chosen >= 0 ? Chosen : Choose(0, Nodes.size());
  }
  const int Chosen = Choose(ReservedNodes, Nodes.size());
  // With no unreserved nodes left, slow questions use the reserved ones.
  return Chosen >= 0 || Nodes.size() > ReservedNodes ? Chosen
                                                     : Choose(0, Nodes.size());
}

void AdviceBalancer::setNodes(const std::vector<std::string> &Addresses) {
  std::vector<AdviceNode> Updated{Nodes_.front()};
  for (const std::string &Address : Addresses) {
    const auto Known = std::find_if(
        Nodes_.begin() + 1, Nodes_.end(),
        [&](const AdviceNode &Node) { return Node.Address_ == Address; });
    Updated.push_back(Known == Nodes_.end() ? AdviceNode{Address, {}, {}}
                                            : *Known);
  }
  Nodes_ = std::move(Updated);
}

void AdviceBalancer::ask(const dispatch::AdviceQuestion &Question) {
  const int Chosen =
      chooseAdviceNode(Nodes_, Question.Expected_, Ports_.Clock_.monotonic());
  if (Chosen < 0) {
    Ports_.Metrics_.count("advice_queue_full");
    OnAnswer_(Question,
              Error{Reason::QueueFull, Effect::None, "ask for advice", "",
                    "all nodes have full advice queues or have just failed"});
    return;
  }
  AdviceNode &Node = Nodes_[static_cast<std::size_t>(Chosen)];
  const Millis Timeout =
      Node.Outstanding_ * 2 + Question.Expected_ * 2 + TimeoutMargin;
  Node.Outstanding_ = Node.Outstanding_ + Question.Expected_;
  const std::string Address = Node.Address_;
  const std::string Step = dispatch::stepName(Question.Job_, Question.Step_);
  Ports_.Metrics_.count("advice_questions");
  const auto Answer = [this, Question, Address](
                          const Result<std::vector<AdvisedWorker>> &Reply) {
    handleAnswer(Question, Address, Reply);
  };
  if (Address.empty())
    return Ports_.Advisor_.ask(Step, Question.Workers_, Timeout, Answer);
  Json::Value Params;
  Params["step"] = Step;
  Params["timeout_ms"] = Json::Int64(Timeout.Value_);
  for (const std::string &Worker : Question.Workers_)
    Params["workers"].append(Worker);
  Ports_.Peers_.call(Address, "advice.ask", Params, Timeout + TimeoutMargin,
                     [Answer](Result<Json::Value> Reply) {
                       if (!Reply)
                         return Answer(Reply.error());
                       std::vector<AdvisedWorker> Allowed;
                       for (const Json::Value &Entry : Reply.value())
                         Allowed.push_back(AdvisedWorker{Entry[0].asString(),
                                                         Entry[1].asString()});
                       Answer(std::move(Allowed));
                     });
}

void AdviceBalancer::handleAnswer(
    const dispatch::AdviceQuestion &Question, const std::string &Address,
    const Result<std::vector<AdvisedWorker>> &Reply) {
  if (Stopped_)
    return;
  for (AdviceNode &Node : Nodes_) {
    if (Node.Address_ != Address)
      continue;
    Node.Outstanding_ =
        std::max(Millis{}, Node.Outstanding_ - Question.Expected_);
    if (!Reply)
      Node.AvoidUntil_ = Ports_.Clock_.monotonic() + FailureBackoff;
  }
  if (!Reply)
    Ports_.Metrics_.countRetry(Reply.error().Reason_);
  OnAnswer_(Question, Reply);
}

void serveAdvice(const CellPorts &Ports, const Json::Value &Params,
                 const RpcReply &Reply) {
  std::vector<std::string> Workers;
  for (const Json::Value &Worker : Params["workers"])
    Workers.push_back(Worker.asString());
  Ports.Advisor_.ask(Params["step"].asString(), Workers,
                     Millis{Params["timeout_ms"].asInt64()},
                     [Reply](const Result<std::vector<AdvisedWorker>> &Answer) {
                       if (!Answer)
                         return Reply(Answer.error());
                       Json::Value Allowed(Json::arrayValue);
                       for (const AdvisedWorker &Worker : Answer.value()) {
                         Json::Value Entry(Json::arrayValue);
                         Entry.append(Worker.Worker_);
                         Entry.append(Worker.Ticket_);
                         Allowed.append(Entry);
                       }
                       Reply(std::move(Allowed));
                     });
}

} // namespace damaskglade::cell
