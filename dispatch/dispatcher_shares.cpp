// Shares of the workspaces when demand exceeds capacity.

#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// The fleet counts as full for a priority once a task of that priority or a
// more urgent one has waited this long for capacity. Shorter than the 250 ms
// that urgent jobs may be late, and longer than a burst that the next ends of
// tasks make up for.
constexpr Millis FullAfter{100};
// Period of the log line of a workspace over its share.
constexpr Millis ShareLogPeriod{1000};

} // namespace

ShareDecision Dispatcher::decideJobShare(const JobSpec &Spec, Millis Now) {
  const auto Policy = Workspaces_.find(Spec.Workspace_);
  if (Spec.Workspace_.empty() || Policy == Workspaces_.end())
    return {};
  WorkspaceShare &Share = Shares_[Spec.Workspace_];
  const ShareDecision Decision =
      decideShare(Share.Bucket_, Policy->second.Weight_,
                  isFullFor(priorityOf(Spec.Queue_)), Now);
  if (Decision.Verdict_ == ShareVerdict::InShare)
    return Decision;
  ++(Decision.Verdict_ == ShareVerdict::Rejected ? Share.Rejected_
                                                 : Share.Accepted_);
  if (Share.LoggedAt_ == Millis{} || Now >= Share.LoggedAt_ + ShareLogPeriod) {
    log(Spec.Id_, "submit", "",
        "workspace=" + Spec.Workspace_ +
            " is over its share, accepted=" + std::to_string(Share.Accepted_) +
            " rejected=" + std::to_string(Share.Rejected_));
    Share.Accepted_ = 0;
    Share.Rejected_ = 0;
    Share.LoggedAt_ = Now;
  }
  return Decision;
}

bool Dispatcher::isFullFor(int Priority) const {
  return FullPriority_ && *FullPriority_ <= Priority;
}

void Dispatcher::markOverShare(const std::string &Id) {
  if (JobRun *Job = job(Id))
    Job->OverShare_ = true;
}

// A step that waits for advice, for a retry, for its workspace's limit or for
// workers that are away does not show that capacity is missing. Workers are
// examined only until one has room, and for the first such step of a priority.
void Dispatcher::noteWaitingStep(const RankedStep &Ranked, Millis Now) {
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const int Priority = Ranked.Policy_->Priority_;
  if (isFullFor(Priority) || Now < State.ReadyAt_ + FullAfter)
    return;
  bool IsSuitable = false;
  bool HasRoom = false;
  for (const Worker *W : WorkersByFreeCapacity_) {
    if (W->Info_.Service_ != Ranked.Policy_->Service_ ||
        !mayRunOn(Spec, W->Info_))
      continue;
    IsSuitable = true;
    HasRoom = fitsInto(reservedSize(Spec), freeCapacity(*W));
    if (HasRoom)
      break;
  }
  if (IsSuitable && (!HasRoom || !keepsReserve(Ranked, Spec)))
    FullPriority_ = Priority;
}

void Dispatcher::updateShareLevels() {
  double SumOfWeights = 0;
  for (const auto &[Name, Policy] : Workspaces_)
    SumOfWeights += Policy.Weight_;
  if (SumOfWeights <= 0)
    return;
  for (const auto &[Name, Policy] : Workspaces_) {
    const auto Usage = Usage_.find(Name);
    Shares_[Name].Level_ =
        Usage == Usage_.end()
            ? 0
            : shareLevel(dominantShare(Usage->second.Runs_, FleetCapacity_),
                         Policy.Weight_, SumOfWeights);
  }
}

int Dispatcher::shareLevelOf(const JobRun &Job) const {
  if (Job.Spec_.Workspace_.empty())
    return 0;
  const auto Share = Shares_.find(Job.Spec_.Workspace_);
  return Share == Shares_.end() ? 0 : Share->second.Level_;
}

} // namespace damaskglade::dispatch
