#ifndef DAMASKGLADE_PORTS_PEER_CLIENT_H
#define DAMASKGLADE_PORTS_PEER_CLIENT_H

#include "core/error.h"

#include <json/value.h>
#include <string>

namespace damaskglade {

/// Calls to other nodes. The caller encodes the parameters and decodes the
/// reply. A refusal by the peer keeps its reason and effect; a connection that
/// fails before the request is sent has connect_failed and Effect::None.
class PeerClient {
public:
  virtual ~PeerClient() = default;
  virtual Result<Json::Value> call(const std::string &Address,
                                   const std::string &Method,
                                   const Json::Value &Params,
                                   Millis Timeout) = 0;
};

} // namespace damaskglade

#endif
