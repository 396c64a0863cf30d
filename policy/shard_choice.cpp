#include "policy/shard_choice.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace damaskglade::policy {

namespace {

struct RankedShard {
  std::int64_t JobTasksInZone_ = 0;
  std::int64_t JobTasksInShard_ = 0;
  bool HasUnneededAccelerators_ = false;
  double LoadKey_ = 0.0; ///< Load, negated to put the most loaded shard first.
  ShardSummary Shard_;
};

bool isBetter(const RankedShard &A, const RankedShard &B) {
  return std::tie(A.JobTasksInZone_, A.JobTasksInShard_,
                  A.HasUnneededAccelerators_, A.LoadKey_, A.Shard_.Shard_) <
         std::tie(B.JobTasksInZone_, B.JobTasksInShard_,
                  B.HasUnneededAccelerators_, B.LoadKey_, B.Shard_.Shard_);
}

} // namespace

ShardSummary summarizeShard(const Ledger &Accounts, const std::string &Shard,
                            const std::string &Zone, const std::string &Job) {
  ShardSummary Summary{Shard, Zone, Accounts.totals().Capacity_,
                       Accounts.totals().Free_, 0};
  if (const JobSpread *Spread = Accounts.spreadOf(Job))
    for (const auto &[Worker, Count] : *Spread)
      Summary.JobTasks_ += Count;
  return Summary;
}

std::vector<ShardSummary> rankShards(std::vector<ShardSummary> Shards,
                                     TaskClass Class, const Resources &Size) {
  std::map<std::string, std::int64_t> JobTasksByZone;
  for (const ShardSummary &Shard : Shards)
    JobTasksByZone[Shard.Zone_] += Shard.JobTasks_;
  const bool IsSpread = Class == TaskClass::Service;
  const bool IsPacked = Class == TaskClass::Batch || Class == TaskClass::Gang;
  std::vector<RankedShard> Ranked;
  for (ShardSummary &Shard : Shards) {
    if (!fits(Size, Shard.Free_))
      continue;
    RankedShard Entry;
    Entry.JobTasksInZone_ = IsSpread ? JobTasksByZone[Shard.Zone_] : 0;
    Entry.JobTasksInShard_ = IsSpread ? Shard.JobTasks_ : 0;
    Entry.HasUnneededAccelerators_ =
        Size.Accelerators_ == 0 && Shard.Capacity_.Accelerators_ > 0;
    Entry.LoadKey_ =
        dominantShare(Shard.Capacity_ - Shard.Free_, Shard.Capacity_);
    if (IsPacked)
      Entry.LoadKey_ = -Entry.LoadKey_;
    Entry.Shard_ = std::move(Shard);
    Ranked.push_back(std::move(Entry));
  }
  std::sort(Ranked.begin(), Ranked.end(), isBetter);
  std::vector<ShardSummary> Summaries;
  Summaries.reserve(Ranked.size());
  for (RankedShard &Entry : Ranked)
    Summaries.push_back(std::move(Entry.Shard_));
  return Summaries;
}

} // namespace damaskglade::policy
