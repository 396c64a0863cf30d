#ifndef DAMASKGLADE_TESTS_DISPATCH_FIXTURE_H
#define DAMASKGLADE_TESTS_DISPATCH_FIXTURE_H

#include "dispatch/dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace damaskglade::dispatch::testing {

inline StepSpec makeStep(int Count, std::int64_t MilliCpus,
                         std::vector<int> Dependencies = {}) {
  StepSpec Step;
  Step.Count_ = Count;
  Step.Size_ = Size{MilliCpus, 100, 0};
  Step.Estimate_ = Millis{1000};
  Step.Dependencies_ = std::move(Dependencies);
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

/// A dispatcher with simulated workers that execute every order immediately.
struct DispatcherFixture {
  /// Of the clocks of all workers.
  static constexpr Millis ClockOffset{50000};

  explicit DispatcherFixture(std::int64_t Epoch = 1,
                             Millis Start = Millis{1000})
      : Now_(Start), Dispatcher_(makeLimits(), Epoch, Start) {
    QueuePolicy UrgentPolicy;
    UrgentPolicy.Service_ = "desk";
    UrgentPolicy.MaxAttempts_ = 2;
    UrgentPolicy.SlackFactor_ = 1.5;
    UrgentPolicy.Target_ = Millis{250};
    QueuePolicy LongRunningPolicy = UrgentPolicy;
    LongRunningPolicy.Priority_ = 1;
    QueuePolicy BatchPolicy = UrgentPolicy;
    BatchPolicy.Priority_ = 2;
    Dispatcher_.setQueues({{"urgent", UrgentPolicy},
                           {"lasting", LongRunningPolicy},
                           {"batch", BatchPolicy}});
  }

  static DispatchLimits makeLimits() {
    DispatchLimits Limits;
    Limits.UrgentReserve_ = 0;
    return Limits;
  }

  void addWorkers(const std::vector<WorkerInfo> &Infos) {
    Dispatcher_.setWorkers(Infos, Now_);
    for (const WorkerInfo &Info : Dispatcher_.takeUnrecordedWorkers())
      Dispatcher_.markWorkerRecorded(Info.Id_, Info.Address_);
    for (const WorkerInfo &Info : Infos)
      pollWorker(Info.Id_);
  }

  void submit(const JobSpec &Spec) {
    BOOST_TEST_REQUIRE(Dispatcher_.addJob(Spec, Now_));
    Dispatcher_.confirmJob(Spec.Id_);
  }

  /// Passes a poll reply of the worker to the dispatcher; it lists the worker's
  /// running tasks and the given ended tasks.
  void pollWorker(const std::string &Id, std::vector<EndedTask> Ended = {},
                  std::int64_t ProcessStart = 1) {
    PollReply Reply;
    Reply.Clock_ = Now_ + ClockOffset;
    Reply.ProcessStart_ = ProcessStart;
    for (const auto &[Task, Entry] : RunningTasks_[Id])
      Reply.Running_.push_back(Entry);
    for (EndedTask &End : Ended) {
      End.SequenceNumber_ = ++LastEndNumbers_[Id];
      Reply.Ended_.push_back(End);
    }
    Now_ = Now_ + Millis{1};
    Dispatcher_.handlePollReply(Id, Reply, Now_ - Millis{1}, Now_);
  }

  /// Passes the poll reply of another worker at the worker's address.
  void rejectPoll(const std::string &Id) {
    PollReply Reply;
    Reply.Outcome_ = OrderOutcome::WrongWorker;
    Now_ = Now_ + Millis{2};
    Dispatcher_.handlePollReply(Id, Reply, Now_ - Millis{1}, Now_);
  }

  /// Runs one planning pass and executes its start and stop orders on the
  /// workers.
  Actions decideAndExecute() {
    Now_ = Now_ + Millis{1};
    Actions NewActions = Dispatcher_.decide(Now_);
    for (const StartAction &Start : NewActions.Starts_) {
      RunningTasks_[Start.Target_.Worker_][Start.Order_.Task_] =
          RunningEntry{Start.Order_.Task_, Start.Order_.Attempt_, "", 0, 0};
      Dispatcher_.handleStartReply(
          Start, OrderReply{OrderOutcome::Done, Now_ + ClockOffset}, Now_);
    }
    for (const StopAction &Stop : NewActions.Stops_)
      Dispatcher_.handleStopReply(
          Stop, OrderReply{OrderOutcome::Done, Now_ + ClockOffset}, Now_);
    BOOST_TEST(Dispatcher_.verify() == "");
    return NewActions;
  }

  /// Stores the progress of all changed jobs.
  void storeProgress() {
    for (const std::string &Id : Dispatcher_.takeChangedJobs())
      Dispatcher_.markJobRecorded(Id, Dispatcher_.findJob(Id)->State_,
                                  Dispatcher_.countCrashes(Id));
  }

  /// Ends a running task and reports the end from the worker that runs it.
  void endTask(const std::string &Task, TaskEnd End,
               const std::string &Checkpoint = "") {
    for (auto &[Id, Tasks] : RunningTasks_) {
      const auto TaskEntry = Tasks.find(Task);
      if (TaskEntry == Tasks.end())
        continue;
      const EndedTask Ended{0, Task, TaskEntry->second.Attempt_, End,
                            Checkpoint};
      Tasks.erase(TaskEntry);
      pollWorker(Id, {Ended});
      return;
    }
    BOOST_FAIL("no worker runs " + Task);
  }

  /// Id of the worker that runs the task, or empty if none does.
  std::string workerOf(const std::string &Task) const {
    for (const auto &[Id, Tasks] : RunningTasks_)
      if (Tasks.count(Task) > 0)
        return Id;
    return "";
  }

  void advance(Millis Duration) { Now_ = Now_ + Duration; }

  Millis Now_;
  Dispatcher Dispatcher_;
  std::map<std::string, std::map<std::string, RunningEntry>> RunningTasks_;
  std::map<std::string, std::int64_t> LastEndNumbers_;
};

/// Time-out of a start order. CallEffect says whether it may have been
/// executed.
inline Error startError(Effect CallEffect) {
  return Error{Reason::Timeout, CallEffect, "start", "w", "no answer", {}};
}

inline std::string taskNameOf(const JobSpec &Job, int Step, int Index) {
  return taskName(TaskRef{Job.Id_, Step, Index});
}

} // namespace damaskglade::dispatch::testing

#endif
