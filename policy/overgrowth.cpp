#include "policy/overgrowth.h"

#include <algorithm>

namespace damaskglade::policy {

namespace {

struct MeasuredTask {
  const Reservation *Held_ = nullptr;
  Resources Used_;

  Resources counted() const { return largerOf(Held_->Size_, Used_); }
  bool isOver() const { return !fits(Used_, Held_->Size_); }
};

std::vector<MeasuredTask> measure(const Ledger &Accounts,
                                  const WorkerAccount &Worker,
                                  const std::vector<TaskUsage> &Report) {
  std::vector<MeasuredTask> Tasks;
  for (const std::string &Attempt : Worker.Attempts_) {
    const Reservation *Held = Accounts.find(Attempt);
    const auto Named =
        std::find_if(Report.begin(), Report.end(), [&](const TaskUsage &Usage) {
          return Usage.Attempt_ == Attempt;
        });
    Tasks.push_back(
        MeasuredTask{Held, Named == Report.end() ? Held->Size_ : Named->Used_});
  }
  std::stable_sort(Tasks.begin(), Tasks.end(),
                   [](const MeasuredTask &A, const MeasuredTask &B) {
                     return A.Held_->Start_ > B.Held_->Start_;
                   });
  return Tasks;
}

// True if some resource that the task takes too much of is overcommitted.
bool helps(const MeasuredTask &Task, const Resources &Counted,
           const Resources &Capacity) {
  const Resources Over = Task.counted() - Task.Held_->Size_;
  for (const auto Amount : {&Resources::MilliCpus_, &Resources::MemoryMib_,
                            &Resources::Accelerators_, &Resources::Slots_,
                            &Resources::Connections_})
    if (Over.*Amount > 0 && Counted.*Amount > Capacity.*Amount)
      return true;
  return false;
}

} // namespace

std::vector<OvergrowthStep>
OvergrowthTracker::step(const Ledger &Accounts, const std::string &Worker,
                        const std::vector<TaskUsage> &Report, Millis Now) {
  std::vector<OvergrowthStep> Steps;
  const WorkerAccount *Account = Accounts.worker(Worker);
  if (Account == nullptr)
    return Steps;
  const std::vector<MeasuredTask> Tasks = measure(Accounts, *Account, Report);
  Resources Counted;
  for (const MeasuredTask &Task : Tasks)
    Counted = Counted + Task.counted();
  const Resources &Capacity = Account->Info_.Capacity_;
  for (const MeasuredTask &Task : Tasks) {
    const std::string &Attempt = Task.Held_->Attempt_;
    if (Task.isOver() && helps(Task, Counted, Capacity)) {
      if (const auto Action = escalate(Attempt, Account->Info_, Now))
        Steps.push_back(OvergrowthStep{Attempt, *Action});
      // The call is expected to bring the task back to its size; acting on
      // the next task as well would then be too much.
      Counted = Counted - (Task.counted() - Task.Held_->Size_);
      continue;
    }
    const auto Treated = Treated_.find(Attempt);
    if (Treated == Treated_.end() || Treated->second.Resumed_ ||
        Treated->second.Last_ != TaskControl::Throttle || Task.isOver() ||
        Now - Treated->second.Since_ < Grace_)
      continue;
    Steps.push_back(OvergrowthStep{Attempt, TaskControl::Resume});
    // The treatment is remembered: throttling and resuming in turn would cost
    // the other tasks a part of their share for ever.
    Treated->second.Resumed_ = true;
  }
  return Steps;
}

std::optional<TaskControl>
OvergrowthTracker::escalate(const std::string &Attempt,
                            const WorkerInfo &Worker, Millis Now) {
  const auto Found = Treated_.find(Attempt);
  if (Found != Treated_.end() && Now - Found->second.Since_ < Grace_)
    return std::nullopt;
  TaskControl Next = TaskControl::Stop;
  if (Found == Treated_.end() && Worker.CanThrottle_)
    Next = TaskControl::Throttle;
  else if ((Found == Treated_.end() ||
            Found->second.Last_ == TaskControl::Throttle) &&
           Worker.CanCheckpoint_)
    Next = TaskControl::Checkpoint;
  Treated_[Attempt] = Treatment{Next, Now, false};
  return Next;
}

} // namespace damaskglade::policy
