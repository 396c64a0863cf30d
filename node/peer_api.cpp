#include "node/peer_api.h"

#include "core/codec.h"
#include "node/caller_api.h"
#include "node/job_json.h"

namespace damaskglade::node {

namespace {

Json::Value emptyReply() { return Json::Value(Json::objectValue); }

Error unknownMethod(const std::string &Method) {
  return Error{Reason::NotFound, Effect::None, Method, "",
               "the method does not exist"};
}

// An empty JSON object on success, otherwise the error.
Result<Json::Value> statusReply(const Status &Outcome) {
  if (!Outcome)
    return Outcome.error();
  return emptyReply();
}

} // namespace

const std::vector<std::string> &PeerApi::methods() {
  static const std::vector<std::string> Names = {
      "heartbeat", "ownership", "execute",       "reserve",       "start",
      "release",   "stopTask",  "attemptStatus", "finished",      "jobStatus",
      "waitJob",   "cancelJob", "listWorkers",   "controlWorker", "configBody",
  };
  return Names;
}

Result<Json::Value> PeerApi::handle(const std::string &,
                                    const std::string &Method,
                                    const Json::Value &Message) {
  if (Method == "heartbeat")
    return heartbeat(Message);
  if (Method == "ownership")
    return parseJson(Ownership_.handleMessage(writeJson(Message)), Method);
  if (Method == "configBody")
    return configBody(Message);
  if (Method == "listWorkers")
    return listWorkers();
  if (Method == "controlWorker")
    return statusReply(controlOwnWorker(Owner_, Message["worker"].asString(),
                                        Message["action"].asString()));
  if (Method == "finished" || Method == "jobStatus" || Method == "waitJob" ||
      Method == "cancelJob")
    return handleHome(Method, Message);
  return handleOwner(Method, Message);
}

Result<Json::Value> PeerApi::heartbeat(const Json::Value &Message) {
  BOOST_OUTCOME_TRY(Received, decodeHeartbeat(Message));
  Routes_.recordHeartbeat(Received, Ports_.Clock_.monotonic());
  Follower_.offer(Received.ConfigVersion_, Received.ConfigHash_);
  return encode(MakeHeartbeat_());
}

Result<Json::Value> PeerApi::handleOwner(const std::string &Method,
                                         const Json::Value &Message) {
  if (Method == "execute") {
    BOOST_OUTCOME_TRY(Request, decodeExecuteRequest(Message));
    BOOST_OUTCOME_TRY(Reply, Owner_.execute(Request));
    return encodeAnswer(Reply);
  }
  if (Method == "reserve") {
    BOOST_OUTCOME_TRY(Request, decodeReserveRequest(Message));
    return encode(Owner_.reserve(Request));
  }
  if (Method == "start") {
    BOOST_OUTCOME_TRY(Command, decodeStartCommand(Message));
    return statusReply(Owner_.startTask(Command));
  }
  BOOST_OUTCOME_TRY(List, decodeAttemptList(Message));
  if (Method == "release") {
    Owner_.release(List);
    return emptyReply();
  }
  if (List.Tries_.empty())
    return invalidField(Method, "tries", "is empty");
  if (Method == "stopTask")
    return statusReply(Owner_.control(attemptId(List.Job_, List.Tries_.front()),
                                      TaskControl::Stop));
  if (Method == "attemptStatus") {
    BOOST_OUTCOME_TRY(CurrentStatus,
                      Owner_.status(List.Job_, List.Tries_.front()));
    return encode(CurrentStatus);
  }
  return unknownMethod(Method);
}

Result<Json::Value> PeerApi::handleHome(const std::string &Method,
                                        const Json::Value &Message) {
  if (Method == "finished") {
    BOOST_OUTCOME_TRY(Notice, decodeFinishedNotice(Message));
    Json::Value Reply;
    Reply["recorded"] = Home_.finish(Notice.Attempt_, Notice.Status_);
    return Reply;
  }
  BOOST_OUTCOME_TRY(Query, decodeJobQuery(Message));
  if (Method == "cancelJob") {
    BOOST_OUTCOME_TRY(Record, Home_.cancel(Query.Id_));
    return encodeJobReply(Record);
  }
  const auto Record = Method == "waitJob"
                          ? Home_.waitFinal(Query.Id_, Query.Timeout_)
                          : Home_.find(Query.Id_);
  if (!Record)
    return Error{Reason::NotFound, Effect::None, Method, Query.Id_,
                 "this node does not manage the job"};
  return encodeJobReply(*Record);
}

Result<Json::Value> PeerApi::configBody(const Json::Value &Message) {
  const auto Text = Follower_.body(Message["hash"].asString());
  if (!Text)
    return Error{Reason::NotFound, Effect::None, "fetch configuration",
                 Message["hash"].asString(),
                 "the version is not in force on this node"};
  Json::Value Reply;
  Reply["text"] = *Text;
  return Reply;
}

Result<Json::Value> PeerApi::listWorkers() {
  Json::Value Reply;
  Reply["workers"] = Json::Value(Json::arrayValue);
  for (const WorkerStatus &Worker : Owner_.workers()) {
    Json::Value Entry = describeWorker(Worker);
    Entry["owner"] = MakeHeartbeat_().Headroom_.Node_;
    Reply["workers"].append(Entry);
  }
  return Reply;
}

} // namespace damaskglade::node
