#include "dispatch/dispatcher.h"

namespace damaskglade::dispatch {

std::string Dispatcher::verify() const {
  std::map<std::string, Size> Used;
  for (const auto &[Id, Job] : Jobs_) {
    for (std::size_t Step = 0; Step < Job->Steps_.size(); ++Step) {
      int Runs = 0;
      int Done = 0;
      for (const TaskState &Task : Job->Steps_[Step].Tasks_) {
        Done += Task.Done_ ? 1 : 0;
        if (!Task.Run_)
          continue;
        ++Runs;
        Size &Sum = Used[Task.Run_->Worker_];
        Sum = Sum + reservedSize(Job->Spec_.Steps_[Step]);
      }
      if (Runs != Job->Steps_[Step].RunCount_ ||
          Done != Job->Steps_[Step].DoneCount_)
        return "step " + stepName(Id, static_cast<int>(Step)) +
               " has a wrong count of runs or completed tasks";
    }
  }
  for (const auto &[Id, W] : Workers_) {
    Size Sum = Used[Id];
    for (const UnexpectedRun &Unexpected : W.UnexpectedRuns_)
      Sum = Sum + Unexpected.Reserved_;
    if (!(Sum == W.Used_))
      return "worker " + Id + " has wrong used capacity";
  }
  return "";
}

} // namespace damaskglade::dispatch
