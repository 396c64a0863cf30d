#include "drivers/platform/table_client.h"

#include "core/codec.h"
#include "drivers/platform/http_pool.h"

#include <algorithm>
#include <charconv>

namespace damaskglade::drivers {

namespace {

constexpr const char *TableName = "damaskglade";
constexpr const char *ContentType = "application/x-amz-json-1.0";
constexpr const char *TargetPrefix = "DynamoDB_20120810.";
constexpr int HttpOk = 200;
// Longer tokens are rejected by the service.
constexpr std::size_t MaxTokenBytes = 36;
constexpr Millis ThrottledRetry{100};

Json::Value stringAttribute(const std::string &Text) {
  Json::Value Out;
  Out["S"] = Text;
  return Out;
}

Json::Value numberAttribute(std::int64_t Number) {
  Json::Value Out;
  Out["N"] = std::to_string(Number);
  return Out;
}

Json::Value encodeKey(const TableKey &Key) {
  Json::Value Out;
  Out["pk"] = stringAttribute(Key.Kind_);
  Out["sk"] = stringAttribute(Key.Id_);
  return Out;
}

Json::Value encodeWrite(const TableWrite &Write) {
  Json::Value Body;
  Body["TableName"] = TableName;
  if (Write.ExpectedVersion_ == 0) {
    Body["ConditionExpression"] = "attribute_not_exists(pk)";
  } else {
    Body["ConditionExpression"] = "ver = :v";
    Body["ExpressionAttributeValues"][":v"] =
        numberAttribute(Write.ExpectedVersion_);
  }
  Json::Value Out;
  if (Write.Remove_) {
    Body["Key"] = encodeKey(Write.Key_);
    Out["Delete"] = Body;
    return Out;
  }
  Body["Item"] = encodeKey(Write.Key_);
  Body["Item"]["ver"] = numberAttribute(Write.ExpectedVersion_ + 1);
  Body["Item"]["body"] = stringAttribute(Write.Body_);
  Out["Put"] = Body;
  return Out;
}

bool readText(const Json::Value &Attribute, const char *Type,
              std::string &Out) {
  if (!Attribute.isObject() || !Attribute[Type].isString())
    return false;
  Out = Attribute[Type].asString();
  return true;
}

std::string textOr(const Json::Value &Object, const char *Name) {
  const bool Present = Object.isObject() && Object[Name].isString();
  return Present ? Object[Name].asString() : std::string();
}

bool readRow(const Json::Value &Item, TableRow &Out) {
  std::string Number;
  if (!Item.isObject() || !readText(Item["pk"], "S", Out.Key_.Kind_) ||
      !readText(Item["sk"], "S", Out.Key_.Id_) ||
      !readText(Item["body"], "S", Out.Body_) ||
      !readText(Item["ver"], "N", Number))
    return false;
  const char *End = Number.data() + Number.size();
  return std::from_chars(Number.data(), End, Out.Version_).ptr == End;
}

bool isThrottling(const std::string &Type) {
  return Type == "ProvisionedThroughputExceededException" ||
         Type == "ThrottlingException" || Type == "RequestLimitExceeded";
}

/// True if a transaction was canceled for load alone: its conditions were not
/// found to be false, so the caller may send it again unchanged.
bool isThrottledTransaction(const Json::Value &Reasons) {
  bool Throttled = false;
  if (!Reasons.isArray())
    return false;
  for (const Json::Value &Entry : Reasons) {
    const std::string Code = textOr(Entry, "Code");
    if (Code == "ThrottlingError" || Code == "ProvisionedThroughputExceeded")
      Throttled = true;
    else if (Code != "None")
      return false;
  }
  return Throttled;
}

class TableClient : public TableStore {
public:
  explicit TableClient(const std::string &Url) : Url_(splitUrl(Url)) {}

  Result<std::optional<TableRow>> read(const TableKey &Key,
                                       Millis Timeout) override {
    Json::Value Body;
    Body["TableName"] = TableName;
    Body["Key"] = encodeKey(Key);
    // The default read may return an older version of the row.
    Body["ConsistentRead"] = true;
    BOOST_OUTCOME_TRY(Reply, post("GetItem", Body, Timeout, "read table row"));
    if (!Reply.isMember("Item"))
      return std::optional<TableRow>();
    TableRow Row;
    if (!readRow(Reply["Item"], Row))
      return invalidReply("read table row", "the row is malformed");
    return std::optional<TableRow>(Row);
  }

  Result<std::vector<TableRow>> list(const std::string &Kind,
                                     const std::string &Prefix,
                                     const std::string &StartAfter,
                                     std::size_t Limit,
                                     Millis Timeout) override {
    const std::string Step = "list table rows";
    const Millis Deadline = Clock_.monotonic() + Timeout;
    Json::Value Body = queryOf(Kind, Prefix);
    if (!StartAfter.empty())
      Body["ExclusiveStartKey"] = encodeKey(TableKey{Kind, StartAfter});
    std::vector<TableRow> Rows;
    // The service ends a page after 1 MB even if fewer rows than asked for
    // were found.
    while (Rows.size() < Limit) {
      Body["Limit"] = static_cast<Json::UInt64>(Limit - Rows.size());
      BOOST_OUTCOME_TRY(
          Reply, post("Query", Body, Deadline - Clock_.monotonic(), Step));
      for (const Json::Value &Item : Reply["Items"]) {
        TableRow Row;
        if (!readRow(Item, Row))
          return invalidReply(Step, "a row is malformed");
        Rows.push_back(std::move(Row));
      }
      if (!Reply.isMember("LastEvaluatedKey"))
        break;
      Body["ExclusiveStartKey"] = Reply["LastEvaluatedKey"];
    }
    return Rows;
  }

  Status commit(const std::vector<TableWrite> &Writes, const std::string &Token,
                Millis Timeout) override {
    const std::string Step = "commit table rows";
    if (Writes.empty())
      return success();
    if (Writes.size() > MaxTransactionWrites)
      return Error{Reason::Internal, Effect::None, Step, Url_.Address_,
                   "a transaction may hold at most 100 writes"};
    Json::Value Body;
    for (const TableWrite &Write : Writes)
      Body["TransactItems"].append(encodeWrite(Write));
    if (!Token.empty())
      Body["ClientRequestToken"] =
          Token.size() <= MaxTokenBytes ? Token : digestOf(Token);
    BOOST_OUTCOME_TRY(post("TransactWriteItems", Body, Timeout, Step));
    return success();
  }

private:
  static Json::Value queryOf(const std::string &Kind,
                             const std::string &Prefix) {
    Json::Value Body;
    Body["TableName"] = TableName;
    Body["ConsistentRead"] = true;
    Body["KeyConditionExpression"] =
        Prefix.empty() ? "pk = :k" : "pk = :k AND begins_with(sk, :p)";
    Body["ExpressionAttributeValues"][":k"] = stringAttribute(Kind);
    if (!Prefix.empty())
      Body["ExpressionAttributeValues"][":p"] = stringAttribute(Prefix);
    return Body;
  }

  Result<Json::Value> post(const std::string &Operation,
                           const Json::Value &Body, Millis Timeout,
                           const std::string &Step) {
    if (Timeout <= Millis{})
      return Error{Reason::TableUnavailable, Effect::None, Step, Url_.Address_,
                   "no time left for the call"};
    const HttpCall Request{"POST",
                           Url_.Path_,
                           writeJson(Body),
                           ContentType,
                           {{"X-Amz-Target", TargetPrefix + Operation}}};
    auto Sent = Pool_.call(Url_.Address_, Request, Timeout, Step);
    if (!Sent) {
      Error Failure = Sent.error();
      Failure.Message_ =
          std::string(reasonName(Failure.Reason_)) + ": " + Failure.Message_;
      Failure.Reason_ = Reason::TableUnavailable;
      return Failure;
    }
    const HttpReply &Reply = Sent.value();
    auto Parsed = parseJson(Reply.Body_, Step);
    if (!Parsed)
      return invalidReply(Step, "status " + std::to_string(Reply.Status_) +
                                    " without a JSON body");
    if (Reply.Status_ == HttpOk)
      return Parsed;
    return refusal(Step, Reply.Status_, Parsed.value());
  }

  Error invalidReply(const std::string &Step,
                     const std::string &Problem) const {
    return Error{Reason::TableUnavailable, Effect::Unknown, Step, Url_.Address_,
                 Problem};
  }

  Error refusal(const std::string &Step, int HttpStatus,
                const Json::Value &Body) const {
    std::string Type = textOr(Body, "__type");
    Type = Type.substr(Type.find('#') + 1);
    const std::string Message = Type + " (status " +
                                std::to_string(HttpStatus) +
                                "): " + textOr(Body, "Message");
    Error Failure{Reason::TableUnavailable, Effect::Unknown, Step,
                  Url_.Address_, Message};
    if (isThrottling(Type) ||
        (Type == "TransactionCanceledException" &&
         isThrottledTransaction(Body["CancellationReasons"]))) {
      Failure.Effect_ = Effect::None;
      Failure.RetryAfter_ = ThrottledRetry;
    } else if (Type == "TransactionCanceledException" ||
               Type == "ConditionalCheckFailedException") {
      Failure.Reason_ = Reason::TableConflict;
      Failure.Effect_ = Effect::None;
    } else if (Type == "ValidationException" ||
               Type == "ResourceNotFoundException" ||
               Type == "SerializationException") {
      Failure.Reason_ = Reason::Internal;
      Failure.Effect_ = Effect::None;
    }
    return Failure;
  }

  HttpUrl Url_;
  HttpPool Pool_;
  SystemClock Clock_;
};

} // namespace

std::unique_ptr<TableStore> makeTableClient(const std::string &Url) {
  return std::make_unique<TableClient>(Url);
}

} // namespace damaskglade::drivers
