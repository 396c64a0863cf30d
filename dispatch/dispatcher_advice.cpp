#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::dispatch {

namespace {

// The service takes at most 100 workers in a question.
constexpr std::size_t MaxWorkersPerQuestion = 100;
// Each worker adds about 6 ms to a question about a step of a slow queue.
constexpr std::size_t MaxSlowWorkers = 60;
// Questions are asked so much before the answer is needed.
constexpr Millis AskAhead{150};
// A call shorter than this may be made for more workers than are needed.
constexpr Millis FastAdvice{100};
// About this share of workers is allowed to run a step of a fast queue.
constexpr double UsualShare = 0.6;
constexpr std::size_t SpareWorkers = 8;
// A step that has all the advice it needs is looked at again after this time.
constexpr Millis CheckAgain{30};
constexpr std::size_t FewestWorkers = 16;

} // namespace

// Time until all dependencies of a step have ended, by the percentages that
// workers report and by estimates.
Millis Dispatcher::untilReady(const JobRun &Job, int Step, Millis Now) const {
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
        Left = Left + untilReady(Job, After, Now);
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

std::vector<std::string> Dispatcher::workersToAsk(const StepKey &Key,
                                                  Millis Now) {
  const StepRun &State = Key.Job_->Steps_[static_cast<std::size_t>(Key.Step_)];
  const StepSpec &Spec =
      Key.Job_->Spec_.Steps_[static_cast<std::size_t>(Key.Step_)];
  const StepAdvice &Advice = State.Advice_;
  // Workers come with the most room first, so that a question for some of them
  // is of use.
  std::vector<const Worker *> Unasked;
  std::vector<const Worker *> Renew;
  const auto HasRoom = [&](const Worker &Where) {
    if (Spec.MaxPerWorker_ > 0 &&
        tasksOfStep(Where, *Key.Job_, Key.Step_) >= Spec.MaxPerWorker_)
      return false;
    return fits(bookedSize(Spec), freeRoom(Where));
  };
  for (const AllowedWorker &Each : Advice.Allowed_) {
    const Worker *Where = BySlot_[static_cast<std::size_t>(Each.Slot_)];
    if (Where && Each.Ticket_.ValidUntil_ > Now + AskAhead && HasRoom(*Where) &&
        acceptsWork(*Where, Now))
      return {};
  }
  for (const Worker *Where : ByRoom_) {
    ++Visits_;
    if (Where->Info_.Service_ != Key.Policy_->Service_ ||
        !mayRunOn(Spec, Where->Info_))
      continue;
    const Ticket *Known = findTicket(Advice, Where->Slot_);
    if (Known && Known->ValidUntil_ <= Now + AskAhead)
      Renew.push_back(Where);
    else if (!Known && !wasAsked(Advice, Where->Slot_))
      Unasked.push_back(Where);
  }
  const auto RoomFirst = [&](std::vector<const Worker *> &Which) {
    std::stable_partition(Which.begin(), Which.end(),
                          [&](const Worker *Each) { return HasRoom(*Each); });
  };
  RoomFirst(Renew);
  RoomFirst(Unasked);
  const bool Fast = Key.Policy_->AdviceBase_ < FastAdvice;
  std::size_t Wanted = Unasked.size();
  if (Fast) {
    const auto Waiting = static_cast<double>(State.Tasks_.size()) -
                         State.DoneCount_ - State.RunCount_;
    Wanted =
        std::max(FewestWorkers,
                 static_cast<std::size_t>(Waiting / UsualShare) + SpareWorkers);
  }
  const std::size_t Most = Fast ? MaxWorkersPerQuestion : MaxSlowWorkers;
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

void Dispatcher::adviseStep(const StepKey &Key, bool Soon, Millis Now) {
  if (!Key.Policy_->NeedsAdvice_)
    return;
  StepRun &State = Key.Job_->Steps_[static_cast<std::size_t>(Key.Step_)];
  StepAdvice &Advice = State.Advice_;
  const int Waiting = static_cast<int>(State.Tasks_.size()) - State.DoneCount_ -
                      State.RunCount_;
  if (Advice.Pending_ || Advice.RetryAt_ > Now || Waiting <= 0)
    return;
  const double PerWorker = Key.Policy_->AdvicePerWorker_;
  const auto Known =
      Advice.Asked_.empty() ? Workers_.size() : Advice.Allowed_.size();
  const Millis Full =
      Key.Policy_->AdviceBase_ +
      Millis{std::llround(PerWorker * static_cast<double>(std::min(
                                          Known, MaxWorkersPerQuestion)))};
  if (!State.Ready_ && untilReady(*Key.Job_, Key.Step_, Now) > Full + AskAhead)
    return;
  if (!Soon && Key.Policy_->Priority_ != 0 &&
      !Key.Job_->Spec_.Steps_[static_cast<std::size_t>(Key.Step_)].LongRunning_)
    return;
  std::vector<std::string> Ask = workersToAsk(Key, Now);
  if (Ask.empty()) {
    Advice.RetryAt_ = Now + CheckAgain;
    return;
  }
  Advice.Pending_ = true;
  Advice.AskedAt_ = Now;
  AdviceQuestion Question;
  Question.Job_ = Key.Job_->Spec_.Id_;
  Question.Step_ = Key.Step_;
  Question.Expected_ =
      Key.Policy_->AdviceBase_ +
      Millis{std::llround(PerWorker * static_cast<double>(Ask.size()))};
  Question.Priority_ = Key.Policy_->Priority_;
  Question.Workers_ = std::move(Ask);
  Pending_.Questions_.push_back(std::move(Question));
}

} // namespace damaskglade::dispatch
