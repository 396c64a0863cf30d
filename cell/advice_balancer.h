#ifndef DAMASKGLADE_CELL_ADVICE_BALANCER_H
#define DAMASKGLADE_CELL_ADVICE_BALANCER_H

#include "cell/context.h"
#include "dispatch/dispatcher.h"

#include <map>

namespace damaskglade::cell {

// The advice service decides which workers may run a step. For each of them it
// issues a ticket, a short-lived token that the start order must carry.

/// A node that can call the advice service.
struct AdviceNode {
  std::string Address_; ///< Empty: this node.
  Millis Backlog_{};    ///< Expected duration of its unanswered calls.
  Millis AvoidUntil_{}; ///< Gets no calls until then, after a failed one.
  /// When an answer to one of its unanswered calls is due at the latest.
  Millis AnswerDueAt_{};

  friend bool operator==(const AdviceNode &, const AdviceNode &) = default;
};

/// Index of the node that should make the next call to the advice service, or
/// -1 if all suitable nodes have a full backlog or have just failed.
/// ExpectedDuration is that of the call. The service handles one call at a time
/// for each calling VM, so the first nodes are reserved for short calls. Urgent
/// calls may wait in a longer backlog than others. A node whose answer is
/// overdue gets no calls while another one is suitable or busy.
int chooseAdviceNode(const std::vector<AdviceNode> &Nodes,
                     Millis ExpectedDuration, bool Urgent, Millis Now);

/// Distributes the leader's calls to the advice service over the nodes of the
/// cell.
class AdviceBalancer : public dispatch::AdviceQueue {
public:
  using AnswerHandler =
      std::function<void(const dispatch::AdviceQuestion &,
                         const Result<std::vector<AdvisedWorker>> &)>;

  AdviceBalancer(const CellPorts &Ports, AnswerHandler OnAnswer)
      : Ports_(Ports), OnAnswer_(std::move(OnAnswer)), Nodes_{AdviceNode{}} {}

  /// Sets the live nodes other than this one.
  void setNodes(const std::vector<std::string> &Addresses);
  /// Has a node call the advice service, and passes the reply to the handler.
  void ask(const dispatch::AdviceQuestion &Question);
  void beginPass() override { PlannedNodes_ = Nodes_; }
  bool accepts(Millis Duration, bool Urgent) override;
  void add(Millis Duration, bool Urgent) override;
  /// Ignores all replies from now on.
  void stop() { Stopped_ = true; }

private:
  void handleAnswer(const dispatch::AdviceQuestion &Question,
                    const std::string &Address,
                    const Result<std::vector<AdvisedWorker>> &Reply);

  const CellPorts Ports_;
  const AnswerHandler OnAnswer_;
  std::vector<AdviceNode> Nodes_;
  /// The nodes with the calls that the current planning pass will make.
  std::vector<AdviceNode> PlannedNodes_;
  bool Stopped_ = false;
  /// Expires with the object, which callbacks may outlive.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

/// Handles the RPC "advice.ask", by which a leader has another node call the
/// advice service.
void serveAdvice(const CellPorts &Ports, const Json::Value &Params,
                 const RpcReply &Reply);

} // namespace damaskglade::cell

#endif
