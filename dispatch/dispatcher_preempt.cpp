#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// Minimum time between two preemptions for the same step.
constexpr Millis PreemptionInterval{250};
// Limit of the waiting tasks of one step for which a pass preempts others.
constexpr int MaxPreemptionsPerPass = 8;
// Limit of the steps for which one pass preempts tasks; the others are left to
// the next pass. The search for victims examines every task of many workers.
constexpr int MaxPreemptingSteps = 4;
// A task is stalled if its progress has not changed for this time and in this
// many poll replies.
constexpr Millis StallTime{900};
constexpr int StallPolls = 3;
// The stall time is at least the estimated duration divided by this.
constexpr std::int64_t StallEstimateDivisor = 4;
// An urgent task is overdue after its estimated duration times this factor plus
// this margin. Its worker is then polled more often.
constexpr std::int64_t OverdueFactor = 2;
constexpr Millis OverdueMargin{300};
constexpr Millis OverduePollTimeout{300};
// Long-running tasks may report no progress for this time after their start.
constexpr Millis StartupTime{3000};
// Fillers on a worker are paused when the latency of a task there, divided by
// its target, exceeds the first ratio, and are sped up again below the second.
constexpr double PaceDownLatencyRatio = 0.8;
constexpr double PaceUpLatencyRatio = 0.5;
// Fillers are sped up at most once in this time, by PaceStepPercent.
constexpr Millis PaceUpInterval{2000};
constexpr int FullPercent = 100;
constexpr int PaceStepPercent = 25;
constexpr Millis DefaultPollTimeout{2000};
// Workers that run fillers beside tasks with a latency target are polled more
// often, so that the fillers are paused in time.
constexpr Millis SharedWorkerPollTimeout{400};

} // namespace

// Chooses less urgent runs on a worker, cheapest first, that have to be stopped
// to free the needed resources. Cost is the sum of their costs, or -1 if the
// worker cannot free enough.
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
    // Time that stopping the task costs, in milliseconds. Without a checkpoint
    // it is three times the run time before the waiting job arrived: that work
    // is lost, and the caller of the stopped task waits for it again.
    constexpr double CheckpointCost = 300.0;
    const double StopCost = Spec.Checkpointing_
                                ? CheckpointCost
                                : std::max(Elapsed, CheckpointCost) * 3;
    Victims.push_back({Ref, reservedSize(Spec),
                       StopCost * static_cast<double>(Spec.Size_.MilliCpus_)});
  }
  std::sort(Victims.begin(), Victims.end(),
            [](const Victim &A, const Victim &B) { return A.Cost_ < B.Cost_; });
  std::vector<TaskRef> ChosenRuns;
  Cost = 0;
  for (const Victim &NextVictim : Victims) {
    if (fitsInto(Need, FreeCapacity))
      break;
    FreeCapacity = FreeCapacity + NextVictim.Size_;
    Cost += NextVictim.Cost_;
    ChosenRuns.push_back(NextVictim.Ref_);
  }
  if (!fitsInto(Need, FreeCapacity))
    Cost = -1;
  return ChosenRuns;
}

bool Dispatcher::isUrgent(const RankedStep &Ranked) {
  return Ranked.Policy_->Priority_ == 0 ||
         Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)]
             .LongRunning_;
}

bool Dispatcher::mayPreempt(const RankedStep &Ranked, Millis Now) const {
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  // Jobs over share get idle capacity only.
  return isUrgent(Ranked) && !Ranked.Job_->OverShare_ &&
         Now >= State.LastPreemption_ + PreemptionInterval &&
         PreemptingSteps_ < MaxPreemptingSteps;
}

void Dispatcher::preemptFor(const RankedStep &Ranked, int UnplacedTasks,
                            const std::vector<Candidate> &Candidates,
                            Millis Now) {
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  State.LastPreemption_ = Now;
  ++PreemptingSteps_;
  std::set<std::string> UsedWorkers;
  for (int Count = 0; Count < std::min(UnplacedTasks, MaxPreemptionsPerPass);
       ++Count) {
    const Worker *BestWorker = nullptr;
    std::vector<TaskRef> Victims;
    double BestCost = 0;
    for (const Candidate &CandidateWorker : Candidates) {
      const Worker &W = *CandidateWorker.Worker_;
      if (UsedWorkers.count(W.Info_.Id_) > 0 ||
          (Spec.MaxPerWorker_ > 0 &&
           CandidateWorker.TasksOfStep_ >= Spec.MaxPerWorker_))
        continue;
      double Cost = 0;
      auto CandidateVictims = findVictims(W, reservedSize(Spec), Ranked, Cost);
      if (Cost < 0 || (BestWorker && Cost >= BestCost))
        continue;
      BestWorker = &W;
      BestCost = Cost;
      Victims = std::move(CandidateVictims);
    }
    if (!BestWorker)
      return;
    UsedWorkers.insert(BestWorker->Info_.Id_);
    awaitTasks(Ranked, 1);
    for (const TaskRef &Ref : Victims)
      requestStop(Ref, *task(Ref), "preempted for " + Ranked.Job_->Spec_.Id_,
                  Now);
  }
}

void Dispatcher::stopStalledRuns(Worker &W, Millis Now) {
  for (const TaskRef &Ref : W.Tasks_) {
    JobRun &Job = *job(Ref.Job_);
    TaskState &Task = *task(Job, Ref);
    const Run &Attempt = *Task.Run_;
    const StepSpec &Spec =
        Job.Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
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

// Stops tasks on draining workers so that they continue elsewhere: long-running
// tasks, and tasks outside gangs that can resume from a checkpoint. Other tasks
// are left to end on the worker.
void Dispatcher::evacuate(Millis Now) {
  for (Worker *Entry : WorkersById_) {
    const Worker &W = *Entry;
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
    W.FillerPercent_ =
        WorstLatencyRatio == 0
            ? FullPercent
            : std::min(FullPercent, W.FillerPercent_ + PaceStepPercent);
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
