#include "tests/stand_ins/table_service.h"

#include "core/codec.h"

#include <algorithm>
#include <optional>

namespace damaskglade::stand_ins {

namespace {

constexpr const char *TableName = "damaskglade";
constexpr const char *TargetPrefix = "DynamoDB_20120810.";
// The real service ends a page after 1 MB; a small number of rows makes clients
// follow pages.
constexpr std::size_t MaxPage = 100;

HttpResponse refuse(const std::string &Type, const std::string &Message) {
  Json::Value Body;
  Body["__type"] = "com.amazonaws.dynamodb.v20120810#" + Type;
  Body["Message"] = Message;
  return jsonResponse(400, Body);
}

TableKey keyOf(const Json::Value &Item) {
  return TableKey{Item["pk"]["S"].asString(), Item["sk"]["S"].asString()};
}

Json::Value itemOf(const TableRow &Row) {
  Json::Value Out;
  Out["pk"]["S"] = Row.Key_.Kind_;
  Out["sk"]["S"] = Row.Key_.Id_;
  Out["ver"]["N"] = std::to_string(Row.Version_);
  Out["body"]["S"] = Row.Body_;
  return Out;
}

/// Version that a condition demands, 0 for absence; nothing if the condition
/// is not one of the supported two.
std::optional<std::int64_t> demandedVersion(const Json::Value &Write) {
  const std::string Condition = Write["ConditionExpression"].asString();
  if (Condition == "attribute_not_exists(pk)")
    return 0;
  if (Condition != "ver = :v")
    return std::nullopt;
  return std::stoll(Write["ExpressionAttributeValues"][":v"]["N"].asString());
}

struct Parsed {
  std::vector<TableWrite> Writes_;
  std::vector<std::int64_t> NewVersions_;
  std::string Problem_;
};

Parsed parseWrites(const Json::Value &Items) {
  Parsed Out;
  std::map<TableKey, int> Seen;
  for (const Json::Value &Entry : Items) {
    const bool Remove = Entry.isMember("Delete");
    const Json::Value &Write = Entry[Remove ? "Delete" : "Put"];
    const Json::Value &Item = Write[Remove ? "Key" : "Item"];
    const auto Version = demandedVersion(Write);
    const TableKey Key = keyOf(Item);
    if (Write["TableName"].asString() != TableName || !Version)
      Out.Problem_ = "unknown table or condition";
    else if (Key.Kind_.empty() || Key.Id_.empty())
      Out.Problem_ = "key attributes must not be empty";
    else if (++Seen[Key] > 1)
      Out.Problem_ = "a transaction must not hold one item twice";
    if (!Out.Problem_.empty())
      return Out;
    Out.Writes_.push_back(
        TableWrite{Key, *Version, Item["body"]["S"].asString(), Remove});
    Out.NewVersions_.push_back(
        Remove ? 0 : std::stoll(Item["ver"]["N"].asString()));
  }
  if (Out.Writes_.empty() || Out.Writes_.size() > MaxTransactionWrites)
    Out.Problem_ = "a transaction must hold 1 to 100 items";
  return Out;
}

} // namespace

HttpResponse TableService::handle(const HttpRequest &Request) {
  if (Request.Path_ == "/_fault")
    return Panel_.set(Request.Body_);
  if (Request.Path_ == "/_dump")
    return dump();
  if (!Panel_.admit())
    return droppedAnswer();
  const Faults Now = Panel_.current();
  if (Panel_.chance(Now.Throttle_))
    return refuse("ProvisionedThroughputExceededException", "throttled");
  const auto Body = parseJson(Request.Body_, "table request");
  if (!Body || Request.Target_.rfind(TargetPrefix, 0) != 0)
    return refuse("SerializationException", "malformed request");
  const std::string Operation =
      Request.Target_.substr(std::string(TargetPrefix).size());
  const bool Drop = Panel_.chance(Now.DropAnswers_);
  if (Drop && Now.LateWrite_ > Millis{} && Operation == "TransactWriteItems") {
    Late_.runAfter(Now.LateWrite_,
                   [this, Value = Body.value()] { transact(Value); });
    return droppedAnswer();
  }
  HttpResponse Answer = serve(Operation, Body.value());
  Answer.Drop_ = Drop;
  Answer.Truncate_ = Panel_.chance(Now.Truncate_);
  return Answer;
}

HttpResponse TableService::serve(const std::string &Operation,
                                 const Json::Value &Body) {
  // jsoncpp throws on members of an unexpected type.
  try {
    if (Operation == "TransactWriteItems")
      return transact(Body);
    if (Operation == "GetItem")
      return getItem(Body);
    if (Operation == "Query")
      return query(Body);
  } catch (const std::exception &Failure) {
    return refuse("SerializationException", Failure.what());
  }
  return refuse("UnknownOperationException", Operation);
}

HttpResponse TableService::transact(const Json::Value &Body) {
  const Parsed Wanted = parseWrites(Body["TransactItems"]);
  if (!Wanted.Problem_.empty())
    return refuse("ValidationException", Wanted.Problem_);
  const std::string Token = Body.get("ClientRequestToken", "").asString();
  constexpr std::size_t MaxTokenBytes = 36;
  if (Token.size() > MaxTokenBytes)
    return refuse("ValidationException", "the token is too long");
  const std::string Content = digestOf(writeJson(Body["TransactItems"]));
  const HttpResponse Applied = jsonResponse(200, Json::objectValue);

  const MutexLock Held(Mutex_);
  ++Transactions_;
  const auto Earlier = Applied_.find(Token);
  if (!Token.empty() && Earlier != Applied_.end())
    return Earlier->second == Content
               ? Applied
               : refuse("IdempotentParameterMismatchException",
                        "the token was used with other content");
  Json::Value Reasons(Json::arrayValue);
  bool Conflict = false;
  for (const TableWrite &Write : Wanted.Writes_) {
    const auto Row = Rows_.find(Write.Key_);
    const std::int64_t Version = Row == Rows_.end() ? 0 : Row->second.Version_;
    Json::Value Entry;
    Entry["Code"] =
        Version == Write.ExpectedVersion_ ? "None" : "ConditionalCheckFailed";
    Conflict = Conflict || Version != Write.ExpectedVersion_;
    Reasons.append(Entry);
  }
  if (Conflict) {
    Json::Value Out;
    Out["__type"] =
        "com.amazonaws.dynamodb.v20120810#TransactionCanceledException";
    Out["Message"] = "Transaction cancelled, please refer cancellation reasons "
                     "for specific reasons";
    Out["CancellationReasons"] = Reasons;
    return jsonResponse(400, Out);
  }
  for (std::size_t Index = 0; Index < Wanted.Writes_.size(); ++Index) {
    const TableWrite &Write = Wanted.Writes_[Index];
    if (Write.Remove_)
      Rows_.erase(Write.Key_);
    else
      Rows_[Write.Key_] =
          TableRow{Write.Key_, Wanted.NewVersions_[Index], Write.Body_};
    ++Written_;
  }
  if (!Token.empty())
    Applied_[Token] = Content;
  return Applied;
}

HttpResponse TableService::getItem(const Json::Value &Body) {
  const MutexLock Held(Mutex_);
  ++Reads_;
  const auto Row = Rows_.find(keyOf(Body["Key"]));
  Json::Value Out(Json::objectValue);
  if (Row != Rows_.end())
    Out["Item"] = itemOf(Row->second);
  return jsonResponse(200, Out);
}

HttpResponse TableService::query(const Json::Value &Body) {
  const Json::Value &Values = Body["ExpressionAttributeValues"];
  const std::string Kind = Values[":k"]["S"].asString();
  const std::string Prefix =
      Values.isMember(":p") ? Values[":p"]["S"].asString() : std::string();
  const std::size_t Limit =
      std::min<std::size_t>(Body.get("Limit", 1000).asUInt64(), MaxPage);
  const TableKey After = Body.isMember("ExclusiveStartKey")
                             ? keyOf(Body["ExclusiveStartKey"])
                             : TableKey{Kind, ""};
  Json::Value Out;
  Out["Items"] = Json::arrayValue;
  const MutexLock Held(Mutex_);
  ++Reads_;
  // Prefix sorts before all ids that begin with it.
  const TableKey First = std::max(After, TableKey{Kind, Prefix});
  for (auto Row = Rows_.lower_bound(First); Row != Rows_.end(); ++Row) {
    const TableKey &Key = Row->first;
    if (Key.Kind_ != Kind || Key.Id_.rfind(Prefix, 0) != 0)
      break;
    if (Key == After)
      continue;
    if (Out["Items"].size() == Limit) {
      const TableRow Last{keyOf(Out["Items"][Out["Items"].size() - 1]), 0, ""};
      Out["LastEvaluatedKey"]["pk"]["S"] = Last.Key_.Kind_;
      Out["LastEvaluatedKey"]["sk"]["S"] = Last.Key_.Id_;
      break;
    }
    Out["Items"].append(itemOf(Row->second));
  }
  Out["Count"] = Out["Items"].size();
  return jsonResponse(200, Out);
}

HttpResponse TableService::dump() {
  const MutexLock Held(Mutex_);
  Json::Value Out;
  Out["transactions"] = static_cast<Json::Int64>(Transactions_);
  Out["written"] = static_cast<Json::Int64>(Written_);
  Out["reads"] = static_cast<Json::Int64>(Reads_);
  Out["rows"] = Json::arrayValue;
  for (const auto &[Key, Row] : Rows_)
    Out["rows"].append(itemOf(Row));
  return jsonResponse(200, Out);
}

} // namespace damaskglade::stand_ins
