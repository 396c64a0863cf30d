#include "drivers/peer/peer_client.h"

#include "core/codec.h"
#include "drivers/http/client_pool.h"
#include "drivers/peer/jsonrpc_bridge.h"

#include <optional>

namespace damaskglade::drivers {

namespace {

class JsonRpcPeerClient : public PeerClient {
public:
  explicit JsonRpcPeerClient(std::string NodeId) : NodeId_(std::move(NodeId)) {}

  Result<Json::Value> call(const std::string &Address,
                           const std::string &Method, const Json::Value &Params,
                           Millis Timeout) override {
    std::optional<Error> Failure;
    const RpcTransport Transport = [&](const std::string &Request,
                                       std::string &Reply) {
      auto Sent = Pool_.send(Address, HttpRequest{"POST", "/rpc", {}, Request},
                             Method, Timeout);
      if (!Sent) {
        Failure = Sent.error();
        return false;
      }
      Reply = Sent.value().Body_;
      return true;
    };
    Json::Value Envelope;
    Envelope["from"] = NodeId_;
    Envelope["message"] = Params;
    RpcOutcome Outcome = callJsonRpc(Transport, Method, Envelope);
    if (Outcome.Ok_)
      return std::move(Outcome.Value_);
    if (Failure)
      return *Failure;
    if (Outcome.HasErrorData_)
      return decodeError(Outcome.Value_);
    return Error{Reason::Internal, Effect::Unknown, Method, Address,
                 Outcome.Message_};
  }

private:
  const std::string NodeId_;
  ClientPool Pool_;
};

} // namespace

std::unique_ptr<PeerClient> makePeerClient(const std::string &NodeId) {
  return std::make_unique<JsonRpcPeerClient>(NodeId);
}

} // namespace damaskglade::drivers
