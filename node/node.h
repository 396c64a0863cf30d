#ifndef DAMASKGLADE_NODE_NODE_H
#define DAMASKGLADE_NODE_NODE_H

#include "node/caller_api.h"
#include "node/peer_api.h"
#include "node/recovery.h"
#include "ports/http.h"

#include <atomic>
#include <functional>
#include <memory>

namespace damaskglade::node {

struct NodeOptions {
  NodeIdentity Identity_;
  OwnerSettings Owner_;
  HomeSettings Home_;
  LookupSettings Lookups_;
  records::StoreOptions Store_;
  ownership::ProtocolConfig Protocol_;
};

/// Everything that one daemon runs, apart from its drivers.
class Node {
public:
  Node(NodeOptions Options, Services &Ports, TableStore &Table,
       ObjectStore &Objects, VmList &Vms);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  void start();
  /// Refuses new work, waits for requests in progress, hands over the shards
  /// and ends all threads. Call it while the listener still answers.
  void stop();

  /// Replies to callers, operators and health checks.
  HttpReply handle(const HttpRequest &Request);
  /// Replies to peers.
  Result<Json::Value> handlePeer(const std::string &From,
                                 const std::string &Method,
                                 const Json::Value &Message);

private:
  Heartbeat ownHeartbeat() const;
  bool notifyHome(const EndedTask &Ended);
  std::string findHome(const EndedTask &Ended, bool &Forget);
  void runHeartbeats();
  void beat();
  void runFleetRefresh();
  Result<std::string> fetchConfigBody(const std::string &Hash, Millis Timeout);
  void applySettings();
  bool isReady() const;

  const NodeOptions Options_;
  Services &Ports_;
  Fleet Fleet_;
  Router Routes_;
  records::JobStore Store_;
  ownership::Agent Ownership_;
  ShardOwner Owner_;
  OwnerGateway Gateway_;
  JobHome Home_;
  LookupService Lookups_;
  JobService Jobs_;
  config::VersionStore Versions_;
  config::Follower Follower_;
  ConfigApi Config_;
  CallerApi Callers_;
  PeerApi Peers_;
  Recovery Recovery_;

  std::atomic<bool> Leaving_{false};
  std::atomic<bool> Stopping_{false};
  std::atomic<std::int64_t> InProgress_{0};
  std::int64_t AppliedVersion_ = -1; ///< Used by the heartbeat thread only.
  Thread HeartbeatThread_;
  Thread FleetThread_;
};

} // namespace damaskglade::node

#endif
