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

/// All components of one daemon, except for its drivers.
class Node {
public:
  Node(NodeOptions Options, Services &Ports, TableStore &Table,
       ObjectStore &Objects, VmList &Vms);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  void start();
  /// Refuses new jobs, waits for requests in progress, hands over the shards
  /// and stops all threads. The listener must still be running.
  void stop();

  /// Handles requests of callers, operators and health checks.
  HttpReply handle(const HttpRequest &Request);
  /// Handles calls from peers.
  Result<Json::Value> handlePeer(const std::string &From,
                                 const std::string &Method,
                                 const Json::Value &Message);

private:
  Heartbeat makeHeartbeat() const;
  bool notifyHome(const EndedTask &Ended);
  std::string findHome(const EndedTask &Ended, bool &NoticeNotNeeded);
  void runHeartbeats();
  void sendHeartbeats();
  void runVmListRefresh();
  Result<std::string> fetchConfigBody(const std::string &Hash, Millis Timeout);
  void applySettings();
  bool isReady() const;

  const NodeOptions Options_;
  Services &Ports_;
  Fleet CachedVms_;
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
  ConfigApi ConfigApi_;
  CallerApi CallerApi_;
  PeerApi PeerApi_;
  Recovery Recovery_;

  std::atomic<bool> Leaving_{false};
  std::atomic<bool> Stopping_{false};
  std::atomic<std::int64_t> InProgress_{0};
  std::int64_t AppliedVersion_ = -1; ///< Used only by the heartbeat thread.
  Thread HeartbeatThread_;
  Thread VmListThread_;
};

} // namespace damaskglade::node

#endif
