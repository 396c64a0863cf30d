#ifndef DAMASKGLADE_NODE_PEER_API_H
#define DAMASKGLADE_NODE_PEER_API_H

#include "config/follower.h"
#include "node/job_service.h"
#include "ownership/agent.h"

#include <functional>
#include <json/value.h>
#include <string>
#include <vector>

namespace damaskglade::node {

/// Handles calls from other nodes. Thread-safe.
class PeerApi {
public:
  PeerApi(Services &Ports, ShardOwner &Owner, JobHome &Home, Router &Routes,
          ownership::Agent &Ownership, config::Follower &Follower,
          std::function<Heartbeat()> MakeHeartbeat)
      : Ports_(Ports), Owner_(Owner), Home_(Home), Routes_(Routes),
        Ownership_(Ownership), Follower_(Follower),
        MakeHeartbeat_(std::move(MakeHeartbeat)) {}

  /// Names of all methods that peers may call.
  static const std::vector<std::string> &methods();

  Result<Json::Value> handle(const std::string &From, const std::string &Method,
                             const Json::Value &Message);

private:
  Result<Json::Value> handleOwner(const std::string &Method,
                                  const Json::Value &Message);
  Result<Json::Value> handleHome(const std::string &Method,
                                 const Json::Value &Message);
  Result<Json::Value> heartbeat(const Json::Value &Message);
  Result<Json::Value> listWorkers();
  Result<Json::Value> configBody(const Json::Value &Message);

  Services &Ports_;
  ShardOwner &Owner_;
  JobHome &Home_;
  Router &Routes_;
  ownership::Agent &Ownership_;
  config::Follower &Follower_;
  const std::function<Heartbeat()> MakeHeartbeat_;
};

} // namespace damaskglade::node

#endif
