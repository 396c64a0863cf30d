#ifndef DAMASKGLADE_NODE_SHARD_OWNER_H
#define DAMASKGLADE_NODE_SHARD_OWNER_H

#include "config/settings.h"
#include "core/thread.h"
#include "node/fleet.h"
#include "node/owned_shard.h"
#include "node/services.h"
#include "ownership/agent.h"
#include "policy/preemption.h"
#include "policy/quarantine.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::node {

/// Delivers the end of an attempt to the job's home. Returns true once the
/// home has recorded it or does not want it.
using NoticeFunction = std::function<bool(const EndedTask &)>;

/// The shards that this node owns: reserves room, starts tasks, renews leases
/// and tells homes how attempts ended. Thread-safe.
class ShardOwner {
public:
  ShardOwner(NodeIdentity Self, OwnerSettings Settings, Services &Ports,
             ownership::Agent &Ownership, Fleet &Vms);
  ~ShardOwner();
  ShardOwner(const ShardOwner &) = delete;
  ShardOwner &operator=(const ShardOwner &) = delete;

  void start(NoticeFunction Notify);
  void stop();

  /// Holds room for as many tries as fit.
  ReserveReply reserve(const ReserveRequest &Request);
  void release(const AttemptList &List);
  /// Starts a held attempt. Errors: Effect::None if it does not and will not
  /// run; Effect::Unknown if that is not known yet.
  Status startTask(const StartCommand &Command);
  /// Places and runs an idempotent request; returns its whole answer. Errors:
  /// no_capacity and others.
  Result<Answer> execute(const ExecuteRequest &Request);
  /// State of an attempt. Errors: not_owner.
  Result<OwnerStatus> status(const std::string &Job, const Attempt &Try);
  /// Stops, checkpoints or throttles a task. Errors: not_found.
  Status control(const std::string &Attempt, TaskControl Action);
  /// A completion pushed by a worker. Errors: not_owner.
  Status report(const std::string &Worker, const AttemptReport &Report);

  /// Takes over the run lease and the clock error bound of a version.
  void applySettings(const config::CellSettings &Cell);
  Status setDrained(const std::string &Worker, bool Drained);
  Status setQuarantined(const std::string &Worker, bool Quarantined);
  Headroom headroom() const;
  std::vector<WorkerStatus> workers() const;

private:
  using ShardPointer = std::shared_ptr<OwnedShard>;

  OwnerSettings settings() const;
  std::vector<ShardPointer> shards() const;
  ShardPointer shard(const std::string &Id) const;
  ShardPointer shardOfWorker(const std::string &Worker) const;
  std::vector<ShardPointer> shuffledShards();
  ReserveReply reserveFree(const ReserveRequest &Request);
  std::vector<Attempt> reserveIn(OwnedShard &Shard,
                                 const ReserveRequest &Request);
  std::optional<Result<Answer>> executeInFreeRoom(const ExecuteRequest &Request,
                                                  const ReserveRequest &Room);
  Result<Answer> runWaited(OwnedShard &Shard, const StartCommand &Command,
                           Millis Timeout);
  void syncShards();
  Millis renewInterval() const;
  bool preempt(const ReserveRequest &Request);
  bool runPreemption(OwnedShard &Shard, const policy::PreemptionPlan &Plan);
  void blockRoom(const ReserveRequest &Rest);
  void resumeTasks(OwnedShard &Shard);
  void updateQuarantine();
  void runMaintenance();
  void runRenewals(std::size_t Index);
  void renew(OwnedShard &Shard, const RenewalPlan &Plan);
  void runNotices();

  const NodeIdentity Self_;
  OwnerSettings Settings_; ///< Guarded by Mutex_.
  Services &Ports_;
  ownership::Agent &Ownership_;
  Fleet &Vms_;
  NoticeFunction Notify_;

  mutable Mutex Mutex_;
  std::map<std::string, ShardPointer> Shards_;
  std::mt19937_64 Random_;
  policy::Quarantine Quarantine_;
  std::set<std::string> QuarantinedByOperator_;
  policy::PreemptionBudget PreemptionBudget_;

  std::atomic<bool> Stopping_{false};
  std::vector<Thread> Threads_;
};

} // namespace damaskglade::node

#endif
