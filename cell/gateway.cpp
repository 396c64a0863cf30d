#include "cell/gateway.h"

#include <algorithm>
#include <limits>

namespace damaskglade::cell {

namespace {

// Subtracted from the caller's timeout, so that the caller receives the reply
// before it gives up. At most half of the timeout: a call to the leader that
// ends too early leaves its outcome unknown.
constexpr Millis MaxAnswerMargin{150};
// Used if the caller sends no timeout.
constexpr Millis DefaultTimeout{3000};
// Retry-After header of error replies, unless the error has its own value or a
// retry cannot succeed.
constexpr Millis RetryAfter{1000};

const char *rpcMethod(CallerVerb Verb) {
  switch (Verb) {
  case CallerVerb::Submit:
    return "job.submit";
  case CallerVerb::State:
    return "job.state";
  case CallerVerb::Cancel:
    return "job.cancel";
  case CallerVerb::CountPendingJobs:
    return "queue.pending";
  }
  return "";
}

} // namespace

const QueueRoute *Gateway::findRoute(const std::string &Host,
                                     const std::string &Path) const {
  const QueueRoute *BestRoute = nullptr;
  if (!Config_)
    return nullptr;
  for (const QueueRoute &Route : Config_->Routes_) {
    if (Route.Host_ != Host ||
        Path.compare(0, Route.PathPrefix_.size(), Route.PathPrefix_) != 0)
      continue;
    if (!BestRoute || Route.PathPrefix_.size() > BestRoute->PathPrefix_.size())
      BestRoute = &Route;
  }
  return BestRoute;
}

std::optional<Millis> Gateway::configAge() const {
  if (!ConfirmedAt_)
    return std::nullopt;
  return AgeClock_.monotonic() - *ConfirmedAt_;
}

AccessDecision Gateway::checkAccess(const QueueRoute &Route,
                                    const std::string &Key) {
  constexpr Millis Unknown{std::numeric_limits<std::int64_t>::max()};
  const Millis Age = configAge().value_or(Unknown);
  AccessDecision Decision =
      decideAccess(Route, Key, *Config_, Age, AccessSettings_);
  if (Decision.Access_ == Access::Admitted)
    return Decision;
  const bool IsUnknown = Decision.Access_ == Access::UnknownKey;
  Ports_.Metrics_.count(IsUnknown ? "requests_with_unknown_key"
                                  : "requests_with_old_config");
  logEvent(Ports_, LogLevel::Info, "", "access", "",
           std::string(IsUnknown ? "unknown key" : "configuration too old") +
               ", queue=" + Route.Queue_ +
               " version=" + std::to_string(Config_->Version_) +
               " age_ms=" + std::to_string(Age.Value_));
  return Decision;
}

void Gateway::handle(const CallerRequest &Request, const CallerReply &Reply) {
  Json::Value Params;
  if (Request.Verb_ == CallerVerb::CountPendingJobs)
    Params["queue"] = Request.Queue_;
  else
    Params["id"] = Request.Id_;
  if (!Request.Workspace_.empty())
    Params["workspace"] = Request.Workspace_;
  if (Request.Verb_ == CallerVerb::Submit) {
    const Status SpecStatus = dispatch::checkSpec(Request.Spec_);
    if (!SpecStatus) {
      Ports_.Metrics_.countRefusal(SpecStatus.error().Reason_);
      return Reply(SpecStatus.error());
    }
    const std::string Encoded = dispatch::encodeSpec(Request.Spec_);
    if (const Status SizeStatus = dispatch::checkSpecSize(Encoded);
        !SizeStatus) {
      Ports_.Metrics_.countRefusal(SizeStatus.error().Reason_);
      return Reply(SizeStatus.error());
    }
    Params["spec"] = Encoded;
  }
  const Millis Start = Ports_.Clock_.monotonic();
  const Millis Timeout =
      (Request.Timeout_ > Millis{} ? Request.Timeout_ : DefaultTimeout) -
      Request.Waited_;
  // The caller has given up, and may have canceled the job since.
  if (Timeout <= Millis{})
    return Reply(refuse(Request,
                        Error{Reason::DeadlineUnreachable, Effect::None,
                              rpcMethod(Request.Verb_), "",
                              "the request was read after its deadline"},
                        Start));
  const Millis AnswerMargin =
      std::min(MaxAnswerMargin, Millis{Timeout.Value_ / 2});
  Node_->callLeader(
      rpcMethod(Request.Verb_), Params, Start + Timeout - AnswerMargin,
      [this, Request, Reply, Start](const Result<Json::Value> &Outcome) {
        if (Outcome) {
          CallerAnswer Answer;
          Answer.State_ = static_cast<dispatch::JobState>(
              Outcome.value().get("state", 0).asInt());
          Answer.PendingJobs_ = Outcome.value().get("pending", 0).asInt();
          return Reply(Answer);
        }
        Reply(refuse(Request, Outcome.error(), Start));
      });
}

Error Gateway::refuse(const CallerRequest &Request, Error Failure,
                      Millis Start) const {
  if (Failure.RetryAfter_ == Millis{} && Failure.Reason_ != Reason::NotFound &&
      Failure.Reason_ != Reason::IdempotencyKeyReused &&
      Failure.Reason_ != Reason::NeverFits &&
      Failure.Reason_ != Reason::Canceled)
    Failure.RetryAfter_ = RetryAfter;
  Ports_.Metrics_.countRefusal(Failure.Reason_);
  logEvent(Ports_, LogLevel::Warning, Request.Id_, rpcMethod(Request.Verb_),
           Failure.Peer_,
           describe(Failure) + " after_ms=" +
               std::to_string((Ports_.Clock_.monotonic() - Start).Value_));
  return Failure;
}

} // namespace damaskglade::cell
