#ifndef DAMASKGLADE_CELL_ADVICE_DESK_H
#define DAMASKGLADE_CELL_ADVICE_DESK_H

#include "cell/context.h"
#include "dispatch/dispatcher.h"

#include <map>

namespace damaskglade::cell {

/// A node that may ask the advice service, with the time its open questions
/// still take.
struct AdviceNode {
  std::string Address_; ///< Empty: this node.
  Millis Outstanding_{};
  Millis AvoidUntil_{}; ///< Set after a failure.

  friend bool operator==(const AdviceNode &, const AdviceNode &) = default;
};

/// Index of the node that should ask, or -1 if all are too busy. The service
/// handles one call at a time for each calling VM, so slow questions keep off
/// the first nodes, which are left to fast ones.
int chooseAdviceNode(const std::vector<AdviceNode> &Nodes, Millis Expected,
                     Millis Now);

/// Spreads the questions of a leader over the nodes of the cell.
class AdviceDesk {
public:
  using AnswerHandler =
      std::function<void(const dispatch::AdviceQuestion &,
                         const Result<std::vector<AdvisedWorker>> &)>;

  AdviceDesk(const CellPorts &Ports, AnswerHandler Done)
      : Ports_(Ports), Done_(std::move(Done)), Nodes_{AdviceNode{}} {}

  /// Nodes that were heard of lately, without this one.
  void setNodes(const std::vector<std::string> &Addresses);
  void ask(const dispatch::AdviceQuestion &Question);
  void stop() { Stopped_ = true; }

private:
  void answered(const dispatch::AdviceQuestion &Question,
                const std::string &Address,
                const Result<std::vector<AdvisedWorker>> &Reply);

  const CellPorts Ports_;
  const AnswerHandler Done_;
  std::vector<AdviceNode> Nodes_;
  bool Stopped_ = false;
};

/// Answers "advice.ask" calls of the leader.
void serveAdvice(const CellPorts &Ports, const Json::Value &Params,
                 const RpcReply &Reply);

} // namespace damaskglade::cell

#endif
