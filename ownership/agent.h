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
  std::string Node_; ///< Equals the id of the VM in the VM list.
  std::string Zone_;
  std::string Address_; ///< "ip:port" for peers.
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
  bool Leaving_ = false; ///< The node released its row in a planned stop.

  friend bool operator==(const NodeInfo &, const NodeInfo &) = default;
};

struct ShardInfo {
  std::string Shard_;
  std::string Owner_; ///< Empty if the shard has no owner.
  std::int64_t Epoch_ = 0;

  friend bool operator==(const ShardInfo &, const ShardInfo &) = default;
};

/// Runs the ownership protocol of one node. All member functions are
/// thread-safe.
class Agent {
public:
  /// Delivers a protocol message (JSON text) to a peer and returns its JSON
  /// reply. Must time out within about a second if the peer does not answer.
  using SendFunction = std::function<Result<std::string>(
      const std::string &Address, const std::string &Message)>;

  /// The references must outlive the agent.
  Agent(AgentOptions Options, TableStore &Table, VmList &Vms, const Clock &Time,
        SendFunction Send);
  ~Agent();
  Agent(const Agent &) = delete;
  Agent &operator=(const Agent &) = delete;

  /// Starts the threads that join the zone and run the protocol; does not
  /// block.
  void start();

  /// Hands the owned shards over, releases the node row and joins the threads.
  /// If the table does not answer, stops waiting for the release after one
  /// lease duration.
  void stop();

  /// Handles a protocol message (JSON text) from a peer and returns the JSON
  /// reply.
  std::string handleMessage(const std::string &Message);

  /// Zero until the node has joined.
  std::int64_t incarnation() const;

  /// True if this node owns the shard and its lease is valid, so that it may
  /// start tasks there.
  bool mayGrant(const std::string &Shard) const;

  /// Latest `start_by` (wall time) for a task start on the shard; zero if this
  /// node may not start tasks there.
  Millis grantEnd(const std::string &Shard) const;

  std::vector<OwnedShard> ownedShards() const;

  /// All nodes of all zones, as last read from the table.
  std::vector<NodeInfo> nodes() const;

  /// All shards of the cell with their owners, as last read from the table.
  std::vector<ShardInfo> shards() const;

  /// True if the node has joined and its lease is valid.
  bool isReady() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace damaskglade::ownership

#endif
