#ifndef DAMASKGLADE_OWNERSHIP_ASSIGN_H
#define DAMASKGLADE_OWNERSHIP_ASSIGN_H

#include <map>
#include <string>
#include <vector>

namespace damaskglade::ownership {

/// Number of shards of each live node of a zone.
using ShardCounts = std::map<std::string, std::size_t>;

/// Gives each shard to the node with the fewest, the first by id of several.
/// Empty if there is no node. All nodes compute the same from the same rows.
std::map<std::string, std::string>
assignShards(const std::vector<std::string> &Shards, ShardCounts Counts);

/// Moves that even out the counts to a difference of at most one: target node
/// by shard, of those that Node owns.
std::map<std::string, std::string>
movesFrom(const std::string &Node, const std::vector<std::string> &Owned,
          ShardCounts Counts);

} // namespace damaskglade::ownership

#endif
