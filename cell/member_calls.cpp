#include "cell/member.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// Timeout of the ping that a node sends to the leader on behalf of another
// node.
constexpr Millis LeaderCheckTimeout{250};
constexpr Millis CallTimeout{1500};
// If the leader has not replied for this long, calls to it are no longer
// retried, so that callers can turn to another node.
constexpr Millis FailFastSilence{1600};
constexpr Millis CallRetryDelay{100};
// A leader that has not loaded all rows within this time reports that it does
// not lead, so that another node takes over. Loading takes less than a second
// on a node with enough CPU capacity.
constexpr Millis LoadTimeout{4000};

} // namespace

void Member::handlePing(const Json::Value &Params, const RpcReply &Reply) {
  PeerNode &Sender = PeerNodes_[Params["address"].asString()];
  const bool WasLive = Sender.HeardAt_ >= livenessCutoff();
  // A ping on behalf of another node does not tell it.
  const std::int64_t ConfigVersion =
      Params.get("config", Json::Int64(Sender.ConfigVersion_)).asInt64();
  Sender = PeerNode{now(), Params["cpu"].asDouble(), Params["zone"].asString(),
                    ConfigVersion};
  handleConfigVersion(ConfigVersion, Params["address"].asString());
  if (!WasLive && isLeader())
    updateNodeList();
  if (isLeader())
    Leader_->setMajorityHeardAt(majorityHeardAt());
  Json::Value Body;
  const bool CanLead =
      isLeader() && (Leader_->active() || now() < LeadingSince_ + LoadTimeout);
  Body["leads"] = CanLead && !Resigned_;
  Body["electing"] = ElectionWriteOpen_ || ReadingLeaderRow_;
  Body["epoch"] = Json::Int64(LeaderRecord_.Epoch_);
  Body["strongest_cpu"] =
      std::max(Settings_.Cpu_, strongestCpu(PeerNodes_, livenessCutoff()));
  // The list of a large cell costs more than the rest of the reply, and seldom
  // changes.
  if (Params["nodes_digest"].asString() != NodeListDigest_) {
    Body["nodes"] = NodeList_;
    Body["nodes_digest"] = NodeListDigest_;
  }
  addNewerConfig(ConfigVersion, Body);
  addConfigAge(Body);
  Reply(std::move(Body));
}

void Member::addConfigAge(Json::Value &Reply) const {
  const auto Age = ConfigHints_.Age_ ? ConfigHints_.Age_() : std::nullopt;
  if (!Age)
    return;
  Reply["config_in_force"] = Json::Int64(configVersion());
  Reply["config_age_ms"] = Json::Int64(Age->Value_);
}

// The age was told after the ping was sent, so the confirmation is not older
// than the age at that time.
void Member::noteConfigAge(const Json::Value &Reply, Millis SentAt) const {
  if (!ConfigHints_.OnConfirmed_ || !Reply.isObject() ||
      !Reply["config_in_force"].isInt64() || !Reply["config_age_ms"].isInt64())
    return;
  const std::int64_t Age = Reply["config_age_ms"].asInt64();
  if (Age >= 0)
    ConfigHints_.OnConfirmed_(Reply["config_in_force"].asInt64(),
                              SentAt - Millis{Age});
}

void Member::handleConfigVersion(std::int64_t Version,
                                 const std::string &Holder) {
  NewestConfigHeard_ = std::max(NewestConfigHeard_, Version);
  if (Version > configVersion() && ConfigHints_.OnNewerVersion_)
    ConfigHints_.OnNewerVersion_(Version, Holder);
}

// Nodes without the newest version are sent to different holders of it, since
// the leader has least time to pass it on.
void Member::addNewerConfig(std::int64_t Version, Json::Value &Reply) {
  const std::int64_t Newest = std::max(configVersion(), NewestConfigHeard_);
  if (Version >= Newest)
    return;
  std::vector<std::string> Holders;
  for (const auto &[Address, Node] : PeerNodes_)
    if (Node.ConfigVersion_ == Newest && Node.HeardAt_ >= livenessCutoff())
      Holders.push_back(Address);
  if (Holders.empty() && configVersion() == Newest)
    Holders.push_back(Settings_.PeerListen_);
  if (Holders.empty())
    return;
  Reply["config"] = Json::Int64(Newest);
  Reply["config_holder"] = Holders[Random_() % Holders.size()];
}

void Member::reportNodes(const std::vector<std::string> &Addresses) {
  if (ConfigHints_.OnNodes_)
    ConfigHints_.OnNodes_(Addresses);
}

// Tells another node whether this node reaches the leader. Pings the leader for
// this, since an earlier reply does not show that it is still running.
void Member::handleLeaderCheck(const Json::Value &Params,
                               const RpcReply &Reply) {
  if (isLeader() || LeaderRecord_.Epoch_ > Params["epoch"].asInt64())
    return answerLeaderCheck(Reply, true);
  if (LeaderRecord_.Epoch_ < Params["epoch"].asInt64())
    return answerLeaderCheck(Reply, false);
  // All nodes ask each other when a leader is late. They share a ping, since
  // one for each question would keep the leader late.
  LeaderChecks_.push_back(Reply);
  if (LeaderChecks_.size() > 1)
    return;
  Json::Value PingParams;
  PingParams["address"] = Settings_.PeerListen_;
  PingParams["cpu"] = Settings_.Cpu_;
  PingParams["zone"] = Settings_.Zone_;
  PingParams["nodes_digest"] = ReportedNodesDigest_;
  Ports_.Peers_.call(LeaderRecord_.Address_, "node.ping", PingParams,
                     LeaderCheckTimeout,
                     [Self = shared_from_this(), Epoch = LeaderRecord_.Epoch_](
                         const Result<Json::Value> &PingReply) {
                       // The checks that wait by now are about a later leader.
                       if (Epoch != Self->LeaderRecord_.Epoch_)
                         return;
                       Self->answerWaitingChecks(
                           PingReply && PingReply.value()["leads"].asBool());
                     });
}

void Member::answerWaitingChecks(bool LeaderReached) {
  for (const RpcReply &Waiting : std::exchange(LeaderChecks_, {}))
    answerLeaderCheck(Waiting, LeaderReached);
}

void Member::answerLeaderCheck(const RpcReply &Reply,
                               bool LeaderReached) const {
  Json::Value Body;
  Body["hears"] = LeaderReached;
  Body["cpu"] = Settings_.Cpu_;
  Reply(std::move(Body));
}

void Member::addMethods(RpcServer &Server) {
  const auto Self = shared_from_this();
  Server.add("node.ping",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->handlePing(Params, Reply);
             });
  Server.add("node.hears",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->handleLeaderCheck(Params, Reply);
             });
  Server.add("node.take_lead",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->handleTakeoverRequest(Params, Reply);
             });
  Server.add("node.wants_takeover",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->confirmTakeoverRequest(Params, Reply);
             });
  Server.add("advice.ask",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               serveAdvice(Self->Ports_, Params, Reply);
             });
  Server.addBinary("relay.calls",
                   [Self](const std::string &Params, const RpcReply &Reply) {
                     Self->Relay_->handleCalls(Params, Reply);
                   });
  Server.addBinary("relay.replies",
                   [Self](const std::string &Params, const RpcReply &Reply) {
                     if (!Self->isLeader())
                       return Reply(Error{Reason::NotOwner,
                                          Effect::None,
                                          "relay replies",
                                          "",
                                          "this node is not the leader",
                                          {}});
                     Self->Leader_->handleRelayReplies(Params, Reply);
                   });
  for (const char *Method :
       {"job.submit", "job.state", "job.cancel", "queue.pending"})
    Server.add(Method, [Self, Method](const Json::Value &Params,
                                      const RpcReply &Reply) {
      Self->serveLocal(Method, Params, Reply);
    });
}

void Member::serveLocal(const std::string &Method, const Json::Value &Params,
                        const RpcReply &Reply) {
  if (!isLeader())
    return Reply(Error{Reason::NotOwner, Effect::None, Method, "",
                       "this node is not the leader"});
  const std::string Id = Params["id"].asString();
  const std::string Workspace = Params.get("workspace", "").asString();
  if (Method == "job.state")
    return Leader_->state(Id, Workspace, Reply);
  if (Method == "job.cancel")
    return Leader_->cancel(Id, Workspace, Reply);
  if (Method == "queue.pending")
    return Leader_->countPendingJobs(Params["queue"].asString(), Reply);
  auto Spec = dispatch::decodeSpec(Id, Params["spec"].asString());
  if (!Spec)
    return Reply(Spec.error());
  Leader_->submit(Spec.value(), Reply);
}

void Member::callLeader(const std::string &Method, const Json::Value &Params,
                        Millis Deadline, RpcReply Reply) {
  tryCall(std::make_shared<LeaderCall>(
      LeaderCall{Method, Params, Deadline, std::move(Reply), false}));
}

void Member::tryCall(const std::shared_ptr<LeaderCall> &Call) {
  // This node may have been stopped since the call was made or last tried.
  if (now() >= Call->Deadline_)
    return Call->Reply_(
        Error{Reason::DeadlineUnreachable,
              Call->MayHaveEffect_ ? Effect::Unknown : Effect::None,
              Call->Method_, "", "the deadline has passed"});
  const auto HandleReply = [Self = shared_from_this(),
                            Call](Result<Json::Value> Reply) {
    if (Reply)
      return Call->Reply_(std::move(Reply));
    const Error &Failure = Reply.error();
    const bool IsFinal = Failure.Reason_ == Reason::NotFound ||
                         Failure.Reason_ == Reason::NeverFits ||
                         Failure.Reason_ == Reason::InvalidField ||
                         Failure.Reason_ == Reason::IdempotencyKeyReused ||
                         Failure.Reason_ == Reason::QuotaExceeded ||
                         Failure.Reason_ == Reason::QueueFull ||
                         Failure.Reason_ == Reason::DeadlineUnreachable ||
                         Failure.Reason_ == Reason::Canceled ||
                         Failure.Reason_ == Reason::TableUnavailable;
    if (IsFinal && !Call->MayHaveEffect_)
      return Call->Reply_(Failure);
    Call->MayHaveEffect_ =
        Call->MayHaveEffect_ || Failure.Effect_ != Effect::None;
    Self->retryCall(Call, Failure);
  };
  if (isLeader())
    return serveLocal(Call->Method_, Call->Params_, HandleReply);
  if (LeaderRecord_.Epoch_ == 0 ||
      LeaderRecord_.Address_ == Settings_.PeerListen_)
    return HandleReply(Error{Reason::NotReady, Effect::None, Call->Method_, "",
                             "no leader is known"});
  const Millis TimeLeft = Call->Deadline_ - now();
  Ports_.Peers_.call(LeaderRecord_.Address_, Call->Method_, Call->Params_,
                     std::min(CallTimeout, std::max(TimeLeft, Millis{1})),
                     HandleReply);
}

void Member::retryCall(const std::shared_ptr<LeaderCall> &Call,
                       const Error &Failure) {
  Ports_.Metrics_.countRetry(Failure.Reason_);
  const bool FailFast = !isLeader() && now() > LeaderHeardAt_ + FailFastSilence;
  if (FailFast || now() + CallRetryDelay + CallRetryDelay > Call->Deadline_) {
    Error FinalError = Failure;
    FinalError.Effect_ = Call->MayHaveEffect_ ? Effect::Unknown : Effect::None;
    return Call->Reply_(FinalError);
  }
  // One ping serves all calls that fail.
  if (!isLeader() && Failure.Reason_ != Reason::NotReady && OpenPings_ == 0)
    ping();
  Ports_.Timers_.after(CallRetryDelay, [Self = shared_from_this(), Call] {
    Self->tryCall(Call);
  });
}

} // namespace damaskglade::cell
