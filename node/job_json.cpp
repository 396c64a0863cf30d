#include "node/job_json.h"

#include "core/codec.h"

namespace damaskglade::node {

namespace {

Json::Value int64Value(std::int64_t Value) {
  return Json::Value(static_cast<Json::Int64>(Value));
}

// What a caller may conclude about the work from the job's state.
const char *ranName(const JobRecord &Record) {
  switch (Record.State_) {
  case JobState::NotRun:
    return "not_run";
  case JobState::Unknown:
    return "unknown";
  case JobState::Finished:
    return "finished";
  case JobState::Canceled:
    return Record.Attempts_.empty() ? "not_run" : "interrupted";
  case JobState::Queued:
  case JobState::Running:
    break;
  }
  return "pending";
}

} // namespace

Json::Value describeJob(const JobRecord &Record) {
  Json::Value Out;
  Out["id"] = Record.Id_;
  Out["team"] = Record.Spec_.Team_;
  Out["key"] = Record.Spec_.Key_;
  Out["class"] = std::string(taskClassName(Record.Spec_.Class_));
  Out["state"] = std::string(jobStateName(Record.State_));
  Out["ran"] = ranName(Record);
  Out["home"] = Record.Home_;
  Out["submitted_ms"] = int64Value(Record.Submitted_.Value_);
  if (Record.Reason_ != Reason::None)
    Out["reason"] = std::string(reasonName(Record.Reason_));
  Out["tasks"] = Json::Value(Json::arrayValue);
  for (std::size_t Member = 0; Member < Record.Answers_.size(); ++Member) {
    Json::Value Task;
    if (Record.Answers_[Member])
      Task = encodeAnswer(*Record.Answers_[Member]);
    if (Member < Record.Attempts_.size() &&
        Record.Attempts_[Member].Number_ > 0) {
      Task["worker"] = Record.Attempts_[Member].Worker_;
      Task["attempt"] = int64Value(Record.Attempts_[Member].Number_);
    }
    Out["tasks"].append(Task);
  }
  return Out;
}

Json::Value describeWorker(const WorkerStatus &Worker) {
  Json::Value Out;
  Out["id"] = Worker.Id_;
  Out["shard"] = Worker.Shard_;
  Out["address"] = Worker.Address_;
  Out["capacity"] = encodeResources(Worker.Capacity_);
  Out["free"] = encodeResources(Worker.Free_);
  Out["tasks"] = static_cast<Json::UInt64>(Worker.Tasks_);
  Out["reachable"] = Worker.Listed_;
  Out["leaving"] = Worker.Leaving_;
  Out["drained"] = Worker.Drained_;
  Out["quarantined"] = Worker.Quarantined_;
  return Out;
}

int httpStatusOf(const Error &Failure) {
  constexpr int BadRequest = 400;
  constexpr int NotFound = 404;
  constexpr int Conflict = 409;
  constexpr int TooLarge = 413;
  constexpr int Unprocessable = 422;
  constexpr int TooMany = 429;
  constexpr int Unavailable = 503;
  constexpr int GatewayTimeout = 504;
  switch (Failure.Reason_) {
  case Reason::InvalidField:
    return BadRequest;
  case Reason::NotFound:
    return NotFound;
  case Reason::IdempotencyKeyReused:
  case Reason::VersionMoved:
  case Reason::TableConflict:
    return Conflict;
  case Reason::BodyTooLarge:
    return TooLarge;
  case Reason::NeverFits:
    return Unprocessable;
  case Reason::QuotaExceeded:
  case Reason::QueueFull:
  case Reason::DeadlineUnreachable:
    return TooMany;
  default:
    return Failure.Effect_ == Effect::None ? Unavailable : GatewayTimeout;
  }
}

HttpReply jsonReply(int Status, const Json::Value &Body) {
  return HttpReply{Status, writeJson(Body) + "\n"};
}

HttpReply errorReply(const Error &Failure) {
  Json::Value Body;
  Body["error"] = encodeError(Failure);
  HttpReply Reply = jsonReply(httpStatusOf(Failure), Body);
  Reply.RetryAfter_ = Failure.RetryAfter_;
  return Reply;
}

} // namespace damaskglade::node
