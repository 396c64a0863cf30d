#include "cell/member.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

constexpr Millis LeaderCheckTimeout{250};
constexpr Millis CallTimeout{1500};
// Once the leader has been silent for this long, calls fail at once so that
// callers retry at another node.
constexpr Millis FailFastSilence{1600};
constexpr Millis CallRetryDelay{100};
// Loading takes less than a second on a strong node.
constexpr Millis LoadTimeout{4000};

} // namespace

void Member::handlePing(const Json::Value &Params, const RpcReply &Reply) {
  Nodes_[Params["address"].asString()] =
      PeerNode{now(), Params["cpu"].asDouble()};
  Json::Value Body;
  // A leader that cannot load the rows lets another node take over.
  const bool CanLead =
      isLeader() && (Leader_->active() || now() < LeadingSince_ + LoadTimeout);
  Body["leads"] = CanLead && !Resigned_;
  Body["electing"] = Electing_ || ReadingLeaderRow_;
  Body["epoch"] = Json::Int64(View_.Epoch_);
  Body["strongest_cpu"] =
      std::max(Settings_.Cpu_, strongestCpu(Nodes_, livenessCutoff()));
  Body["nodes"] = Json::arrayValue;
  for (const std::string &Node : liveNodes())
    Body["nodes"].append(Node);
  Reply(std::move(Body));
}

// Pings the leader now, since an earlier reply does not show whether it is
// still running.
void Member::handleHears(const Json::Value &Params, const RpcReply &Reply) {
  const auto Answer = [Reply](bool LeaderReached) {
    Json::Value Body;
    Body["hears"] = LeaderReached;
    Reply(std::move(Body));
  };
  if (isLeader() || View_.Epoch_ > Params["epoch"].asInt64())
    return Answer(true);
  if (View_.Epoch_ < Params["epoch"].asInt64())
    return Answer(false);
  Json::Value Ping;
  Ping["address"] = Settings_.PeerListen_;
  Ping["cpu"] = Settings_.Cpu_;
  Ports_.Peers_.call(View_.Address_, "node.ping", Ping, LeaderCheckTimeout,
                     [Answer](const Result<Json::Value> &PingReply) {
                       Answer(PingReply && PingReply.value()["leads"].asBool());
                     });
}

void Member::addMethods(RpcServer &Server) {
  const auto Self = shared_from_this();
  Server.add("node.ping",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->handlePing(Params, Reply);
             });
  Server.add("node.hears",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->handleHears(Params, Reply);
             });
  Server.add("node.take_lead",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->ElectionInput_ = ElectionInput{};
               Self->takeOver(Params["epoch"].asInt64());
               Reply(Json::Value(Json::objectValue));
             });
  Server.add("advice.ask",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               serveAdvice(Self->Ports_, Params, Reply);
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
  if (Method == "job.state")
    return Leader_->state(Id, Reply);
  if (Method == "job.cancel")
    return Leader_->cancel(Id, Reply);
  if (Method == "queue.pending")
    return Leader_->pending(Params["queue"].asString(), Reply);
  auto Spec = dispatch::decodeSpec(Id, Params["spec"].asString());
  if (!Spec)
    return Reply(Spec.error());
  Leader_->submit(Spec.value(), Reply);
}

void Member::callLeader(const std::string &Method, const Json::Value &Params,
                        Millis Deadline, RpcReply Reply) {
  tryCall(std::make_shared<OpenCall>(
      OpenCall{Method, Params, Deadline, std::move(Reply), false}));
}

void Member::tryCall(const std::shared_ptr<OpenCall> &Call) {
  const auto Answer = [Self = shared_from_this(),
                       Call](Result<Json::Value> Reply) {
    if (Reply)
      return Call->Reply_(std::move(Reply));
    const Error &Failure = Reply.error();
    const bool Final = Failure.Reason_ == Reason::NotFound ||
                       Failure.Reason_ == Reason::NeverFits ||
                       Failure.Reason_ == Reason::InvalidField ||
                       Failure.Reason_ == Reason::QueueFull ||
                       Failure.Reason_ == Reason::DeadlineUnreachable ||
                       Failure.Reason_ == Reason::TableUnavailable;
    if (Final && !Call->MayHaveEffect_)
      return Call->Reply_(Failure);
    Call->MayHaveEffect_ =
        Call->MayHaveEffect_ || Failure.Effect_ != Effect::None;
    Self->retryCall(Call, Failure);
  };
  if (isLeader())
    return serveLocal(Call->Method_, Call->Params_, Answer);
  if (View_.Epoch_ == 0 || View_.Address_ == Settings_.PeerListen_)
    return Answer(Error{Reason::NotReady, Effect::None, Call->Method_, "",
                        "no leader is known"});
  const Millis TimeLeft = Call->Deadline_ - now();
  Ports_.Peers_.call(View_.Address_, Call->Method_, Call->Params_,
                     std::min(CallTimeout, std::max(TimeLeft, Millis{1})),
                     Answer);
}

void Member::retryCall(const std::shared_ptr<OpenCall> &Call,
                       const Error &Failure) {
  Ports_.Metrics_.countRetry(Failure.Reason_);
  const bool FailFast = !isLeader() && now() > LeaderHeardAt_ + FailFastSilence;
  if (FailFast || now() + CallRetryDelay + CallRetryDelay > Call->Deadline_) {
    Error FinalError = Failure;
    FinalError.Effect_ = Call->MayHaveEffect_ ? Effect::Unknown : Effect::None;
    return Call->Reply_(FinalError);
  }
  if (!isLeader() && Failure.Reason_ != Reason::NotReady)
    ping();
  Ports_.Timers_.after(CallRetryDelay, [Self = shared_from_this(), Call] {
    Self->tryCall(Call);
  });
}

} // namespace damaskglade::cell
