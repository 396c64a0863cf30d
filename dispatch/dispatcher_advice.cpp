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
                                                  Millis Now) const {
  const StepRun &State = Key.Job_->Steps_[static_cast<std::size_t>(Key.Step_)];
  const StepSpec &Spec =
      Key.Job_->Spec_.Steps_[static_cast<std::size_t>(Key.Step_)];
  const StepAdvice &Advice = State.Advice_;
  struct Choice {
    const Worker *Where_;
    bool Fits_;
  };
  std::vector<Choice> Unasked;
  std::vector<Choice> Renew;
  bool ValidRoom = false;
  for (const auto &[Id, Where] : Workers_) {
    if (!acceptsWork(Where, Now) ||
        Where.Info_.Service_ != Key.Policy_->Service_ ||
        !mayRunOn(Spec, Where.Info_))
      continue;
    const auto Known = Advice.Allowed_.find(Id);
    if (Known != Advice.Allowed_.end()) {
      if (Known->second.ValidUntil_ > Now + AskAhead)
        ValidRoom = ValidRoom || fits(bookedSize(Spec), freeRoom(Where));
      else
        Renew.push_back({&Where, fits(bookedSize(Spec), freeRoom(Where))});
      continue;
    }
    if (Advice.Asked_.count(Id) == 0)
      Unasked.push_back({&Where, fits(bookedSize(Spec), freeRoom(Where))});
  }
  if (ValidRoom)
    return {};
  const bool Fast = Key.Policy_->AdviceBase_ < FastAdvice;
  // Most room first, so that a question for some of them is of use.
  const auto MoreRoom = [](const Choice &A, const Choice &B) {
    if (A.Fits_ != B.Fits_)
      return A.Fits_;
    return freeRoom(*A.Where_).MilliCpus_ > freeRoom(*B.Where_).MilliCpus_;
  };
  std::sort(Renew.begin(), Renew.end(), MoreRoom);
  std::sort(Unasked.begin(), Unasked.end(), MoreRoom);
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
  for (const Choice &Each : Renew)
    if (Out.size() < Most)
      Out.push_back(Each.Where_->Info_.Id_);
  // Full workers are worth a renewal only while there are no others to ask.
  const bool OthersFit = !Unasked.empty() && Unasked.front().Fits_;
  if (!Out.empty() && !Fast && (Renew.front().Fits_ || !OthersFit))
    return Out;
  if (!Fast)
    Out.clear();
  for (const Choice &Each : Unasked)
    if (Out.size() < std::min(Wanted, Most))
      Out.push_back(Each.Where_->Info_.Id_);
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
  if (Ask.empty())
    return;
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
