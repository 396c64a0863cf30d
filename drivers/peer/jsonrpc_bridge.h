#ifndef DAMASKGLADE_DRIVERS_PEER_JSONRPC_BRIDGE_H
#define DAMASKGLADE_DRIVERS_PEER_JSONRPC_BRIDGE_H

// Compiled as C++14 and as C++20: nothing newer than C++14 in this header.

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>
#include <vector>

namespace damaskglade {
namespace drivers {

/// Outcome of a JSON-RPC call: a result, or error data set by the peer.
struct RpcOutcome {
  bool Ok_ = false;
  bool HasErrorData_ = false; ///< The peer refused and said why.
  Json::Value Value_;         ///< Result, or error data.
  std::string Message_;
};

/// Carries one request text to the peer. Returns false if no reply came.
using RpcTransport =
    std::function<bool(const std::string &Request, std::string &Reply)>;

/// Makes one JSON-RPC 2.0 call.
RpcOutcome callJsonRpc(const RpcTransport &Transport, const std::string &Method,
                       const Json::Value &Params);

/// Handles one method call. Sets Outcome_.Value_ to the result or error data.
using RpcHandler = std::function<RpcOutcome(const std::string &Method,
                                            const Json::Value &Params)>;

/// Answers JSON-RPC 2.0 requests. Safe to call from several threads.
class RpcDispatcher {
public:
  RpcDispatcher(const std::vector<std::string> &Methods, RpcHandler Handler);
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher &) = delete;
  RpcDispatcher &operator=(const RpcDispatcher &) = delete;

  std::string dispatch(const std::string &Request);

private:
  class Server;
  class Connector;
  std::unique_ptr<Connector> Connector_;
  std::unique_ptr<Server> Server_;
};

} // namespace drivers
} // namespace damaskglade

#endif
