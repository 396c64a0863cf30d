#include "cell/gateway.h"

#include <algorithm>

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

const std::string &workspaceOf(const CallerRequest &Request) {
  return Request.Workspace_.empty() ? Request.Spec_.Workspace_
                                    : Request.Workspace_;
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

bool Gateway::rejectOverShare(const CallerRequest &Request,
                              const CallerReply &Reply) {
  const Millis Remaining = ShareRejections_.remaining(
      workspaceOf(Request), Request.Id_, Ports_.Clock_.monotonic());
  if (Remaining == Millis{}) {
    ShareRejections_.noteSent(Request.Id_);
    return false;
  }
  const Error Failure{Reason::QuotaExceeded,
                      Effect::None,
                      "submit",
                      "",
                      "workspace " + workspaceOf(Request) +
                          " is over its share, as the leader has told",
                      Remaining};
  Ports_.Metrics_.count("jobs_rejected_over_share_locally");
  Ports_.Metrics_.countRefusal(Failure.Reason_);
  Reply(Failure);
  return true;
}

void Gateway::handle(const CallerRequest &Request, const CallerReply &Reply) {
  Json::Value Params;
  if (Request.Verb_ == CallerVerb::CountPendingJobs)
    Params["queue"] = Request.Queue_;
  else
    Params["id"] = Request.Id_;
  if (Request.Verb_ == CallerVerb::Submit) {
    const Status SpecStatus = dispatch::checkSpec(Request.Spec_);
    if (!SpecStatus) {
      Ports_.Metrics_.countRefusal(SpecStatus.error().Reason_);
      return Reply(SpecStatus.error());
    }
    if (rejectOverShare(Request, Reply))
      return;
    Params["spec"] = dispatch::encodeSpec(Request.Spec_);
  }
  const Millis Timeout =
      Request.Timeout_ > Millis{} ? Request.Timeout_ : DefaultTimeout;
  const Millis AnswerMargin =
      std::min(MaxAnswerMargin, Millis{Timeout.Value_ / 2});
  const Millis Start = Ports_.Clock_.monotonic();
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
        Error Failure = Outcome.error();
        if (Request.Verb_ == CallerVerb::Submit &&
            Failure.Reason_ == Reason::QuotaExceeded)
          ShareRejections_.noteRejected(workspaceOf(Request),
                                        Ports_.Clock_.monotonic() +
                                            Failure.RetryAfter_);
        if (Failure.RetryAfter_ == Millis{} &&
            Failure.Reason_ != Reason::NotFound &&
            Failure.Reason_ != Reason::NeverFits)
          Failure.RetryAfter_ = RetryAfter;
        Ports_.Metrics_.countRefusal(Failure.Reason_);
        logEvent(
            Ports_, LogLevel::Warning, Request.Id_, rpcMethod(Request.Verb_),
            Failure.Peer_,
            describe(Failure) + " after_ms=" +
                std::to_string((Ports_.Clock_.monotonic() - Start).Value_));
        Reply(Failure);
      });
}

} // namespace damaskglade::cell
