#include "node/shard_owner.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

constexpr Millis MaintenanceInterval{100};
constexpr Millis RenewalPollInterval{100};
constexpr Millis NoticePollInterval{20};
// A worker that does not answer blocks one of these threads until the call
// times out.
constexpr std::size_t RenewalThreads = 4;
constexpr std::size_t NoticesPerRound = 64;
// Size of one lease exchange, and the share of the control traffic budget of
// 4 KB/s that all exchanges of a node may use.
constexpr std::int64_t BytesPerExchange = 600;
constexpr std::int64_t ExchangeBytesPerSecond = 2000;
constexpr std::int64_t MillisPerSecond = 1000;
// A run lease survives two missed exchanges.
constexpr std::int64_t ExchangesPerLease = 3;

} // namespace

void ShardOwner::start(NotifyHomeFunction NotifyHome) {
  NotifyHome_ = std::move(NotifyHome);
  Threads_.emplace_back([this] { runMaintenance(); });
  Threads_.emplace_back([this] { runNotices(); });
  for (std::size_t Index = 0; Index < RenewalThreads; ++Index)
    Threads_.emplace_back([this, Index] { runRenewals(Index); });
}

void ShardOwner::stop() {
  Stopping_ = true;
  for (Thread &ServiceThread : Threads_)
    ServiceThread.join();
  Threads_.clear();
}

void ShardOwner::syncShards() {
  const std::vector<ownership::OwnedShard> Owned = Ownership_.ownedShards();
  const Moment Now = momentOf(Ports_.Clock_);
  const MutexLock Lock(Mutex_);
  std::map<std::string, ShardPtr> NewShards;
  for (const ownership::OwnedShard &Info : Owned) {
    const auto Found = Shards_.find(Info.Shard_);
    const bool SameEpoch =
        Found != Shards_.end() && Found->second->epoch() == Info.Epoch_;
    // Under a new epoch another node may have started tasks in between, so the
    // ledger is rebuilt from the listings of the workers.
    NewShards[Info.Shard_] =
        SameEpoch ? Found->second
                  : std::make_shared<OwnedShard>(Info.Shard_, Info.Epoch_,
                                                 Self_.Id_, Settings_, Now);
  }
  Shards_.swap(NewShards);
}

Millis ShardOwner::renewInterval() const {
  std::int64_t Workers = 0;
  for (const ShardPtr &Shard : shards())
    Workers +=
        static_cast<std::int64_t>(Vms_.workersOfShard(Shard->id()).size());
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
    for (const ShardPtr &Shard : shards()) {
      if (Vms_.hasList())
        Shard->setWorkers(Vms_.workersOfShard(Shard->id()), Now);
      Shard->dropExpiredHolds(Now);
      Shard->dropStaleBackfillReservations(Now);
    }
    updateQuarantine();
    sleepFor(MaintenanceInterval);
  }
}

void ShardOwner::runRenewals(std::size_t Index) {
  while (!Stopping_) {
    const Millis Interval = renewInterval();
    const std::vector<ShardPtr> Shards = shards();
    for (std::size_t ShardIndex = Index; ShardIndex < Shards.size();
         ShardIndex += RenewalThreads) {
      if (!Ownership_.mayGrant(Shards[ShardIndex]->id()))
        continue;
      const Moment Now = momentOf(Ports_.Clock_);
      for (const RenewalPlan &Plan :
           Shards[ShardIndex]->dueRenewals(Now, Interval))
        renew(*Shards[ShardIndex], Plan);
      resumeTasks(*Shards[ShardIndex]);
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
    for (const ShardPtr &Shard : shards())
      for (const EndedTask &Ended :
           Shard->dueNotices(momentOf(Ports_.Clock_), NoticesPerRound))
        if (NotifyHome_(Ended))
          Shard->acknowledge(Ended.Attempt_);
    sleepFor(NoticePollInterval);
  }
}

} // namespace damaskglade::node
