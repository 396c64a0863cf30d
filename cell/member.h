#ifndef DAMASKGLADE_CELL_MEMBER_H
#define DAMASKGLADE_CELL_MEMBER_H

#include "cell/candidate.h"
#include "cell/context.h"
#include "cell/leader.h"

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace damaskglade::cell {

/// State on which a node decides whether to take over leadership.
struct ElectionInput {
  Millis SilentFor_{}; ///< Since the last reply of the leader.
  /// No process listens at the leader's address.
  bool ConnectionRefused_ = false;
  bool DeniesLeadership_ = false;
  bool ReachedByOtherNode_ = false;
  /// Most of the known nodes replied to the poll.
  bool MajorityReached_ = true;

  friend bool operator==(const ElectionInput &,
                         const ElectionInput &) = default;
};

/// Whether to start a new epoch. A leader that another node can reach has not
/// failed; it is only unreachable from this node.
bool shouldTakeOver(const ElectionInput &Input);

/// Membership of one node in the cell: finds the leader, monitors it, and takes
/// over when it has failed.
class Member : public std::enable_shared_from_this<Member> {
public:
  Member(const CellPorts &Ports, CellSettings Settings);

  void start();
  /// Hands leadership to another node, then calls back; for a planned stop.
  void resign(const std::function<void()> &Done);
  void setConfig(const CellConfig &Config);
  /// Whether the node leads and has loaded all rows.
  bool isActiveLeader() const { return isLeader() && Leader_->active(); }
  /// Whether the node can serve callers: it leads, or it is in contact with the
  /// leader.
  bool ready() const;
  void addMethods(RpcServer &Server);

  /// Calls a method of the leader, which may be this node. Retries transient
  /// failures until the deadline, also after a change of the leader, but fails
  /// early while the leader is silent.
  void callLeader(const std::string &Method, const Json::Value &Params,
                  Millis Deadline, RpcReply Reply);

private:
  struct OpenCall {
    std::string Method_;
    Json::Value Params_;
    Millis Deadline_{};
    RpcReply Reply_;
    bool MayHaveEffect_ = false; ///< An attempt may have had an effect.
  };

  Millis now() const { return Ports_.Clock_.monotonic(); }
  bool isLeader() const { return Leader_ && !Leader_->view().Node_.empty(); }
  void tick();
  void scheduleTick(Millis Delay);
  void ping();
  void handlePingReply(const Result<Json::Value> &Reply,
                       const std::string &Address);
  void readLeaderRow();
  void considerElection();
  void pollOtherNodes();
  /// Starts a new epoch with this node as leader, unless the epoch has changed.
  void takeOver(std::int64_t ObservedEpoch);
  bool inContactWithMajority() const;
  void becomeLeader(const LeaderView &View);
  void followLeader(const LeaderView &View);
  void askNodesToLead();
  void askNodeToLead(const std::string &Address);
  bool mayStandForElection() const;
  void tryCall(const std::shared_ptr<OpenCall> &Call);
  void retryCall(const std::shared_ptr<OpenCall> &Call, const Error &Failure);
  void serveLocal(const std::string &Method, const Json::Value &Params,
                  const RpcReply &Reply);
  void handlePing(const Json::Value &Params, const RpcReply &Reply);
  void handleHears(const Json::Value &Params, const RpcReply &Reply);
  std::vector<std::string> liveNodes() const;
  Millis livenessCutoff() const;

  const CellPorts Ports_;
  const CellSettings Settings_;
  const std::string Incarnation_;
  LeaderView View_;
  std::shared_ptr<Leader> Leader_;
  std::optional<CellConfig> Config_;
  PeerNodes Nodes_; ///< Nodes that have pinged this one.
  /// Live nodes, as last reported by the leader.
  std::set<std::string> ReportedNodes_;
  ElectionInput ElectionInput_;
  Millis LeaderHeardAt_{};
  Millis OthersPolledAt_{};
  Millis HandOverAt_{};
  std::size_t HandOverAttempts_ = 0;
  Millis LeadingSince_{};
  Millis SuspectedAt_{};    ///< Zero while the leader answers.
  double StrongestCpu_ = 0; ///< As last reported by the leader.
  bool ReadingLeaderRow_ = false;
  bool Electing_ = false;
  bool Resigned_ = false;
  bool Started_ = false;
  std::minstd_rand Random_;
};

} // namespace damaskglade::cell

#endif
