#include "drivers/peer/jsonrpc_bridge.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace damaskglade {
namespace drivers {

namespace {

// In the range that JSON-RPC 2.0 leaves to applications.
constexpr int RefusalCode = -32000;

class TransportConnector : public jsonrpc::IClientConnector {
public:
  explicit TransportConnector(const RpcTransport &Transport)
      : Transport_(Transport) {}

  void
  SendRPCMessage(const std::string &Message,
                 std::string &Reply) throw(jsonrpc::JsonRpcException) override {
    if (!Transport_(Message, Reply))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no reply");
  }

private:
  const RpcTransport &Transport_;
};

} // namespace

RpcOutcome callJsonRpc(const RpcTransport &Transport, const std::string &Method,
                       const Json::Value &Params) {
  TransportConnector Connector(Transport);
  jsonrpc::Client Client(Connector);
  RpcOutcome Outcome;
  try {
    Client.CallMethod(Method, Params, Outcome.Value_);
    Outcome.Ok_ = true;
  } catch (const jsonrpc::JsonRpcException &Failure) {
    Outcome.Message_ = Failure.GetMessage();
    Outcome.HasErrorData_ =
        Failure.GetCode() == RefusalCode && Failure.GetData().isObject();
    Outcome.Value_ = Failure.GetData();
  }
  return Outcome;
}

class RpcDispatcher::Connector : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string &Response, void *Target) override {
    *static_cast<std::string *>(Target) = Response;
    return true;
  }
};

class RpcDispatcher::Server
    : public jsonrpc::AbstractServer<RpcDispatcher::Server> {
public:
  Server(jsonrpc::AbstractServerConnector &Connector,
         const std::vector<std::string> &Methods, RpcHandler Handler)
      : jsonrpc::AbstractServer<RpcDispatcher::Server>(Connector),
        Handler_(std::move(Handler)) {
    for (const std::string &Method : Methods)
      bindAndAddMethod(jsonrpc::Procedure(Method, jsonrpc::PARAMS_BY_NAME,
                                          jsonrpc::JSON_OBJECT, "from",
                                          jsonrpc::JSON_STRING, "message",
                                          jsonrpc::JSON_OBJECT, NULL),
                       &Server::ignore);
  }

  // All methods share one signature, so the base class's table of member
  // pointers is not used.
  void HandleMethodCall(jsonrpc::Procedure &Procedure,
                        const Json::Value &Params,
                        Json::Value &Result) override {
    RpcOutcome Outcome = Handler_(Procedure.GetProcedureName(), Params);
    if (!Outcome.Ok_)
      throw jsonrpc::JsonRpcException(RefusalCode, Outcome.Message_,
                                      Outcome.Value_);
    Result = Outcome.Value_;
  }

private:
  void ignore(const Json::Value &, Json::Value &) {}

  RpcHandler Handler_;
};

RpcDispatcher::RpcDispatcher(const std::vector<std::string> &Methods,
                             RpcHandler Handler)
    : Connector_(new Connector),
      Server_(new Server(*Connector_, Methods, std::move(Handler))) {}

RpcDispatcher::~RpcDispatcher() = default;

std::string RpcDispatcher::dispatch(const std::string &Request) {
  std::string Reply;
  Connector_->OnRequest(Request, &Reply);
  return Reply;
}

} // namespace drivers
} // namespace damaskglade
