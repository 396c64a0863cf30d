#ifndef DAMASKGLADE_DRIVERS_PEER_PEER_SERVER_H
#define DAMASKGLADE_DRIVERS_PEER_PEER_SERVER_H

#include "core/error.h"

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>
#include <vector>

namespace damaskglade::drivers {

/// Handles one call of a peer.
using PeerHandler = std::function<Result<Json::Value>(
    const std::string &From, const std::string &Method,
    const Json::Value &Message)>;

/// Turns the body of a POST /rpc into a call of the handler.
class PeerServer {
public:
  PeerServer(const std::vector<std::string> &Methods,
             const PeerHandler &Handler);
  ~PeerServer();

  /// The JSON-RPC reply to a request body. Thread-safe.
  std::string answer(const std::string &Body);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace damaskglade::drivers

#endif
