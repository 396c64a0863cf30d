#ifndef DAMASKGLADE_CELL_RPC_H
#define DAMASKGLADE_CELL_RPC_H

#include "ports/async_http.h"

#include <functional>
#include <json/value.h>
#include <map>
#include <string>

namespace damaskglade::cell {

/// Called with the result of one call.
using RpcReply = std::function<void(Result<Json::Value>)>;
/// Handles one call. It may reply after it has returned.
using RpcMethod = std::function<void(const Json::Value &Params, RpcReply)>;
/// The same for a method whose parameters are binary.
using BinaryMethod = std::function<void(const std::string &Params, RpcReply)>;

/// Makes JSON-RPC 2.0 calls to other nodes. A failed call yields the error that
/// the peer reported, or that of the connection.
class RpcClient {
public:
  explicit RpcClient(WebClient &Http) : Http_(Http) {}
  void call(const std::string &Address, const std::string &Method,
            const Json::Value &Params, Millis Timeout, RpcReply Done);
  /// Calls a method whose parameters are binary, for frequent messages.
  void callBinary(const std::string &Address, const std::string &Method,
                  std::string Params, Millis Timeout, RpcReply Done);

private:
  void send(WebCall Call, const std::string &Method, RpcReply Done);

  WebClient &Http_;
};

/// Serves JSON-RPC 2.0 calls from other nodes.
class RpcServer {
public:
  void add(const std::string &Name, RpcMethod Method);
  void addBinary(const std::string &Name, BinaryMethod Method);
  void handle(const WebRequest &Request, const WebReplier &Reply) const;

private:
  std::map<std::string, RpcMethod> Methods_;
  std::map<std::string, BinaryMethod> BinaryMethods_; ///< By target.
};

} // namespace damaskglade::cell

#endif
