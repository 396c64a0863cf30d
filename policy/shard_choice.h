#ifndef DAMASKGLADE_POLICY_SHARD_CHOICE_H
#define DAMASKGLADE_POLICY_SHARD_CHOICE_H

#include "policy/ledger.h"

#include <string>
#include <vector>

namespace damaskglade::policy {

/// State of a shard that the choice between shards depends on.
struct ShardSummary {
  std::string Shard_;
  std::string Zone_;
  Resources Capacity_; ///< Of workers available to placement.
  Resources Free_;
  std::int64_t JobTasks_ = 0; ///< Service tasks of the job to place.

  friend bool operator==(const ShardSummary &, const ShardSummary &) = default;
};

/// Summarizes a shard's ledger for the placement of one job.
ShardSummary summarizeShard(const Ledger &Accounts, const std::string &Shard,
                            const std::string &Zone, const std::string &Job);

/// Returns the shards to try for one task, the best first, by the same rules as
/// place(): a shard is one rack, so the order of shards spreads services and
/// packs batch work. Shards whose total free amount is too small are omitted.
std::vector<ShardSummary> rankShards(std::vector<ShardSummary> Shards,
                                     TaskClass Class, const Resources &Size);

} // namespace damaskglade::policy

#endif
