#ifndef DAMASKGLADE_PORTS_PEER_CLIENT_H
#define DAMASKGLADE_PORTS_PEER_CLIENT_H

#include "core/error.h"

#include <string>

namespace damaskglade {

/// Calls to other nodes. Params and reply are JSON texts whose types the
/// caller's codec knows. A refusal by the peer keeps its reason and effect.
class PeerClient {
public:
  virtual ~PeerClient() = default;
  virtual Result<std::string> call(const std::string &Address,
                                   const std::string &Method,
                                   const std::string &Params,
                                   Millis Timeout) = 0;
};

} // namespace damaskglade

#endif
