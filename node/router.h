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

/// State of a peer, from its last heartbeat.
struct PeerState {
  std::string Id_;
  std::string Address_;
  Headroom Headroom_;
  bool Leaving_ = false;
  Millis LastHeartbeat_; ///< Monotonic time.

  friend bool operator==(const PeerState &, const PeerState &) = default;
};

/// Addresses of the peers, owners of the shards, and the free capacity that
/// the peers advertise. Thread-safe.
class Router {
public:
  explicit Router(std::string Self, std::uint64_t Seed)
      : Self_(std::move(Self)), Random_(Seed) {}

  /// Updates the list of peers; the content of their last heartbeats is kept.
  void setNodes(const std::vector<ownership::NodeInfo> &Nodes);
  void setShards(const std::vector<ownership::ShardInfo> &Shards);
  void recordHeartbeat(const Heartbeat &Message, Millis Now);
  /// Deducts an amount from the advertised free capacity until the next
  /// heartbeat replaces it.
  void recordUse(const std::string &Node, const Resources &Amount);
  /// Excludes a node from pickOwners until its next heartbeat: a refusal shows
  /// that the capacity it advertised is out of date.
  void recordRefusal(const std::string &Node);

  std::vector<PeerState> peers() const;
  /// Empty if the node is unknown.
  std::string addressOf(const std::string &Node) const;
  /// Owner of a shard; an empty owner if there is none.
  ownership::ShardInfo ownerOf(const std::string &Shard) const;
  /// Up to Count peers in random order that have capacity for one task of this
  /// size and whose last heartbeat is recent. Of the first two, the one with
  /// more free capacity comes first.
  std::vector<std::string> pickOwners(const Resources &Size, std::size_t Count,
                                      Millis Now);
  /// A node that has a worker large enough for the size, whether or not the
  /// worker is free, chosen by rendezvous hash of the subject. This node is a
  /// candidate if SelfIsCapable. Empty if there is none.
  std::string pickCapableOwner(const std::string &Subject,
                               const Resources &Size, bool SelfIsCapable,
                               Millis Now) const;
  /// Free and total capacity of this node and all peers.
  Headroom cellHeadroom(const Headroom &OwnHeadroom) const;

private:
  const std::string Self_;
  mutable Mutex Mutex_;
  std::map<std::string, PeerState> Peers_;
  std::map<std::string, ownership::ShardInfo> Shards_;
  std::mt19937_64 Random_;
};

} // namespace damaskglade::node

#endif
