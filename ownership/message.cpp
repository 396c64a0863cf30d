#include "ownership/message.h"

#include "core/codec.h"

#include <array>
#include <json/value.h>

namespace damaskglade::ownership {

namespace {

constexpr std::array<const char *, 4> KindNames = {"promise", "consent",
                                                   "list_consent", "changed"};

Json::Value encodeList(const ZoneList &List) {
  Json::Value Body;
  Body["zone"] = List.Zone_;
  Body["version"] = static_cast<Json::Int64>(List.Version_);
  Body["nodes"] = Json::Value(Json::arrayValue);
  for (const std::string &Node : List.Nodes_)
    Body["nodes"].append(Node);
  return Body;
}

Result<ZoneList> decodeList(const Json::Value &Value, const std::string &Step) {
  if (!Value.isObject() || !Value["zone"].isString() ||
      !Value["version"].isInt64() || !Value["nodes"].isArray())
    return invalidField(Step, "list", "must have zone, version and nodes");
  ZoneList List{Value["zone"].asString(), Value["version"].asInt64(), {}};
  for (const Json::Value &Node : Value["nodes"]) {
    if (!Node.isString())
      return invalidField(Step, "list.nodes", "must be an array of strings");
    List.Nodes_.push_back(Node.asString());
  }
  return List;
}

} // namespace

std::string encodeMessage(const PeerMessage &Message) {
  Json::Value Body;
  Body["type"] = KindNames.at(static_cast<std::size_t>(Message.Kind_));
  Body["from"] = Message.From_;
  Body["writer"] = Message.Writer_;
  if (Message.Kind_ == MessageKind::Consent)
    Body["target"] = Message.Target_;
  if (Message.Kind_ != MessageKind::RowsChanged)
    Body["list"] = encodeList(Message.List_);
  return writeJson(Body);
}

Result<PeerMessage> decodeMessage(const std::string &Text) {
  const std::string Step = "decode ownership message";
  BOOST_OUTCOME_TRY(Value, parseJson(Text, Step));
  for (const char *Name : {"type", "from", "writer"})
    if (!Value[Name].isString())
      return invalidField(Step, Name, "must be a string");
  PeerMessage Message;
  Message.From_ = Value["from"].asString();
  Message.Writer_ = Value["writer"].asString();
  const std::string Type = Value["type"].asString();
  std::size_t Kind = 0;
  while (Kind < KindNames.size() && Type != KindNames.at(Kind))
    ++Kind;
  if (Kind == KindNames.size())
    return invalidField(Step, "type", "is not a message type");
  Message.Kind_ = static_cast<MessageKind>(Kind);
  if (Message.Kind_ == MessageKind::RowsChanged)
    return Message;
  if (Message.Kind_ == MessageKind::Consent) {
    if (!Value["target"].isString())
      return invalidField(Step, "target", "must be a string");
    Message.Target_ = Value["target"].asString();
  }
  BOOST_OUTCOME_TRY(List, decodeList(Value["list"], Step));
  Message.List_ = List;
  return Message;
}

std::string encodePeerAnswer(const PeerAnswer &Answer) {
  Json::Value Body;
  Body["from"] = Answer.From_;
  Body["granted"] = Answer.Granted_;
  if (Answer.List_.Version_ > Answer.Request_.List_.Version_)
    Body["list"] = encodeList(Answer.List_);
  return writeJson(Body);
}

Result<PeerAnswer> decodePeerAnswer(const PeerMessage &Request,
                                    const std::string &Text) {
  const std::string Step = "decode ownership answer";
  BOOST_OUTCOME_TRY(Value, parseJson(Text, Step));
  if (!Value["from"].isString())
    return invalidField(Step, "from", "must be a string");
  if (!Value["granted"].isBool())
    return invalidField(Step, "granted", "must be true or false");
  PeerAnswer Answer;
  Answer.Request_ = Request;
  Answer.From_ = Value["from"].asString();
  Answer.Granted_ = Value["granted"].asBool();
  if (Value.isMember("list")) {
    BOOST_OUTCOME_TRY(List, decodeList(Value["list"], Step));
    Answer.List_ = List;
  }
  return Answer;
}

} // namespace damaskglade::ownership
