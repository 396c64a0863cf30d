#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

constexpr Millis PreemptionInterval{250};
constexpr int MaxPreemptionsPerPass = 8;
// The search for victims visits every task of many workers, so the remaining
// steps are left to the next pass.
constexpr int MaxPreemptingSteps = 4;
// A task is stalled if its percentage has not changed for this time and over
// this many polls. Workers with overdue tasks are polled more often.
constexpr Millis StallTime{900};
constexpr int StallPolls = 3;
// The stall time is at least the estimate divided by this.
constexpr std::int64_t StallEstimateDivisor = 4;
constexpr std::int64_t OverdueFactor = 2;
constexpr Millis OverdueMargin{300};
constexpr Millis OverduePollTimeout{300};
// Long-running tasks report no progress while they start up.
constexpr Millis StartupTime{3000};
// Fillers are paused when latency exceeds the first fraction of its target and
// sped up again below the second.
constexpr double PaceDownLatencyRatio = 0.8;
constexpr double PaceUpLatencyRatio = 0.5;
constexpr Millis PaceUpInterval{2000};
constexpr int FullPercent = 100;
constexpr int PaceStep = 25;
constexpr Millis DefaultPollTimeout{2000};
constexpr Millis SharedWorkerPollTimeout{400};

} // namespace

// Runs of less urgent work on a worker that make room for a task, cheapest
// first. Empty if there are not enough.
std::vector<TaskRef> Dispatcher::findVictims(const Worker &W, const Size &Need,
                                             const RankedStep &Ranked,
                                             double &Cost) const {
  struct Victim {
    TaskRef Ref_;
    Size Size_;
    double Cost_ = 0;
  };
  std::vector<Victim> Victims;
  Size FreeCapacity = freeCapacity(W);
  for (const TaskRef &Ref : W.Tasks_) {
    const JobRun *Job = findJob(Ref.Job_);
    const StepSpec &Spec =
        Job->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
    const Run &Attempt = *Job->Steps_[static_cast<std::size_t>(Ref.Step_)]
                              .Tasks_[static_cast<std::size_t>(Ref.Index_)]
                              .Run_;
    if (Attempt.State_ == RunState::Stopping) {
      FreeCapacity = FreeCapacity + reservedSize(Spec);
      continue;
    }
    if (policyOf(*Job).Priority_ <= Ranked.Policy_->Priority_ ||
        Spec.LongRunning_ || Spec.Gang_ || Spec.Filler_ ||
        Attempt.State_ != RunState::Running)
      continue;
    const double Elapsed = static_cast<double>(
        (Ranked.Job_->ArrivedAt_ - Attempt.StartedAt_).Value_);
    // Without a checkpoint the work done so far is lost and the caller waits
    // for it again.
    constexpr double CheckpointCost = 300.0;
    const double Lost = Spec.Checkpointing_
                            ? CheckpointCost
                            : std::max(Elapsed, CheckpointCost) * 3;
    Victims.push_back({Ref, reservedSize(Spec),
                       Lost * static_cast<double>(Spec.Size_.MilliCpus_)});
  }
  std::sort(Victims.begin(), Victims.end(),
            [](const Victim &A, const Victim &B) { return A.Cost_ < B.Cost_; });
  std::vector<TaskRef> Chosen;
  Cost = 0;
  for (const Victim &Cheapest : Victims) {
    if (fits(Need, FreeCapacity))
      break;
    FreeCapacity = FreeCapacity + Cheapest.Size_;
    Cost += Cheapest.Cost_;
    Chosen.push_back(Cheapest.Ref_);
  }
  if (!fits(Need, FreeCapacity))
    Cost = -1;
  return Chosen;
}

bool Dispatcher::mayPreempt(const RankedStep &Ranked, Millis Now) const {
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const bool Urgent = Ranked.Policy_->Priority_ == 0 || Spec.LongRunning_;
  return Urgent && Now >= State.LastPreemption_ + PreemptionInterval &&
         PreemptingSteps_ < MaxPreemptingSteps;
}

void Dispatcher::preemptFor(const RankedStep &Ranked, int Unplaced,
                            const std::vector<Candidate> &Places, Millis Now) {
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  State.LastPreemption_ = Now;
  ++PreemptingSteps_;
  std::set<std::string> UsedWorkers;
  for (int Count = 0; Count < std::min(Unplaced, MaxPreemptionsPerPass);
       ++Count) {
    const Worker *Best = nullptr;
    std::vector<TaskRef> Victims;
    double BestCost = 0;
    for (const Candidate &Place : Places) {
      const Worker &W = *Place.Worker_;
      if (UsedWorkers.count(W.Info_.Id_) > 0 ||
          (Spec.MaxPerWorker_ > 0 && Place.TasksOfStep_ >= Spec.MaxPerWorker_))
        continue;
      double Cost = 0;
      auto PlaceVictims = findVictims(W, reservedSize(Spec), Ranked, Cost);
      if (Cost < 0 || (Best && Cost >= BestCost))
        continue;
      Best = &W;
      BestCost = Cost;
      Victims = std::move(PlaceVictims);
    }
    if (!Best)
      return;
    UsedWorkers.insert(Best->Info_.Id_);
    for (const TaskRef &Ref : Victims)
      requestStop(Ref, *task(Ref), "preempted for " + Ranked.Job_->Spec_.Id_,
                  Now);
  }
}

void Dispatcher::stopStalledRuns(Worker &W, Millis Now) {
  for (const TaskRef &Ref : W.Tasks_) {
    TaskState &Task = *task(Ref);
    const Run &Attempt = *Task.Run_;
    const StepSpec &Spec =
        job(Ref.Job_)->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
    const bool IsServing = Spec.LongRunning_ && Attempt.Percent_ == FullPercent;
    if (Attempt.State_ != RunState::Running || !Attempt.Reported_ ||
        Spec.Filler_ || Spec.Gang_ || IsServing ||
        Attempt.PollsWithoutProgress_ < StallPolls ||
        Now < Attempt.ProgressAt_ +
                  std::max(StallTime, Spec.Estimate_ / StallEstimateDivisor) ||
        (Spec.LongRunning_ && Now < Attempt.StartedAt_ + StartupTime))
      continue;
    recordFailure(W.Health_, Ref.Job_, Now);
    requestStop(Ref, Task, "no progress", Now);
  }
}

// Work that cannot end before the worker leaves is stopped with a checkpoint
// and goes on elsewhere; tasks that last move at once.
void Dispatcher::evacuate(Millis Now) {
  for (auto &[Id, W] : Workers_) {
    if (!W.Info_.Draining_ || W.Reachability_ != Reachability::Reachable)
      continue;
    const std::vector<TaskRef> Tasks(W.Tasks_.begin(), W.Tasks_.end());
    for (const TaskRef &Ref : Tasks) {
      TaskState &Task = *task(Ref);
      const JobRun &Job = *job(Ref.Job_);
      const StepSpec &Spec =
          Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
      if (Task.Run_->State_ != RunState::Running)
        continue;
      if (Spec.LongRunning_ || (Spec.Checkpointing_ && !Spec.Gang_))
        requestStop(Ref, Task, "worker is draining", Now);
    }
  }
}

void Dispatcher::paceFillers(Worker &W, Millis Now) {
  if (W.Fillers_ == 0 || W.Reachability_ != Reachability::Reachable)
    return;
  double WorstLatencyRatio = 0; // Latency divided by its target.
  for (const TaskRef &Ref : W.Tasks_) {
    const StepSpec &Spec =
        job(Ref.Job_)->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
    const Run &Attempt = *task(Ref)->Run_;
    if (Spec.TargetLatency_ > Millis{} && Attempt.Percent_ == FullPercent)
      WorstLatencyRatio =
          std::max(WorstLatencyRatio,
                   static_cast<double>(Attempt.Gauge_) /
                       static_cast<double>(Spec.TargetLatency_.Value_));
  }
  if (WorstLatencyRatio > PaceDownLatencyRatio && W.FillerPercent_ > 0) {
    W.FillerPercent_ = 0;
    W.PaceChangedAt_ = Now;
    log("", "pace fillers", W.Info_.Id_,
        "percent=0 latency_share=" + std::to_string(WorstLatencyRatio));
  } else if (WorstLatencyRatio < PaceUpLatencyRatio &&
             W.FillerPercent_ < FullPercent &&
             Now > W.PaceChangedAt_ + PaceUpInterval) {
    W.FillerPercent_ = WorstLatencyRatio == 0
                           ? FullPercent
                           : std::min(FullPercent, W.FillerPercent_ + PaceStep);
    W.PaceChangedAt_ = Now;
  }
  for (const TaskRef &Ref : W.Tasks_) {
    Run &Attempt = *task(Ref)->Run_;
    const StepSpec &Spec =
        job(Ref.Job_)->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
    if (!Spec.Filler_ || Attempt.State_ != RunState::Running ||
        Attempt.Pace_ == W.FillerPercent_)
      continue;
    Attempt.Pace_ = W.FillerPercent_;
    PendingActions_.Paces_.push_back(PaceAction{
        target(W), taskName(Ref), Attempt.Attempt_, W.FillerPercent_});
  }
}

bool Dispatcher::hasOverdueRun(const Worker &W, Millis Now) const {
  return std::any_of(W.Tasks_.begin(), W.Tasks_.end(), [&](const TaskRef &Ref) {
    const JobRun &Job = *findJob(Ref.Job_);
    const StepSpec &Spec =
        Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
    const Run &Attempt = *Job.Steps_[static_cast<std::size_t>(Ref.Step_)]
                              .Tasks_[static_cast<std::size_t>(Ref.Index_)]
                              .Run_;
    return policyOf(Job).Priority_ == 0 &&
           Attempt.State_ == RunState::Running &&
           Now > Attempt.StartedAt_ + Spec.Estimate_ * OverdueFactor +
                     OverdueMargin;
  });
}

Millis Dispatcher::pollTimeout(const std::string &Id, Millis Now) const {
  const Worker *W = findWorker(Id);
  if (!W || (W->Fillers_ > 0 && W->ServingRuns_ > 0))
    return SharedWorkerPollTimeout;
  return hasOverdueRun(*W, Now) ? OverduePollTimeout : DefaultPollTimeout;
}

} // namespace damaskglade::dispatch
