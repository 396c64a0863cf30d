#include "node/messages.h"

#include "core/codec.h"

#include <algorithm>
#include <charconv>

namespace damaskglade::node {

namespace {

constexpr std::array<std::string_view, 5> VerdictNames = {
    "running", "finished", "pending", "not_run", "lost"};

Json::Value int64Value(std::int64_t Value) {
  return Json::Value(static_cast<Json::Int64>(Value));
}

Json::Value encodeAttempts(const std::vector<Attempt> &Attempts) {
  Json::Value List(Json::arrayValue);
  for (const Attempt &Try : Attempts)
    List.append(encodeAttempt(Try));
  return List;
}

enum class FieldType { String, Integer, Bool, Object, Array };

struct Field {
  const char *Name_;
  FieldType Type_;
};

bool hasType(const Json::Value &Value, FieldType Type) {
  switch (Type) {
  case FieldType::String:
    return Value.isString();
  case FieldType::Integer:
    return Value.isInt64();
  case FieldType::Bool:
    return Value.isBool();
  case FieldType::Object:
    return Value.isObject();
  case FieldType::Array:
    return Value.isArray();
  }
  return false;
}

// The JSON library throws if a value has another type than the one that is
// read, so all types are checked first.
Status checkObject(const Json::Value &Value, const char *Step,
                   std::initializer_list<Field> Fields) {
  if (!Value.isObject())
    return invalidField(Step, "message", "must be an object");
  for (const Field &Required : Fields) {
    if (!Value.isMember(Required.Name_))
      return invalidField(Step, Required.Name_, "is missing");
    if (!hasType(Value[Required.Name_], Required.Type_))
      return invalidField(Step, Required.Name_, "has the wrong type");
  }
  return success();
}

Result<Attempt> decodeCheckedAttempt(const Json::Value &Value, const char *Step,
                                     const char *Name) {
  if (!Value.isObject() || !Value["member"].isInt64() ||
      !Value["number"].isInt64())
    return invalidField(Step, Name, "must consist of attempts");
  return decodeAttempt(Value);
}

Result<std::vector<Attempt>>
decodeAttempts(const Json::Value &Value, const char *Step, const char *Name) {
  std::vector<Attempt> Attempts;
  for (const Json::Value &Element : Value) {
    BOOST_OUTCOME_TRY(Try, decodeCheckedAttempt(Element, Step, Name));
    Attempts.push_back(Try);
  }
  return Attempts;
}

bool parseNumber(std::string_view Text, std::int64_t &Number) {
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Code == std::errc{} && End == Text.data() + Text.size();
}

// Every pair of nodes exchanges heartbeats, so resources are encoded compactly,
// as a list of amounts.
Json::Value packResources(const Resources &Value) {
  Json::Value Amounts(Json::arrayValue);
  for (const std::int64_t Amount :
       {Value.MilliCpus_, Value.MemoryMib_, Value.Accelerators_, Value.Slots_,
        Value.Connections_})
    Amounts.append(int64Value(Amount));
  return Amounts;
}

Result<Resources> unpackResources(const Json::Value &Value, const char *Name) {
  constexpr Json::ArrayIndex AmountCount = 5;
  const bool IsList = Value.isArray() && Value.size() == AmountCount;
  const auto IsAmount = [](const Json::Value &Element) {
    return Element.isInt64();
  };
  if (!IsList || !std::all_of(Value.begin(), Value.end(), IsAmount))
    return invalidField("decode heartbeat", Name,
                        "must be a list of five amounts");
  return Resources{Value[0].asInt64(), Value[1].asInt64(), Value[2].asInt64(),
                   Value[3].asInt64(), Value[4].asInt64()};
}

} // namespace

Json::Value encode(const ReserveRequest &Value) {
  Json::Value Message;
  Message["job"] = Value.Job_;
  Message["home"] = Value.Home_;
  Message["team"] = Value.Team_;
  Message["class"] = std::string(taskClassName(Value.Class_));
  Message["urgency"] = std::string(urgencyName(Value.Urgency_));
  Message["size"] = encodeResources(Value.Size_);
  Message["run_ms"] = int64Value(Value.Run_.Value_);
  Message["idempotent"] = Value.Idempotent_;
  Message["preempt"] = Value.MayPreempt_;
  Message["block"] = Value.MayBlock_;
  Message["tries"] = encodeAttempts(Value.Tries_);
  return Message;
}

Result<ReserveRequest> decodeReserveRequest(const Json::Value &Value) {
  const char *const Step = "decode reserve";
  BOOST_OUTCOME_TRYV(checkObject(Value, Step,
                                 {{"job", FieldType::String},
                                  {"home", FieldType::String},
                                  {"team", FieldType::String},
                                  {"class", FieldType::String},
                                  {"urgency", FieldType::String},
                                  {"size", FieldType::Object},
                                  {"run_ms", FieldType::Integer},
                                  {"idempotent", FieldType::Bool},
                                  {"preempt", FieldType::Bool},
                                  {"block", FieldType::Bool},
                                  {"tries", FieldType::Array}}));
  const auto RequestClass = taskClassFromName(Value["class"].asString());
  if (!RequestClass)
    return invalidField(Step, "class", "is not a task class");
  const auto RequestUrgency = urgencyFromName(Value["urgency"].asString());
  if (!RequestUrgency)
    return invalidField(Step, "urgency", "is not an urgency");
  BOOST_OUTCOME_TRY(Size, decodeResources(Value["size"], "size"));
  ReserveRequest Request;
  Request.Job_ = Value["job"].asString();
  Request.Home_ = Value["home"].asString();
  Request.Team_ = Value["team"].asString();
  Request.Class_ = *RequestClass;
  Request.Urgency_ = *RequestUrgency;
  Request.Size_ = Size;
  Request.Run_ = Millis{Value["run_ms"].asInt64()};
  Request.Idempotent_ = Value["idempotent"].asBool();
  Request.MayPreempt_ = Value["preempt"].asBool();
  Request.MayBlock_ = Value["block"].asBool();
  BOOST_OUTCOME_TRY(Attempts, decodeAttempts(Value["tries"], Step, "tries"));
  Request.Tries_ = Attempts;
  return Request;
}

Json::Value encode(const ReserveReply &Value) {
  Json::Value Message;
  Message["held"] = encodeAttempts(Value.Held_);
  return Message;
}

Result<ReserveReply> decodeReserveReply(const Json::Value &Value) {
  const char *const Step = "decode reserve reply";
  BOOST_OUTCOME_TRYV(checkObject(Value, Step, {{"held", FieldType::Array}}));
  BOOST_OUTCOME_TRY(Reserved, decodeAttempts(Value["held"], Step, "held"));
  return ReserveReply{Reserved};
}

Json::Value encode(const StartCommand &Value) {
  Json::Value Message;
  Message["job"] = Value.Job_;
  Message["try"] = encodeAttempt(Value.Try_);
  Message["run_ms"] = int64Value(Value.Run_.Value_);
  Message["payload"] = Value.Payload_;
  return Message;
}

Result<StartCommand> decodeStartCommand(const Json::Value &Value) {
  BOOST_OUTCOME_TRYV(checkObject(Value, "decode start",
                                 {{"job", FieldType::String},
                                  {"try", FieldType::Object},
                                  {"run_ms", FieldType::Integer},
                                  {"payload", FieldType::String}}));
  BOOST_OUTCOME_TRY(Try,
                    decodeCheckedAttempt(Value["try"], "decode start", "try"));
  return StartCommand{Value["job"].asString(), Try,
                      Millis{Value["run_ms"].asInt64()},
                      Value["payload"].asString()};
}

Json::Value encode(const AttemptList &Value) {
  Json::Value Message;
  Message["job"] = Value.Job_;
  Message["tries"] = encodeAttempts(Value.Tries_);
  return Message;
}

Result<AttemptList> decodeAttemptList(const Json::Value &Value) {
  const char *const Step = "decode attempts";
  BOOST_OUTCOME_TRYV(checkObject(
      Value, Step, {{"job", FieldType::String}, {"tries", FieldType::Array}}));
  BOOST_OUTCOME_TRY(Attempts, decodeAttempts(Value["tries"], Step, "tries"));
  return AttemptList{Value["job"].asString(), Attempts};
}

Json::Value encode(const OwnerStatus &Value) {
  Json::Value Message = Value.Verdict_ == OwnerVerdict::Finished
                            ? encodeAnswer(Value.Answer_)
                            : Json::Value(Json::objectValue);
  Message["verdict"] =
      std::string(VerdictNames.at(static_cast<std::size_t>(Value.Verdict_)));
  return Message;
}

Result<OwnerStatus> decodeOwnerStatus(const Json::Value &Value) {
  BOOST_OUTCOME_TRYV(
      checkObject(Value, "decode status", {{"verdict", FieldType::String}}));
  const std::string Name = Value["verdict"].asString();
  for (std::size_t Index = 0; Index < VerdictNames.size(); ++Index) {
    if (VerdictNames.at(Index) != Name)
      continue;
    OwnerStatus Decoded;
    Decoded.Verdict_ = static_cast<OwnerVerdict>(Index);
    if (Decoded.Verdict_ == OwnerVerdict::Finished)
      Decoded.Answer_ = decodeAnswer(Value);
    return Decoded;
  }
  return invalidField("decode status", "verdict", "is unknown");
}

Json::Value encode(const FinishedNotice &Value) {
  Json::Value Message;
  Message["attempt"] = Value.Attempt_;
  Message["status"] = encode(Value.Status_);
  return Message;
}

Result<FinishedNotice> decodeFinishedNotice(const Json::Value &Value) {
  BOOST_OUTCOME_TRYV(checkObject(
      Value, "decode finished",
      {{"attempt", FieldType::String}, {"status", FieldType::Object}}));
  BOOST_OUTCOME_TRY(EndStatus, decodeOwnerStatus(Value["status"]));
  return FinishedNotice{Value["attempt"].asString(), EndStatus};
}

Json::Value encode(const ExecuteRequest &Value) {
  Json::Value Message;
  Message["spec"] = encodeJobSpec(Value.Spec_);
  Message["number"] = int64Value(Value.Number_);
  Message["entry"] = Value.Entry_;
  Message["timeout_ms"] = int64Value(Value.Timeout_.Value_);
  return Message;
}

Result<ExecuteRequest> decodeExecuteRequest(const Json::Value &Value) {
  BOOST_OUTCOME_TRYV(checkObject(Value, "decode execute",
                                 {{"spec", FieldType::Object},
                                  {"number", FieldType::Integer},
                                  {"entry", FieldType::String},
                                  {"timeout_ms", FieldType::Integer}}));
  BOOST_OUTCOME_TRY(Spec, decodeJobSpec(Value["spec"]));
  return ExecuteRequest{Spec, Value["number"].asInt64(),
                        Value["entry"].asString(),
                        Millis{Value["timeout_ms"].asInt64()}};
}

Json::Value encode(const Heartbeat &Value) {
  Json::Value Message;
  Message["node"] = Value.Headroom_.Node_;
  Message["free"] = packResources(Value.Headroom_.Free_);
  Message["largest"] = packResources(Value.Headroom_.Largest_);
  Message["total"] = packResources(Value.Headroom_.Total_);
  Message["largest_total"] = packResources(Value.Headroom_.LargestTotal_);
  Message["config"] = int64Value(Value.ConfigVersion_);
  Message["hash"] = Value.ConfigHash_;
  if (Value.Leaving_)
    Message["leaving"] = true;
  return Message;
}

Result<Heartbeat> decodeHeartbeat(const Json::Value &Value) {
  BOOST_OUTCOME_TRYV(checkObject(Value, "decode heartbeat",
                                 {{"node", FieldType::String},
                                  {"free", FieldType::Array},
                                  {"largest", FieldType::Array},
                                  {"total", FieldType::Array},
                                  {"largest_total", FieldType::Array},
                                  {"config", FieldType::Integer},
                                  {"hash", FieldType::String}}));
  if (Value.isMember("leaving") && !Value["leaving"].isBool())
    return invalidField("decode heartbeat", "leaving", "has the wrong type");
  BOOST_OUTCOME_TRY(Free, unpackResources(Value["free"], "free"));
  BOOST_OUTCOME_TRY(Largest, unpackResources(Value["largest"], "largest"));
  BOOST_OUTCOME_TRY(Total, unpackResources(Value["total"], "total"));
  BOOST_OUTCOME_TRY(LargestTotal,
                    unpackResources(Value["largest_total"], "largest_total"));
  Heartbeat Decoded;
  Decoded.Headroom_ =
      Headroom{Value["node"].asString(), Free, Largest, Total, LargestTotal};
  Decoded.ConfigVersion_ = Value["config"].asInt64();
  Decoded.ConfigHash_ = Value["hash"].asString();
  Decoded.Leaving_ = Value["leaving"].asBool();
  return Decoded;
}

bool splitAttemptId(const std::string &Id, std::string &Job, Attempt &Try) {
  const std::size_t SecondDot = Id.rfind('.');
  if (SecondDot == std::string::npos || SecondDot == 0)
    return false;
  const std::size_t FirstDot = Id.rfind('.', SecondDot - 1);
  if (FirstDot == std::string::npos || FirstDot == 0)
    return false;
  const std::string_view Text = Id;
  if (!parseNumber(Text.substr(FirstDot + 1, SecondDot - FirstDot - 1),
                   Try.Member_) ||
      !parseNumber(Text.substr(SecondDot + 1), Try.Number_))
    return false;
  if (Try.Member_ < 0 || Try.Number_ < 1)
    return false;
  Job = Id.substr(0, FirstDot);
  return true;
}

} // namespace damaskglade::node
