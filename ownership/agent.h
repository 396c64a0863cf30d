#ifndef DAMASKGLADE_OWNERSHIP_AGENT_H
#define DAMASKGLADE_OWNERSHIP_AGENT_H

#include "core/clock.h"
#include "core/error.h"
#include "ownership/protocol.h"
#include "ports/table_store.h"
#include "ports/vm_list.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace damaskglade::ownership {

struct AgentOptions {
  std::string Node_; ///< Equal to the VM's id in the VM list.
  std::string Zone_;
  std::string Address_; ///< "ip:port" at which peers reach this node.
  ProtocolConfig Protocol_;
};

struct OwnedShard {
  std::string Shard_;
  std::int64_t Epoch_ = 0;

  friend bool operator==(const OwnedShard &, const OwnedShard &) = default;
};

struct NodeInfo {
  std::string Id_;
  std::string Zone_;
  std::string Address_;
  std::int64_t Incarnation_ = 0;
  bool Live_ = false;    ///< The row is not released, fenced or expired.
  bool Leaving_ = false; ///< The node has been released in a planned stop.

  friend bool operator==(const NodeInfo &, const NodeInfo &) = default;
};

struct ShardInfo {
  std::string Shard_;
  std::string Owner_; ///< Empty if the shard has no owner.
  std::int64_t Epoch_ = 0;

  friend bool operator==(const ShardInfo &, const ShardInfo &) = default;
};

/// Runs the ownership protocol of one node. All members are safe to call from
/// several threads.
class Agent {
public:
  /// Delivers a protocol message (JSON text) to a peer and returns its JSON
  /// reply. It should fail within about a second if the peer does not answer.
  using SendFunction = std::function<Result<std::string>(
      const std::string &Address, const std::string &Message)>;

  /// The references must outlive the agent.
  Agent(AgentOptions Options, TableStore &Table, VmList &Vms, const Clock &Time,
        SendFunction Send);
  ~Agent();
  Agent(const Agent &) = delete;
  Agent &operator=(const Agent &) = delete;

  /// Joins and runs; does not block.
  void start();

  /// Hands shards over, releases the node row and joins the threads. Gives up
  /// after one lease if the table does not answer.
  void stop();

  /// Answers a protocol message of a peer.
  std::string handleMessage(const std::string &Message);

  /// Zero until the node has joined.
  std::int64_t incarnation() const;

  /// True if this node may start tasks on the shard now.
  bool mayGrant(const std::string &Shard) const;

  /// Latest `start_by` (wall time) for a start on the shard; zero if there is
  /// no right to it.
  Millis grantEnd(const std::string &Shard) const;

  std::vector<OwnedShard> ownedShards() const;

  /// All nodes of all zones, as last read from the table.
  std::vector<NodeInfo> nodes() const;

  /// All shards of the cell with their owners, as last read from the table.
  std::vector<ShardInfo> shards() const;

  /// Joined with a valid right.
  bool isReady() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace damaskglade::ownership

#endif
