#include "ownership/rows.h"

#include "core/codec.h"

#include <array>
#include <json/value.h>

namespace damaskglade::ownership {

namespace {

constexpr std::array<const char *, 3> StateNames = {"live", "released",
                                                    "fenced"};

Json::Value int64Value(std::int64_t Number) {
  return Json::Value(static_cast<Json::Int64>(Number));
}

bool readString(const Json::Value &Body, const char *Name, std::string &Out) {
  if (!Body[Name].isString())
    return false;
  Out = Body[Name].asString();
  return true;
}

bool readInt64(const Json::Value &Body, const char *Name, std::int64_t &Out) {
  if (!Body[Name].isInt64())
    return false;
  Out = Body[Name].asInt64();
  return true;
}

} // namespace

std::string encodeNodeRow(const NodeRow &Row) {
  Json::Value Out;
  Out["zone"] = Row.Zone_;
  Out["address"] = Row.Address_;
  Out["writer"] = Row.Writer_;
  Out["incarnation"] = int64Value(Row.Incarnation_);
  Out["sequence"] = int64Value(Row.Sequence_);
  Out["state"] = StateNames.at(static_cast<std::size_t>(Row.State_));
  Out["lease_end_ms"] = int64Value(Row.LeaseEnd_.Value_);
  return writeJson(Out);
}

std::string encodeShardRow(const ShardRow &Row) {
  Json::Value Out;
  Out["owner"] = Row.Owner_;
  Out["incarnation"] = int64Value(Row.Incarnation_);
  Out["epoch"] = int64Value(Row.Epoch_);
  return writeJson(Out);
}

std::string encodeZoneList(const ZoneList &List) {
  Json::Value Out;
  Out["nodes"] = Json::Value(Json::arrayValue);
  for (const std::string &Node : List.Nodes_)
    Out["nodes"].append(Node);
  return writeJson(Out);
}

TableWrite encodeRowWrite(const RowWrite &Write) {
  TableWrite Out;
  Out.ExpectedVersion_ = Write.ExpectedVersion_;
  if (const auto *Node = std::get_if<NodeRow>(&Write.Row_)) {
    Out.Key_ = TableKey{NodeKind, Node->Id_};
    Out.Body_ = encodeNodeRow(*Node);
  } else if (const auto *Shard = std::get_if<ShardRow>(&Write.Row_)) {
    Out.Key_ = TableKey{ShardKind, Shard->Id_};
    Out.Body_ = encodeShardRow(*Shard);
  } else if (const auto *List = std::get_if<ZoneList>(&Write.Row_)) {
    Out.Key_ = TableKey{ListKind, List->Zone_};
    Out.Body_ = encodeZoneList(*List);
  }
  return Out;
}

Result<NodeRow> decodeNodeRow(const TableRow &Row) {
  const std::string Step = "decode node row";
  BOOST_OUTCOME_TRY(Body, parseJson(Row.Body_, Step));
  NodeRow Out;
  Out.Id_ = Row.Key_.Id_;
  if (!readString(Body, "zone", Out.Zone_))
    return invalidField(Step, "zone", "must be a string");
  if (!readString(Body, "address", Out.Address_))
    return invalidField(Step, "address", "must be a string");
  if (!readString(Body, "writer", Out.Writer_))
    return invalidField(Step, "writer", "must be a string");
  if (!readInt64(Body, "incarnation", Out.Incarnation_))
    return invalidField(Step, "incarnation", "must be a whole number");
  if (!readInt64(Body, "sequence", Out.Sequence_))
    return invalidField(Step, "sequence", "must be a whole number");
  if (!readInt64(Body, "lease_end_ms", Out.LeaseEnd_.Value_))
    return invalidField(Step, "lease_end_ms", "must be a whole number");
  std::string State;
  readString(Body, "state", State);
  for (std::size_t I = 0; I < StateNames.size(); ++I) {
    if (State != StateNames.at(I))
      continue;
    Out.State_ = static_cast<NodeRowState>(I);
    return Out;
  }
  return invalidField(Step, "state", "must be one of live, released, fenced");
}

Result<ShardRow> decodeShardRow(const TableRow &Row) {
  const std::string Step = "decode shard row";
  BOOST_OUTCOME_TRY(Body, parseJson(Row.Body_, Step));
  ShardRow Out;
  Out.Id_ = Row.Key_.Id_;
  if (!readString(Body, "owner", Out.Owner_))
    return invalidField(Step, "owner", "must be a string");
  if (!readInt64(Body, "incarnation", Out.Incarnation_))
    return invalidField(Step, "incarnation", "must be a whole number");
  if (!readInt64(Body, "epoch", Out.Epoch_))
    return invalidField(Step, "epoch", "must be a whole number");
  return Out;
}

Result<ZoneList> decodeZoneList(const TableRow &Row) {
  const std::string Step = "decode zone list row";
  BOOST_OUTCOME_TRY(Body, parseJson(Row.Body_, Step));
  if (!Body["nodes"].isArray())
    return invalidField(Step, "nodes", "must be an array");
  ZoneList Out;
  Out.Zone_ = Row.Key_.Id_;
  Out.Version_ = Row.Version_;
  for (const Json::Value &Node : Body["nodes"]) {
    if (!Node.isString())
      return invalidField(Step, "nodes", "must be an array of strings");
    Out.Nodes_.push_back(Node.asString());
  }
  return Out;
}

} // namespace damaskglade::ownership
