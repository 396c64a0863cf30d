#include "node/caller_api.h"

#include "core/codec.h"
#include "node/job_json.h"

#include <algorithm>
#include <charconv>

namespace damaskglade::node {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr Millis DefaultWaitTimeout{10000};
// Callers split longer waits, so that they notice a broken connection.
constexpr Millis MaxWaitTimeout{60000};
constexpr Millis PeerTimeout{2000};

const std::string JobsPath = "/v1/jobs";
const std::string ConfigPath = "/v1/config";
const std::string WorkersPath = "/v1/workers/";

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

Error notFound(const HttpRequest &Request) {
  return Error{Reason::NotFound, Effect::None, "route request", Request.Path_,
               "no such path or method"};
}

Result<Millis> readTimeout(const HttpRequest &Request) {
  const auto Found = Request.Query_.find("timeout_ms");
  if (Found == Request.Query_.end())
    return DefaultWaitTimeout;
  const std::string &Text = Found->second;
  std::int64_t Value = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Code != std::errc{} || End != Text.data() + Text.size() || Value < 0 ||
      Value > MaxWaitTimeout.Value_)
    return invalidField("wait for job", "timeout_ms",
                        "must be a whole number from 0 to 60000");
  return Millis{Value};
}

} // namespace

HttpReply CallerApi::refuse(const Error &Failure) {
  Ports_.Metrics_.countRefusal(Failure.Reason_);
  return errorReply(Failure);
}

HttpReply CallerApi::handle(const HttpRequest &Request) {
  if (Request.Path_ == JobsPath && Request.Method_ == "POST")
    return submit(Request);
  if (startsWith(Request.Path_, JobsPath + "/"))
    return handleJobs(Request, Request.Path_.substr(JobsPath.size() + 1));
  if (startsWith(Request.Path_, ConfigPath))
    return Config_.handle(Request, Request.Path_.substr(ConfigPath.size()));
  if (Request.Path_ == "/v1/reports" && Request.Method_ == "POST")
    return report(Request);
  if (Request.Path_ == "/v1/nodes" && Request.Method_ == "GET")
    return listNodes();
  if (Request.Path_ == "/v1/workers" && Request.Method_ == "GET")
    return listWorkers(Request);
  if (startsWith(Request.Path_, WorkersPath) && Request.Method_ == "POST")
    return controlWorker(Request, Request.Path_.substr(WorkersPath.size()));
  return refuse(notFound(Request));
}

HttpReply CallerApi::submit(const HttpRequest &Request) {
  const auto Body = parseJson(Request.Body_, "submit job");
  if (!Body)
    return refuse(Body.error());
  const auto Spec = decodeJobSpec(Body.value());
  if (!Spec)
    return refuse(Spec.error());
  if (!Ownership_.isReady() && Spec.value().Class_ != TaskClass::Lookup)
    return refuse(Error{Reason::NotReady, Effect::None, "submit job", Self_.Id_,
                        "the node has not joined the cell yet", Millis{1000}});
  const auto Reply = Jobs_.submit(Spec.value());
  if (!Reply) {
    Ports_.Log_.write(failureEvent(Reply.error(), Spec.value().Key_));
    return refuse(Reply.error());
  }
  return jsonReply(Reply.value().Created_ ? StatusAccepted : StatusOk,
                   describeJob(Reply.value().Record_));
}

HttpReply CallerApi::handleJobs(const HttpRequest &Request,
                                const std::string &Subpath) {
  const std::size_t Slash = Subpath.find('/');
  const std::string Id = Subpath.substr(0, Slash);
  const std::string Action =
      Slash == std::string::npos ? std::string() : Subpath.substr(Slash + 1);
  if (Action == "wait" && Request.Method_ == "GET")
    return wait(Request, Id);
  const bool IsStatus = Action.empty() && Request.Method_ == "GET";
  const bool IsCancel = Action == "cancel" && Request.Method_ == "POST";
  if (!IsStatus && !IsCancel)
    return refuse(notFound(Request));
  const auto Job = IsStatus ? Jobs_.status(Id) : Jobs_.cancel(Id);
  if (!Job)
    return refuse(Job.error());
  return jsonReply(StatusOk, describeJob(Job.value()));
}

HttpReply CallerApi::wait(const HttpRequest &Request, const std::string &Id) {
  const auto Timeout = readTimeout(Request);
  if (!Timeout)
    return refuse(Timeout.error());
  const auto Job = Jobs_.wait(Id, Timeout.value());
  if (!Job)
    return refuse(Job.error());
  return jsonReply(StatusOk, describeJob(Job.value()));
}

HttpReply CallerApi::report(const HttpRequest &Request) {
  const auto Body = parseJson(Request.Body_, "report completion");
  if (!Body)
    return refuse(Body.error());
  AttemptReport Report;
  Report.Attempt_ = Body.value()["attempt"].asString();
  Report.State_ = AttemptState::Finished;
  Report.Answer_ = decodeAnswer(Body.value());
  if (!isWhole(Report.Answer_))
    return refuse(Error{Reason::AnswerTruncated, Effect::Unknown,
                        "report completion", Report.Attempt_,
                        "length or digest of the answer does not match"});
  const Status Recorded =
      Owner_.report(Body.value()["worker"].asString(), Report);
  // The worker repeats a refused report in its lease replies to the new owner.
  if (!Recorded)
    return refuse(Recorded.error());
  return jsonReply(StatusOk, Json::Value(Json::objectValue));
}

HttpReply CallerApi::listNodes() {
  Json::Value Body;
  Body["nodes"] = Json::Value(Json::arrayValue);
  for (const ownership::NodeInfo &Node : Ownership_.nodes()) {
    Json::Value Entry;
    Entry["id"] = Node.Id_;
    Entry["zone"] = Node.Zone_;
    Entry["address"] = Node.Address_;
    Entry["incarnation"] = static_cast<Json::Int64>(Node.Incarnation_);
    Entry["live"] = Node.Live_;
    Entry["leaving"] = Node.Leaving_;
    Body["nodes"].append(Entry);
  }
  Body["shards"] = Json::Value(Json::arrayValue);
  for (const ownership::ShardInfo &Shard : Ownership_.shards()) {
    Json::Value Entry;
    Entry["id"] = Shard.Shard_;
    Entry["owner"] = Shard.Owner_;
    Entry["epoch"] = static_cast<Json::Int64>(Shard.Epoch_);
    Body["shards"].append(Entry);
  }
  return jsonReply(StatusOk, Body);
}

HttpReply CallerApi::listWorkers(const HttpRequest &Request) {
  Json::Value Body;
  Body["workers"] = Json::Value(Json::arrayValue);
  Body["unreachable_nodes"] = Json::Value(Json::arrayValue);
  for (const WorkerStatus &Worker : Owner_.workers()) {
    Json::Value Entry = describeWorker(Worker);
    Entry["owner"] = Self_.Id_;
    Body["workers"].append(Entry);
  }
  if (Request.Query_.count("local") != 0)
    return jsonReply(StatusOk, Body);
  for (const PeerState &Peer : Routes_.peers()) {
    const auto Reply =
        Ports_.Peers_.call(Peer.Address_, "listWorkers",
                           Json::Value(Json::objectValue), PeerTimeout);
    if (!Reply) {
      Body["unreachable_nodes"].append(Peer.Id_);
      continue;
    }
    for (const Json::Value &Worker : Reply.value()["workers"])
      Body["workers"].append(Worker);
  }
  return jsonReply(StatusOk, Body);
}

Status controlOwnWorker(ShardOwner &Owner, const std::string &Worker,
                        const std::string &Action) {
  if (Action == "drain" || Action == "undrain")
    return Owner.setDrained(Worker, Action == "drain");
  if (Action == "quarantine" || Action == "release")
    return Owner.setQuarantined(Worker, Action == "quarantine");
  return invalidField("control worker", "action",
                      "must be drain, undrain, quarantine or release");
}

HttpReply CallerApi::controlWorker(const HttpRequest &Request,
                                   const std::string &Subpath) {
  const std::size_t Slash = Subpath.find('/');
  if (Slash == std::string::npos)
    return refuse(notFound(Request));
  const std::string Worker = Subpath.substr(0, Slash);
  const std::string Action = Subpath.substr(Slash + 1);
  Json::Value Control;
  Control["worker"] = Worker;
  Control["action"] = Action;
  const Status LocalResult = controlOwnWorker(Owner_, Worker, Action);
  if (LocalResult)
    return jsonReply(StatusOk, Control);
  if (LocalResult.error().Reason_ != Reason::NotOwner)
    return refuse(LocalResult.error());
  for (const PeerState &Peer : Routes_.peers())
    if (Ports_.Peers_.call(Peer.Address_, "controlWorker", Control,
                           PeerTimeout))
      return jsonReply(StatusOk, Control);
  return refuse(Error{Reason::NotFound, Effect::None, "control worker", Worker,
                      "no node owns a worker with this id"});
}

} // namespace damaskglade::node
