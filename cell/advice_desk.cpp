#include "cell/advice_desk.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

constexpr Millis FastQuestion{100};
// A ticket is valid for about 2 s, so a longer queue would waste it.
constexpr Millis LongestQueue{2500};
constexpr Millis AvoidTime{1500};
constexpr Millis Slack{400};
// One node in so many is kept for fast questions, at least one.
constexpr std::size_t NodesPerFastNode = 4;

} // namespace

int chooseAdviceNode(const std::vector<AdviceNode> &Nodes, Millis Expected,
                     Millis Now) {
  const std::size_t FastNodes = std::max<std::size_t>(
      1, (Nodes.size() + NodesPerFastNode - 1) / NodesPerFastNode);
  const bool Fast = Expected < FastQuestion;
  const auto Choose = [&](std::size_t From, std::size_t To) {
    int Best = -1;
    for (std::size_t Each = From; Each < To; ++Each) {
      const AdviceNode &Node = Nodes[Each];
      if (Node.AvoidUntil_ > Now || Node.Outstanding_ > LongestQueue)
        continue;
      if (Best < 0 || Node.Outstanding_ <
                          Nodes[static_cast<std::size_t>(Best)].Outstanding_)
        Best = static_cast<int>(Each);
    }
    return Best;
  };
  if (Fast) {
    const int Reserved = Choose(0, FastNodes);
    return Reserved >= 0 ? Reserved : Choose(0, Nodes.size());
  }
  const int Other = Choose(FastNodes, Nodes.size());
  // A cell that has lost its other nodes asks all it can from what is left.
  return Other >= 0 || Nodes.size() > FastNodes ? Other
                                                : Choose(0, Nodes.size());
}

void AdviceDesk::setNodes(const std::vector<std::string> &Addresses) {
  std::vector<AdviceNode> Next{Nodes_.front()};
  for (const std::string &Each : Addresses) {
    const auto Known = std::find_if(
        Nodes_.begin() + 1, Nodes_.end(),
        [&](const AdviceNode &Node) { return Node.Address_ == Each; });
    Next.push_back(Known == Nodes_.end() ? AdviceNode{Each, {}, {}} : *Known);
  }
  Nodes_ = std::move(Next);
}

void AdviceDesk::ask(const dispatch::AdviceQuestion &Question) {
  const int Chosen =
      chooseAdviceNode(Nodes_, Question.Expected_, Ports_.Clock_.monotonic());
  if (Chosen < 0) {
    Ports_.Metrics_.count("advice_queue_full");
    Done_(Question, Error{Reason::QueueFull, Effect::None, "ask for advice", "",
                          "all nodes have long queues"});
    return;
  }
  AdviceNode &Node = Nodes_[static_cast<std::size_t>(Chosen)];
  const Millis Timeout = Node.Outstanding_ * 2 + Question.Expected_ * 2 + Slack;
  Node.Outstanding_ = Node.Outstanding_ + Question.Expected_;
  const std::string Address = Node.Address_;
  const std::string Step = dispatch::stepName(Question.Job_, Question.Step_);
  Ports_.Metrics_.count("advice_questions");
  const auto Answer = [this, Question, Address](
                          const Result<std::vector<AdvisedWorker>> &Reply) {
    answered(Question, Address, Reply);
  };
  if (Address.empty())
    return Ports_.Advisor_.ask(Step, Question.Workers_, Timeout, Answer);
  Json::Value Params;
  Params["step"] = Step;
  Params["timeout_ms"] = Json::Int64(Timeout.Value_);
  for (const std::string &Each : Question.Workers_)
    Params["workers"].append(Each);
  Ports_.Peers_.call(Address, "advice.ask", Params, Timeout + Slack,
                     [Answer](Result<Json::Value> Reply) {
                       if (!Reply)
                         return Answer(Reply.error());
                       std::vector<AdvisedWorker> Allowed;
                       for (const Json::Value &Each : Reply.value())
                         Allowed.push_back(AdvisedWorker{Each[0].asString(),
                                                         Each[1].asString()});
                       Answer(std::move(Allowed));
                     });
}

void AdviceDesk::answered(const dispatch::AdviceQuestion &Question,
                          const std::string &Address,
                          const Result<std::vector<AdvisedWorker>> &Reply) {
  if (Stopped_)
    return;
  for (AdviceNode &Each : Nodes_) {
    if (Each.Address_ != Address)
      continue;
    Each.Outstanding_ =
        std::max(Millis{}, Each.Outstanding_ - Question.Expected_);
    if (!Reply)
      Each.AvoidUntil_ = Ports_.Clock_.monotonic() + AvoidTime;
  }
  if (!Reply)
    Ports_.Metrics_.countRetry(Reply.error().Reason_);
  Done_(Question, Reply);
}

void serveAdvice(const CellPorts &Ports, const Json::Value &Params,
                 const RpcReply &Reply) {
  std::vector<std::string> Workers;
  for (const Json::Value &Each : Params["workers"])
    Workers.push_back(Each.asString());
  Ports.Advisor_.ask(Params["step"].asString(), Workers,
                     Millis{Params["timeout_ms"].asInt64()},
                     [Reply](const Result<std::vector<AdvisedWorker>> &Answer) {
                       if (!Answer)
                         return Reply(Answer.error());
                       Json::Value Out(Json::arrayValue);
                       for (const AdvisedWorker &Each : Answer.value()) {
                         Json::Value Row(Json::arrayValue);
                         Row.append(Each.Worker_);
                         Row.append(Each.Ticket_);
                         Out.append(Row);
                       }
                       Reply(std::move(Out));
                     });
}

} // namespace damaskglade::cell
