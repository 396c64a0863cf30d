#include "ownership/rows.h"

#include "core/codec.h"

#include <array>
#include <json/value.h>

namespace damaskglade::ownership {

namespace {

constexpr std::array<const char *, 3> StateNames = {"live", "released",
                                                    "fenced"};

Json::Value toJsonInt64(std::int64_t Number) {
  return Json::Value(static_cast<Json::Int64>(Number));
}

bool readString(const Json::Value &Body, const char *Name, std::string &Value) {
  if (!Body[Name].isString())
    return false;
  Value = Body[Name].asString();
  return true;
}

bool readInt64(const Json::Value &Body, const char *Name, std::int64_t &Value) {
  if (!Body[Name].isInt64())
    return false;
  Value = Body[Name].asInt64();
  return true;
}

} // namespace

std::string encodeNodeRow(const NodeRow &Row) {
  Json::Value Body;
  Body["zone"] = Row.Zone_;
  Body["address"] = Row.Address_;
  Body["writer"] = Row.Writer_;
  Body["incarnation"] = toJsonInt64(Row.Incarnation_);
  Body["sequence"] = toJsonInt64(Row.Sequence_);
  Body["state"] = StateNames.at(static_cast<std::size_t>(Row.State_));
  Body["lease_end_ms"] = toJsonInt64(Row.LeaseEnd_.Value_);
  return writeJson(Body);
}

std::string encodeShardRow(const ShardRow &Row) {
  Json::Value Body;
  Body["owner"] = Row.Owner_;
  Body["incarnation"] = toJsonInt64(Row.Incarnation_);
  Body["epoch"] = toJsonInt64(Row.Epoch_);
  return writeJson(Body);
}

std::string encodeZoneList(const ZoneList &List) {
  Json::Value Body;
  Body["nodes"] = Json::Value(Json::arrayValue);
  for (const std::string &Node : List.Nodes_)
    Body["nodes"].append(Node);
  return writeJson(Body);
}

TableWrite encodeRowWrite(const RowWrite &Write) {
  TableWrite Encoded;
  Encoded.ExpectedVersion_ = Write.ExpectedVersion_;
  if (const auto *Node = std::get_if<NodeRow>(&Write.Row_)) {
    Encoded.Key_ = TableKey{NodeKind, Node->Id_};
    Encoded.Body_ = encodeNodeRow(*Node);
  } else if (const auto *Shard = std::get_if<ShardRow>(&Write.Row_)) {
    Encoded.Key_ = TableKey{ShardKind, Shard->Id_};
    Encoded.Body_ = encodeShardRow(*Shard);
  } else if (const auto *List = std::get_if<ZoneList>(&Write.Row_)) {
    Encoded.Key_ = TableKey{ListKind, List->Zone_};
    Encoded.Body_ = encodeZoneList(*List);
  }
  return Encoded;
}

Result<NodeRow> decodeNodeRow(const TableRow &Row) {
  const std::string Step = "decode node row";
  BOOST_OUTCOME_TRY(Body, parseJson(Row.Body_, Step));
  NodeRow Decoded;
  Decoded.Id_ = Row.Key_.Id_;
  if (!readString(Body, "zone", Decoded.Zone_))
    return invalidField(Step, "zone", "must be a string");
  if (!readString(Body, "address", Decoded.Address_))
    return invalidField(Step, "address", "must be a string");
  if (!readString(Body, "writer", Decoded.Writer_))
    return invalidField(Step, "writer", "must be a string");
  if (!readInt64(Body, "incarnation", Decoded.Incarnation_))
    return invalidField(Step, "incarnation", "must be a whole number");
  if (!readInt64(Body, "sequence", Decoded.Sequence_))
    return invalidField(Step, "sequence", "must be a whole number");
  if (!readInt64(Body, "lease_end_ms", Decoded.LeaseEnd_.Value_))
    return invalidField(Step, "lease_end_ms", "must be a whole number");
  std::string State;
  readString(Body, "state", State);
  for (std::size_t I = 0; I < StateNames.size(); ++I) {
    if (State != StateNames.at(I))
      continue;
    Decoded.State_ = static_cast<NodeRowState>(I);
    return Decoded;
  }
  return invalidField(Step, "state", "must be one of live, released, fenced");
}

Result<ShardRow> decodeShardRow(const TableRow &Row) {
  const std::string Step = "decode shard row";
  BOOST_OUTCOME_TRY(Body, parseJson(Row.Body_, Step));
  ShardRow Decoded;
  Decoded.Id_ = Row.Key_.Id_;
  if (!readString(Body, "owner", Decoded.Owner_))
    return invalidField(Step, "owner", "must be a string");
  if (!readInt64(Body, "incarnation", Decoded.Incarnation_))
    return invalidField(Step, "incarnation", "must be a whole number");
  if (!readInt64(Body, "epoch", Decoded.Epoch_))
    return invalidField(Step, "epoch", "must be a whole number");
  return Decoded;
}

Result<ZoneList> decodeZoneList(const TableRow &Row) {
  const std::string Step = "decode zone list row";
  BOOST_OUTCOME_TRY(Body, parseJson(Row.Body_, Step));
  if (!Body["nodes"].isArray())
    return invalidField(Step, "nodes", "must be an array");
  ZoneList Decoded;
  Decoded.Zone_ = Row.Key_.Id_;
  Decoded.Version_ = Row.Version_;
  for (const Json::Value &Node : Body["nodes"]) {
    if (!Node.isString())
      return invalidField(Step, "nodes", "must be an array of strings");
    Decoded.Nodes_.push_back(Node.asString());
  }
  return Decoded;
}

} // namespace damaskglade::ownership
