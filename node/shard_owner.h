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

/// Reports the end of an attempt to the home of its job. Returns true if the
/// home has recorded it or no longer needs it.
using NotifyHomeFunction = std::function<bool(const EndedTask &)>;

/// Manages the shards that this node owns: reserves capacity, starts tasks,
/// renews leases and notifies homes of ended attempts. Thread-safe.
class ShardOwner {
public:
  ShardOwner(NodeIdentity Self, OwnerSettings Settings, Services &Ports,
             ownership::Agent &Ownership, Fleet &Vms);
  ~ShardOwner();
  ShardOwner(const ShardOwner &) = delete;
  ShardOwner &operator=(const ShardOwner &) = delete;

  void start(NotifyHomeFunction NotifyHome);
  void stop();

  /// Reserves capacity for as many attempts as fit.
  ReserveReply reserve(const ReserveRequest &Request);
  void release(const AttemptList &List);
  /// Starts an attempt with a reservation. Errors: Effect::None if the task did
  /// not start and will not; Effect::Unknown if that is not known yet.
  Status startTask(const StartCommand &Command);
  /// Places and runs an idempotent request and returns its complete answer.
  /// Errors: no_capacity, not_owner and those of the start and of the call to
  /// the worker.
  Result<Answer> execute(const ExecuteRequest &Request);
  /// Status of an attempt. Errors: not_owner.
  Result<OwnerStatus> status(const std::string &Job, const Attempt &Try);
  /// Stops, checkpoints, throttles or resumes a task. Errors: not_found and
  /// those of the call to the worker.
  Status control(const std::string &Attempt, TaskControl Action);
  /// Applies a completion pushed by a worker. Errors: not_owner.
  Status report(const std::string &Worker, const AttemptReport &Report);

  /// Applies the run lease and the clock error bound of a configuration
  /// version.
  void applySettings(const config::CellSettings &Cell);
  Status setDrained(const std::string &Worker, bool Drained);
  Status setQuarantined(const std::string &Worker, bool Quarantined);
  Headroom headroom() const;
  std::vector<WorkerStatus> workers() const;

private:
  using ShardPtr = std::shared_ptr<OwnedShard>;

  OwnerSettings settings() const;
  std::vector<ShardPtr> shards() const;
  ShardPtr shard(const std::string &Id) const;
  ShardPtr shardOfWorker(const std::string &Worker) const;
  std::vector<ShardPtr> shuffledShards();
  ReserveReply reserveFreeCapacity(const ReserveRequest &Request);
  std::vector<Attempt> reserveInShard(OwnedShard &Shard,
                                      const ReserveRequest &Request);
  std::optional<Result<Answer>>
  executeOnFreeWorker(const ExecuteRequest &Request,
                      const ReserveRequest &Reserve);
  Result<Answer> runSynchronously(OwnedShard &Shard,
                                  const StartCommand &Command, Millis Timeout);
  void syncShards();
  Millis renewInterval() const;
  bool preempt(const ReserveRequest &Request);
  bool runPreemption(OwnedShard &Shard, const policy::PreemptionPlan &Plan);
  void reserveForBackfill(const ReserveRequest &Request);
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
  NotifyHomeFunction NotifyHome_;

  mutable Mutex Mutex_;
  std::map<std::string, ShardPtr> Shards_;
  std::mt19937_64 Random_;
  policy::Quarantine Quarantine_;
  std::set<std::string> QuarantinedByOperator_;
  policy::PreemptionBudget PreemptionBudget_;

  std::atomic<bool> Stopping_{false};
  std::vector<Thread> Threads_;
};

} // namespace damaskglade::node

#endif
