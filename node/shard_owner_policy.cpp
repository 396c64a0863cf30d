#include "node/election.h"
#include "node/shard_owner.h"

namespace damaskglade::node {

namespace {

const char *actionName(TaskControl Action) {
  switch (Action) {
  case TaskControl::Stop:
    return "preempted_by_stop";
  case TaskControl::Checkpoint:
    return "preempted_by_checkpoint";
  case TaskControl::Throttle:
    return "preempted_by_throttle";
  case TaskControl::Resume:
    break;
  }
  return "resumed";
}

} // namespace

// Preempts tasks in the shard whose plan affects the fewest. Returns true if
// capacity was freed; the caller reserves it.
bool ShardOwner::preempt(const ReserveRequest &Request) {
  const Millis Now = Ports_.Clock_.monotonic();
  std::int64_t Available = 0;
  {
    const MutexLock Lock(Mutex_);
    Available = PreemptionBudget_.available(Now);
  }
  ShardPtr BestShard;
  std::optional<policy::PreemptionPlan> BestPlan;
  for (const ShardPtr &Shard : shards()) {
    if (!Ownership_.mayGrant(Shard->id()))
      continue;
    auto Plan = Shard->planPreemption(Request, Available);
    if (!Plan || Plan->Steps_.empty())
      continue;
    if (!BestPlan || Plan->Steps_.size() < BestPlan->Steps_.size()) {
      BestShard = Shard;
      BestPlan = std::move(Plan);
    }
  }
  if (!BestPlan)
    return false;
  {
    const MutexLock Lock(Mutex_);
    const auto Tasks = static_cast<std::int64_t>(BestPlan->Steps_.size());
    if (!PreemptionBudget_.spend(Tasks, Now)) {
      Ports_.Metrics_.count("preemption_budget_exhausted");
      return false;
    }
  }
  return runPreemption(*BestShard, *BestPlan);
}

bool ShardOwner::runPreemption(OwnedShard &Shard,
                               const policy::PreemptionPlan &Plan) {
  for (const policy::PreemptionStep &Step : Plan.Steps_) {
    const std::string Address = Shard.addressOf(Step.Attempt_);
    if (Address.empty())
      return false;
    Shard.beginPreemption(Step);
    const Status Controlled = Ports_.Workers_.control(
        Address, Step.Attempt_, Step.Action_, settings().WorkerTimeout_);
    if (!Controlled) {
      Ports_.Log_.write(failureEvent(Controlled.error(), Step.Attempt_));
      if (Controlled.error().Effect_ == Effect::None &&
          Controlled.error().Reason_ != Reason::ConnectFailed)
        Shard.recordRefusedPreemption(Step);
      return false;
    }
    Shard.applyPreemption(Step);
    Ports_.Metrics_.count(actionName(Step.Action_));
  }
  return true;
}

// The backfill reservation of a job is kept in one shard, the same one on every
// retry.
void ShardOwner::reserveForBackfill(const ReserveRequest &Request) {
  std::vector<std::string> Ids;
  for (const ShardPtr &Shard : shards())
    Ids.push_back(Shard->id());
  if (const ShardPtr Chosen = shard(elect(Request.Job_, Ids)))
    Chosen->reserveForBackfill(Request, momentOf(Ports_.Clock_));
}

void ShardOwner::resumeTasks(OwnedShard &Shard) {
  for (const std::string &Attempt :
       Shard.beginResumes(momentOf(Ports_.Clock_))) {
    const std::string Address = Shard.addressOf(Attempt);
    const Status Resumed = Ports_.Workers_.control(
        Address, Attempt, TaskControl::Resume, settings().WorkerTimeout_);
    Shard.endResume(Attempt, Resumed.has_value());
    if (Resumed)
      Ports_.Metrics_.count(actionName(TaskControl::Resume));
  }
}

void ShardOwner::updateQuarantine() {
  const Millis Now = Ports_.Clock_.monotonic();
  const std::vector<std::string> ZoneWorkers = Vms_.workersOfZone(Self_.Zone_);
  const std::vector<ShardPtr> Shards = shards();
  std::vector<std::pair<ShardPtr, StartOutcome>> Outcomes;
  for (const ShardPtr &Shard : Shards)
    for (const StartOutcome &Outcome : Shard->takeOutcomes())
      Outcomes.emplace_back(Shard, Outcome);

  const MutexLock Lock(Mutex_);
  if (!ZoneWorkers.empty())
    Quarantine_.setZone(Self_.Zone_, ZoneWorkers);
  for (const auto &[Shard, Outcome] : Outcomes) {
    if (Outcome.Ok_)
      Quarantine_.recordSuccess(Outcome.Worker_);
    else
      Quarantine_.recordFailure(Outcome.Worker_, Outcome.TimeToFailure_, Now);
  }
  for (const ShardPtr &Shard : Shards) {
    std::vector<WorkerStatus> Workers;
    Shard->addWorkers(Workers);
    for (const WorkerStatus &Worker : Workers) {
      if (QuarantinedByOperator_.count(Worker.Id_) != 0) {
        Shard->setQuarantined(Worker.Id_, true);
        continue;
      }
      const policy::WorkerHealth Health = Quarantine_.health(Worker.Id_, Now);
      if (Health == policy::WorkerHealth::TrialDue &&
          Quarantine_.beginTrial(Worker.Id_, Now))
        Shard->allowTrial(Worker.Id_);
      else if (Health == policy::WorkerHealth::Quarantined &&
               !Worker.Quarantined_)
        Shard->setQuarantined(Worker.Id_, true);
      else if (Health == policy::WorkerHealth::Healthy && Worker.Quarantined_)
        Shard->setQuarantined(Worker.Id_, false);
    }
  }
}

} // namespace damaskglade::node
