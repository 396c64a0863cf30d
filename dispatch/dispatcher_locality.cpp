// Tasks that wait for a worker in the rack of their data.

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

// Long-running tasks and fillers do not end.
std::optional<Millis>
Dispatcher::expectedEnd(const Worker &W, const TaskRef &Ref, Millis Now) const {
  const StepSpec &Step = stepOf(Ref);
  if (Step.LongRunning_ || Step.Filler_)
    return std::nullopt;
  const Run &Attempt = runOf(Ref);
  if (Attempt.State_ == RunState::Stopping)
    return Now;
  const double Factor =
      Speeds_.Kinds_[static_cast<std::size_t>(W.Kind_)].Factor_ *
      penaltyOn(Step, W);
  const Millis Estimate{
      std::llround(static_cast<double>(Step.Estimate_.Value_) * Factor)};
  // A run that exceeds its estimate may go on for long.
  const Millis Elapsed = Now - Attempt.OrderedAt_;
  return Now + std::max(remainingRunTime(Attempt, Estimate, Now),
                        Millis{Elapsed.Value_ / 4});
}

// A worker that accepts no work gains nothing when a run ends.
const std::vector<Dispatcher::RunEnd> &
Dispatcher::rackEnds(const std::string &Rack, Millis Now) {
  const auto [Entry, Added] = RackOutlooks_.try_emplace(Rack);
  std::vector<RunEnd> &Ends = Entry->second.Ends_;
  if (!Added)
    return Ends;
  for (Worker *W : WorkersByFreeCapacity_) {
    if (!hasLabel(W->Info_, Rack))
      continue;
    for (const TaskRef &Ref : W->Tasks_)
      if (const auto EndsAt = expectedEnd(*W, Ref, Now))
        Ends.push_back(RunEnd{
            W, ExpectedEnd{*EndsAt, reservedSize(stepOf(Ref)).MilliCpus_}});
  }
  return Ends;
}

int Dispatcher::countTasksToHold(const RankedStep &Ranked, Millis Now) {
  const JobRun &Job = *Ranked.Job_;
  const StepRun &State = Job.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Job.Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  RackWaitInput Input;
  Input.Now_ = Now;
  Input.ReadyAt_ = State.ReadyAt_;
  Input.RunTime_ = Spec.Estimate_;
  Input.Following_ = followingPath(Job.Spec_, Ranked.Step_);
  Input.DueAt_ =
      Job.ArrivedAt_ +
      Millis{std::llround(Ranked.Policy_->SlackFactor_ *
                          static_cast<double>(Job.CriticalPath_.Value_))} +
      Ranked.Policy_->Target_;
  Input.Penalty_ = Limits_.RemotePenalty_;
  Input.Tasks_ = static_cast<int>(State.Tasks_.size()) - State.DoneCount_ -
                 State.RunCount_;
  Input.TaskMilliCpus_ = reservedSize(Spec).MilliCpus_;
  Input.FreeShare_ =
      static_cast<double>(FleetFreeCapacity_.MilliCpus_) /
      static_cast<double>(std::max<std::int64_t>(FleetCapacity_.MilliCpus_, 1));
  for (const RunEnd &End : rackEnds(Spec.Rack_, Now)) {
    const Ticket *WorkerTicket =
        Ranked.Policy_->NeedsAdvice_
            ? findTicket(State.Advice_, End.Worker_->Index_)
            : nullptr;
    const bool HasAdvice =
        !Ranked.Policy_->NeedsAdvice_ ||
        (WorkerTicket && WorkerTicket->ValidUntil_ > End.End_.At_);
    if (HasAdvice && isCandidate(Ranked, *End.Worker_, Now))
      Input.Ends_.push_back(End.End_);
  }
  RackOutlook &Outlook = RackOutlooks_[Spec.Rack_];
  Input.AheadMilliCpus_ = Outlook.AheadMilliCpus_;
  const int Held = tasksToHold(Input);
  Outlook.AheadMilliCpus_ += Held * Input.TaskMilliCpus_;
  return Held;
}

} // namespace damaskglade::dispatch
