#ifndef DAMASKGLADE_CELL_MEMBER_H
#define DAMASKGLADE_CELL_MEMBER_H

#include "cell/candidate.h"
#include "cell/context.h"
#include "cell/leader.h"
#include "cell/relay.h"

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace damaskglade::cell {

/// State on which a node decides whether to take over leadership.
struct ElectionInput {
  Millis LeaderSilence_{}; ///< Time since the last reply of the leader.
  /// No process listens at the leader's address.
  bool ConnectionRefused_ = false;
  /// The node at the leader's address replies that it does not lead.
  bool DeniesLeadership_ = false;
  /// Another node has just received a reply of the leader.
  bool LeaderReachedByOther_ = false;
  /// More than half of the known nodes, including this one, can be reached.
  bool MajorityReached_ = true;

  friend bool operator==(const ElectionInput &,
                         const ElectionInput &) = default;
};

/// Whether this node should take over leadership. It should not while another
/// node can reach the leader: the leader has then not failed and is only
/// unreachable from this node.
bool shouldTakeOver(const ElectionInput &Input);

/// What a node learns from pings about the configurations of other nodes.
struct ConfigHints {
  /// A node, at Holder, has a newer version in force than this one.
  std::function<void(std::int64_t Version, const std::string &Holder)>
      OnNewerVersion_;
  /// Addresses of the live nodes, this one among them.
  std::function<void(std::vector<std::string> Addresses)> OnNodes_;
  /// Age of the configuration in force; see Gateway::configAge(). Not set: it
  /// is not told to other nodes.
  std::function<std::optional<Millis>()> Age_;
  /// Clock on which the age is counted.
  std::function<Millis()> Now_;
  /// The leader knows that this version was the newest one at the given time.
  std::function<void(std::int64_t Version, Millis ConfirmedAt)> OnConfirmed_;
};

/// One node of the cell: finds the leader, monitors it with pings, and takes
/// over leadership when it has failed.
class Member : public std::enable_shared_from_this<Member> {
public:
  Member(const CellPorts &Ports, CellSettings Settings);

  void start();
  /// Hands leadership to another node, then calls back; for a planned stop.
  void resign(const std::function<void()> &Done);
  void setConfig(const SharedConfig &Config);
  /// Sets what is told of other nodes; see ConfigHints.
  void setConfigHints(ConfigHints Hints) { ConfigHints_ = std::move(Hints); }
  /// Whether the node leads and has loaded all rows.
  bool isActiveLeader() const { return isLeader() && Leader_->active(); }
  /// Whether the node can serve callers: it leads, or it is in contact with the
  /// leader.
  bool ready() const;
  /// Adds the methods that other nodes call.
  void addMethods(RpcServer &Server);

  /// Calls a method of the leader, which may be this node. Retries transient
  /// failures until the deadline, also after a change of the leader, but fails
  /// early while the leader is silent.
  void callLeader(const std::string &Method, const Json::Value &Params,
                  Millis Deadline, RpcReply Reply);

private:
  /// A call to the leader that has not been answered yet.
  struct LeaderCall {
    std::string Method_;
    Json::Value Params_;
    Millis Deadline_{};
    RpcReply Reply_;
    /// An attempt may have been executed although it failed.
    bool MayHaveEffect_ = false;
  };

  Millis now() const { return Ports_.Clock_.monotonic(); }
  bool isLeader() const {
    return Leader_ && !Leader_->leaderRecord().Node_.empty();
  }
  void tick();
  void scheduleTick(Millis Delay);
  void ping();
  /// Takes from a reply how recent the version of the leader is.
  void noteConfigAge(const Json::Value &Reply, Millis SentAt) const;
  void addConfigAge(Json::Value &Reply) const;
  void handlePingReply(const Result<Json::Value> &Reply,
                       const std::string &Address);
  void readLeaderRow();
  void considerElection();
  void pollOtherNodes();
  /// Asks the strongest of the given nodes to take over if it has clearly more
  /// CPU capacity than this one. False if this node is to take over itself.
  bool nominateStrongerNode(const PeerNodes &Candidates);
  /// Makes this node the leader in a new epoch, unless the epoch is no longer
  /// ObservedEpoch.
  void takeOver(std::int64_t ObservedEpoch);
  /// Last contact with a majority of the known nodes.
  Millis majorityHeardAt() const;
  void becomeLeader(const LeaderRecord &Record);
  void followLeader(const LeaderRecord &Record);
  /// Asks a node to take over. The reply comes once that node has decided.
  void requestTakeover(const std::string &Address, const RpcReply &Done);
  void handleTakeoverRequest(const Json::Value &Params, const RpcReply &Reply);
  /// Tells another node whether its request to take over is still open.
  void confirmTakeoverRequest(const Json::Value &Params,
                              const RpcReply &Reply) const;
  void askNodesToLead();
  void askNodeToLead(const std::string &Address);
  void askSuccessor(const std::string &Successor,
                    const std::function<void()> &Done);
  bool mayStandForElection() const;
  void tryCall(const std::shared_ptr<LeaderCall> &Call);
  void retryCall(const std::shared_ptr<LeaderCall> &Call, const Error &Failure);
  void serveLocal(const std::string &Method, const Json::Value &Params,
                  const RpcReply &Reply);
  void handlePing(const Json::Value &Params, const RpcReply &Reply);
  void handleLeaderCheck(const Json::Value &Params, const RpcReply &Reply);
  void answerWaitingChecks(bool LeaderReached);
  void answerLeaderCheck(const RpcReply &Reply, bool LeaderReached) const;
  /// Lists the live nodes for the replies to pings.
  void updateNodeList();
  /// Tells the leader object which nodes are live.
  void updateLeader();
  std::vector<std::string> liveNodes() const;
  Millis livenessCutoff() const;

  const CellPorts Ports_;
  const CellSettings Settings_;
  const std::string Incarnation_;  ///< Identifies this process.
  LeaderRecord LeaderRecord_;      ///< Last known leader row.
  std::shared_ptr<Leader> Leader_; ///< Null unless this node leads.
  const std::shared_ptr<Relay> Relay_;
  std::int64_t configVersion() const { return Config_ ? Config_->Version_ : 0; }
  void handleConfigVersion(std::int64_t Version, const std::string &Holder);
  /// Adds to the reply to a ping which newer configuration there is, and a node
  /// that has it.
  void addNewerConfig(std::int64_t Version, Json::Value &Reply);
  /// Passes the addresses of the live nodes on when they have changed.
  void reportNodes(const std::vector<std::string> &Addresses);

  SharedConfig Config_; ///< In force; null until the first one.
  ConfigHints ConfigHints_;
  std::int64_t NewestConfigHeard_ = 0; ///< Version, of the nodes that ping.
  PeerNodes PeerNodes_;                ///< Nodes that have pinged this one.
  /// Addresses of the live nodes, as last reported by the leader.
  std::set<std::string> ReportedNodes_;
  std::string ReportedNodesDigest_; ///< Of that report; see handlePing().
  /// Nodes that were live when this one became the leader, and the leader
  /// before.
  std::set<std::string> InheritedNodes_;
  Json::Value NodeList_{Json::arrayValue}; ///< See updateNodeList().
  std::string NodeListDigest_;
  int OpenPings_ = 0; ///< Pings to the leader in flight.
  /// Nodes that wait for the reply of the leader to a ping of this node.
  std::vector<RpcReply> LeaderChecks_;
  /// Nodes that this one has asked to take over since the leader was heard.
  std::size_t Nominations_ = 0;
  ElectionInput ElectionInput_;
  Millis LeaderHeardAt_{};
  Millis NodesPolledAt_{}; ///< Last poll of the other nodes.
  Millis LastHandOverAt_{};
  /// Requests to take over that have been sent and not answered yet.
  std::set<std::int64_t> OpenTakeoverRequests_;
  std::int64_t LastTakeoverRequest_ = 0;
  std::size_t HandOverAttempts_ = 0; ///< In the current attempt window.
  Millis LeadingSince_{};
  Millis LeaderSuspectedAt_{}; ///< Zero while the leader answers.
  /// Highest CPU capacity of the nodes, as last reported by the leader.
  double StrongestCpu_ = 0;
  bool ReadingLeaderRow_ = false;
  bool ElectionWriteOpen_ = false;
  bool Resigned_ = false;
  bool Started_ = false;
  std::minstd_rand Random_;
};

} // namespace damaskglade::cell

#endif
