#ifndef DAMASKGLADE_DISPATCH_DISPATCHER_H
#define DAMASKGLADE_DISPATCH_DISPATCHER_H

#include "dispatch/capacity_pool.h"
#include "dispatch/fleet.h"
#include "dispatch/job_run.h"
#include "dispatch/locality.h"
#include "dispatch/placement.h"
#include "dispatch/ranking.h"
#include "dispatch/reservation.h"
#include "dispatch/shares.h"
#include "dispatch/usage.h"
#include "dispatch/workspace.h"
#include "ports/advisor.h"
#include "ports/task_worker.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::dispatch {

/// Settings of the dispatcher that the deployment may change.
struct DispatchLimits {
  /// Length of a lease. A worker may run a task only until its lease ends.
  Millis Lease_{8000};
  /// Workers cut longer leases to this length.
  Millis MaxLease_{10000};
  /// How long a leader may grant leases while its leadership is not confirmed.
  Millis LeaderGrace_{2000};
  /// Workers end a gang member whose other members do not start for this long.
  Millis GangWait_{3000};
  /// Fraction of the fleet's processors that batch work leaves free for urgent
  /// jobs.
  double UrgentReserve_ = 0.06;
  /// Factor by which a task takes longer outside the rack of its data or gang.
  double RemotePenalty_ = 1;
  /// Off in tests that compare with placement without learned speeds.
  bool UseSpeeds_ = true;

  friend bool operator==(const DispatchLimits &,
                         const DispatchLimits &) = default;
};

/// An order to start a task on a worker.
struct StartAction {
  WorkerTarget Target_;
  TaskRef Task_;
  StartOrder Order_;
  bool Gang_ = false;
  /// Workers have crashed while they started the task. A poll after
  /// Dispatcher::StartingTime tells whether it has outlived its start.
  bool NeedsProbe_ = false;

  friend bool operator==(const StartAction &, const StartAction &) = default;
};

/// An order to stop an attempt at a task.
struct StopAction {
  WorkerTarget Target_;
  std::string Task_;
  std::int64_t Attempt_ = 0;
  std::string Cause_;

  friend bool operator==(const StopAction &, const StopAction &) = default;
};

/// An order to limit the speed of a filler run.
struct PaceAction {
  WorkerTarget Target_;
  std::string Task_;
  std::int64_t Attempt_ = 0;
  int Percent_ = 100; ///< Of full speed; zero pauses the run.

  friend bool operator==(const PaceAction &, const PaceAction &) = default;
};

/// Asks the advice service which of the named workers may run a step.
struct AdviceQuestion {
  std::string Job_;
  int Step_ = 0;
  std::vector<std::string> Workers_;
  Millis Expected_{}; ///< Expected duration of the call.
  /// Of a step that must not wait behind batch work.
  bool Urgent_ = false;

  friend bool operator==(const AdviceQuestion &,
                         const AdviceQuestion &) = default;
};

/// Orders and requests that a planning pass asks the leader to send.
struct Actions {
  std::vector<StartAction> Starts_;
  std::vector<StopAction> Stops_;
  std::vector<PaceAction> Paces_;
  std::vector<AdviceQuestion> Questions_;
  std::vector<std::string> Probes_; ///< Workers to poll at once.

  bool empty() const {
    return Starts_.empty() && Stops_.empty() && Paces_.empty() &&
           Questions_.empty() && Probes_.empty();
  }
};

/// Tasks that could start if they had capacity and advice, and what a planning
/// pass has left of them.
struct QueueBacklog {
  int Tasks_ = 0;     ///< Of ready steps, at the end of the pass.
  int Unadvised_ = 0; ///< Those of steps without a worker allowed by advice.
  int Skipped_ = 0;   ///< Those of steps that the pass did not reach.

  friend bool operator==(const QueueBacklog &, const QueueBacklog &) = default;
};

/// What waits after a planning pass, and what is free for it.
struct Backlog {
  std::map<int, QueueBacklog> ByPriority_;
  std::int64_t FreeMilliCpus_ = 0; ///< Of workers that accept work.
  std::int64_t MilliCpus_ = 0;     ///< Of the same workers.

  friend bool operator==(const Backlog &, const Backlog &) = default;
};

/// Log entry of a decision or of an observed change.
struct Decision {
  std::string Request_;
  std::string Step_;
  std::string Peer_;
  std::string Text_;

  friend bool operator==(const Decision &, const Decision &) = default;
};

/// Assigns tasks to workers. Driven by events only: it does no I/O and reads no
/// clock. Used by the single leader of a cell. The epoch is a number that grows
/// with each new leader; workers reject (fence) orders of earlier epochs.
class Dispatcher {
public:
  /// A task that crashes its worker does so at its start. A run counts as
  /// starting for this long, so that slow replies do not hide the cause of a
  /// crash.
  static constexpr Millis StartingTime{500};
  /// Limit of the starts that a pass orders, unless it is given another. The
  /// next pass goes on, so that replies and calls are handled while a large
  /// backlog is placed.
  static constexpr std::size_t MaxStartsPerPass = 64;

  Dispatcher(const DispatchLimits &Limits, std::int64_t Epoch, Millis Now);

  void setQueues(const std::map<std::string, QueuePolicy> &Queues);
  /// Sets the policies of the workspaces. Those of removed workspaces are kept
  /// for their jobs.
  void setWorkspaces(const WorkspacePolicies &Workspaces);
  /// QueuePolicy::Priority_ of the queue.
  int priorityOf(const std::string &Queue) const;

  // Jobs.

  /// Adds a submitted job. None of its tasks starts before confirmJob(). False
  /// if the job exists already.
  bool addJob(const JobSpec &Spec, Millis Now);
  /// Allows the tasks of an added job to start. Called once its row is stored.
  void confirmJob(const std::string &Id);
  /// Removes an added job whose row could not be stored.
  void dropJob(const std::string &Id);
  /// False between addJob() and confirmJob(), while the job may not be stored.
  bool isConfirmed(const std::string &Id) const {
    return UnconfirmedJobs_.count(Id) == 0;
  }
  /// Adds a job that an earlier leader stored.
  void restoreJob(const JobSpec &Spec, const JobProgress &Progress, Millis Now);
  /// Adds a job of which only the final state is still stored.
  void restoreEnded(const std::string &Id, JobState State, Millis Now);
  /// Rejects a job that no worker could ever run. Errors: never_fits.
  Status checkFits(const JobSpec &Spec) const;
  /// Decides whether a job that is about to be added is within the share of its
  /// workspace, and takes a token for it.
  ShareDecision decideJobShare(const JobSpec &Spec, Millis Now);
  /// Ranks an added job behind those in share.
  void markOverShare(const std::string &Id);
  /// False if the job does not exist or has ended.
  bool cancelJob(const std::string &Id, Millis Now);
  /// The job with the state of its tasks; null if it is unknown or was removed.
  const JobRun *findJob(const std::string &Id) const;
  /// Number of jobs in the queue of which no task has started.
  int pendingJobs(const std::string &Queue) const;
  /// Whether a task of the job may still be running.
  bool hasRuns(const std::string &Id) const;
  /// The progress of the job in the form in which it is stored.
  JobProgress progressOf(const std::string &Id) const;
  /// Jobs whose progress changed since the last call.
  std::vector<std::string> takeChangedJobs();
  /// JobRun::Crashes_ of the job; zero if it is unknown.
  int countCrashes(const std::string &Id) const;
  /// Called when the store holds the given state of the job and so many of its
  /// crashes.
  void markJobRecorded(const std::string &Id, JobState State, int Crashes);
  /// Removes jobs that ended before the given time and whose end is stored;
  /// returns their ids.
  std::vector<std::string> removeEndedJobs(Millis Before);

  // Workers.

  /// Applies a snapshot of the registry; workers missing from it get no new
  /// tasks. Registered workers whose entry cannot be used keep the last one.
  void setWorkers(const std::vector<WorkerInfo> &Workers, Millis Now,
                  const std::set<std::string> &UnusableEntries = {});
  /// Adds a worker with an open row: earlier leaders may have started any task
  /// there, even if the registry no longer lists it.
  void restoreWorker(const WorkerInfo &Info);
  /// Adds a worker whose row an earlier leader has closed.
  void restoreClosedWorker(const WorkerInfo &Info, const ClosedLeases &Leases);
  /// Called when the previous leader has told that all leases of earlier
  /// leaders end by this time.
  void limitEarlierLeases(Millis Expiry);
  /// Tasks that run nowhere and that this leader might have started, at most
  /// MaxRanges; those of long-running steps first.
  std::vector<TaskRange> waitingTasks(std::size_t MaxRanges) const;
  /// Called for tasks of restored jobs that the previous leader has told to run
  /// nowhere.
  void markWaiting(const TaskRange &Range);
  /// Called when all workers and jobs have been restored.
  void finishRestore();
  /// Workers whose row has to be stored as open. Before that, no task starts on
  /// a worker and no lease is renewed there, because later leaders do not wait
  /// for workers without an open row.
  std::vector<WorkerInfo> takeUnrecordedWorkers();
  /// Called when the worker has an open row with the given address; tasks may
  /// now start on it.
  void markWorkerRecorded(const std::string &Id, const std::string &Address);
  /// Decides which rows to close: those of workers that have been unreachable
  /// for MinSilence, and of workers that are empty and get no tasks.
  void closeLeaseRows(Millis MinSilence, Millis Now);
  /// Workers whose row has to be closed or removed, once the ends that they
  /// have reported are stored: a task whose end is lost would start again.
  std::vector<std::string> takeWorkersToClose();
  /// How to close the row of the worker; empty if it is to be open by now.
  std::optional<LeaseClosing> leaseClosing(const std::string &Id) const;
  /// Time by which all leases have ended that this and earlier leaders have
  /// granted so far.
  Millis latestLeaseEnd(Millis Now) const;
  /// Workers removed since the last call, whose stored rows can be deleted.
  std::vector<std::string> takeForgottenWorkers();
  /// Applies a poll reply, which lists the running and ended tasks of a worker.
  /// SentAt is when the poll was sent. False if the reply is out of date and
  /// its ends are not those of the worker's process.
  bool handlePollReply(const std::string &Worker, const PollReply &Reply,
                       Millis SentAt, Millis Now);
  /// Marks a worker unreachable after a failed call.
  void handlePollFailure(const std::string &Worker, const Error &Failure,
                         Millis Now);
  /// Drops the runs on unreachable workers whose leases have expired.
  void expireUnreachable(Millis Now);
  const Worker *findWorker(const std::string &Id) const;
  /// The process that has answered last, as the target of orders and polls.
  WorkerTarget target(const Worker &W) const;
  const std::map<std::string, Worker> &workers() const { return Workers_; }
  /// End of the lease, on the worker's clock, that an order sent now grants;
  /// zero if the worker's clock is unknown.
  Millis leaseEnd(const Worker &W, Millis Now) const;
  /// The same for an order that is sent now, and remembers that it was. Zero
  /// for workers that do not answer, whose leases would never be seen to
  /// expire, and for workers without an open row.
  Millis grantLease(const std::string &Id, Millis Now);

  /// Sets what tells whether a further advice request would be accepted. It is
  /// asked before the workers of a request are chosen, which takes long.
  void setAdviceQueue(AdviceQueue *Queue) { AdviceQueue_ = Queue; }
  /// Sets how many advice requests can be served at the same time.
  void setAdviceServerCount(std::size_t Count) { AdviceServerCount_ = Count; }

  // Replies to orders and advice requests.

  /// False if another process than the one that was meant has answered, so that
  /// the worker has to be polled.
  bool handleStartReply(const StartAction &Order,
                        const Result<OrderReply> &Reply, Millis Now);
  void handleStopReply(const StopAction &Order, const Result<OrderReply> &Reply,
                       Millis Now);
  void handlePaceReply(const PaceAction &Order, bool Accepted);
  void handleAdviceReply(const AdviceQuestion &Question,
                         const Result<std::vector<AdvisedWorker>> &Reply,
                         Millis Now);

  /// Runs a planning pass: places waiting tasks and returns the orders to send,
  /// with so many starts at most, the members of a last gang excepted.
  Actions decide(Millis Now, std::size_t StartLimit = MaxStartsPerPass);
  /// What waits at the given time, and how much of it the last pass has not
  /// reached. Goes through all active jobs.
  Backlog backlog(Millis Now);
  /// Timeout of the next long poll of a worker, which waits for a task to end.
  Millis pollTimeout(const std::string &Worker, Millis Now) const;
  /// Log entries since the last call.
  std::vector<Decision> takeDecisions();
  /// Whether a worker rejected an order or a poll because it knows a newer
  /// leader.
  bool fenced() const { return Fenced_; }
  std::int64_t epoch() const { return Epoch_; }
  const WorkerSpeeds &speeds() const { return Speeds_; }

  /// How often planning has examined a worker for a step so far. Tests use it
  /// to measure the cost of planning.
  std::uint64_t workerChecks() const { return WorkerChecks_; }
  /// The same for the dependencies of steps.
  std::uint64_t dependencyChecks() const { return DependencyChecks_; }
  /// Recounts runs, completed tasks and reserved resources, and describes the
  /// first difference from the maintained values; empty if there is none.
  std::string verify() const;

private:
  /// How many of the workers named in advice requests of a queue were allowed.
  struct AllowedShare {
    double Answered_ = 0;
    double Allowed_ = 0;
  };
  /// A run that a worker was starting when it crashed.
  struct StartingRun {
    TaskRef Task_;
    std::int64_t Attempt_ = 0;
    bool Apart_ = false; ///< Run::Apart_.
  };
  /// A crash that fails the job of a task, unless many workers that were
  /// starting nothing have ended with the same one.
  struct OpenVerdict {
    TaskRef Task_;
    std::int64_t Attempt_ = 0;
    std::string Worker_;
    std::string Zone_;
    std::string Service_;
    CrashSpan Crash_;
  };
  /// The share of a workspace, and decisions beyond it since the last log line.
  struct WorkspaceShare {
    ShareBucket Bucket_;
    int Level_ = 0; ///< shareLevel() at the start of the pass.
    int Accepted_ = 0;
    int Rejected_ = 0;
    Millis LoggedAt_{};
  };
  /// A step with waiting tasks and its place in the order of planning.
  struct RankedStep {
    JobRun *Job_ = nullptr;
    int Step_ = 0;
    const QueuePolicy *Policy_ = nullptr;
    Rank Rank_;
  };

  /// A waiting gang for which workers are reserved.
  struct GangHold {
    const StepRun *State_ = nullptr;
    Size Member_; ///< reservedSize() of the step.
  };
  /// A worker that was removed, as far as it tells which jobs could run again
  /// if it came back.
  struct DepartedWorker {
    Worker Worker_;
    Millis RemovedAt_{};
  };
  /// A run that is expected to end.
  struct RunEnd {
    Worker *Worker_ = nullptr;
    ExpectedEnd End_;
  };
  /// What a rack will have for the steps that wait for it.
  struct RackOutlook {
    std::vector<RunEnd> Ends_;
    std::int64_t AheadMilliCpus_ = 0; ///< RackWaitInput::AheadMilliCpus_.
  };

  JobRun *job(const std::string &Id);
  TaskState *task(const TaskRef &Ref);
  static TaskState *task(JobRun &Job, const TaskRef &Ref);
  /// The run of a task that has one.
  const Run &runOf(const TaskRef &Ref) const;
  const StepSpec &stepOf(const TaskRef &Ref) const {
    return findJob(Ref.Job_)->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
  }
  const QueuePolicy &policyOf(const JobRun &Job) const;
  /// Whether some queue uses the workers of the service.
  bool isNamedService(const std::string &Service) const;
  const QueuePolicy &policyOf(const std::string &Queue) const;
  void markChanged(const std::string &Id) { ChangedJobs_.insert(Id); }
  void log(const std::string &Request, const std::string &Step,
           const std::string &Peer, const std::string &Text);
  void initialize(JobRun &Job, Millis Now) const;
  void finishJob(JobRun &Job, JobState State, Millis Now);
  /// Called when a worker has told that it had a task of the job.
  void markStarted(JobRun &Job, const TaskRef &Ref, const std::string &Worker,
                   Millis Now);
  void markReadySteps(JobRun &Job, Millis Now);
  /// Whether an attempt of an earlier leader may run the task on a worker that
  /// was not polled yet.
  bool mayRunUnseen(const JobRun &Job, const TaskState &Task) const;
  /// Whether the task may be running although it has no run, so that it must
  /// not start.
  bool mayBeRunning(const JobRun &Job, const TaskState &Task) const {
    return Task.UnexpectedRuns_ > 0 || mayRunUnseen(Job, Task);
  }

  void addRun(TaskState &Task, const TaskRef &Ref, const StepSpec &Step,
              Run Attempt);
  void removeRun(TaskState &Task, const TaskRef &Ref, const StepSpec &Step);
  /// Removes the runs on a worker that has lost them, except those for which
  /// Keep returns true. Cause is logged.
  void
  dropLostRuns(Worker &W, const std::string &Cause,
               const std::function<bool(const TaskRef &, const Run &)> &Keep,
               Millis Now);
  /// The same if the process of the worker is known to have ended. Tasks that
  /// it was starting may be the cause.
  void
  dropCrashedRuns(Worker &W, const std::string &Cause,
                  const std::function<bool(const TaskRef &, const Run &)> &Keep,
                  Millis Now);
  bool handleOvertakenReply(Worker &W, const PollReply &Reply, Millis Now);
  /// Drops the tickets that steps have for the worker.
  void dropTickets(const Worker &W);
  void handleRestart(Worker &W, const PollReply &Reply, Millis SentAt,
                     Millis Now);
  static bool isStartingAt(const Worker &W, const Run &Attempt);
  /// Whether the latest process of the worker may have begun the run.
  static bool mayHaveBegun(const Worker &W, const Run &Attempt);
  std::vector<StartingRun> startingRuns(const Worker &W) const;
  /// Logs the starts that the ended process of the worker may not have had.
  void logDoubtfulStarts(const Worker &W);
  /// Handles the crash of a worker that was starting the given runs.
  void handleCrash(const Worker &W, const CrashSpan &Crash,
                   const std::vector<StartingRun> &Runs);
  /// What a worker may have been starting when it ended after its last reply.
  StartKind startsSomething(const Worker &W) const;
  /// Whether a crash has a cause beyond the worker; empty while workers that
  /// can tell have not been heard since.
  std::optional<bool> isCommonCrash(const OpenVerdict &Open, Millis Now) const;
  /// Fails the jobs whose verdicts are settled, or takes the crash back.
  void settleVerdicts(Millis Now);
  void probeForVerdicts();
  /// Whether a verdict on a task of the job is open.
  bool awaitsVerdict(const std::string &JobId) const;
  /// Whether so many workers have crashed while they started the task that it
  /// may be the cause.
  static bool isCrashSuspect(const TaskState &Task);
  /// Called when a worker has a run, or has ended it, at the given time. A run
  /// that has outlived its start did not crash the worker.
  void clearCrashes(const TaskRef &Ref, TaskState &Task, Millis SeenAt);
  /// Whether crashes of the job's tasks are not stored yet.
  static bool awaitsCrashRecord(const JobRun &Job);
  /// Starts a crash suspect on a worker that starts nothing else meanwhile, or
  /// reserves a worker until it does. False if none has capacity.
  bool placeApart(const RankedStep &Ranked, int Index,
                  std::vector<Candidate> &Candidates, std::int64_t Attempt,
                  Millis Now);
  void startApart(const RankedStep &Ranked, int Index,
                  Candidate &CandidateWorker, std::int64_t Attempt, Millis Now);
  /// Leaves only candidates that start nothing else. If they do not suffice for
  /// the gang, reserves workers for it and returns false.
  bool reserveForGang(const RankedStep &Ranked,
                      std::vector<Candidate> &Candidates, Millis Now);
  /// Whether all starts that were ordered on the worker are over.
  bool isStartingNothing(const Worker &W, Millis Now) const;
  static void reserve(Worker &W, const std::string &Job, Millis Until);
  void ignoreEntry(Worker &W, const std::string &Cause);
  /// Whether an entry with another address or service can be that of a later
  /// process.
  static bool mayHaveMoved(const Worker &W, const WorkerInfo &Info);
  /// Handles a registered worker that has changed its address.
  void handleMove(Worker &W, const WorkerInfo &Info, Millis Now);
  /// Handles a poll that was answered by another worker at the address of W.
  void handleReplacement(Worker &W, Millis SentAt, Millis Now);
  void requestStop(const TaskRef &Ref, TaskState &Task,
                   const std::string &Cause, Millis Now);
  void stopStepRuns(JobRun &Job, int Step, const std::string &Cause,
                    Millis Now);
  /// Time by which a lease has expired that is granted at the given time.
  Millis leaseExpiry(Millis GrantedAt) const;
  /// Counts a lease that is granted now, or that another leader can have
  /// granted until now.
  void countLease(Worker &W, Millis Now) const;
  /// Counts a lease that a process of the worker takes at the given time at the
  /// latest, and whose end is on another clock than its own.
  void countLongestLease(Worker &W, Millis TakenAt) const;
  /// Adds the worker of a row; null if it has restarted at another address.
  Worker *restoreRow(const WorkerInfo &Info, LeaseRow Row);
  static LeaseRow wantedLeaseRow(const Worker &W, Millis MinSilence,
                                 Millis Now);
  void setLeaseRow(Worker &W, LeaseRow Row);
  /// Called when a worker was reached, or can no longer run tasks of earlier
  /// leaders.
  void forgetUnseenRuns(Worker &W);
  void handleReplyOfOtherProcess(Worker &W, const StartAction &Order,
                                 Run &Attempt, Millis Clock, Millis Now);
  static void updateClock(Worker &W, Millis Clock, Millis SentAt, Millis Now);
  void recordTaskDuration(Worker &W, const StepSpec &Step, const Run &Attempt,
                          Millis Now);
  void classify(Worker &W);
  /// Factor by which a task of the step takes longer on the worker because of
  /// the worker's rack.
  double penaltyOn(const StepSpec &Step, const Worker &W) const;
  void recordSpeedSample(const Worker &W, StepRun &State, const StepSpec &Step,
                         const Run &Attempt, Millis Now);
  /// Called when the step has ended.
  void learnSpeeds(StepRun &State, Millis Now);
  void updateSpeeds(Millis Now);
  /// Cost of each kind of worker for the step, see kindCosts().
  std::vector<double> costsByKind(const RankedStep &Ranked, Millis Now) const;
  void handleEnd(Worker &W, const EndedTask &End, Millis Now);
  void applyEnd(JobRun &Job, const TaskRef &Ref, const EndedTask &End,
                Worker &W, Millis Now);
  void handleRunning(Worker &W, const RunningEntry &Entry, Millis SentAt,
                     Millis Now);
  void removeMissingRuns(Worker &W, const PollReply &Reply, Millis SentAt,
                         Millis Now);
  void stopUnexpectedRun(Worker &W, const RunningEntry &Entry, Millis Now);
  /// Called when the run has ended.
  void releaseUnexpectedRun(Worker &W, const UnexpectedRun &Ended);
  /// Called when a run is dropped. Its start order may still be carried out if
  /// it got no reply.
  void rememberStart(Worker &W, const TaskRef &Ref, const StepSpec &Step,
                     const Run &Dropped) const;
  static bool mayStartLate(const Worker &W, Millis Now);
  /// Whether a run that the worker has not listed in the reply to a poll sent
  /// at the given time may still begin.
  static bool mayBegin(const UnexpectedRun &Entry, Millis SentAt);
  /// Stops the runs that unanswered starts may begin in the process that has
  /// answered, unless it is known to reject them.
  void expectLateStarts(Worker &W, Millis Now);
  void stopLateStart(const Worker &W, UnexpectedRun &Entry, Millis Now);
  void confirmLateStop(const StopAction &Order, Millis Now);
  void retryLateStops(Millis Now);
  void markDone(JobRun &Job, const TaskRef &Ref, Millis Now);
  /// The task on which failed and crashed attempts of the given one count.
  static TaskState &attemptCounter(JobRun &Job, const TaskRef &Ref);
  /// Whether so many attempts of a task have failed that its job fails.
  bool hasUsedAttempts(const JobRun &Job,
                       const std::vector<std::int64_t> &FailedAttempts) const;
  /// Fails jobs whose limit of attempts was not known when they failed last.
  void failExhaustedJobs(Millis Now);
  void markFailed(JobRun &Job, const TaskRef &Ref, std::int64_t Attempt,
                  Millis Now);

  /// Add to the usage of a workspace; a negative count removes from it.
  void countRun(const JobRun &Job, const StepSpec &Step, int Count);
  void countUnexpectedRun(const UnexpectedRun &Entry, int Count);
  /// Whether an earlier leader may have left a task of a restored job running
  /// on a worker that is not reached yet.
  static bool isUnlocated(const StepSpec &Step, const TaskState &Task);
  /// Counts such tasks of a restored job, before the steps of an ended one are
  /// dropped.
  void countUnlocated(JobRun &Job);
  /// Sets TaskState::Located_.
  void locate(JobRun &Job, const TaskRef &Ref, TaskState &Task);
  /// Called when the job is removed.
  void forgetUnlocated(const JobRun &Job);
  /// Sets WorkspaceUsage::Pending_ and ends turns.
  void updatePendingUsage(Millis Now);
  /// Adds the starts on the worker without a reply that may still be carried
  /// out to the usage.
  void addLateStarts(const Worker &W, Millis Now);
  Size limitOf(const std::string &Workspace) const;
  bool keepsTurn(WorkspaceUsage &Usage, const Size &Limit, Millis Now) const;
  /// Whether the limit lets one more task, or the whole gang, start.
  static bool hasRoom(const WorkspaceUsage &Usage, const StepSpec &Step,
                      const Size &Limit);
  /// Whether smaller steps could starve the step, and its turn could end.
  static bool mayHaveTurn(const WorkspaceUsage &Usage, const StepSpec &Step,
                          const Size &Limit);
  /// How many of the waiting tasks may start within the limit of the workspace.
  /// For a gang: all or none. Gives the step a turn if it needs one.
  int allowedStarts(const RankedStep &Ranked, Millis Now);
  /// Called when tasks were stopped for so many tasks of the step.
  void awaitTasks(const RankedStep &Ranked, int Count);
  /// Rejects a job with a gang beyond the limit. Errors: never_fits.
  Status checkLimit(const JobSpec &Spec) const;
  std::string verifyUsage() const;
  /// Whether tasks of the priority or a more urgent one wait for capacity.
  bool isFullFor(int Priority) const;
  /// Called for a ready step whose waiting tasks the pass has not started.
  void noteWaitingStep(const RankedStep &Ranked, Millis Now);
  void updateShareLevels();
  int shareLevelOf(const JobRun &Job) const;

  std::vector<RankedStep> rankedSteps(Millis Now);
  /// Position of the worker in WorkersById_.
  std::vector<Worker *>::const_iterator
  positionById(const std::string &Id) const;
  Worker &ensureWorker(const std::string &Id);
  void logRecovery(int UnseenWorkers, Millis Now);
  /// Removes workers that have left the registry and cannot run tasks any more.
  void removeGoneWorkers(Millis Now);
  void updateFleetCapacity(Millis Now);
  int poolIndex(const WorkerInfo &Info);
  void resetPools();
  static bool isSuitable(const RankedStep &Ranked, const CapacityPool &Pool);
  /// Whether the steps that rank before this one probably leave capacity for
  /// it.
  bool expectsCapacity(const RankedStep &Ranked) const;
  /// How many of the waiting tasks could start soon if enough capacity were
  /// free.
  double startableTasks(const RankedStep &Ranked, int Waiting,
                        int SuitableWorkers, Millis Now) const;
  /// Removes what the waiting tasks of the step will probably use from what the
  /// steps that rank after it can expect.
  void claimCapacity(const RankedStep &Ranked, int Waiting, Millis Now);
  void recordOfferedCapacity(Millis Now);
  bool isCandidate(const RankedStep &Ranked, const Worker &W, Millis Now) const;
  std::vector<Candidate> findCandidates(const RankedStep &Ranked,
                                        bool GainedCapacityOnly, Millis Now);
  void placeStep(const RankedStep &Ranked, std::size_t StartLimit, Millis Now);
  void rememberDeparted(const Worker &W, Millis Now);
  void forgetDeparted(Millis Now);
  /// Whether all members would have room on the workers of the service, or of
  /// all services if it is empty, if nothing else ran there. Empty if it
  /// depends on workers whose capacity is not known.
  std::optional<bool> couldHoldGang(const StepSpec &Spec,
                                    const std::string &Service) const;
  /// When the run is expected to end; empty for one that lasts.
  std::optional<Millis> expectedEnd(const Worker &W, const TaskRef &Ref,
                                    Millis Now) const;
  /// Adds when the worker will have room for members of the gang.
  void addReleases(const RankedStep &Ranked, const Worker &W, Millis NotBefore,
                   Millis Now, std::vector<SlotRelease> &Releases) const;
  std::optional<Reservation> calculateReservation(const RankedStep &Ranked,
                                                  Millis Now) const;
  /// Reserves workers for a gang that has waited long, unless others are
  /// reserved for another one in this pass.
  void holdWorkersForGang(const RankedStep &Ranked, Millis Now);
  /// Free capacity of the worker that the step has to leave to a gang.
  Size reservedFor(const RankedStep &Ranked, const Worker &W, Millis Now) const;
  /// A candidate for each of so many tasks of the step; fewer if capacity does
  /// not suffice.
  static std::vector<std::size_t>
  chooseCandidates(const StepSpec &Spec, std::vector<Candidate> &Candidates,
                   std::size_t Count);
  bool placeGang(const RankedStep &Ranked, std::vector<Candidate> Candidates,
                 Millis Now);
  void startTask(const RankedStep &Ranked, int Index,
                 Candidate &CandidateWorker, std::int64_t Attempt, Millis Now);
  /// The runs in the rack that are expected to end.
  const std::vector<RunEnd> &rackEnds(const std::string &Rack, Millis Now);
  /// How many tasks of a step that has a preferred rack should wait for it.
  int countTasksToHold(const RankedStep &Ranked, Millis Now);
  bool keepsReserve(const RankedStep &Ranked, const StepSpec &Step) const;
  /// Whether the step goes before batch work: one of the most urgent jobs, or
  /// long-running.
  static bool isUrgent(const RankedStep &Ranked);
  bool mayPreempt(const RankedStep &Ranked, Millis Now) const;
  void preemptFor(const RankedStep &Ranked, int UnplacedTasks,
                  const std::vector<Candidate> &Candidates, Millis Now);
  std::vector<TaskRef> findVictims(const Worker &W, const Size &Need,
                                   const RankedStep &Ranked,
                                   double &Cost) const;
  void requestAdvice(const RankedStep &Ranked, Millis Now);
  int maxParallelRequests() const;
  double expectedAllowedShare(const RankedStep &Ranked) const;
  std::vector<std::string> workersToAsk(const RankedStep &Ranked, Millis Now);
  std::vector<std::string> workersForUncoveredTasks(const RankedStep &Ranked,
                                                    Millis Now);
  static Millis remainingRunTime(const Run &Attempt, Millis Estimate,
                                 Millis Now);
  /// Estimated time until the dependencies of each step of the job are
  /// complete; calculated once in a pass.
  const std::vector<Millis> &timesUntilReady(const JobRun &Job, Millis Now);
  void retryStops(Millis Now);
  void stopStalledRuns(Worker &W, Millis Now);
  bool hasOverdueRun(const Worker &W, Millis Now) const;
  void evacuate(Millis Now);
  void paceFillers(Worker &W, Millis Now);
  /// Tasks of the step on the worker; zero for steps without a limit per
  /// worker.
  static int countTasksOfStep(const Worker &W, const JobRun &Job, int Step);
  /// Number of further tasks of the step that fit on the worker.
  static int freeSlots(const Worker &W, const JobRun &Job, int Step);
  Candidate makeCandidate(Worker &W, const JobRun &Job, int Step,
                          Millis Now) const;

  const DispatchLimits Limits_;
  const std::int64_t Epoch_;
  /// When every lease that an earlier leader granted has expired.
  Millis EarlierLeaseExpiry_;
  std::map<std::string, QueuePolicy> Queues_;
  WorkspacePolicies Workspaces_;
  std::map<std::string, WorkspaceUsage> Usage_;  ///< By workspace.
  std::map<std::string, WorkspaceShare> Shares_; ///< By workspace.
  /// Most urgent priority of which the last pass left tasks without capacity.
  std::optional<int> FullPriority_;
  std::unordered_map<std::string, std::unique_ptr<JobRun>> Jobs_;
  /// Jobs that have not ended, or whose end is not stored, or that have runs.
  std::map<std::string, JobRun *> ActiveJobs_;
  std::set<std::string> UnconfirmedJobs_; ///< See isConfirmed().
  std::map<std::string, Worker> Workers_;
  std::vector<Worker *> WorkersByIndex_; ///< Null for removed workers.
  /// All workers by id. Every pass goes through them several times, which is
  /// faster than through the map.
  std::vector<Worker *> WorkersById_;
  /// Workers that accept work, by descending free processors at the start of
  /// the pass.
  std::vector<Worker *> WorkersByFreeCapacity_;
  /// Workers with more free capacity than at the end of the last pass.
  std::vector<Worker *> WorkersWithGainedCapacity_;
  std::vector<CapacityPool> Pools_; ///< Of this pass, see expectsCapacity().
  /// Indexes into Pools_, by service and labels.
  std::map<std::pair<std::string, std::vector<std::string>>, int> PoolIndexes_;
  std::int64_t PassNumber_ = 1;
  /// Steps that the last pass has placed or examined, in its order.
  std::size_t StepsReached_ = 0;
  int PreemptingSteps_ = 0; ///< Steps that preempted tasks in this pass.
  std::uint64_t WorkerChecks_ = 0;
  std::uint64_t DependencyChecks_ = 0;
  Millis StopsCheckedAt_{}; ///< When retryStops() last looked at the runs.
  /// Tasks whose run has been told to stop. Entries whose run has ended are
  /// removed by retryStops().
  std::set<TaskRef> StoppingTasks_;
  /// Workers whose speed limit for fillers the next pass recalculates.
  std::set<std::string> WorkersToPace_;
  std::vector<OpenVerdict> OpenVerdicts_;
  std::set<std::string> ChangedJobs_; ///< See takeChangedJobs().
  Actions PendingActions_;
  std::deque<Decision> Decisions_;
  std::vector<WorkerInfo> UnrecordedWorkers_;
  std::vector<std::string> WorkersToClose_;
  std::vector<std::string> RemovedWorkers_;
  /// When the leases on all workers that were not polled yet have expired. They
  /// may run tasks of restored jobs until then. Zero if there are none.
  Millis RecoveryEnd_{};
  /// Some worker not reached yet has an open row, so any task of restored jobs
  /// may run there.
  bool AnyTaskMayRunUnseen_ = false;
  Millis RecoveryLoggedAt_{};
  /// Of this pass. Applies to the steps that rank after the gang.
  std::optional<GangHold> GangHold_;
  std::vector<DepartedWorker> DepartedWorkers_;
  std::map<std::string, RackOutlook> RackOutlooks_; ///< Of this pass, by rack.
  /// Of this pass, see timesUntilReady().
  std::unordered_map<const JobRun *, std::vector<Millis>> TimesUntilReady_;
  /// Moving average, over tasks on all workers, of actual divided by estimated
  /// duration.
  double TypicalDurationRatio_ = 0;
  WorkerSpeeds Speeds_;
  Millis SpeedsUpdatedAt_{};
  AdviceQueue *AdviceQueue_ = nullptr; ///< Null: accepts all requests.
  std::size_t AdviceServerCount_ = 1;
  std::map<std::string, AllowedShare> AllowedShares_; ///< By queue.
  Size FleetFreeCapacity_;
  Size FleetCapacity_;
  bool CheckAttempts_ = false; ///< Policies have changed since the last pass.
  bool RegistryReceived_ = false; ///< setWorkers() has been called.
  bool Fenced_ = false;
};

} // namespace damaskglade::dispatch

#endif
