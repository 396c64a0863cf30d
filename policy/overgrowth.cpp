#include "policy/overgrowth.h"

#include <algorithm>

namespace damaskglade::policy {

namespace {

struct MeasuredTask {
  const Reservation *Reservation_ = nullptr;
  Resources Used_;

  Resources countedUsage() const {
    return largerOf(Reservation_->Size_, Used_);
  }
  bool exceedsReservation() const { return !fits(Used_, Reservation_->Size_); }
};

std::vector<MeasuredTask> measureTasks(const Ledger &Accounts,
                                       const WorkerAccount &Worker,
                                       const std::vector<TaskUsage> &Report) {
  std::vector<MeasuredTask> Tasks;
  for (const std::string &Attempt : Worker.Attempts_) {
    const Reservation *TaskReservation = Accounts.find(Attempt);
    const auto UsageIt =
        std::find_if(Report.begin(), Report.end(), [&](const TaskUsage &Usage) {
          return Usage.Attempt_ == Attempt;
        });
    Tasks.push_back(MeasuredTask{TaskReservation, UsageIt == Report.end()
                                                      ? TaskReservation->Size_
                                                      : UsageIt->Used_});
  }
  std::stable_sort(Tasks.begin(), Tasks.end(),
                   [](const MeasuredTask &A, const MeasuredTask &B) {
                     return A.Reservation_->Start_ > B.Reservation_->Start_;
                   });
  return Tasks;
}

// True if the task exceeds its reservation of a resource that is overcommitted.
bool contributesToOvercommit(const MeasuredTask &Task,
                             const Resources &TotalUsage,
                             const Resources &Capacity) {
  const Resources Overuse = Task.countedUsage() - Task.Reservation_->Size_;
  for (const auto Amount : {&Resources::MilliCpus_, &Resources::MemoryMib_,
                            &Resources::Accelerators_, &Resources::Slots_,
                            &Resources::Connections_})
    if (Overuse.*Amount > 0 && TotalUsage.*Amount > Capacity.*Amount)
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
  const std::vector<MeasuredTask> Tasks =
      measureTasks(Accounts, *Account, Report);
  Resources TotalUsage;
  for (const MeasuredTask &Task : Tasks)
    TotalUsage = TotalUsage + Task.countedUsage();
  const Resources &Capacity = Account->Info_.Capacity_;
  for (const MeasuredTask &Task : Tasks) {
    const std::string &Attempt = Task.Reservation_->Attempt_;
    if (Task.exceedsReservation() &&
        contributesToOvercommit(Task, TotalUsage, Capacity)) {
      if (const auto Action = escalate(Attempt, Account->Info_, Now))
        Steps.push_back(OvergrowthStep{Attempt, *Action});
      // The action is expected to bring the task back to its reserved size, so
      // the next task is judged as if it had.
      TotalUsage =
          TotalUsage - (Task.countedUsage() - Task.Reservation_->Size_);
      continue;
    }
    const auto EscalationIt = Escalations_.find(Attempt);
    if (EscalationIt == Escalations_.end() || EscalationIt->second.Resumed_ ||
        EscalationIt->second.LastAction_ != TaskControl::Throttle ||
        Task.exceedsReservation() ||
        Now - EscalationIt->second.LastActionTime_ < GracePeriod_)
      continue;
    Steps.push_back(OvergrowthStep{Attempt, TaskControl::Resume});
    // The entry is kept, so that further overuse leads to the next action.
    // Repeated throttles and resumes would keep taking resources from the other
    // tasks.
    EscalationIt->second.Resumed_ = true;
  }
  return Steps;
}

std::optional<TaskControl>
OvergrowthTracker::escalate(const std::string &Attempt,
                            const WorkerInfo &Worker, Millis Now) {
  const auto EscalationIt = Escalations_.find(Attempt);
  if (EscalationIt != Escalations_.end() &&
      Now - EscalationIt->second.LastActionTime_ < GracePeriod_)
    return std::nullopt;
  TaskControl NextAction = TaskControl::Stop;
  if (EscalationIt == Escalations_.end() && Worker.CanThrottle_)
    NextAction = TaskControl::Throttle;
  else if ((EscalationIt == Escalations_.end() ||
            EscalationIt->second.LastAction_ == TaskControl::Throttle) &&
           Worker.CanCheckpoint_)
    NextAction = TaskControl::Checkpoint;
  Escalations_[Attempt] = Escalation{NextAction, Now, false};
  return NextAction;
}

} // namespace damaskglade::policy
