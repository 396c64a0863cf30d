#include "ownership/message.h"

#include "core/codec.h"

#include <array>
#include <json/value.h>

namespace damaskglade::ownership {

namespace {

constexpr std::array<const char *, 4> KindNames = {"promise", "consent",
                                                   "list_consent", "changed"};

Json::Value encodeList(const ZoneList &List) {
  Json::Value Out;
  Out["zone"] = List.Zone_;
  Out["version"] = static_cast<Json::Int64>(List.Version_);
  Out["nodes"] = Json::Value(Json::arrayValue);
  for (const std::string &Node : List.Nodes_)
    Out["nodes"].append(Node);
  return Out;
}

Result<ZoneList> decodeList(const Json::Value &Value, const std::string &Step) {
  if (!Value.isObject() || !Value["zone"].isString() ||
      !Value["version"].isInt64() || !Value["nodes"].isArray())
    return invalidField(Step, "list", "must have zone, version and nodes");
  ZoneList Out{Value["zone"].asString(), Value["version"].asInt64(), {}};
  for (const Json::Value &Node : Value["nodes"]) {
    if (!Node.isString())
      return invalidField(Step, "list.nodes", "must be an array of strings");
    Out.Nodes_.push_back(Node.asString());
  }
  return Out;
}

} // namespace

std::string encodeMessage(const PeerMessage &Message) {
  Json::Value Out;
  Out["type"] = KindNames.at(static_cast<std::size_t>(Message.Kind_));
  Out["from"] = Message.From_;
  Out["writer"] = Message.Writer_;
  if (Message.Kind_ == MessageKind::Consent)
    Out["target"] = Message.Target_;
  if (Message.Kind_ != MessageKind::Changed)
    Out["list"] = encodeList(Message.List_);
  return writeJson(Out);
}

Result<PeerMessage> decodeMessage(const std::string &Text) {
  const std::string Step = "decode ownership message";
  BOOST_OUTCOME_TRY(Value, parseJson(Text, Step));
  for (const char *Name : {"type", "from", "writer"})
    if (!Value[Name].isString())
      return invalidField(Step, Name, "must be a string");
  PeerMessage Out;
  Out.From_ = Value["from"].asString();
  Out.Writer_ = Value["writer"].asString();
  const std::string Type = Value["type"].asString();
  std::size_t Kind = 0;
  while (Kind < KindNames.size() && Type != KindNames.at(Kind))
    ++Kind;
  if (Kind == KindNames.size())
    return invalidField(Step, "type", "is not a message type");
  Out.Kind_ = static_cast<MessageKind>(Kind);
  if (Out.Kind_ == MessageKind::Changed)
    return Out;
  if (Out.Kind_ == MessageKind::Consent) {
    if (!Value["target"].isString())
      return invalidField(Step, "target", "must be a string");
    Out.Target_ = Value["target"].asString();
  }
  BOOST_OUTCOME_TRY(List, decodeList(Value["list"], Step));
  Out.List_ = List;
  return Out;
}

std::string encodePeerAnswer(const PeerAnswer &Answer) {
  Json::Value Out;
  Out["from"] = Answer.From_;
  Out["granted"] = Answer.Granted_;
  if (Answer.List_.Version_ > Answer.Request_.List_.Version_)
    Out["list"] = encodeList(Answer.List_);
  return writeJson(Out);
}

Result<PeerAnswer> decodePeerAnswer(const PeerMessage &Request,
                                    const std::string &Text) {
  const std::string Step = "decode ownership answer";
  BOOST_OUTCOME_TRY(Value, parseJson(Text, Step));
  if (!Value["from"].isString())
    return invalidField(Step, "from", "must be a string");
  if (!Value["granted"].isBool())
    return invalidField(Step, "granted", "must be true or false");
  PeerAnswer Out;
  Out.Request_ = Request;
  Out.From_ = Value["from"].asString();
  Out.Granted_ = Value["granted"].asBool();
  if (Value.isMember("list")) {
    BOOST_OUTCOME_TRY(List, decodeList(Value["list"], Step));
    Out.List_ = List;
  }
  return Out;
}

} // namespace damaskglade::ownership
