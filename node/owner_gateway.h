#ifndef DAMASKGLADE_NODE_OWNER_GATEWAY_H
#define DAMASKGLADE_NODE_OWNER_GATEWAY_H

#include "node/router.h"
#include "node/services.h"
#include "node/shard_owner.h"

#include <string>

namespace damaskglade::node {

/// Calls the owner of a shard: directly on this node, over the network on a
/// peer.
class OwnerGateway {
public:
  OwnerGateway(std::string Self, Services &Ports, ShardOwner &Local,
               Router &Routes)
      : Self_(std::move(Self)), Ports_(Ports), Local_(Local), Routes_(Routes) {}

  // All functions return the errors of ShardOwner, and connect_failed, timeout
  // or answer_lost from the call to a peer.
  Result<ReserveReply> reserve(const std::string &Node,
                               const ReserveRequest &Request);
  void release(const std::string &Job, const std::vector<Attempt> &Attempts);
  Status startTask(const StartCommand &Command);
  Result<Answer> execute(const std::string &Node,
                         const ExecuteRequest &Request);
  Result<OwnerStatus> status(const std::string &Job, const Attempt &Try);
  Status stopTask(const std::string &Job, const Attempt &Try);

private:
  Result<Json::Value> callOwner(const std::string &Node,
                                const std::string &Method,
                                const Json::Value &Message, Millis Timeout);

  const std::string Self_;
  Services &Ports_;
  ShardOwner &Local_;
  Router &Routes_;
};

} // namespace damaskglade::node

#endif
