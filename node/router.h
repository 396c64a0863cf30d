#ifndef DAMASKGLADE_NODE_ROUTER_H
#define DAMASKGLADE_NODE_ROUTER_H

#include "core/thread.h"
#include "node/messages.h"
#include "ownership/agent.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace damaskglade::node {

/// A peer as its heartbeats describe it.
struct PeerState {
  std::string Id_;
  std::string Address_;
  Headroom Headroom_;
  bool Leaving_ = false;
  Millis Heard_; ///< Monotonic time of the last heartbeat.

  friend bool operator==(const PeerState &, const PeerState &) = default;
};

/// Where to find peers and how much room they advertise. Thread-safe.
class Router {
public:
  explicit Router(std::string Self, std::uint64_t Seed)
      : Self_(std::move(Self)), Random_(Seed) {}

  /// Replaces the list of peers; what they advertised stays.
  void setNodes(const std::vector<ownership::NodeInfo> &Nodes);
  void setShards(const std::vector<ownership::ShardInfo> &Shards);
  void recordHeartbeat(const Heartbeat &Message, Millis Now);
  /// Counts room as taken until the next heartbeat brings the real figure.
  void recordUse(const std::string &Node, const Resources &Amount);
  /// A refusal shows that the advertised room is stale.
  void recordRefusal(const std::string &Node);

  std::vector<PeerState> peers() const;
  /// Empty if the node is unknown.
  std::string addressOf(const std::string &Node) const;
  /// Owner of a shard; an empty owner if there is none.
  ownership::ShardInfo ownerOf(const std::string &Shard) const;
  /// Up to Count peers with room for one task of this size: the better of two
  /// random ones first. Heard-of within MaxAge.
  std::vector<std::string> pickOwners(const Resources &Size, std::size_t Count,
                                      Millis Now);
  /// A live peer whose workers are large enough, by rendezvous hash of the
  /// subject; room is not asked for. Empty if there is none.
  std::string pickCapableOwner(const std::string &Subject,
                               const Resources &Size, bool SelfIsCapable,
                               Millis Now) const;
  /// Free room and total capacity over all peers and Own.
  Headroom cellHeadroom(const Headroom &Own) const;

private:
  const std::string Self_;
  mutable Mutex Mutex_;
  std::map<std::string, PeerState> Peers_;
  std::map<std::string, ownership::ShardInfo> Shards_;
  std::mt19937_64 Random_;
};

} // namespace damaskglade::node

#endif
