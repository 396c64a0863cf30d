#ifndef DAMASKGLADE_POLICY_SHARD_CHOICE_H
#define DAMASKGLADE_POLICY_SHARD_CHOICE_H

#include "policy/ledger.h"

#include <string>
#include <vector>

namespace damaskglade::policy {

/// What the choice between shards needs to know of one.
struct ShardSummary {
  std::string Shard_;
  std::string Zone_;
  Resources Capacity_; ///< Of workers that accept work.
  Resources Free_;
  std::int64_t JobTasks_ = 0; ///< Service tasks of the job in question.

  friend bool operator==(const ShardSummary &, const ShardSummary &) = default;
};

/// Summary of a shard's ledger with regard to one job.
ShardSummary summarizeShard(const Ledger &Accounts, const std::string &Shard,
                            const std::string &Zone, const std::string &Job);

/// The shards to try for one task, the best first, by the same rules as
/// place(): a shard is one rack, so services spread and batch work packs by
/// the order of shards. Shards whose free sum is too small are left out.
std::vector<ShardSummary> rankShards(std::vector<ShardSummary> Shards,
                                     TaskClass Class, const Resources &Size);

} // namespace damaskglade::policy

#endif
