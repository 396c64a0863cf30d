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

/// Limits set by the deployment.
struct DispatchLimits {
  Millis Lease_{8000}; ///< Length of the leases granted to workers.
  /// How long an unconfirmed leader may grant leases.
  Millis LeaderGrace_{2000};
  /// Workers end gang members that wait longer for the others.
  Millis GangWait_{3000};
  /// Fraction of the fleet's processors that batch work leaves free.
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

/// A request to the advice service.
struct AdviceQuestion {
  std::string Job_;
  int Step_ = 0;
  std::vector<std::string> Workers_;
  Millis Expected_{}; ///< Expected duration of the call.
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

/// Log entry of one decision.
struct Decision {
  std::string Request_;
  std::string Step_;
  std::string Peer_;
  std::string Text_;

  friend bool operator==(const Decision &, const Decision &) = default;
};

/// Assigns tasks to workers. Driven by events only: it does no I/O and reads no
/// clock. Used by the single leader of a cell; orders are fenced by its epoch.
class Dispatcher {
public:
  Dispatcher(const DispatchLimits &Limits, std::int64_t Epoch, Millis Now);

  void setQueues(const std::map<std::string, QueuePolicy> &Queues);

  // Jobs.

  /// Adds a submitted job. None of its tasks starts before confirmJob(). False
  /// if the job exists already.
  bool addJob(const JobSpec &Spec, Millis Now);
  /// The job's row has been written.
  void confirmJob(const std::string &Id);
  void dropJob(const std::string &Id);
  /// False between addJob() and confirmJob(), while the job's row may be
  /// unwritten.
  bool isConfirmed(const std::string &Id) const {
    return Unconfirmed_.count(Id) == 0;
  }
  /// Adds a job that an earlier leader stored.
  void restoreJob(const JobSpec &Spec, const JobProgress &Progress, Millis Now);
  /// Adds a job of which only the final state is still stored.
  void restoreEnded(const std::string &Id, JobState State, Millis Now);
  /// Rejects a job that no worker could ever run. Errors: never_fits.
  Status checkFits(const JobSpec &Spec) const;
  /// False if the job does not exist or has ended.
  bool cancelJob(const std::string &Id, Millis Now);
  /// The state of a job as far as it is recorded; null if there is none.
  const JobRun *findJob(const std::string &Id) const;
  /// Number of jobs in the queue of which no task has started.
  int pendingJobs(const std::string &Queue) const;
  /// Whether a task of the job may still be running.
  bool hasRuns(const std::string &Id) const;
  JobProgress progressOf(const std::string &Id) const;
  /// Jobs whose progress changed since the last call.
  std::vector<std::string> takeChangedJobs();
  void markJobRecorded(const std::string &Id, JobState State);
  /// Removes jobs that ended before the given time and whose end is stored;
  /// returns their ids.
  std::vector<std::string> removeEndedJobs(Millis Before);

  // Workers.

  /// Applies a snapshot of the registry; workers missing from it get no new
  /// tasks.
  void setWorkers(const std::vector<WorkerInfo> &Workers, Millis Now);
  /// Adds a worker that an earlier leader sent orders to, even if the registry
  /// no longer lists it.
  void restoreWorker(const WorkerInfo &Info);
  /// Workers that have to be stored. No task starts on a worker before that,
  /// because a later leader has to know the worker even if it has left the
  /// registry by then.
  std::vector<WorkerInfo> takeUnrecordedWorkers();
  void markWorkerRecorded(const std::string &Id);
  /// Stored workers that were removed and whose rows can be deleted.
  std::vector<std::string> takeForgottenWorkers();
  void handlePollReply(const std::string &Worker, const PollReply &Reply,
                       Millis SentAt, Millis Now);
  void handlePollFailure(const std::string &Worker, const Error &Failure,
                         Millis Now);
  /// Drops the runs on unreachable workers whose leases have expired.
  void expireUnreachable(Millis Now);
  const Worker *findWorker(const std::string &Id) const;
  const std::map<std::string, Worker> &workers() const { return Workers_; }
  /// Lease end, on the worker's clock, for an order sent now; zero if the
  /// worker's clock is unknown.
  Millis leaseEnd(const Worker &W, Millis Now) const;

  // Replies to orders.

  void handleStartReply(const StartAction &Order,
                        const Result<OrderReply> &Reply, Millis Now);
  void handleStopReply(const StopAction &Order, const Result<OrderReply> &Reply,
                       Millis Now);
  void handlePaceReply(const PaceAction &Order, bool Accepted);
  void handleAdviceReply(const AdviceQuestion &Question,
                         const Result<std::vector<AdvisedWorker>> &Reply,
                         Millis Now);

  /// Runs a planning pass and returns the orders to send.
  Actions decide(Millis Now);
  /// Timeout of the next long poll of a worker, which waits for a task to end.
  Millis pollTimeout(const std::string &Worker, Millis Now) const;
  std::vector<Decision> takeDecisions();
  bool fenced() const { return Fenced_; }
  std::int64_t epoch() const { return Epoch_; }

  /// Number of (step, worker) pairs examined so far; measures the cost of
  /// planning.
  std::uint64_t visits() const { return Visits_; }
  /// Recomputes counts and reserved resources and describes the first
  /// difference from the maintained values; empty if there is none.
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
  void handleRestart(Worker &W, const PollReply &Reply, Millis SentAt,
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
  void removeMissingRuns(Worker &W, const PollReply &Reply, Millis SentAt,
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
  /// Zero for steps without a limit per worker.
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
  std::vector<Worker *> WorkersBySlot_; ///< Null for removed workers.
  /// For this pass: workers by descending free processors, and those with more
  /// free capacity than at the end of the last pass.
  std::vector<Worker *> ByFreeCapacity_;
  std::vector<Worker *> WithGainedCapacity_;
  std::int64_t Pass_ = 1;
  int PreemptingSteps_ = 0; ///< In this pass.
  std::uint64_t Visits_ = 0;
  Millis StopsCheckedAt_{};
  /// Workers whose filler pace has to be checked.
  std::set<std::string> PaceDue_;
  std::set<std::string> Changed_;
  Actions PendingActions_;
  std::deque<Decision> Decisions_;
  std::vector<WorkerInfo> UnrecordedWorkers_;
  std::vector<std::string> ForgottenWorkers_;
  /// Not polled yet; they may run tasks of restored jobs.
  std::size_t UnresolvedWorkers_ = 0;
  std::set<std::string> HeldForGang_; ///< Workers held free in this pass.
  double TypicalDurationRatio_ = 0;   ///< Moving average over all workers.
  Size FleetFreeCapacity_;
  Size FleetCapacity_;
  bool RegistryReceived_ = false;
  bool Fenced_ = false;
};

} // namespace damaskglade::dispatch

#endif
