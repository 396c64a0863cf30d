#include "cell/rpc.h"

#include "core/codec.h"

namespace damaskglade::cell {

namespace {

constexpr int Ok = 200; // HTTP status
constexpr const char *Target = "/rpc";
// Followed by the name of the method.
constexpr const char *BinaryTarget = "/rpc/";

// The types of results differ by method.
bool isReply(const Json::Value &Body) {
  if (!Body.isObject())
    return false;
  const Json::Value &Failure = Body["error"];
  return Failure.isNull() || (Failure.isObject() && Failure["data"].isObject());
}

Result<Json::Value> decodeReply(const WebReply &Reply,
                                const std::string &Method,
                                const std::string &Address) {
  auto ParsedBody = parseJson(Reply.Body_, Method);
  if (!ParsedBody || !isReply(ParsedBody.value()) || Reply.Status_ != Ok)
    return Error{Reason::AnswerTruncated, Effect::Unknown, Method, Address,
                 "invalid reply from peer, HTTP status " +
                     std::to_string(Reply.Status_)};
  const Json::Value &Body = ParsedBody.value();
  if (!Body.isMember("error"))
    return Body["result"];
  Error Failure = decodeError(Body["error"]["data"]);
  // The first copy of the call may have been carried out.
  if (Reply.Resent_)
    Failure.Effect_ = Effect::Unknown;
  if (Failure.Peer_.empty())
    Failure.Peer_ = Address;
  return Failure;
}

} // namespace

void RpcClient::call(const std::string &Address, const std::string &Method,
                     const Json::Value &Params, Millis Timeout, RpcReply Done) {
  Json::Value Body;
  Body["jsonrpc"] = "2.0";
  Body["id"] = 1;
  Body["method"] = Method;
  Body["params"] = Params;
  WebCall Call;
  Call.Address_ = Address;
  Call.Target_ = Target;
  Call.Body_ = writeJson(Body);
  Call.Timeout_ = Timeout;
  send(std::move(Call), Method, std::move(Done));
}

void RpcClient::callBinary(const std::string &Address,
                           const std::string &Method, std::string Params,
                           Millis Timeout, RpcReply Done) {
  WebCall Call;
  Call.Address_ = Address;
  Call.Target_ = BinaryTarget + Method;
  Call.Body_ = std::move(Params);
  Call.Timeout_ = Timeout;
  send(std::move(Call), Method, std::move(Done));
}

void RpcClient::send(WebCall Call, const std::string &Method, RpcReply Done) {
  Call.Method_ = "POST";
  const std::string Address = Call.Address_;
  Http_.call(Call,
             [Method, Address, Done = std::move(Done)](Result<WebReply> Reply) {
               if (!Reply)
                 return Done(Reply.error());
               Done(decodeReply(Reply.value(), Method, Address));
             });
}

void RpcServer::add(const std::string &Name, RpcMethod Method) {
  Methods_[Name] = std::move(Method);
}

void RpcServer::addBinary(const std::string &Name, BinaryMethod Method) {
  BinaryMethods_[BinaryTarget + Name] = std::move(Method);
}

void RpcServer::handle(const WebRequest &Request,
                       const WebReplier &Reply) const {
  const auto Send = [Reply](Result<Json::Value> Outcome) {
    Json::Value Body;
    Body["jsonrpc"] = "2.0";
    Body["id"] = 1;
    if (Outcome) {
      Body["result"] = std::move(Outcome).value();
    } else {
      constexpr int ServerError = -32000;
      Body["error"]["code"] = ServerError;
      Body["error"]["message"] = Outcome.error().Message_;
      Body["error"]["data"] = encodeError(Outcome.error());
    }
    Reply(WebReply{Ok, writeJson(Body)});
  };
  const auto Binary = BinaryMethods_.find(Request.Target_);
  if (Binary != BinaryMethods_.end())
    return Binary->second(Request.Body_, Send);
  const auto ParsedBody = parseJson(Request.Body_, "decode peer call");
  if (!ParsedBody)
    return Send(ParsedBody.error());
  const Json::Value &Body = ParsedBody.value();
  const auto Method = Body["method"].isString()
                          ? Methods_.find(Body["method"].asString())
                          : Methods_.end();
  if (Method == Methods_.end())
    return Send(Error{Reason::NotFound, Effect::None, "peer call", "",
                      "no such method"});
  try {
    Method->second(Body["params"], Send);
  } catch (const Json::Exception &Failure) {
    Send(Error{Reason::InvalidField, Effect::None, Method->first, "",
               Failure.what()});
  }
}

} // namespace damaskglade::cell
