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

// Chooses the shard whose plan touches the fewest tasks. Returns true if room
// was made; the caller reserves it.
bool ShardOwner::preempt(const ReserveRequest &Request) {
  const Millis Now = Ports_.Clock_.monotonic();
  std::int64_t Available = 0;
  {
    const MutexLock Lock(Mutex_);
    Available = PreemptionBudget_.available(Now);
  }
  ShardPointer Best;
  std::optional<policy::PreemptionPlan> BestPlan;
  for (const ShardPointer &Each : shards()) {
    if (!Ownership_.mayGrant(Each->id()))
      continue;
    auto Plan = Each->planPreemption(Request, Available);
    if (!Plan || Plan->Steps_.empty())
      continue;
    if (!BestPlan || Plan->Steps_.size() < BestPlan->Steps_.size()) {
      Best = Each;
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
  return runPreemption(*Best, *BestPlan);
}

bool ShardOwner::runPreemption(OwnedShard &Shard,
                               const policy::PreemptionPlan &Plan) {
  for (const policy::PreemptionStep &Step : Plan.Steps_) {
    const std::string Address = Shard.addressOf(Step.Attempt_);
    if (Address.empty())
      return false;
    Shard.beginPreemption(Step);
    const Status Done = Ports_.Workers_.control(
        Address, Step.Attempt_, Step.Action_, settings().WorkerTimeout_);
    if (!Done) {
      Ports_.Log_.write(failureEvent(Done.error(), Step.Attempt_));
      if (Done.error().Effect_ == Effect::None &&
          Done.error().Reason_ != Reason::ConnectFailed)
        Shard.refusePreemption(Step);
      return false;
    }
    Shard.applyPreemption(Step);
    Ports_.Metrics_.count(actionName(Step.Action_));
  }
  return true;
}

// One shard keeps room for the job, the same on every try.
void ShardOwner::blockRoom(const ReserveRequest &Rest) {
  std::vector<std::string> Ids;
  for (const ShardPointer &Each : shards())
    Ids.push_back(Each->id());
  if (const ShardPointer Chosen = shard(elect(Rest.Job_, Ids)))
    Chosen->block(Rest, momentOf(Ports_.Clock_));
}

void ShardOwner::resumeTasks(OwnedShard &Shard) {
  for (const std::string &Attempt :
       Shard.beginResumes(momentOf(Ports_.Clock_))) {
    const std::string Address = Shard.addressOf(Attempt);
    const Status Done = Ports_.Workers_.control(
        Address, Attempt, TaskControl::Resume, settings().WorkerTimeout_);
    Shard.endResume(Attempt, Done.has_value());
    if (Done)
      Ports_.Metrics_.count(actionName(TaskControl::Resume));
  }
}

void ShardOwner::updateQuarantine() {
  const Millis Now = Ports_.Clock_.monotonic();
  const std::vector<std::string> OfZone = Vms_.workersOfZone(Self_.Zone_);
  const std::vector<ShardPointer> All = shards();
  std::vector<std::pair<ShardPointer, StartOutcome>> Outcomes;
  for (const ShardPointer &Each : All)
    for (const StartOutcome &Outcome : Each->takeOutcomes())
      Outcomes.emplace_back(Each, Outcome);

  const MutexLock Lock(Mutex_);
  if (!OfZone.empty())
    Quarantine_.setZone(Self_.Zone_, OfZone);
  for (const auto &[Shard, Outcome] : Outcomes) {
    if (Outcome.Ok_)
      Quarantine_.recordSuccess(Outcome.Worker_);
    else
      Quarantine_.recordFailure(Outcome.Worker_, Outcome.RanFor_, Now);
  }
  for (const ShardPointer &Each : All) {
    std::vector<WorkerStatus> Workers;
    Each->addWorkers(Workers);
    for (const WorkerStatus &Worker : Workers) {
      if (QuarantinedByOperator_.count(Worker.Id_) != 0) {
        Each->setQuarantined(Worker.Id_, true);
        continue;
      }
      const policy::WorkerHealth Health = Quarantine_.health(Worker.Id_, Now);
      if (Health == policy::WorkerHealth::TrialDue &&
          Quarantine_.beginTrial(Worker.Id_, Now))
        Each->allowTrial(Worker.Id_);
      else if (Health == policy::WorkerHealth::Quarantined &&
               !Worker.Quarantined_)
        Each->setQuarantined(Worker.Id_, true);
      else if (Health == policy::WorkerHealth::Healthy && Worker.Quarantined_)
        Each->setQuarantined(Worker.Id_, false);
    }
  }
}

} // namespace damaskglade::node
