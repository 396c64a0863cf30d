#include "node/shard_owner.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

constexpr Millis MaintenanceInterval{100};
constexpr Millis RenewalPollInterval{100};
constexpr Millis NoticePollInterval{20};
// A worker that does not answer blocks one of these for the call's timeout.
constexpr std::size_t RenewalThreads = 4;
constexpr std::size_t NoticesPerRound = 64;
// Bytes of one lease exchange and the part of the control budget of 4 KB/s
// that all exchanges of a node may use.
constexpr std::int64_t BytesPerExchange = 600;
constexpr std::int64_t ExchangeBytesPerSecond = 2000;
constexpr std::int64_t MillisPerSecond = 1000;
// Two exchanges may be missed before a run lease ends.
constexpr std::int64_t ExchangesPerLease = 3;

} // namespace

void ShardOwner::start(NoticeFunction Notify) {
  Notify_ = std::move(Notify);
  Threads_.emplace_back([this] { runMaintenance(); });
  Threads_.emplace_back([this] { runNotices(); });
  for (std::size_t Index = 0; Index < RenewalThreads; ++Index)
    Threads_.emplace_back([this, Index] { runRenewals(Index); });
}

void ShardOwner::stop() {
  Stopping_ = true;
  for (Thread &Each : Threads_)
    Each.join();
  Threads_.clear();
}

void ShardOwner::syncShards() {
  const std::vector<ownership::OwnedShard> Owned = Ownership_.ownedShards();
  const Moment Now = momentOf(Ports_.Clock_);
  const MutexLock Lock(Mutex_);
  std::map<std::string, ShardPointer> Next;
  for (const ownership::OwnedShard &Each : Owned) {
    const auto Found = Shards_.find(Each.Shard_);
    const bool Same =
        Found != Shards_.end() && Found->second->epoch() == Each.Epoch_;
    // Under a new epoch another node may have granted in between, so the
    // accounts start from what the workers list.
    Next[Each.Shard_] =
        Same ? Found->second
             : std::make_shared<OwnedShard>(Each.Shard_, Each.Epoch_, Self_.Id_,
                                            Settings_, Now);
  }
  Shards_.swap(Next);
}

Millis ShardOwner::renewInterval() const {
  std::int64_t Workers = 0;
  for (const ShardPointer &Each : shards())
    Workers += static_cast<std::int64_t>(Vms_.workersOf(Each->id()).size());
  const Millis Affordable{Workers * BytesPerExchange * MillisPerSecond /
                          ExchangeBytesPerSecond};
  const OwnerSettings Current = settings();
  return std::clamp(Affordable, Current.RenewInterval_,
                    Current.RunLease_ / ExchangesPerLease);
}

void ShardOwner::runMaintenance() {
  while (!Stopping_) {
    syncShards();
    const Moment Now = momentOf(Ports_.Clock_);
    for (const ShardPointer &Each : shards()) {
      if (Vms_.isKnown())
        Each->setWorkers(Vms_.workersOf(Each->id()), Now);
      Each->dropExpiredHolds(Now);
      Each->dropStaleBlocks(Now);
    }
    updateQuarantine();
    sleepFor(MaintenanceInterval);
  }
}

void ShardOwner::runRenewals(std::size_t Index) {
  while (!Stopping_) {
    const Millis Interval = renewInterval();
    const std::vector<ShardPointer> All = shards();
    for (std::size_t Each = Index; Each < All.size(); Each += RenewalThreads) {
      if (!Ownership_.mayGrant(All[Each]->id()))
        continue;
      const Moment Now = momentOf(Ports_.Clock_);
      for (const RenewalPlan &Plan : All[Each]->dueRenewals(Now, Interval))
        renew(*All[Each], Plan);
      resumeTasks(*All[Each]);
    }
    sleepFor(RenewalPollInterval);
  }
}

void ShardOwner::renew(OwnedShard &Shard, const RenewalPlan &Plan) {
  const auto Reply = Ports_.Workers_.renew(Plan.Address_, Plan.Request_,
                                           settings().WorkerTimeout_);
  if (Reply) {
    Shard.applyRenewal(Plan, Reply.value(), momentOf(Ports_.Clock_));
    return;
  }
  Ports_.Metrics_.countRetry(Reply.error().Reason_);
  Shard.failRenewal(Plan, momentOf(Ports_.Clock_));
}

void ShardOwner::runNotices() {
  while (!Stopping_) {
    for (const ShardPointer &Each : shards())
      for (const EndedTask &Ended :
           Each->dueNotices(momentOf(Ports_.Clock_), NoticesPerRound))
        if (Notify_(Ended))
          Each->acknowledge(Ended.Attempt_);
    sleepFor(NoticePollInterval);
  }
}

} // namespace damaskglade::node
