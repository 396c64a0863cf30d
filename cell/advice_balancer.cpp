#include "cell/advice_balancer.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// Calls that are expected to take less time than this count as short.
constexpr Millis ShortCallLimit{100};
// Nodes with a longer backlog get no more calls: a ticket is valid for only
// about 2 s, so calls that queue for longer would waste it.
constexpr Millis MaxBacklog{2500};
// The same for calls that are not urgent. They leave the rest of the backlog to
// urgent calls, which would otherwise be rejected as often as they are.
constexpr Millis MaxDeferrableBacklog = MaxBacklog / 2;
// How long a node gets no calls after a failed one.
constexpr Millis FailureBackoff{1500};
// An answer that is late by more than this is overdue. A node that is cut off
// would otherwise get calls until the first one times out.
constexpr Millis OverdueMargin{100};
// Added to the timeout of a call, and again if another node makes the call.
constexpr Millis TimeoutMargin{400};
// A quarter of the nodes, rounded up, is reserved for short calls.
constexpr std::size_t NodesPerReservedNode = 4;

bool isOverdue(const AdviceNode &Node, Millis Now) {
  return Node.Backlog_ > Millis{} && Now > Node.AnswerDueAt_ + OverdueMargin;
}

} // namespace

int chooseAdviceNode(const std::vector<AdviceNode> &Nodes,
                     Millis ExpectedDuration, bool Urgent, Millis Now) {
  const Millis BacklogLimit = Urgent ? MaxBacklog : MaxDeferrableBacklog;
  const std::size_t ReservedNodes = std::max<std::size_t>(
      1, (Nodes.size() + NodesPerReservedNode - 1) / NodesPerReservedNode);
  const bool IsShort = ExpectedDuration < ShortCallLimit;
  // If all are overdue, the advice service or this node is slow.
  const bool AllOverdue =
      std::all_of(Nodes.begin(), Nodes.end(), [Now](const AdviceNode &Node) {
        return Node.AvoidUntil_ > Now || isOverdue(Node, Now);
      });
  const auto ChooseLeastLoaded = [&](std::size_t Begin, std::size_t End) {
    int LeastLoaded = -1;
    for (std::size_t Index = Begin; Index < End; ++Index) {
      const AdviceNode &Node = Nodes[Index];
      if (Node.AvoidUntil_ > Now || Node.Backlog_ > BacklogLimit ||
          (!AllOverdue && isOverdue(Node, Now)))
        continue;
      if (LeastLoaded < 0 ||
          Node.Backlog_ < Nodes[static_cast<std::size_t>(LeastLoaded)].Backlog_)
        LeastLoaded = static_cast<int>(Index);
    }
    return LeastLoaded;
  };
  // The reserved nodes come first among equals.
  if (IsShort)
    return ChooseLeastLoaded(0, Nodes.size());
  const int Chosen = ChooseLeastLoaded(ReservedNodes, Nodes.size());
  // With no unreserved nodes left, long calls use the reserved ones.
  return Chosen >= 0 || Nodes.size() > ReservedNodes
             ? Chosen
             : ChooseLeastLoaded(0, Nodes.size());
}

void AdviceBalancer::setNodes(const std::vector<std::string> &Addresses) {
  std::vector<AdviceNode> UpdatedNodes{Nodes_.front()};
  for (const std::string &Address : Addresses) {
    const auto ExistingNode = std::find_if(
        Nodes_.begin() + 1, Nodes_.end(),
        [&](const AdviceNode &Node) { return Node.Address_ == Address; });
    UpdatedNodes.push_back(ExistingNode == Nodes_.end()
                               ? AdviceNode{Address, {}, {}}
                               : *ExistingNode);
  }
  Nodes_ = std::move(UpdatedNodes);
}

bool AdviceBalancer::accepts(Millis Duration, bool Urgent) {
  const bool Accepts = chooseAdviceNode(PlannedNodes_, Duration, Urgent,
                                        Ports_.Clock_.monotonic()) >= 0;
  if (!Accepts)
    Ports_.Metrics_.count("advice_queue_full");
  return Accepts;
}

void AdviceBalancer::add(Millis Duration, bool Urgent) {
  const int Chosen = chooseAdviceNode(PlannedNodes_, Duration, Urgent,
                                      Ports_.Clock_.monotonic());
  if (Chosen < 0)
    return;
  AdviceNode &Node = PlannedNodes_[static_cast<std::size_t>(Chosen)];
  Node.Backlog_ = Node.Backlog_ + Duration;
}

void AdviceBalancer::ask(const dispatch::AdviceQuestion &Question) {
  const int Chosen = chooseAdviceNode(
      Nodes_, Question.Expected_, Question.Urgent_, Ports_.Clock_.monotonic());
  if (Chosen < 0) {
    Ports_.Metrics_.count("advice_queue_full");
    OnAnswer_(Question,
              Error{Reason::QueueFull, Effect::None, "ask for advice", "",
                    "all nodes have full advice queues or have just failed"});
    return;
  }
  AdviceNode &Node = Nodes_[static_cast<std::size_t>(Chosen)];
  const Millis Timeout =
      Node.Backlog_ * 2 + Question.Expected_ * 2 + TimeoutMargin;
  if (Node.Backlog_ == Millis{})
    Node.AnswerDueAt_ = Ports_.Clock_.monotonic() + Question.Expected_;
  Node.Backlog_ = Node.Backlog_ + Question.Expected_;
  const std::string Address = Node.Address_;
  const std::string Step = dispatch::stepName(Question.Job_, Question.Step_);
  Ports_.Metrics_.count("advice_questions");
  const auto HandleReply =
      [this, Question, Address, Alive = std::weak_ptr<bool>(Alive_)](
          const Result<std::vector<AdvisedWorker>> &Reply) {
        if (!Alive.expired())
          handleAnswer(Question, Address, Reply);
      };
  if (Address.empty())
    return Ports_.Advisor_.ask(Step, Question.Workers_, Timeout, HandleReply);
  Json::Value Params;
  Params["step"] = Step;
  Params["timeout_ms"] = Json::Int64(Timeout.Value_);
  for (const std::string &Worker : Question.Workers_)
    Params["workers"].append(Worker);
  Ports_.Peers_.call(Address, "advice.ask", Params, Timeout + TimeoutMargin,
                     [HandleReply](Result<Json::Value> Reply) {
                       if (!Reply)
                         return HandleReply(Reply.error());
                       std::vector<AdvisedWorker> AllowedWorkers;
                       for (const Json::Value &Entry : Reply.value())
                         AllowedWorkers.push_back(AdvisedWorker{
                             Entry[0].asString(), Entry[1].asString()});
                       HandleReply(std::move(AllowedWorkers));
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
    Node.Backlog_ = std::max(Millis{}, Node.Backlog_ - Question.Expected_);
    const Millis Now = Ports_.Clock_.monotonic();
    if (Reply)
      Node.AnswerDueAt_ = Now + Node.Backlog_;
    else
      Node.AvoidUntil_ = Now + FailureBackoff;
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
                       Json::Value AllowedWorkers(Json::arrayValue);
                       for (const AdvisedWorker &Worker : Answer.value()) {
                         Json::Value Entry(Json::arrayValue);
                         Entry.append(Worker.Worker_);
                         Entry.append(Worker.Ticket_);
                         AllowedWorkers.append(Entry);
                       }
                       Reply(std::move(AllowedWorkers));
                     });
}

} // namespace damaskglade::cell
