#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

std::string Dispatcher::verify() const {
  std::map<std::string, Size> ReservedByWorker;
  for (const auto &[Id, Job] : Jobs_) {
    for (std::size_t Step = 0; Step < Job->Steps_.size(); ++Step) {
      int TasksWithRun = 0;
      int DoneTasks = 0;
      for (const TaskState &Task : Job->Steps_[Step].Tasks_) {
        DoneTasks += Task.Done_ ? 1 : 0;
        if (!Task.Run_)
          continue;
        ++TasksWithRun;
        Size &Sum = ReservedByWorker[Task.Run_->Worker_];
        Sum = Sum + reservedSize(Job->Spec_.Steps_[Step]);
      }
      if (TasksWithRun != Job->Steps_[Step].RunCount_ ||
          DoneTasks != Job->Steps_[Step].DoneCount_)
        return "step " + stepName(Id, static_cast<int>(Step)) +
               " has a wrong count of runs or completed tasks";
    }
  }
  const auto HasItsWorker = [](const Worker *W, const auto &Entry) {
    return W == &Entry.second;
  };
  if (!std::equal(WorkersById_.begin(), WorkersById_.end(), Workers_.begin(),
                  Workers_.end(), HasItsWorker))
    return "the workers by id differ from the workers";
  for (const auto &[Id, W] : Workers_) {
    Size Sum = ReservedByWorker[Id];
    for (const UnexpectedRun &UnexpectedEntry : W.UnexpectedRuns_)
      Sum = Sum + UnexpectedEntry.Reserved_;
    if (!(Sum == W.Used_))
      return "worker " + Id + " has wrong used capacity";
  }
  return verifyUsage();
}

} // namespace damaskglade::dispatch
