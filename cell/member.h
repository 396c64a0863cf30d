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

/// What a node knows when it decides whether to raise the epoch.
struct ElectionInput {
  Millis SilentFor_{};   ///< Since the leader was last heard.
  bool Refused_ = false; ///< No process listens at the leader's address.
  bool SaysItDoesNotLead_ = false;
  bool OtherNodeHearsIt_ = false;
  bool Majority_ = true; ///< Most of the known nodes could be asked.

  friend bool operator==(const ElectionInput &,
                         const ElectionInput &) = default;
};

/// Whether to raise the epoch. A leader that another node hears is only cut
/// off from this one.
bool shouldTakeOver(const ElectionInput &Input);

/// Membership of one node: finds the leader, watches it, and takes over when
/// it is gone.
class Member : public std::enable_shared_from_this<Member> {
public:
  Member(const CellPorts &Ports, CellSettings Settings);

  void start();
  /// Passes the lead on, then calls back; for a planned stop.
  void resign(const std::function<void()> &Done);
  void setConfig(const CellConfig &Config);
  /// Whether the node leads and has loaded all rows.
  bool leading() const { return leads() && Leader_->active(); }
  /// Whether the node can serve callers: it leads, or it hears a leader.
  bool ready() const;
  void addMethods(RpcServer &Server);

  /// Calls a method of the leader, also if that is this node. Goes on after a
  /// change of the leader until the deadline.
  void callLeader(const std::string &Method, const Json::Value &Params,
                  Millis Deadline, RpcReply Reply);

private:
  struct OpenCall {
    std::string Method_;
    Json::Value Params_;
    Millis Deadline_{};
    RpcReply Reply_;
    bool Unclear_ = false; ///< A try may have had an effect.
  };

  Millis now() const { return Ports_.Clock_.monotonic(); }
  bool leads() const { return Leader_ && !Leader_->view().Node_.empty(); }
  void tick();
  void scheduleTick(Millis Delay);
  void ping();
  void pinged(const Result<Json::Value> &Reply, const std::string &Address);
  void readLeader();
  void judge();
  void askOthers();
  /// Raises the epoch, unless it has been raised since.
  void takeOver(std::int64_t From);
  bool hearsMajority() const;
  void lead(const LeaderView &View);
  void follow(const LeaderView &View);
  void handOver();
  void handOverTo(const std::string &Address);
  bool maySuspect() const;
  void tryCall(const std::shared_ptr<OpenCall> &Call);
  void retryCall(const std::shared_ptr<OpenCall> &Call, const Error &Failure);
  void serveLocal(const std::string &Method, const Json::Value &Params,
                  const RpcReply &Reply);
  void answerPing(const Json::Value &Params, const RpcReply &Reply);
  void answerHears(const Json::Value &Params, const RpcReply &Reply);
  std::vector<std::string> liveNodes() const;
  Millis liveSince() const;

  const CellPorts Ports_;
  const CellSettings Settings_;
  const std::string Boot_;
  LeaderView View_;
  std::shared_ptr<Leader> Leader_;
  std::optional<CellConfig> Config_;
  PeerNodes Nodes_;               ///< That this node was called by.
  std::set<std::string> Members_; ///< As the leader last told.
  ElectionInput Input_;
  Millis HeardAt_{};
  Millis ElectionAt_{};
  Millis HandOverAt_{};
  std::size_t HandOverTries_ = 0;
  Millis LeadsSince_{};
  Millis SuspectedAt_{};    ///< Zero while the leader answers.
  double StrongestCpu_ = 0; ///< As the leader last told.
  bool Reading_ = false;
  bool Electing_ = false;
  bool Resigned_ = false;
  bool Started_ = false;
  std::minstd_rand Random_;
};

} // namespace damaskglade::cell

#endif
