#include "cell/member.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

constexpr Millis CheckTimeout{250};
constexpr Millis CallTimeout{1500};
// From then on callers are told at once to come back, to another node.
constexpr Millis HopelessSilence{1600};
constexpr Millis CallRetry{100};
// Loading takes less than a second on a strong node.
constexpr Millis LoadPatience{4000};

} // namespace

void Member::answerPing(const Json::Value &Params, const RpcReply &Reply) {
  Nodes_[Params["address"].asString()] =
      PeerNode{now(), Params["cpu"].asDouble()};
  Json::Value Out;
  // A leader that cannot load the rows gives way.
  const bool Loads =
      leads() && (Leader_->active() || now() < LeadsSince_ + LoadPatience);
  Out["leads"] = Loads && !Resigned_;
  Out["electing"] = Electing_ || Reading_;
  Out["epoch"] = Json::Int64(View_.Epoch_);
  Out["strongest_cpu"] =
      std::max(Settings_.Cpu_, strongestCpu(Nodes_, liveSince()));
  Out["nodes"] = Json::arrayValue;
  for (const std::string &Each : liveNodes())
    Out["nodes"].append(Each);
  Reply(std::move(Out));
}

// Asks the leader itself: what was heard before tells nothing of a leader that
// was killed since.
void Member::answerHears(const Json::Value &Params, const RpcReply &Reply) {
  const auto Answer = [Reply](bool Hears) {
    Json::Value Out;
    Out["hears"] = Hears;
    Reply(std::move(Out));
  };
  if (leads() || View_.Epoch_ > Params["epoch"].asInt64())
    return Answer(true);
  if (View_.Epoch_ < Params["epoch"].asInt64())
    return Answer(false);
  Json::Value Ping;
  Ping["address"] = Settings_.PeerListen_;
  Ping["cpu"] = Settings_.Cpu_;
  Ports_.Peers_.call(View_.Address_, "node.ping", Ping, CheckTimeout,
                     [Answer](const Result<Json::Value> &Pong) {
                       Answer(Pong && Pong.value()["leads"].asBool());
                     });
}

void Member::addMethods(RpcServer &Server) {
  const auto Self = shared_from_this();
  Server.add("node.ping",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->answerPing(Params, Reply);
             });
  Server.add("node.hears",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->answerHears(Params, Reply);
             });
  Server.add("node.take_lead",
             [Self](const Json::Value &Params, const RpcReply &Reply) {
               Self->Input_ = ElectionInput{};
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
  if (!leads())
    return Reply(Error{Reason::NotOwner, Effect::None, Method, "",
                       "this node does not lead"});
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
    if (Final && !Call->Unclear_)
      return Call->Reply_(Failure);
    Call->Unclear_ = Call->Unclear_ || Failure.Effect_ != Effect::None;
    Self->retryCall(Call, Failure);
  };
  if (leads())
    return serveLocal(Call->Method_, Call->Params_, Answer);
  if (View_.Epoch_ == 0 || View_.Address_ == Settings_.PeerListen_)
    return Answer(Error{Reason::NotReady, Effect::None, Call->Method_, "",
                        "no leader is known"});
  const Millis Left = Call->Deadline_ - now();
  Ports_.Peers_.call(View_.Address_, Call->Method_, Call->Params_,
                     std::min(CallTimeout, std::max(Left, Millis{1})), Answer);
}

void Member::retryCall(const std::shared_ptr<OpenCall> &Call,
                       const Error &Failure) {
  Ports_.Metrics_.countRetry(Failure.Reason_);
  const bool Hopeless = !leads() && now() > HeardAt_ + HopelessSilence;
  if (Hopeless || now() + CallRetry + CallRetry > Call->Deadline_) {
    Error Last = Failure;
    Last.Effect_ = Call->Unclear_ ? Effect::Unknown : Effect::None;
    return Call->Reply_(Last);
  }
  if (!leads() && Failure.Reason_ != Reason::NotReady)
    ping();
  Ports_.Timers_.after(
      CallRetry, [Self = shared_from_this(), Call] { Self->tryCall(Call); });
}

} // namespace damaskglade::cell
