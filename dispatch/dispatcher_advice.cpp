#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

namespace {

// The service takes at most 100 workers in a question.
constexpr std::size_t MaxWorkersPerQuestion = 100;
// Each worker adds about 6 ms to a question about a step of a slow queue.
constexpr std::size_t MaxWorkersPerSlowQuestion = 60;
// Questions are asked so much before the answer is needed.
constexpr Millis AdviceLeadTime{150};
// A call shorter than this may be made for more workers than are needed.
constexpr Millis FastAdviceLimit{100};
// About this share of workers is allowed to run a step of a fast queue.
constexpr double ExpectedAllowedRatio = 0.6;
constexpr std::size_t SpareWorkers = 8;
// A step that has all the advice it needs is looked at again after this time.
constexpr Millis AdviceRecheckInterval{30};
constexpr std::size_t MinWorkersPerQuestion = 16;

} // namespace

// Time until all dependencies of a step have ended, by the percentages that
// workers report and by estimates.
Millis Dispatcher::timeUntilReady(const JobRun &Job, int Step,
                                  Millis Now) const {
  constexpr std::int64_t Whole = 100;
  constexpr std::int64_t LeastPercent = 5;
  Millis Longest{};
  for (const int After :
       Job.Spec_.Steps_[static_cast<std::size_t>(Step)].After_) {
    const StepRun &Before = Job.Steps_[static_cast<std::size_t>(After)];
    const StepSpec &Spec = Job.Spec_.Steps_[static_cast<std::size_t>(After)];
    for (const TaskState &Task : Before.Tasks_) {
      if (Task.Done_)
        continue;
      Millis Left = Spec.Estimate_;
      if (!Before.Ready_)
        Left = Left + timeUntilReady(Job, After, Now);
      if (Task.Run_ && Task.Run_->StartedAt_ > Millis{}) {
        const Run &Attempt = *Task.Run_;
        const Millis Elapsed = Now - Attempt.StartedAt_;
        if (Attempt.Percent_ >= LeastPercent) {
          const Millis Seen = Attempt.ProgressAt_ - Attempt.StartedAt_;
          Left = Seen * (Whole - Attempt.Percent_) / Attempt.Percent_ -
                 (Now - Attempt.ProgressAt_);
        } else {
          Left = Left - Elapsed;
        }
      }
      Longest = std::max(Longest, std::max(Left, Millis{}));
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
  // Workers come with the most room first, so that a question for some of them
  // is of use.
  std::vector<const Worker *> Unasked;
  std::vector<const Worker *> Renew;
  const auto HasRoom = [&](const Worker &W) {
    if (Spec.MaxPerWorker_ > 0 &&
        countTasksOfStep(W, *Ranked.Job_, Ranked.Step_) >= Spec.MaxPerWorker_)
      return false;
    return fits(reservedSize(Spec), freeRoom(W));
  };
  for (const AllowedWorker &Each : Advice.Allowed_) {
    const Worker *W = WorkersBySlot_[static_cast<std::size_t>(Each.Slot_)];
    if (W && Each.Ticket_.ValidUntil_ > Now + AdviceLeadTime && HasRoom(*W) &&
        acceptsWork(*W, Now))
      return {};
  }
  for (const Worker *W : ByFreeCapacity_) {
    ++Visits_;
    if (W->Info_.Service_ != Ranked.Policy_->Service_ ||
        !mayRunOn(Spec, W->Info_))
      continue;
    const Ticket *Known = findTicket(Advice, W->Slot_);
    if (Known && Known->ValidUntil_ <= Now + AdviceLeadTime)
      Renew.push_back(W);
    else if (!Known && !wasAsked(Advice, W->Slot_))
      Unasked.push_back(W);
  }
  const auto RoomFirst = [&](std::vector<const Worker *> &Which) {
    std::stable_partition(Which.begin(), Which.end(),
                          [&](const Worker *Each) { return HasRoom(*Each); });
  };
  RoomFirst(Renew);
  RoomFirst(Unasked);
  const bool Fast = Ranked.Policy_->AdviceBase_ < FastAdviceLimit;
  std::size_t Wanted = Unasked.size();
  if (Fast) {
    const auto Waiting = static_cast<double>(State.Tasks_.size()) -
                         State.DoneCount_ - State.RunCount_;
    Wanted = std::max(MinWorkersPerQuestion,
                      static_cast<std::size_t>(Waiting / ExpectedAllowedRatio) +
                          SpareWorkers);
  }
  const std::size_t Most =
      Fast ? MaxWorkersPerQuestion : MaxWorkersPerSlowQuestion;
  std::vector<std::string> Out;
  for (const Worker *Each : Renew)
    if (Out.size() < Most)
      Out.push_back(Each->Info_.Id_);
  // Full workers are worth a renewal only while there are no others to ask.
  const bool OthersFit = !Unasked.empty() && HasRoom(*Unasked.front());
  if (!Out.empty() && !Fast && (HasRoom(*Renew.front()) || !OthersFit))
    return Out;
  if (!Fast)
    Out.clear();
  for (const Worker *Each : Unasked)
    if (Out.size() < std::min(Wanted, Most))
      Out.push_back(Each->Info_.Id_);
  return Out;
}

void Dispatcher::requestAdvice(const RankedStep &Ranked, bool Soon,
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
  const auto Known =
      Advice.Asked_.empty() ? Workers_.size() : Advice.Allowed_.size();
  const Millis Full =
      Ranked.Policy_->AdviceBase_ +
      Millis{std::llround(PerWorker * static_cast<double>(std::min(
                                          Known, MaxWorkersPerQuestion)))};
  if (!State.Ready_ &&
      timeUntilReady(*Ranked.Job_, Ranked.Step_, Now) > Full + AdviceLeadTime)
    return;
  if (!Soon && Ranked.Policy_->Priority_ != 0 &&
      !Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)]
           .LongRunning_)
    return;
  std::vector<std::string> Ask = workersToAsk(Ranked, Now);
  if (Ask.empty()) {
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
      Millis{std::llround(PerWorker * static_cast<double>(Ask.size()))};
  Question.Priority_ = Ranked.Policy_->Priority_;
  Question.Workers_ = std::move(Ask);
  PendingActions_.Questions_.push_back(std::move(Question));
}

} // namespace damaskglade::dispatch
