#include "policy/shard_choice.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace damaskglade::policy {

namespace {

struct RankedShard {
  std::int64_t InZone_ = 0;
  std::int64_t InShard_ = 0;
  bool Accelerated_ = false; ///< Has accelerators that the task does not need.
  double Load_ = 0.0;        ///< Negative where the fullest shard goes first.
  ShardSummary Shard_;
};

bool isBetter(const RankedShard &A, const RankedShard &B) {
  return std::tie(A.InZone_, A.InShard_, A.Accelerated_, A.Load_,
                  A.Shard_.Shard_) < std::tie(B.InZone_, B.InShard_,
                                              B.Accelerated_, B.Load_,
                                              B.Shard_.Shard_);
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
  std::map<std::string, std::int64_t> InZone;
  for (const ShardSummary &Shard : Shards)
    InZone[Shard.Zone_] += Shard.JobTasks_;
  const bool Spreads = Class == TaskClass::Service;
  const bool Packs = Class == TaskClass::Batch || Class == TaskClass::Gang;
  std::vector<RankedShard> Ranked;
  for (ShardSummary &Shard : Shards) {
    if (!fits(Size, Shard.Free_))
      continue;
    RankedShard Entry;
    Entry.InZone_ = Spreads ? InZone[Shard.Zone_] : 0;
    Entry.InShard_ = Spreads ? Shard.JobTasks_ : 0;
    Entry.Accelerated_ =
        Size.Accelerators_ == 0 && Shard.Capacity_.Accelerators_ > 0;
    Entry.Load_ = dominantShare(Shard.Capacity_ - Shard.Free_, Shard.Capacity_);
    if (Packs)
      Entry.Load_ = -Entry.Load_;
    Entry.Shard_ = std::move(Shard);
    Ranked.push_back(std::move(Entry));
  }
  std::sort(Ranked.begin(), Ranked.end(), isBetter);
  std::vector<ShardSummary> Order;
  Order.reserve(Ranked.size());
  for (RankedShard &Entry : Ranked)
    Order.push_back(std::move(Entry.Shard_));
  return Order;
}

} // namespace damaskglade::policy
