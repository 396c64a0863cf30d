#ifndef DAMASKGLADE_DISPATCH_DISPATCHER_H
#define DAMASKGLADE_DISPATCH_DISPATCHER_H

#include "dispatch/fleet.h"
#include "dispatch/job_run.h"
#include "dispatch/placement.h"
#include "dispatch/ranking.h"
#include "ports/advisor.h"
#include "ports/task_worker.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::dispatch {

/// Limits that come from the deployment.
struct DispatchLimits {
  Millis Lease_{8000};       ///< Length of the leases given to workers.
  Millis LeaderGrace_{2000}; ///< Time an unconfirmed leader may give leases.
  Millis GangWait_{3000};    ///< Workers end gang members that wait longer.
  /// Share of the fleet's processors that batch work leaves free.
  double UrgentReserve_ = 0.06;

  friend bool operator==(const DispatchLimits &,
                         const DispatchLimits &) = default;
};

struct StartAction {
  WorkerTarget Target_;
  TaskRef Task_;
  StartOrder Order_;
  bool Gang_ = false;

  friend bool operator==(const StartAction &, const StartAction &) = default;
};

struct StopAction {
  WorkerTarget Target_;
  std::string Task_;
  std::int64_t Attempt_ = 0;
  std::string Cause_;

  friend bool operator==(const StopAction &, const StopAction &) = default;
};

struct PaceAction {
  WorkerTarget Target_;
  std::string Task_;
  std::int64_t Attempt_ = 0;
  int Percent_ = 100;

  friend bool operator==(const PaceAction &, const PaceAction &) = default;
};

/// A question to the advice service.
struct AdviceQuestion {
  std::string Job_;
  int Step_ = 0;
  std::vector<std::string> Workers_;
  Millis Expected_{}; ///< Time that the service takes.
  int Priority_ = 0;

  friend bool operator==(const AdviceQuestion &,
                         const AdviceQuestion &) = default;
};

struct Actions {
  std::vector<StartAction> Starts_;
  std::vector<StopAction> Stops_;
  std::vector<PaceAction> Paces_;
  std::vector<AdviceQuestion> Questions_;

  bool empty() const {
    return Starts_.empty() && Stops_.empty() && Paces_.empty() &&
           Questions_.empty();
  }
};

/// One decision, for the log.
struct Decision {
  std::string Request_;
  std::string Step_;
  std::string Peer_;
  std::string Text_;

  friend bool operator==(const Decision &, const Decision &) = default;
};

/// Decides which task runs where, from events alone: no I/O and no clock of
/// its own. All of it belongs to the one leader of a cell, whose epoch fences
/// its orders.
class Dispatcher {
public:
  Dispatcher(const DispatchLimits &Limits, std::int64_t Epoch, Millis Now);

  void setQueues(const std::map<std::string, QueuePolicy> &Queues);

  // Jobs.

  /// Adds a job that a caller handed in. Nothing of it starts before
  /// confirmJob(). False if the job is already there.
  bool addJob(const JobSpec &Spec, Millis Now);
  /// The job's row has been written.
  void confirmJob(const std::string &Id);
  void dropJob(const std::string &Id);
  /// Whether the job's row is known to be written.
  bool isConfirmed(const std::string &Id) const {
    return Unconfirmed_.count(Id) == 0;
  }
  /// Adds a job that an earlier leader recorded.
  void restoreJob(const JobSpec &Spec, const JobProgress &Progress, Millis Now);
  /// Adds a job of which only the end is still recorded.
  void restoreEnded(const std::string &Id, JobState State, Millis Now);
  /// Refuses what can never run. Errors: never_fits.
  Status checkFits(const JobSpec &Spec) const;
  /// False if there is no such job or it has ended.
  bool cancelJob(const std::string &Id, Millis Now);
  /// The state of a job as far as it is recorded; null if there is none.
  const JobRun *findJob(const std::string &Id) const;
  /// Jobs of the queue of which no task has started.
  int pendingJobs(const std::string &Queue) const;
  /// Whether a task of the job may still run.
  bool holdsRoom(const std::string &Id) const;
  JobProgress progressOf(const std::string &Id) const;
  /// Jobs whose progress changed since the last call.
  std::vector<std::string> takeChangedJobs();
  void noteRecorded(const std::string &Id, JobState State);
  /// Forgets jobs that ended before the time; returns their ids.
  std::vector<std::string> forgetEnded(Millis Before);

  // Workers.

  /// The registry's list of a moment; workers that are missing take no more.
  void setWorkers(const std::vector<WorkerInfo> &Workers, Millis Now);
  /// Adds a worker that an earlier leader gave orders to, listed or not.
  void restoreWorker(const WorkerInfo &Info);
  /// Nothing is started on a worker before it is recorded: a later leader has
  /// to know it, although it may be missing from the registry by then.
  std::vector<WorkerInfo> takeUnrecordedWorkers();
  void noteWorkerRecorded(const std::string &Id);
  /// Recorded workers that are gone for good.
  std::vector<std::string> takeForgottenWorkers();
  void noteLook(const std::string &Worker, const LookReply &Reply,
                Millis SentAt, Millis Now);
  void noteLookFailure(const std::string &Worker, const Error &Failure,
                       Millis Now);
  /// Gives up what runs on workers whose leases have lapsed.
  void expireUnreachable(Millis Now);
  const Worker *findWorker(const std::string &Id) const;
  const std::map<std::string, Worker> &workers() const { return Workers_; }
  /// Lease end on the worker's clock for an order sent now; zero if the
  /// worker's clock is not known.
  Millis leaseEnd(const Worker &W, Millis Now) const;

  // Replies to orders.

  void noteStart(const StartAction &Order, const Result<OrderReply> &Reply,
                 Millis Now);
  void noteStop(const StopAction &Order, const Result<OrderReply> &Reply,
                Millis Now);
  void notePace(const PaceAction &Order, bool Accepted);
  void noteAdvice(const AdviceQuestion &Question,
                  const Result<std::vector<AdvisedWorker>> &Reply, Millis Now);

  /// Decides what to do next.
  Actions decide(Millis Now);
  /// How long the next look at a worker may wait for an end.
  Millis lookWait(const std::string &Worker, Millis Now) const;
  std::vector<Decision> takeDecisions();
  bool fenced() const { return Fenced_; }
  std::int64_t epoch() const { return Epoch_; }

  /// Workers that were looked at for a step since the start; the cost of
  /// planning grows with it.
  std::uint64_t visits() const { return Visits_; }
  /// Differences between the books and a recount; empty if they agree.
  std::string verify() const;

private:
  struct RankedStep {
    JobRun *Job_ = nullptr;
    int Step_ = 0;
    const QueuePolicy *Policy_ = nullptr;
    Rank Rank_;
  };

  JobRun *job(const std::string &Id);
  TaskState *task(const TaskRef &Ref);
  const QueuePolicy &policyOf(const JobRun &Job) const;
  WorkerTarget target(const Worker &W) const;
  void markChanged(const std::string &Id) { Changed_.insert(Id); }
  void log(const std::string &Request, const std::string &Step,
           const std::string &Peer, const std::string &Text);
  void initialize(JobRun &Job, Millis Now) const;
  void finishJob(JobRun &Job, JobState State, Millis Now);
  void markReadySteps(JobRun &Job, Millis Now);
  bool awaitsRecovery(const JobRun &Job) const;

  void addRun(TaskState &Task, const TaskRef &Ref, const StepSpec &Step,
              Run Attempt);
  void removeRun(TaskState &Task, const TaskRef &Ref, const StepSpec &Step);
  void
  dropLostRuns(Worker &W,
               const std::function<bool(const TaskRef &, const Run &)> &Keep,
               Millis Now);
  void handleRestart(Worker &W, const LookReply &Reply, Millis SentAt,
                     Millis Now);
  void requestStop(const TaskRef &Ref, TaskState &Task,
                   const std::string &Cause, Millis Now);
  void stopStepRuns(JobRun &Job, int Step, const std::string &Cause,
                    Millis Now);
  Millis earlierLeaseExpiry() const;
  void updateClock(Worker &W, Millis Clock, Millis SentAt, Millis Now);
  void recordTaskDuration(Worker &W, const StepSpec &Step, const Run &Attempt,
                          Millis Now);
  void handleEnd(Worker &W, const EndedTask &End, Millis Now);
  void applyEnd(JobRun &Job, const TaskRef &Ref, const EndedTask &End,
                Worker &W, Millis Now);
  void handleRunning(Worker &W, const RunningEntry &Entry, Millis SentAt,
                     Millis Now);
  void removeMissingRuns(Worker &W, const LookReply &Reply, Millis SentAt,
                         Millis Now);
  void stopUnexpectedRun(Worker &W, const RunningEntry &Entry, Millis Now);
  void markDone(JobRun &Job, const TaskRef &Ref, Millis Now);
  void markFailed(JobRun &Job, const TaskRef &Ref, std::int64_t Attempt,
                  Millis Now);

  std::vector<RankedStep> rankedSteps(Millis Now);
  Worker &ensureWorker(const std::string &Id);
  void updateFleetCapacity(Millis Now);
  void recordOfferedCapacity(Millis Now);
  bool isCandidate(const RankedStep &Ranked, const Worker &W, Millis Now) const;
  std::vector<Candidate> findCandidates(const RankedStep &Ranked,
                                        bool GainedOnly, Millis Now);
  void placeStep(const RankedStep &Ranked, Millis Now);
  bool placeGang(const RankedStep &Ranked, std::vector<Candidate> Places,
                 Millis Now);
  void startTask(const RankedStep &Ranked, int Index, Candidate &Place,
                 std::int64_t Attempt, Millis Now);
  bool keepsReserve(const RankedStep &Ranked, const StepSpec &Step) const;
  bool mayPreempt(const RankedStep &Ranked, Millis Now) const;
  void preemptFor(const RankedStep &Ranked, int Unplaced,
                  const std::vector<Candidate> &Places, Millis Now);
  std::vector<TaskRef> findVictims(const Worker &W, const Size &Need,
                                   const RankedStep &Ranked,
                                   double &Cost) const;
  void requestAdvice(const RankedStep &Ranked, bool PlaceableSoon, Millis Now);
  std::vector<std::string> workersToAsk(const RankedStep &Ranked, Millis Now);
  Millis timeUntilReady(const JobRun &Job, int Step, Millis Now) const;
  void retryStops(Millis Now);
  void stopStalledRuns(Worker &W, Millis Now);
  bool hasOverdueRun(const Worker &W, Millis Now) const;
  void evacuate(Millis Now);
  void paceFillers(Worker &W, Millis Now);
  /// Counted only for steps that limit it.
  static int countTasksOfStep(const Worker &W, const JobRun &Job, int Step);
  Candidate makeCandidate(Worker &W, const JobRun &Job, int Step,
                          Millis Now) const;

  const DispatchLimits Limits_;
  const std::int64_t Epoch_;
  const Millis StartedAt_;
  std::map<std::string, QueuePolicy> Queues_;
  std::unordered_map<std::string, std::unique_ptr<JobRun>> Jobs_;
  std::set<std::string> Active_; ///< Jobs that have not ended.
  std::set<std::string> Unconfirmed_;
  std::map<std::string, Worker> Workers_;
  std::vector<Worker *>
      WorkersBySlot_; ///< Null for workers that were forgotten.
  /// Of this pass: workers by falling room, and those that offer more room
  /// than at the end of the last pass.
  std::vector<Worker *> ByFreeCapacity_;
  std::vector<Worker *> WithGainedCapacity_;
  std::int64_t Pass_ = 1;
  int PreemptingSteps_ = 0; ///< Of this pass.
  std::uint64_t Visits_ = 0;
  Millis StopsCheckedAt_{};
  std::set<std::string> PaceDue_; ///< Workers whose fillers need a look.
  std::set<std::string> Changed_;
  Actions PendingActions_;
  std::deque<Decision> Decisions_;
  std::vector<WorkerInfo> UnrecordedWorkers_;
  std::vector<std::string> ForgottenWorkers_;
  std::size_t UnresolvedWorkers_ = 0; ///< That may run restored work.
  std::set<std::string> HeldForGang_; ///< Workers kept free in this pass.
  double TypicalDurationRatio_ = 0;   ///< Of estimates, over all workers.
  Size FleetFreeCapacity_;
  Size FleetCapacity_;
  bool RegistryReceived_ = false;
  bool Fenced_ = false;
};

} // namespace damaskglade::dispatch

#endif
