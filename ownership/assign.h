#ifndef DAMASKGLADE_OWNERSHIP_ASSIGN_H
#define DAMASKGLADE_OWNERSHIP_ASSIGN_H

#include <map>
#include <string>
#include <vector>

namespace damaskglade::ownership {

/// Number of owned shards by live node of a zone.
using ShardCounts = std::map<std::string, std::size_t>;

/// Assigns each shard to the node with the fewest shards; ties go to the lowest
/// id. Empty if there are no nodes. Deterministic, so that all nodes compute
/// the same assignment from the same rows.
std::map<std::string, std::string>
assignShards(const std::vector<std::string> &Shards, ShardCounts Counts);

/// Moves of shards owned by Node that balance the counts to a difference of at
/// most one. Target node by shard.
std::map<std::string, std::string>
planMoves(const std::string &Node, const std::vector<std::string> &Owned,
          ShardCounts Counts);

} // namespace damaskglade::ownership

#endif
