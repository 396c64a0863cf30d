#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

namespace {

// The service accepts at most 100 workers per request.
constexpr std::size_t MaxWorkersPerQuestion = 100;
// Each worker adds about 6 ms to a request for a step of a slow queue.
constexpr std::size_t MaxWorkersPerSlowQuestion = 60;
// Advice is requested this long before it is needed.
constexpr Millis AdviceLeadTime{150};
// Calls shorter than this may include more workers than are needed.
constexpr Millis FastAdviceLimit{100};
// Advice for a fast queue allows about this fraction of the workers.
constexpr double ExpectedAllowedRatio = 0.6;
constexpr std::size_t SpareWorkers = 8;
// Delay before a step that needs no more advice is checked again.
constexpr Millis AdviceRecheckInterval{30};
constexpr std::size_t MinWorkersPerQuestion = 16;

} // namespace

// Estimated time until all dependencies of a step are complete, from reported
// percentages and, without these, from the declared estimates.
Millis Dispatcher::timeUntilReady(const JobRun &Job, int Step,
                                  Millis Now) const {
  constexpr std::int64_t FullPercent = 100;
  constexpr std::int64_t MinPercent = 5;
  Millis Longest{};
  for (const int Dependency :
       Job.Spec_.Steps_[static_cast<std::size_t>(Step)].Dependencies_) {
    const StepRun &State = Job.Steps_[static_cast<std::size_t>(Dependency)];
    const StepSpec &Spec =
        Job.Spec_.Steps_[static_cast<std::size_t>(Dependency)];
    for (const TaskState &Task : State.Tasks_) {
      if (Task.Done_)
        continue;
      Millis Remaining = Spec.Estimate_;
      if (!State.Ready_)
        Remaining = Remaining + timeUntilReady(Job, Dependency, Now);
      if (Task.Run_ && Task.Run_->StartedAt_ > Millis{}) {
        const Run &Attempt = *Task.Run_;
        const Millis Elapsed = Now - Attempt.StartedAt_;
        if (Attempt.Percent_ >= MinPercent) {
          const Millis ProgressTime = Attempt.ProgressAt_ - Attempt.StartedAt_;
          Remaining = ProgressTime * (FullPercent - Attempt.Percent_) /
                          Attempt.Percent_ -
                      (Now - Attempt.ProgressAt_);
        } else {
          Remaining = Remaining - Elapsed;
        }
      }
      Longest = std::max(Longest, std::max(Remaining, Millis{}));
    }
  }
  return Longest;
}

std::vector<std::string> Dispatcher::workersToAsk(const RankedStep &Ranked,
                                                  Millis Now) {
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepAdvice &Advice = State.Advice_;
  // Sorted by descending free processors, so that a request for only some of
  // them is useful.
  std::vector<const Worker *> Unasked;
  std::vector<const Worker *> ToRenew;
  const auto HasCapacity = [&](const Worker &W) {
    if (Spec.MaxPerWorker_ > 0 &&
        countTasksOfStep(W, *Ranked.Job_, Ranked.Step_) >= Spec.MaxPerWorker_)
      return false;
    return fits(reservedSize(Spec), freeCapacity(W));
  };
  for (const AllowedWorker &Allowed : Advice.Allowed_) {
    const Worker *W = WorkersBySlot_[static_cast<std::size_t>(Allowed.Slot_)];
    if (W && Allowed.Ticket_.ValidUntil_ > Now + AdviceLeadTime &&
        HasCapacity(*W) && acceptsWork(*W, Now))
      return {};
  }
  for (const Worker *W : ByFreeCapacity_) {
    ++Visits_;
    if (W->Info_.Service_ != Ranked.Policy_->Service_ ||
        !mayRunOn(Spec, W->Info_))
      continue;
    const Ticket *Existing = findTicket(Advice, W->Slot_);
    if (Existing && Existing->ValidUntil_ <= Now + AdviceLeadTime)
      ToRenew.push_back(W);
    else if (!Existing && !wasAsked(Advice, W->Slot_))
      Unasked.push_back(W);
  }
  const auto MoveFreeToFront = [&](std::vector<const Worker *> &Group) {
    std::stable_partition(Group.begin(), Group.end(),
                          [&](const Worker *W) { return HasCapacity(*W); });
  };
  MoveFreeToFront(ToRenew);
  MoveFreeToFront(Unasked);
  const bool FastQueue = Ranked.Policy_->AdviceBase_ < FastAdviceLimit;
  std::size_t WantedCount = Unasked.size();
  if (FastQueue) {
    const auto Waiting = static_cast<double>(State.Tasks_.size()) -
                         State.DoneCount_ - State.RunCount_;
    WantedCount =
        std::max(MinWorkersPerQuestion,
                 static_cast<std::size_t>(Waiting / ExpectedAllowedRatio) +
                     SpareWorkers);
  }
  const std::size_t MaxCount =
      FastQueue ? MaxWorkersPerQuestion : MaxWorkersPerSlowQuestion;
  std::vector<std::string> Ids;
  for (const Worker *W : ToRenew)
    if (Ids.size() < MaxCount)
      Ids.push_back(W->Info_.Id_);
  // For a slow queue, tickets of full workers are renewed only if no unasked
  // worker has capacity.
  const bool UnaskedFit = !Unasked.empty() && HasCapacity(*Unasked.front());
  if (!Ids.empty() && !FastQueue &&
      (HasCapacity(*ToRenew.front()) || !UnaskedFit))
    return Ids;
  if (!FastQueue)
    Ids.clear();
  for (const Worker *W : Unasked)
    if (Ids.size() < std::min(WantedCount, MaxCount))
      Ids.push_back(W->Info_.Id_);
  return Ids;
}

void Dispatcher::requestAdvice(const RankedStep &Ranked, bool PlaceableSoon,
                               Millis Now) {
  if (!Ranked.Policy_->NeedsAdvice_)
    return;
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  StepAdvice &Advice = State.Advice_;
  const int Waiting = static_cast<int>(State.Tasks_.size()) - State.DoneCount_ -
                      State.RunCount_;
  if (Advice.Pending_ || Advice.RetryAt_ > Now || Waiting <= 0)
    return;
  const double PerWorker = Ranked.Policy_->AdvicePerWorker_;
  const auto WorkerCount =
      Advice.Asked_.empty() ? Workers_.size() : Advice.Allowed_.size();
  const Millis FullCallTime =
      Ranked.Policy_->AdviceBase_ +
      Millis{std::llround(
          PerWorker *
          static_cast<double>(std::min(WorkerCount, MaxWorkersPerQuestion)))};
  if (!State.Ready_ && timeUntilReady(*Ranked.Job_, Ranked.Step_, Now) >
                           FullCallTime + AdviceLeadTime)
    return;
  if (!PlaceableSoon && Ranked.Policy_->Priority_ != 0 &&
      !Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)]
           .LongRunning_)
    return;
  std::vector<std::string> WorkerIds = workersToAsk(Ranked, Now);
  if (WorkerIds.empty()) {
    Advice.RetryAt_ = Now + AdviceRecheckInterval;
    return;
  }
  Advice.Pending_ = true;
  Advice.AskedAt_ = Now;
  AdviceQuestion Question;
  Question.Job_ = Ranked.Job_->Spec_.Id_;
  Question.Step_ = Ranked.Step_;
  Question.Expected_ =
      Ranked.Policy_->AdviceBase_ +
      Millis{std::llround(PerWorker * static_cast<double>(WorkerIds.size()))};
  Question.Priority_ = Ranked.Policy_->Priority_;
  Question.Workers_ = std::move(WorkerIds);
  PendingActions_.Questions_.push_back(std::move(Question));
}

} // namespace damaskglade::dispatch
