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

Json::Value encodeTries(const std::vector<Attempt> &Tries) {
  Json::Value Out(Json::arrayValue);
  for (const Attempt &Try : Tries)
    Out.append(encodeAttempt(Try));
  return Out;
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

// The JSON library throws on a value of another type, so types are checked
// before anything is read.
Status checkObject(const Json::Value &Value, const char *Step,
                   std::initializer_list<Field> Fields) {
  if (!Value.isObject())
    return invalidField(Step, "message", "must be an object");
  for (const Field &Each : Fields) {
    if (!Value.isMember(Each.Name_))
      return invalidField(Step, Each.Name_, "is missing");
    if (!hasType(Value[Each.Name_], Each.Type_))
      return invalidField(Step, Each.Name_, "has the wrong type");
  }
  return success();
}

Result<Attempt> decodeTry(const Json::Value &Value, const char *Step,
                          const char *Name) {
  if (!Value.isObject() || !Value["member"].isInt64() ||
      !Value["number"].isInt64())
    return invalidField(Step, Name, "must hold attempts");
  return decodeAttempt(Value);
}

Result<std::vector<Attempt>> decodeTries(const Json::Value &Value,
                                         const char *Step, const char *Name) {
  std::vector<Attempt> Tries;
  for (const Json::Value &Each : Value) {
    BOOST_OUTCOME_TRY(Try, decodeTry(Each, Step, Name));
    Tries.push_back(Try);
  }
  return Tries;
}

bool parseNumber(std::string_view Text, std::int64_t &Out) {
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Code == std::errc{} && End == Text.data() + Text.size();
}

// Heartbeats go between all nodes, so amounts are sent as a short list.
Json::Value packResources(const Resources &Value) {
  Json::Value Out(Json::arrayValue);
  for (const std::int64_t Amount :
       {Value.MilliCpus_, Value.MemoryMib_, Value.Accelerators_, Value.Slots_,
        Value.Connections_})
    Out.append(int64Value(Amount));
  return Out;
}

Result<Resources> unpackResources(const Json::Value &Value, const char *Name) {
  constexpr Json::ArrayIndex Amounts = 5;
  const bool IsList = Value.isArray() && Value.size() == Amounts;
  const auto IsAmount = [](const Json::Value &Each) { return Each.isInt64(); };
  if (!IsList || !std::all_of(Value.begin(), Value.end(), IsAmount))
    return invalidField("decode heartbeat", Name,
                        "must be a list of five amounts");
  return Resources{Value[0].asInt64(), Value[1].asInt64(), Value[2].asInt64(),
                   Value[3].asInt64(), Value[4].asInt64()};
}

} // namespace

Json::Value encode(const ReserveRequest &Value) {
  Json::Value Out;
  Out["job"] = Value.Job_;
  Out["home"] = Value.Home_;
  Out["team"] = Value.Team_;
  Out["class"] = std::string(taskClassName(Value.Class_));
  Out["urgency"] = std::string(urgencyName(Value.Urgency_));
  Out["size"] = encodeResources(Value.Size_);
  Out["run_ms"] = int64Value(Value.Run_.Value_);
  Out["idempotent"] = Value.Idempotent_;
  Out["preempt"] = Value.MayPreempt_;
  Out["block"] = Value.MayBlock_;
  Out["tries"] = encodeTries(Value.Tries_);
  return Out;
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
  const auto Class = taskClassFromName(Value["class"].asString());
  if (!Class)
    return invalidField(Step, "class", "is not a task class");
  const auto Level = urgencyFromName(Value["urgency"].asString());
  if (!Level)
    return invalidField(Step, "urgency", "is not an urgency");
  BOOST_OUTCOME_TRY(Size, decodeResources(Value["size"], "size"));
  ReserveRequest Out;
  Out.Job_ = Value["job"].asString();
  Out.Home_ = Value["home"].asString();
  Out.Team_ = Value["team"].asString();
  Out.Class_ = *Class;
  Out.Urgency_ = *Level;
  Out.Size_ = Size;
  Out.Run_ = Millis{Value["run_ms"].asInt64()};
  Out.Idempotent_ = Value["idempotent"].asBool();
  Out.MayPreempt_ = Value["preempt"].asBool();
  Out.MayBlock_ = Value["block"].asBool();
  BOOST_OUTCOME_TRY(Tries, decodeTries(Value["tries"], Step, "tries"));
  Out.Tries_ = Tries;
  return Out;
}

Json::Value encode(const ReserveReply &Value) {
  Json::Value Out;
  Out["held"] = encodeTries(Value.Held_);
  return Out;
}

Result<ReserveReply> decodeReserveReply(const Json::Value &Value) {
  const char *const Step = "decode reserve reply";
  BOOST_OUTCOME_TRYV(checkObject(Value, Step, {{"held", FieldType::Array}}));
  BOOST_OUTCOME_TRY(Held, decodeTries(Value["held"], Step, "held"));
  return ReserveReply{Held};
}

Json::Value encode(const StartCommand &Value) {
  Json::Value Out;
  Out["job"] = Value.Job_;
  Out["try"] = encodeAttempt(Value.Try_);
  Out["run_ms"] = int64Value(Value.Run_.Value_);
  Out["payload"] = Value.Payload_;
  return Out;
}

Result<StartCommand> decodeStartCommand(const Json::Value &Value) {
  BOOST_OUTCOME_TRYV(checkObject(Value, "decode start",
                                 {{"job", FieldType::String},
                                  {"try", FieldType::Object},
                                  {"run_ms", FieldType::Integer},
                                  {"payload", FieldType::String}}));
  BOOST_OUTCOME_TRY(Try, decodeTry(Value["try"], "decode start", "try"));
  return StartCommand{Value["job"].asString(), Try,
                      Millis{Value["run_ms"].asInt64()},
                      Value["payload"].asString()};
}

Json::Value encode(const AttemptList &Value) {
  Json::Value Out;
  Out["job"] = Value.Job_;
  Out["tries"] = encodeTries(Value.Tries_);
  return Out;
}

Result<AttemptList> decodeAttemptList(const Json::Value &Value) {
  const char *const Step = "decode attempts";
  BOOST_OUTCOME_TRYV(checkObject(
      Value, Step, {{"job", FieldType::String}, {"tries", FieldType::Array}}));
  BOOST_OUTCOME_TRY(Tries, decodeTries(Value["tries"], Step, "tries"));
  return AttemptList{Value["job"].asString(), Tries};
}

Json::Value encode(const OwnerStatus &Value) {
  Json::Value Out = Value.Verdict_ == OwnerVerdict::Finished
                        ? encodeAnswer(Value.Answer_)
                        : Json::Value(Json::objectValue);
  Out["verdict"] =
      std::string(VerdictNames.at(static_cast<std::size_t>(Value.Verdict_)));
  return Out;
}

Result<OwnerStatus> decodeOwnerStatus(const Json::Value &Value) {
  BOOST_OUTCOME_TRYV(
      checkObject(Value, "decode status", {{"verdict", FieldType::String}}));
  const std::string Name = Value["verdict"].asString();
  for (std::size_t Index = 0; Index < VerdictNames.size(); ++Index) {
    if (VerdictNames.at(Index) != Name)
      continue;
    OwnerStatus Out;
    Out.Verdict_ = static_cast<OwnerVerdict>(Index);
    if (Out.Verdict_ == OwnerVerdict::Finished)
      Out.Answer_ = decodeAnswer(Value);
    return Out;
  }
  return invalidField("decode status", "verdict", "is unknown");
}

Json::Value encode(const FinishedNotice &Value) {
  Json::Value Out;
  Out["attempt"] = Value.Attempt_;
  Out["status"] = encode(Value.Status_);
  return Out;
}

Result<FinishedNotice> decodeFinishedNotice(const Json::Value &Value) {
  BOOST_OUTCOME_TRYV(checkObject(
      Value, "decode finished",
      {{"attempt", FieldType::String}, {"status", FieldType::Object}}));
  BOOST_OUTCOME_TRY(Status, decodeOwnerStatus(Value["status"]));
  return FinishedNotice{Value["attempt"].asString(), Status};
}

Json::Value encode(const ExecuteRequest &Value) {
  Json::Value Out;
  Out["spec"] = encodeJobSpec(Value.Spec_);
  Out["number"] = int64Value(Value.Number_);
  Out["entry"] = Value.Entry_;
  Out["timeout_ms"] = int64Value(Value.Timeout_.Value_);
  return Out;
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
  Json::Value Out;
  Out["node"] = Value.Headroom_.Node_;
  Out["free"] = packResources(Value.Headroom_.Free_);
  Out["largest"] = packResources(Value.Headroom_.Largest_);
  Out["total"] = packResources(Value.Headroom_.Total_);
  Out["largest_total"] = packResources(Value.Headroom_.LargestTotal_);
  Out["config"] = int64Value(Value.ConfigVersion_);
  Out["hash"] = Value.ConfigHash_;
  if (Value.Leaving_)
    Out["leaving"] = true;
  return Out;
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
  Heartbeat Out;
  Out.Headroom_ =
      Headroom{Value["node"].asString(), Free, Largest, Total, LargestTotal};
  Out.ConfigVersion_ = Value["config"].asInt64();
  Out.ConfigHash_ = Value["hash"].asString();
  Out.Leaving_ = Value["leaving"].asBool();
  return Out;
}

bool splitAttemptId(const std::string &Id, std::string &Job, Attempt &Try) {
  const std::size_t Last = Id.rfind('.');
  if (Last == std::string::npos || Last == 0)
    return false;
  const std::size_t First = Id.rfind('.', Last - 1);
  if (First == std::string::npos || First == 0)
    return false;
  const std::string_view Text = Id;
  if (!parseNumber(Text.substr(First + 1, Last - First - 1), Try.Member_) ||
      !parseNumber(Text.substr(Last + 1), Try.Number_))
    return false;
  if (Try.Member_ < 0 || Try.Number_ < 1)
    return false;
  Job = Id.substr(0, First);
  return true;
}

} // namespace damaskglade::node
