#ifndef DAMASKGLADE_NODE_SERVICES_H
#define DAMASKGLADE_NODE_SERVICES_H

#include "core/clock.h"
#include "ports/event_log.h"
#include "ports/metrics_sink.h"
#include "ports/peer_client.h"
#include "ports/worker_client.h"

namespace damaskglade::node {

/// Interfaces to the outside that all parts of a node use. They outlive the
/// node.
struct Services {
  const Clock &Clock_;
  MetricsSink &Metrics_;
  EventLog &Log_;
  WorkerClient &Workers_;
  PeerClient &Peers_;
};

/// Identity of this node, and the address at which peers and workers reach it.
struct NodeIdentity {
  std::string Id_;
  std::string Zone_;
  std::string Address_; ///< "ip:port".

  friend bool operator==(const NodeIdentity &, const NodeIdentity &) = default;
};

} // namespace damaskglade::node

#endif
