#include "drivers/platform/worker_client.h"

#include "core/codec.h"
#include "drivers/platform/http_pool.h"

#include <algorithm>

namespace damaskglade::drivers {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpAccepted = 202;
constexpr int HttpNotFound = 404;
constexpr const char *ContentType = "application/json";

class WorkerClientHttp : public WorkerClient {
public:
  Result<AttemptReport> start(const std::string &Address,
                              const StartRequest &Request,
                              Millis Timeout) override {
    const std::string Step = "start task";
    BOOST_OUTCOME_TRY(Body, send(Address, "POST", "/v1/tasks",
                                 writeJson(encodeStartRequest(Request)),
                                 Timeout, Step));
    return reportOf(Body, Request.Attempt_, Address, Step);
  }

  Result<LeaseReply> renew(const std::string &Address,
                           const LeaseRequest &Request,
                           Millis Timeout) override {
    const std::string Step = "renew leases";
    BOOST_OUTCOME_TRY(Body, send(Address, "POST", "/v1/lease",
                                 writeJson(encodeLeaseRequest(Request)),
                                 Timeout, Step));
    auto Reply = decodeLeaseReply(Body);
    if (!Reply)
      return invalidReply(Address, Step, Reply.error().Message_);
    std::erase_if(Reply.value().Finished_, [](const AttemptReport &Report) {
      return !isWhole(Report.Answer_);
    });
    return Reply;
  }

  Result<AttemptReport> state(const std::string &Address,
                              const std::string &Attempt,
                              Millis Timeout) override {
    const std::string Step = "query attempt";
    BOOST_OUTCOME_TRY(
        Body, send(Address, "GET", "/v1/tasks/" + Attempt, "", Timeout, Step));
    return reportOf(Body, Attempt, Address, Step);
  }

  Status control(const std::string &Address, const std::string &Attempt,
                 TaskControl Action, Millis Timeout) override {
    const std::string Name(taskControlName(Action));
    BOOST_OUTCOME_TRY(send(Address, "POST", "/v1/tasks/" + Attempt + "/" + Name,
                           "{}", Timeout, Name + " task"));
    return success();
  }

private:
  Result<Json::Value> send(const std::string &Address,
                           const std::string &Method, const std::string &Path,
                           const std::string &Body, Millis Timeout,
                           const std::string &Step) {
    const HttpCall Request{
        Method, Path, Body, Body.empty() ? "" : ContentType, {}};
    BOOST_OUTCOME_TRY(Reply, Pool_.call(Address, Request, Timeout, Step));
    auto Parsed = parseJson(Reply.Body_, Step);
    if (!Parsed)
      return invalidReply(Address, Step,
                          "status " + std::to_string(Reply.Status_) +
                              " without a JSON body");
    if (Reply.Status_ == HttpOk || Reply.Status_ == HttpAccepted)
      return Parsed;
    return refusal(Address, Step, Reply.Status_, Parsed.value());
  }

  static Error refusal(const std::string &Address, const std::string &Step,
                       int HttpStatus, const Json::Value &Body) {
    const Json::Value &Name = Body["reason"];
    const Reason Why =
        Name.isString() ? reasonFromName(Name.asString()) : Reason::Internal;
    Error Failure{Why, Effect::None, Step, Address,
                  "refused with status " + std::to_string(HttpStatus)};
    // Only the reasons that the worker API defines promise that nothing ran.
    const bool Defined =
        Why == Reason::StaleEpoch || Why == Reason::StartExpired ||
        Why == Reason::WorkerLeaving || Why == Reason::WorkerFull ||
        Why == Reason::StartFailed || Why == Reason::InvalidField ||
        (Why == Reason::NotFound && HttpStatus == HttpNotFound);
    if (!Defined)
      Failure.Effect_ = Effect::Unknown;
    return Failure;
  }

  static Error invalidReply(const std::string &Address, const std::string &Step,
                            const std::string &Problem) {
    return Error{Reason::AnswerTruncated, Effect::Unknown, Step, Address,
                 Problem};
  }

  static Result<AttemptReport> reportOf(const Json::Value &Body,
                                        const std::string &Attempt,
                                        const std::string &Address,
                                        const std::string &Step) {
    auto Report = decodeAttemptReport(Body);
    if (!Report)
      return invalidReply(Address, Step, Report.error().Message_);
    if (Report.value().Attempt_ != Attempt)
      return invalidReply(
          Address, Step, "the reply is for attempt " + Report.value().Attempt_);
    if (Report.value().State_ == AttemptState::Finished &&
        !isWhole(Report.value().Answer_))
      return invalidReply(Address, Step,
                          "length or digest of the answer does not match");
    return Report;
  }

  HttpPool Pool_;
};

} // namespace

std::unique_ptr<WorkerClient> makeWorkerClient() {
  return std::make_unique<WorkerClientHttp>();
}

} // namespace damaskglade::drivers
