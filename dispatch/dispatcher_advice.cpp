#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

namespace {

// The advice service accepts at most 100 workers per request.
constexpr std::size_t MaxWorkersPerQuestion = 100;
// Limit for slow queues, where each worker adds about 6 ms to a request.
constexpr std::size_t MaxWorkersPerSlowQuestion = 60;
// Advice for a step is requested when the step is expected to be ready within
// the duration of the call plus this time. Tickets that expire within this time
// are renewed.
constexpr Millis AdviceLeadTime{150};
// The same for steps that wait for the end of recovery. Many of them ask at
// that moment and queue for about this long; tickets are valid for 2.5 s.
constexpr Millis RecoveryLeadTime{1200};
// A queue is fast if the fixed part of its advice calls is shorter than this.
constexpr Millis FastAdviceLimit{100};
// A request for a fast queue names enough workers for its waiting tasks if the
// service allows about this fraction of them, and some spare workers.
constexpr double ExpectedAllowedRatio = 0.6;
constexpr std::size_t SpareWorkers = 8;
// A step for which there is no worker to ask about is checked again after this.
constexpr Millis AdviceRecheckInterval{30};
// A step that is not ready soon is checked again after half of the remaining
// time, at most after this.
constexpr Millis MaxRecheckDelay{300};
// Lower limit of the workers named in a request for a fast queue, if there are
// as many.
constexpr std::size_t MinWorkersPerQuestion = 16;
// A step that needs many workers has several requests in flight, one for this
// many nodes, so that a wide step does not occupy the nodes of a small cell.
constexpr std::size_t NodesPerParallelRequest = 16;
constexpr int MaxParallelRequests = 6;
// Requests name workers for this many times the tasks that wait, since other
// steps use some of their capacity before the answer arrives.
constexpr double SpareSlotRatio = 1.15;
// Weight, in answered workers, of ExpectedAllowedRatio in the expected share
// of allowed workers of a queue.
constexpr double PriorAnsweredWorkers = 20;

} // namespace

int Dispatcher::maxParallelRequests() const {
  return std::clamp(
      static_cast<int>(AdviceServerCount_ / NodesPerParallelRequest), 1,
      MaxParallelRequests);
}

double Dispatcher::expectedAllowedShare(const RankedStep &Ranked) const {
  const auto Share = AllowedShares_.find(Ranked.Job_->Spec_.Queue_);
  if (Share == AllowedShares_.end())
    return ExpectedAllowedRatio;
  return (PriorAnsweredWorkers * ExpectedAllowedRatio +
          Share->second.Allowed_) /
         (PriorAnsweredWorkers + Share->second.Answered_);
}

int Dispatcher::freeSlots(const Worker &W, const JobRun &Job, int Step) {
  const StepSpec &Spec = Job.Spec_.Steps_[static_cast<std::size_t>(Step)];
  const int MaxTasks = Spec.MaxPerWorker_ > 0
                           ? Spec.MaxPerWorker_ - countTasksOfStep(W, Job, Step)
                           : Spec.Count_;
  return slotsIn(freeCapacity(W), Spec, MaxTasks);
}

// Workers with capacity for the tasks that neither valid tickets nor requests
// in flight are expected to cover. A gang needs valid tickets for all its tasks
// at the same time, so only tickets that are still valid when the answer
// arrives count for it, and known allowed workers are asked about again only
// once they suffice for the whole gang.
std::vector<std::string>
Dispatcher::workersForUncoveredTasks(const RankedStep &Ranked, Millis Now) {
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepAdvice &Advice = State.Advice_;
  const double Share = expectedAllowedShare(Ranked);
  const Millis ValidAfter =
      Now + AdviceLeadTime + Ranked.Policy_->AdviceBase_ +
      Millis{std::llround(Ranked.Policy_->AdvicePerWorker_ *
                          static_cast<double>(MaxWorkersPerSlowQuestion))};
  double MissingSlots =
      SpareSlotRatio * (static_cast<int>(State.Tasks_.size()) -
                        State.DoneCount_ - State.RunCount_);
  int SlotsNow = 0;
  int RenewableSlots = 0;
  std::vector<std::pair<const Worker *, int>> WorkersToRenew;
  std::vector<std::pair<const Worker *, int>> WorkersWithoutAnswer;
  for (const Worker *W : WorkersByFreeCapacity_) {
    ++WorkerChecks_;
    if (W->Info_.Service_ != Ranked.Policy_->Service_ ||
        !mayRunOn(Spec, W->Info_))
      continue;
    const int Slots = freeSlots(*W, *Ranked.Job_, Ranked.Step_);
    if (Slots == 0)
      continue;
    const Ticket *WorkerTicket = findTicket(Advice, W->Index_);
    if (WorkerTicket && WorkerTicket->ValidUntil_ > Now + AdviceLeadTime)
      SlotsNow += Slots;
    if (Advice.PendingWorkers_.count(W->Index_) > 0) {
      MissingSlots -= WorkerTicket ? Slots : Share * Slots;
    } else if (WorkerTicket && WorkerTicket->ValidUntil_ > ValidAfter) {
      MissingSlots -= Slots;
    } else if (WorkerTicket) {
      WorkersToRenew.emplace_back(W, Slots);
      RenewableSlots += Slots;
    } else if (!hasAnswer(Advice, W->Index_)) {
      WorkersWithoutAnswer.emplace_back(W, Slots);
    }
  }
  if (MissingSlots <= 0 || (Spec.Gang_ && SlotsNow >= Spec.Count_))
    return {};
  std::vector<std::string> Ids;
  const auto AddWorkers =
      [&](const std::vector<std::pair<const Worker *, int>> &Workers,
          double ExpectedShare) {
        for (const auto &[W, Slots] : Workers) {
          if (MissingSlots <= 0 || Ids.size() >= MaxWorkersPerSlowQuestion)
            return;
          Ids.push_back(W->Info_.Id_);
          MissingSlots -= ExpectedShare * Slots;
        }
      };
  const bool RenewalsSuffice = RenewableSlots >= MissingSlots;
  if (!Spec.Gang_ || RenewalsSuffice || WorkersWithoutAnswer.empty())
    AddWorkers(WorkersToRenew, 1);
  else
    MissingSlots -= RenewableSlots;
  if (Ids.empty())
    AddWorkers(WorkersWithoutAnswer, Share);
  return Ids;
}

// Estimated run time that an attempt still needs. Uses the progress that the
// worker reports or, without any, the estimate in the job specification.
Millis Dispatcher::remainingRunTime(const Run &Attempt, Millis Estimate,
                                    Millis Now) {
  constexpr std::int64_t FullPercent = 100;
  constexpr std::int64_t MinPercent = 5;
  if (Attempt.StartedAt_ == Millis{})
    return Estimate;
  if (Attempt.Percent_ < MinPercent)
    return Estimate - (Now - Attempt.StartedAt_);
  const Millis ProgressTime = Attempt.ProgressAt_ - Attempt.StartedAt_;
  return ProgressTime * (FullPercent - Attempt.Percent_) / Attempt.Percent_ -
         (Now - Attempt.ProgressAt_);
}

// Steps depend on earlier ones only, so one walk in their order is enough.
// Recursion over the dependencies would follow each path through the graph, of
// which there may be exponentially many.
const std::vector<Millis> &Dispatcher::timesUntilReady(const JobRun &Job,
                                                       Millis Now) {
  const auto [Entry, IsNew] = TimesUntilReady_.try_emplace(&Job);
  std::vector<Millis> &Times = Entry->second;
  if (!IsNew)
    return Times;
  std::vector<Millis> TimesUntilEnd;
  for (std::size_t Step = 0; Step < Job.Steps_.size(); ++Step) {
    const StepSpec &Spec = Job.Spec_.Steps_[Step];
    Millis UntilReady{};
    for (const int Dependency : Spec.Dependencies_)
      UntilReady = std::max(
          UntilReady, TimesUntilEnd[static_cast<std::size_t>(Dependency)]);
    DependencyChecks_ += Spec.Dependencies_.size();
    Times.push_back(UntilReady);
    // No task of a step that is not ready has a run.
    Millis UntilEnd =
        Job.Steps_[Step].Ready_ ? Millis{} : UntilReady + Spec.Estimate_;
    if (Job.Steps_[Step].Ready_)
      for (const TaskState &Task : Job.Steps_[Step].Tasks_)
        if (!Task.Done_)
          UntilEnd = std::max(
              UntilEnd, Task.Run_
                            ? remainingRunTime(*Task.Run_, Spec.Estimate_, Now)
                            : Spec.Estimate_);
    TimesUntilEnd.push_back(UntilEnd);
  }
  return Times;
}

std::vector<std::string> Dispatcher::workersToAsk(const RankedStep &Ranked,
                                                  Millis Now) {
  const StepRun &State =
      Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const StepAdvice &Advice = State.Advice_;
  // Both are sorted by descending free processors, since a request may name
  // only the first few.
  std::vector<const Worker *> WorkersWithoutAnswer;
  std::vector<const Worker *> WorkersToRenew;
  const auto HasCapacity = [&](const Worker &W) {
    if (Spec.MaxPerWorker_ > 0 &&
        countTasksOfStep(W, *Ranked.Job_, Ranked.Step_) >= Spec.MaxPerWorker_)
      return false;
    return fitsInto(reservedSize(Spec),
                    freeCapacity(W) - reservedFor(Ranked, W, Now));
  };
  // No request is needed while an allowed worker with a valid ticket has
  // capacity.
  for (const AllowedWorker &AllowedEntry : Advice.AllowedWorkers_) {
    const Worker *W =
        WorkersByIndex_[static_cast<std::size_t>(AllowedEntry.WorkerIndex_)];
    if (W && AllowedEntry.Ticket_.ValidUntil_ > Now + AdviceLeadTime &&
        HasCapacity(*W) && acceptsWork(*W, Now))
      return {};
  }
  for (const Worker *W : WorkersByFreeCapacity_) {
    ++WorkerChecks_;
    if (W->Info_.Service_ != Ranked.Policy_->Service_ ||
        !mayRunOn(Spec, W->Info_))
      continue;
    const Ticket *WorkerTicket = findTicket(Advice, W->Index_);
    if (WorkerTicket && WorkerTicket->ValidUntil_ <= Now + AdviceLeadTime)
      WorkersToRenew.push_back(W);
    else if (!WorkerTicket && !hasAnswer(Advice, W->Index_))
      WorkersWithoutAnswer.push_back(W);
  }
  const auto MoveWorkersWithCapacityToFront =
      [&](std::vector<const Worker *> &Workers) {
        std::stable_partition(Workers.begin(), Workers.end(),
                              [&](const Worker *W) { return HasCapacity(*W); });
      };
  // A short request has to name workers of the kinds that placement prefers.
  const std::vector<double> KindCosts = costsByKind(Ranked, Now);
  if (!KindCosts.empty())
    std::stable_sort(WorkersWithoutAnswer.begin(), WorkersWithoutAnswer.end(),
                     [&](const Worker *A, const Worker *B) {
                       return KindCosts[static_cast<std::size_t>(A->Kind_)] <
                              KindCosts[static_cast<std::size_t>(B->Kind_)];
                     });
  MoveWorkersWithCapacityToFront(WorkersToRenew);
  MoveWorkersWithCapacityToFront(WorkersWithoutAnswer);
  const bool FastQueue = Ranked.Policy_->AdviceBase_ < FastAdviceLimit;
  std::size_t WantedWorkerCount = WorkersWithoutAnswer.size();
  if (FastQueue) {
    const auto WaitingTasks = static_cast<double>(State.Tasks_.size()) -
                              State.DoneCount_ - State.RunCount_;
    WantedWorkerCount =
        std::max(MinWorkersPerQuestion,
                 static_cast<std::size_t>(WaitingTasks / ExpectedAllowedRatio) +
                     SpareWorkers);
  }
  const std::size_t MaxCount =
      FastQueue ? MaxWorkersPerQuestion : MaxWorkersPerSlowQuestion;
  std::vector<std::string> Ids;
  for (const Worker *W : WorkersToRenew)
    if (Ids.size() < MaxCount)
      Ids.push_back(W->Info_.Id_);
  // A request for a slow queue either renews tickets or asks about new workers.
  // It renews the tickets of full workers only if no new worker has capacity.
  const bool NewWorkerHasCapacity = !WorkersWithoutAnswer.empty() &&
                                    HasCapacity(*WorkersWithoutAnswer.front());
  if (!Ids.empty() && !FastQueue &&
      (HasCapacity(*WorkersToRenew.front()) || !NewWorkerHasCapacity))
    return Ids;
  if (!FastQueue)
    Ids.clear();
  for (const Worker *W : WorkersWithoutAnswer)
    if (Ids.size() < std::min(WantedWorkerCount, MaxCount))
      Ids.push_back(W->Info_.Id_);
  return Ids;
}

// A worker stays allowed, but its tickets are valid for one process only.
void Dispatcher::dropTickets(const Worker &W) {
  for (const auto &[Id, Job] : ActiveJobs_)
    for (StepRun &Step : Job->Steps_)
      if (findTicket(Step.Advice_, W.Index_))
        allowWorker(Step.Advice_, W.Index_, Ticket{});
}

void Dispatcher::requestAdvice(const RankedStep &Ranked, Millis Now) {
  if (!Ranked.Policy_->NeedsAdvice_)
    return;
  StepRun &State = Ranked.Job_->Steps_[static_cast<std::size_t>(Ranked.Step_)];
  StepAdvice &Advice = State.Advice_;
  const int WaitingTasks = static_cast<int>(State.Tasks_.size()) -
                           State.DoneCount_ - State.RunCount_;
  if (Advice.PendingRequests_ > 0 || Advice.NextRequestAt_ > Now ||
      WaitingTasks <= 0)
    return;
  const double PerWorker = Ranked.Policy_->AdvicePerWorker_;
  const auto WorkerCount = Advice.AnsweredWorkers_.empty()
                               ? Workers_.size()
                               : Advice.AllowedWorkers_.size();
  const Millis FullCallTime =
      Ranked.Policy_->AdviceBase_ +
      Millis{std::llround(
          PerWorker *
          static_cast<double>(std::min(WorkerCount, MaxWorkersPerQuestion)))};
  if (!State.Ready_) {
    const Millis UntilReady = timesUntilReady(
        *Ranked.Job_, Now)[static_cast<std::size_t>(Ranked.Step_)];
    const Millis Early = UntilReady - FullCallTime - AdviceLeadTime;
    if (Early > Millis{}) {
      // The estimate shrinks faster than time passes if progress speeds up.
      Advice.NextRequestAt_ =
          Now + std::clamp(Early / 2, AdviceRecheckInterval, MaxRecheckDelay);
      return;
    }
  }
  const bool AwaitsRecovery = std::all_of(
      State.Tasks_.begin(), State.Tasks_.end(), [&](const TaskState &Task) {
        return Task.Done_ || Task.Run_ || mayRunUnseen(*Ranked.Job_, Task);
      });
  if (AwaitsRecovery && RecoveryEnd_ - Now > FullCallTime + RecoveryLeadTime)
    return;
  // Tickets of a step that cannot start before they expire are wasted.
  if (!isUrgent(Ranked) && !expectsCapacity(Ranked))
    return;
  const bool Gang =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)].Gang_;
  while (Advice.PendingRequests_ < maxParallelRequests()) {
    if (AdviceQueue_ &&
        !AdviceQueue_->accepts(Ranked.Policy_->AdviceBase_, isUrgent(Ranked))) {
      Advice.NextRequestAt_ = Now + AdviceRetryDelay;
      return;
    }
    std::vector<std::string> WorkerIds =
        Gang || Advice.PendingRequests_ > 0
            ? workersForUncoveredTasks(Ranked, Now)
            : workersToAsk(Ranked, Now);
    if (WorkerIds.empty()) {
      Advice.NextRequestAt_ = Now + AdviceRecheckInterval;
      return;
    }
    // Workers with capacity are named first. A request that is not full, or
    // that had to name full workers, shows that there are no others to ask.
    const bool MoreWorkersWithCapacity =
        WorkerIds.size() >= MaxWorkersPerSlowQuestion &&
        freeSlots(*findWorker(WorkerIds.back()), *Ranked.Job_, Ranked.Step_) >
            0;
    ++Advice.PendingRequests_;
    for (const std::string &Id : WorkerIds)
      Advice.PendingWorkers_.insert(findWorker(Id)->Index_);
    AdviceQuestion Question;
    Question.Job_ = Ranked.Job_->Spec_.Id_;
    Question.Step_ = Ranked.Step_;
    Question.Expected_ =
        Ranked.Policy_->AdviceBase_ +
        Millis{std::llround(PerWorker * static_cast<double>(WorkerIds.size()))};
    Question.Urgent_ = isUrgent(Ranked);
    if (AdviceQueue_)
      AdviceQueue_->add(Question.Expected_, Question.Urgent_);
    Question.Workers_ = std::move(WorkerIds);
    PendingActions_.Questions_.push_back(std::move(Question));
    if (!MoreWorkersWithCapacity)
      return;
  }
}

} // namespace damaskglade::dispatch
