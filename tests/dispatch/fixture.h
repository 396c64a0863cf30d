#ifndef DAMASKGLADE_TESTS_DISPATCH_FIXTURE_H
#define DAMASKGLADE_TESTS_DISPATCH_FIXTURE_H

#include "dispatch/dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace damaskglade::dispatch::testing {

inline StepSpec makeStep(int Count, std::int64_t MilliCpus,
                         std::vector<int> After = {}) {
  StepSpec Step;
  Step.Count_ = Count;
  Step.Size_ = Size{MilliCpus, 100, 0};
  Step.Estimate_ = Millis{1000};
  Step.After_ = std::move(After);
  return Step;
}

inline JobSpec makeJob(const std::string &Id, const std::string &Queue,
                       std::vector<StepSpec> Steps) {
  JobSpec Spec;
  Spec.Id_ = std::string(16 - Id.size(), '0') + Id;
  Spec.Queue_ = Queue;
  Spec.Payload_ = "work";
  Spec.Steps_ = std::move(Steps);
  return Spec;
}

inline WorkerInfo makeWorker(const std::string &Id,
                             std::int64_t MilliCpus = 4000) {
  WorkerInfo Info;
  Info.Id_ = Id;
  Info.Address_ = Id + ":1";
  Info.Service_ = "desk";
  Info.Labels_ = {"a", "rack-" + Id};
  Info.Capacity_ = Size{MilliCpus, 100000, 0};
  return Info;
}

/// A dispatcher with workers that do what they are told at once.
struct Cell {
  explicit Cell(std::int64_t Epoch = 1, Millis Start = Millis{1000})
      : Now_(Start), Core_(makeLimits(), Epoch, Start) {
    QueuePolicy Urgent;
    Urgent.Service_ = "desk";
    Urgent.MaxAttempts_ = 2;
    Urgent.SlackFactor_ = 1.5;
    Urgent.Target_ = Millis{250};
    QueuePolicy Lasting = Urgent;
    Lasting.Priority_ = 1;
    QueuePolicy Batch = Urgent;
    Batch.Priority_ = 2;
    Core_.setQueues(
        {{"urgent", Urgent}, {"lasting", Lasting}, {"batch", Batch}});
  }

  static DispatchLimits makeLimits() {
    DispatchLimits Limits;
    Limits.UrgentReserve_ = 0;
    return Limits;
  }

  void addWorkers(const std::vector<WorkerInfo> &Infos) {
    Core_.setWorkers(Infos, Now_);
    for (const WorkerInfo &Each : Core_.takeUnrecordedWorkers())
      Core_.noteWorkerRecorded(Each.Id_);
    for (const WorkerInfo &Each : Infos)
      look(Each.Id_);
  }

  void submit(const JobSpec &Spec) {
    BOOST_TEST_REQUIRE(Core_.addJob(Spec, Now_));
    Core_.confirmJob(Spec.Id_);
  }

  /// Reports what the worker runs and which ends it lists.
  void look(const std::string &Id, std::vector<EndedTask> Ended = {},
            std::int64_t Born = 1) {
    LookReply Reply;
    Reply.Clock_ = Now_ + Millis{50000};
    Reply.Born_ = Born;
    for (const auto &[Task, Entry] : Running_[Id])
      Reply.Running_.push_back(Entry);
    for (EndedTask &Each : Ended) {
      Each.Number_ = ++EndNumbers_[Id];
      Reply.Ended_.push_back(Each);
    }
    Now_ = Now_ + Millis{1};
    Core_.noteLook(Id, Reply, Now_ - Millis{1}, Now_);
  }

  /// Decides, and has the workers carry out all orders.
  Actions step() {
    Now_ = Now_ + Millis{1};
    Actions Todo = Core_.decide(Now_);
    for (const StartAction &Each : Todo.Starts_) {
      Running_[Each.Target_.Worker_][Each.Order_.Task_] =
          RunningEntry{Each.Order_.Task_, Each.Order_.Attempt_, "", 0, 0};
      Core_.noteStart(Each, OrderReply{OrderOutcome::Done, Now_}, Now_);
    }
    for (const StopAction &Each : Todo.Stops_)
      Core_.noteStop(Each, OrderReply{OrderOutcome::Done, Now_}, Now_);
    BOOST_TEST(Core_.verify() == "");
    return Todo;
  }

  /// Ends a running task on whichever worker has it.
  void end(const std::string &Task, TaskEnd How,
           const std::string &Checkpoint = "") {
    for (auto &[Id, Tasks] : Running_) {
      const auto Found = Tasks.find(Task);
      if (Found == Tasks.end())
        continue;
      const EndedTask Ended{0, Task, Found->second.Attempt_, How, Checkpoint};
      Tasks.erase(Found);
      look(Id, {Ended});
      return;
    }
    BOOST_FAIL("no worker runs " + Task);
  }

  std::string workerOf(const std::string &Task) const {
    for (const auto &[Id, Tasks] : Running_)
      if (Tasks.count(Task) > 0)
        return Id;
    return "";
  }

  void pass(Millis Time) { Now_ = Now_ + Time; }

  Millis Now_;
  Dispatcher Core_;
  std::map<std::string, std::map<std::string, RunningEntry>> Running_;
  std::map<std::string, std::int64_t> EndNumbers_;
};

/// Failure of an order.
inline Error lost(Effect What) {
  return Error{Reason::Timeout, What, "start", "w", "no answer", {}};
}

inline std::string nameOf(const JobSpec &Job, int Step, int Index) {
  return taskName(TaskRef{Job.Id_, Step, Index});
}

} // namespace damaskglade::dispatch::testing

#endif
