#ifndef DAMASKGLADE_CELL_ADVICE_BALANCER_H
#define DAMASKGLADE_CELL_ADVICE_BALANCER_H

#include "cell/context.h"
#include "dispatch/dispatcher.h"

#include <map>

namespace damaskglade::cell {

/// A node that can ask the advice service, with the expected total time of its
/// unanswered questions.
struct AdviceNode {
  std::string Address_; ///< Empty: this node.
  Millis Outstanding_{};
  Millis AvoidUntil_{}; ///< Set after a failure.

  friend bool operator==(const AdviceNode &, const AdviceNode &) = default;
};

/// Index of the node that should ask, or -1 if no node can take the question.
/// The service handles one call at a time for each calling VM, so the first
/// nodes are reserved for fast questions.
int chooseAdviceNode(const std::vector<AdviceNode> &Nodes, Millis Expected,
                     Millis Now);

/// Distributes the questions of a leader over the nodes of the cell.
class AdviceBalancer {
public:
  using AnswerHandler =
      std::function<void(const dispatch::AdviceQuestion &,
                         const Result<std::vector<AdvisedWorker>> &)>;

  AdviceBalancer(const CellPorts &Ports, AnswerHandler OnAnswer)
      : Ports_(Ports), OnAnswer_(std::move(OnAnswer)), Nodes_{AdviceNode{}} {}

  /// Sets the live nodes other than this one.
  void setNodes(const std::vector<std::string> &Addresses);
  void ask(const dispatch::AdviceQuestion &Question);
  void stop() { Stopped_ = true; }

private:
  void handleAnswer(const dispatch::AdviceQuestion &Question,
                    const std::string &Address,
                    const Result<std::vector<AdvisedWorker>> &Reply);

  const CellPorts Ports_;
  const AnswerHandler OnAnswer_;
  std::vector<AdviceNode> Nodes_;
  bool Stopped_ = false;
};

/// Serves "advice.ask" calls from the leader.
void serveAdvice(const CellPorts &Ports, const Json::Value &Params,
                 const RpcReply &Reply);

} // namespace damaskglade::cell

#endif
