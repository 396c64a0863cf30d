#ifndef DAMASKGLADE_DRIVERS_PEER_PEER_CLIENT_H
#define DAMASKGLADE_DRIVERS_PEER_PEER_CLIENT_H

#include "ports/peer_client.h"

#include <memory>
#include <string>

namespace damaskglade::drivers {

/// JSON-RPC over kept-alive HTTP connections. NodeId goes with each call.
std::unique_ptr<PeerClient> makePeerClient(const std::string &NodeId);

} // namespace damaskglade::drivers

#endif
