#include "node/job_json.h"

#include "core/codec.h"

namespace damaskglade::node {

namespace {

Json::Value int64Value(std::int64_t Value) {
  return Json::Value(static_cast<Json::Int64>(Value));
}

// Value of "ran": whether the work was run, as far as the job's state tells.
const char *ranValue(const JobRecord &Record) {
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
  Json::Value Job;
  Job["id"] = Record.Id_;
  Job["team"] = Record.Spec_.Team_;
  Job["key"] = Record.Spec_.Key_;
  Job["class"] = std::string(taskClassName(Record.Spec_.Class_));
  Job["state"] = std::string(jobStateName(Record.State_));
  Job["ran"] = ranValue(Record);
  Job["home"] = Record.Home_;
  Job["submitted_ms"] = int64Value(Record.Submitted_.Value_);
  if (Record.Reason_ != Reason::None)
    Job["reason"] = std::string(reasonName(Record.Reason_));
  Job["tasks"] = Json::Value(Json::arrayValue);
  for (std::size_t Member = 0; Member < Record.Answers_.size(); ++Member) {
    Json::Value Task;
    if (Record.Answers_[Member])
      Task = encodeAnswer(*Record.Answers_[Member]);
    if (Member < Record.Attempts_.size() &&
        Record.Attempts_[Member].Number_ > 0) {
      Task["worker"] = Record.Attempts_[Member].Worker_;
      Task["attempt"] = int64Value(Record.Attempts_[Member].Number_);
    }
    Job["tasks"].append(Task);
  }
  return Job;
}

Json::Value describeWorker(const WorkerStatus &Worker) {
  Json::Value Entry;
  Entry["id"] = Worker.Id_;
  Entry["shard"] = Worker.Shard_;
  Entry["address"] = Worker.Address_;
  Entry["capacity"] = encodeResources(Worker.Capacity_);
  Entry["free"] = encodeResources(Worker.Free_);
  Entry["tasks"] = static_cast<Json::UInt64>(Worker.Tasks_);
  Entry["reachable"] = Worker.Listed_;
  Entry["leaving"] = Worker.Leaving_;
  Entry["drained"] = Worker.Drained_;
  Entry["quarantined"] = Worker.Quarantined_;
  return Entry;
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
