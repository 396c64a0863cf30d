#include "core/codec.h"

#include <array>
#include <json/reader.h>
#include <json/writer.h>
#include <limits>
#include <memory>
#include <set>
#include <sstream>

namespace damaskglade {

namespace {

// Larger amounts are input errors, and sums of amounts below it can't
// overflow.
constexpr std::int64_t MaxAmount = 1000000000;
constexpr std::size_t MaxNameBytes = 200;

bool readAmount(const Json::Value &Value, std::int64_t &Out) {
  if (!Value.isInt64() || Value.asInt64() < 0 || Value.asInt64() > MaxAmount)
    return false;
  Out = Value.asInt64();
  return true;
}

bool readName(const Json::Value &Value, std::string &Out) {
  if (!Value.isString())
    return false;
  Out = Value.asString();
  return !Out.empty() && Out.size() <= MaxNameBytes;
}

std::string unknownMember(const Json::Value &Value,
                          const std::set<std::string> &Known) {
  for (const std::string &Name : Value.getMemberNames())
    if (Known.count(Name) == 0)
      return Name;
  return {};
}

std::int64_t int64Or(const Json::Value &Value, const char *Name,
                     std::int64_t Default) {
  const Json::Value &Field = Value[Name];
  return Field.isInt64() ? Field.asInt64() : Default;
}

std::string stringOr(const Json::Value &Value, const char *Name) {
  const Json::Value &Field = Value[Name];
  return Field.isString() ? Field.asString() : std::string();
}

bool boolOr(const Json::Value &Value, const char *Name, bool Default) {
  const Json::Value &Field = Value[Name];
  return Field.isBool() ? Field.asBool() : Default;
}

Json::Value int64Value(std::int64_t Value) {
  return Json::Value(static_cast<Json::Int64>(Value));
}

const std::set<std::string> &specMembers() {
  static const std::set<std::string> Members = {
      "team",  "key",    "class",       "urgency",    "size",
      "tasks", "run_ms", "deadline_ms", "idempotent", "payload"};
  return Members;
}

constexpr std::array<std::string_view, 3> AttemptStateNames = {
    "running", "finished", "unknown"};

} // namespace

Result<Json::Value> parseJson(const std::string &Text,
                              const std::string &Step) {
  // The default of 1000 levels overflows the stack of a thread of 512 KiB with
  // ThreadSanitizer. Messages have less than ten levels.
  constexpr int MaxNesting = 100;
  // Creating a reader costs more than parsing a short message.
  thread_local const std::unique_ptr<Json::CharReader> Reader = [] {
    Json::CharReaderBuilder Builder;
    Json::CharReaderBuilder::strictMode(&Builder.settings_);
    Builder["stackLimit"] = MaxNesting;
    return std::unique_ptr<Json::CharReader>(Builder.newCharReader());
  }();
  Json::Value Root;
  std::string Problems;
  // The reader throws on excessive nesting.
  try {
    if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Root,
                       &Problems))
      return invalidField(Step, "body", Problems);
  } catch (const Json::Exception &Failure) {
    return invalidField(Step, "body", Failure.what());
  }
  if (!Root.isObject())
    return invalidField(Step, "body", "must be a JSON object");
  return Root;
}

bool isWithin(const JsonLimits &Limits, const std::string &Text) {
  std::size_t Depth = 0;
  std::size_t Values = 1;
  bool Quoted = false;
  for (std::size_t Position = 0; Position < Text.size(); ++Position) {
    const char Letter = Text[Position];
    if (Letter == '"')
      Quoted = !Quoted;
    else if (Quoted && Letter == '\\')
      ++Position;
    if (Quoted)
      continue;
    if (Letter == '{' || Letter == '[') {
      ++Depth;
      ++Values;
    } else if (Letter == ',') {
      ++Values;
    } else if ((Letter == '}' || Letter == ']') && Depth > 0) {
      --Depth;
    }
    if (Depth > Limits.Depth_ || Values > Limits.Values_)
      return false;
  }
  return true;
}

std::string writeJson(const Json::Value &Value) {
  thread_local const std::unique_ptr<Json::StreamWriter> Writer = [] {
    Json::StreamWriterBuilder Builder;
    Builder["indentation"] = "";
    return std::unique_ptr<Json::StreamWriter>(Builder.newStreamWriter());
  }();
  std::ostringstream Out;
  Writer->write(Value, &Out);
  return Out.str();
}

Error invalidField(const std::string &Step, const std::string &Field,
                   const std::string &Problem) {
  return Error{Reason::InvalidField, Effect::None, Step, Field,
               "field \"" + Field + "\" " + Problem};
}

Json::Value encodeResources(const Resources &Value) {
  Json::Value Out;
  Out["milli_cpus"] = int64Value(Value.MilliCpus_);
  Out["memory_mib"] = int64Value(Value.MemoryMib_);
  Out["accelerators"] = int64Value(Value.Accelerators_);
  Out["slots"] = int64Value(Value.Slots_);
  Out["connections"] = int64Value(Value.Connections_);
  return Out;
}

Result<Resources> decodeResources(const Json::Value &Value,
                                  const std::string &Field) {
  if (!Value.isObject())
    return invalidField("decode", Field, "must be an object");
  Resources Out;
  const std::array<std::pair<const char *, std::int64_t *>, 5> Members = {{
      {"milli_cpus", &Out.MilliCpus_},
      {"memory_mib", &Out.MemoryMib_},
      {"accelerators", &Out.Accelerators_},
      {"slots", &Out.Slots_},
      {"connections", &Out.Connections_},
  }};
  std::set<std::string> Known;
  for (const auto &[Name, Target] : Members) {
    Known.insert(Name);
    if (Value.isMember(Name) && !readAmount(Value[Name], *Target))
      return invalidField("decode", Field + "." + Name,
                          "must be a whole number from 0 to 1000000000");
  }
  const std::string Extra = unknownMember(Value, Known);
  if (!Extra.empty())
    return invalidField("decode", Field + "." + Extra, "is unknown");
  return Out;
}

Result<JobSpec> decodeJobSpec(const Json::Value &Value) {
  const std::string Step = "decode job";
  if (!Value.isObject())
    return invalidField(Step, "body", "must be a JSON object");
  const std::string Extra = unknownMember(Value, specMembers());
  if (!Extra.empty())
    return invalidField(Step, Extra, "is unknown");

  JobSpec Spec;
  if (!readName(Value["team"], Spec.Team_))
    return invalidField(Step, "team", "must be a string of 1 to 200 bytes");
  if (!readName(Value["key"], Spec.Key_))
    return invalidField(Step, "key", "must be a string of 1 to 200 bytes");
  const auto Class = taskClassFromName(stringOr(Value, "class"));
  if (!Class)
    return invalidField(Step, "class",
                        "must be one of lookup, request, batch, gang, service");
  Spec.Class_ = *Class;
  if (Value.isMember("urgency")) {
    const auto Level = urgencyFromName(stringOr(Value, "urgency"));
    if (!Level)
      return invalidField(Step, "urgency",
                          "must be one of urgent, normal, low");
    Spec.Urgency_ = *Level;
  }
  Spec.Size_ = Resources{100, 64, 0, 1, 1};
  if (Value.isMember("size")) {
    BOOST_OUTCOME_TRY(Size, decodeResources(Value["size"], "size"));
    Spec.Size_ = Size;
  }
  const std::array<std::pair<const char *, std::int64_t *>, 3> Numbers = {{
      {"tasks", &Spec.Tasks_},
      {"run_ms", &Spec.Run_.Value_},
      {"deadline_ms", &Spec.Deadline_.Value_},
  }};
  for (const auto &[Name, Target] : Numbers)
    if (Value.isMember(Name) && !readAmount(Value[Name], *Target))
      return invalidField(Step, Name,
                          "must be a whole number from 0 to 1000000000");
  const bool ManyAllowed =
      Spec.Class_ == TaskClass::Gang || Spec.Class_ == TaskClass::Service;
  constexpr std::int64_t MaxTasks = 1000;
  if (Spec.Tasks_ < 1 || Spec.Tasks_ > (ManyAllowed ? MaxTasks : 1))
    return invalidField(Step, "tasks",
                        "must be 1, or up to 1000 for class gang and service");
  if (Value.isMember("idempotent")) {
    if (!Value["idempotent"].isBool())
      return invalidField(Step, "idempotent", "must be true or false");
    Spec.Idempotent_ = Value["idempotent"].asBool();
  }
  if (Spec.Class_ == TaskClass::Lookup && !Spec.Idempotent_)
    return invalidField(Step, "idempotent", "must be true for class lookup");
  if (Value.isMember("payload")) {
    if (!Value["payload"].isString())
      return invalidField(Step, "payload", "must be a string");
    Spec.Payload_ = Value["payload"].asString();
  }
  return Spec;
}

Json::Value encodeJobSpec(const JobSpec &Spec) {
  Json::Value Out;
  Out["team"] = Spec.Team_;
  Out["key"] = Spec.Key_;
  Out["class"] = std::string(taskClassName(Spec.Class_));
  Out["urgency"] = std::string(urgencyName(Spec.Urgency_));
  Out["size"] = encodeResources(Spec.Size_);
  Out["tasks"] = int64Value(Spec.Tasks_);
  Out["run_ms"] = int64Value(Spec.Run_.Value_);
  Out["deadline_ms"] = int64Value(Spec.Deadline_.Value_);
  Out["idempotent"] = Spec.Idempotent_;
  Out["payload"] = Spec.Payload_;
  return Out;
}

Json::Value encodeAnswer(const Answer &Value) {
  Json::Value Out;
  Out["ok"] = Value.Ok_;
  Out["answer"] = Value.Body_;
  Out["length"] = int64Value(Value.Length_);
  Out["digest"] = Value.Digest_;
  return Out;
}

Answer decodeAnswer(const Json::Value &Value) {
  return Answer{boolOr(Value, "ok", false), stringOr(Value, "answer"),
                int64Or(Value, "length", -1), stringOr(Value, "digest")};
}

Json::Value encodeAttempt(const Attempt &Value) {
  Json::Value Out;
  Out["member"] = int64Value(Value.Member_);
  Out["number"] = int64Value(Value.Number_);
  Out["worker"] = Value.Worker_;
  Out["shard"] = Value.Shard_;
  Out["start_by_ms"] = int64Value(Value.StartBy_.Value_);
  return Out;
}

Attempt decodeAttempt(const Json::Value &Value) {
  return Attempt{int64Or(Value, "member", 0), int64Or(Value, "number", 0),
                 stringOr(Value, "worker"), stringOr(Value, "shard"),
                 Millis{int64Or(Value, "start_by_ms", 0)}};
}

std::string encodeJobRecord(const JobRecord &Record) {
  Json::Value Out;
  Out["id"] = Record.Id_;
  Out["spec"] = encodeJobSpec(Record.Spec_);
  Out["state"] = std::string(jobStateName(Record.State_));
  Out["reason"] = std::string(reasonName(Record.Reason_));
  Out["home"] = Record.Home_;
  Out["incarnation"] = int64Value(Record.HomeIncarnation_);
  Out["submitted_ms"] = int64Value(Record.Submitted_.Value_);
  Out["attempts"] = Json::Value(Json::arrayValue);
  for (const Attempt &Try : Record.Attempts_)
    Out["attempts"].append(encodeAttempt(Try));
  Out["answers"] = Json::Value(Json::arrayValue);
  for (const std::optional<Answer> &Reply : Record.Answers_)
    Out["answers"].append(Reply ? encodeAnswer(*Reply) : Json::Value());
  return writeJson(Out);
}

Result<JobRecord> decodeJobRecord(const std::string &Body,
                                  std::int64_t Version) {
  BOOST_OUTCOME_TRY(Value, parseJson(Body, "decode job row"));
  BOOST_OUTCOME_TRY(Spec, decodeJobSpec(Value["spec"]));
  const auto State = jobStateFromName(stringOr(Value, "state"));
  if (!State)
    return invalidField("decode job row", "state", "is not a job state");
  JobRecord Record;
  Record.Id_ = stringOr(Value, "id");
  Record.Spec_ = Spec;
  Record.State_ = *State;
  Record.Reason_ = reasonFromName(stringOr(Value, "reason"));
  Record.Home_ = stringOr(Value, "home");
  Record.HomeIncarnation_ = int64Or(Value, "incarnation", 0);
  Record.Submitted_ = Millis{int64Or(Value, "submitted_ms", 0)};
  for (const Json::Value &Try : Value["attempts"])
    Record.Attempts_.push_back(decodeAttempt(Try));
  for (const Json::Value &Reply : Value["answers"])
    Record.Answers_.push_back(
        Reply.isNull() ? std::nullopt : std::optional(decodeAnswer(Reply)));
  Record.Version_ = Version;
  return Record;
}

Json::Value encodeError(const Error &Failure) {
  Json::Value Out;
  Out["reason"] = std::string(reasonName(Failure.Reason_));
  Out["message"] = Failure.Message_;
  Out["ran"] = Failure.Effect_ == Effect::None ? "not_run" : "unknown";
  Out["step"] = Failure.Step_;
  Out["peer"] = Failure.Peer_;
  const bool NamesField = Failure.Reason_ == Reason::InvalidField ||
                          Failure.Reason_ == Reason::NeverFits ||
                          Failure.Reason_ == Reason::IdempotencyKeyReused;
  if (NamesField)
    Out["field"] = Failure.Peer_;
  Out["retry_after_ms"] = int64Value(Failure.RetryAfter_.Value_);
  return Out;
}

Error decodeError(const Json::Value &Value) {
  Error Failure;
  Failure.Reason_ = reasonFromName(stringOr(Value, "reason"));
  Failure.Effect_ =
      stringOr(Value, "ran") == "not_run" ? Effect::None : Effect::Unknown;
  Failure.Step_ = stringOr(Value, "step");
  Failure.Peer_ = stringOr(Value, "peer");
  Failure.Message_ = stringOr(Value, "message");
  Failure.RetryAfter_ = Millis{int64Or(Value, "retry_after_ms", 0)};
  return Failure;
}

Json::Value encodeStartRequest(const StartRequest &Request) {
  Json::Value Out;
  Out["attempt"] = Request.Attempt_;
  Out["job"] = Request.Job_;
  Out["epoch"] = int64Value(Request.Epoch_);
  Out["owner"] = Request.Owner_;
  Out["start_by_ms"] = int64Value(Request.StartBy_.Value_);
  Out["lease_end_ms"] = int64Value(Request.LeaseEnd_.Value_);
  Out["size"] = encodeResources(Request.Size_);
  Out["run_ms"] = int64Value(Request.Run_.Value_);
  Out["payload"] = Request.Payload_;
  Out["wait"] = Request.Wait_;
  Out["report_url"] = Request.ReportUrl_;
  return Out;
}

Result<StartRequest> decodeStartRequest(const Json::Value &Value) {
  StartRequest Request;
  Request.Attempt_ = stringOr(Value, "attempt");
  if (Request.Attempt_.empty())
    return invalidField("decode start", "attempt", "is missing");
  Request.Job_ = stringOr(Value, "job");
  Request.Epoch_ = int64Or(Value, "epoch", 0);
  Request.Owner_ = stringOr(Value, "owner");
  Request.StartBy_ = Millis{int64Or(Value, "start_by_ms", 0)};
  Request.LeaseEnd_ = Millis{int64Or(Value, "lease_end_ms", 0)};
  BOOST_OUTCOME_TRY(Size, decodeResources(Value["size"], "size"));
  Request.Size_ = Size;
  Request.Run_ = Millis{int64Or(Value, "run_ms", 0)};
  Request.Payload_ = stringOr(Value, "payload");
  Request.Wait_ = boolOr(Value, "wait", false);
  Request.ReportUrl_ = stringOr(Value, "report_url");
  return Request;
}

Json::Value encodeLeaseRequest(const LeaseRequest &Request) {
  Json::Value Out;
  Out["owner"] = Request.Owner_;
  Out["epoch"] = int64Value(Request.Epoch_);
  Out["lease_end_ms"] = int64Value(Request.LeaseEnd_.Value_);
  if (Request.List_)
    Out["list"] = true;
  for (const std::string &Attempt : Request.Acked_)
    Out["acked"].append(Attempt);
  return Out;
}

LeaseRequest decodeLeaseRequest(const Json::Value &Value) {
  LeaseRequest Request;
  Request.Owner_ = stringOr(Value, "owner");
  Request.Epoch_ = int64Or(Value, "epoch", 0);
  Request.LeaseEnd_ = Millis{int64Or(Value, "lease_end_ms", 0)};
  Request.List_ = boolOr(Value, "list", false);
  for (const Json::Value &Attempt : Value["acked"])
    Request.Acked_.push_back(Attempt.asString());
  return Request;
}

Json::Value encodeAttemptReport(const AttemptReport &Report) {
  Json::Value Out = Report.State_ == AttemptState::Finished
                        ? encodeAnswer(Report.Answer_)
                        : Json::Value(Json::objectValue);
  Out["attempt"] = Report.Attempt_;
  Out["state"] = std::string(
      AttemptStateNames.at(static_cast<std::size_t>(Report.State_)));
  return Out;
}

Result<AttemptReport> decodeAttemptReport(const Json::Value &Value) {
  AttemptReport Report;
  Report.Attempt_ = stringOr(Value, "attempt");
  const std::string State = stringOr(Value, "state");
  if (State == "running")
    Report.State_ = AttemptState::Running;
  else if (State == "finished")
    Report.State_ = AttemptState::Finished;
  else if (State != "unknown")
    return invalidField("decode report", "state", "is not an attempt state");
  if (Report.State_ == AttemptState::Finished)
    Report.Answer_ = decodeAnswer(Value);
  return Report;
}

Json::Value encodeLeaseReply(const LeaseReply &Reply) {
  Json::Value Out;
  Out["worker"] = Reply.Worker_;
  Out["capacity"] = encodeResources(Reply.Capacity_);
  Out["used"] = encodeResources(Reply.Used_);
  Out["state"] = Reply.Leaving_ ? "leaving" : "live";
  for (const RunningTask &Task : Reply.Running_) {
    Json::Value Entry;
    Entry["attempt"] = Task.Attempt_;
    Entry["size"] = encodeResources(Task.Size_);
    if (Task.Suspended_)
      Entry["suspended"] = true;
    Out["running"].append(Entry);
  }
  for (const AttemptReport &Report : Reply.Finished_)
    Out["finished"].append(encodeAttemptReport(Report));
  return Out;
}

Result<LeaseReply> decodeLeaseReply(const Json::Value &Value) {
  LeaseReply Reply;
  Reply.Worker_ = stringOr(Value, "worker");
  BOOST_OUTCOME_TRY(Capacity, decodeResources(Value["capacity"], "capacity"));
  Reply.Capacity_ = Capacity;
  BOOST_OUTCOME_TRY(Used, decodeResources(Value["used"], "used"));
  Reply.Used_ = Used;
  Reply.Leaving_ = stringOr(Value, "state") == "leaving";
  for (const Json::Value &Entry : Value["running"]) {
    BOOST_OUTCOME_TRY(Size, decodeResources(Entry["size"], "size"));
    Reply.Running_.push_back(RunningTask{stringOr(Entry, "attempt"), Size,
                                         boolOr(Entry, "suspended", false)});
  }
  for (const Json::Value &Entry : Value["finished"]) {
    BOOST_OUTCOME_TRY(Report, decodeAttemptReport(Entry));
    Reply.Finished_.push_back(Report);
  }
  return Reply;
}

std::string_view taskControlName(TaskControl Value) {
  constexpr std::array<std::string_view, 4> Names = {"stop", "checkpoint",
                                                     "throttle", "resume"};
  return Names.at(static_cast<std::size_t>(Value));
}

} // namespace damaskglade
