#ifndef DAMASKGLADE_DISPATCH_FLEET_H
#define DAMASKGLADE_DISPATCH_FLEET_H

#include "dispatch/job.h"
#include "ports/task_worker.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::dispatch {

/// A worker as it is listed in the registry of workers.
struct WorkerInfo {
  std::string Id_;
  std::string Address_;
  std::string Service_;
  std::string Zone_;
  std::vector<std::string> Labels_;
  Size Capacity_;
  bool Draining_ = false; ///< Shuts down soon; takes no new tasks.
  Millis Remaining_{}; ///< While draining, the least time until it shuts down.
  /// Start time of the worker process, Unix milliseconds; zero if not listed.
  std::int64_t ProcessStart_ = 0;

  friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

inline bool hasLabel(const WorkerInfo &Info, const std::string &Label) {
  return std::find(Info.Labels_.begin(), Info.Labels_.end(), Label) !=
         Info.Labels_.end();
}

/// Whether a worker answers the polls of this leader.
enum class Reachability {
  Unknown,     ///< Has not answered this leader; may be running any task.
  Reachable,   ///< Answers polls.
  Unreachable, ///< Calls fail; its runs are kept until their leases expire.
  Expired,     ///< Unreachable until its leases expired; its runs have ended.
  Replaced,    ///< Another worker has its address; its process has ended.
};

/// The row of a worker in the store, which tells later leaders of the leases
/// there.
enum class LeaseRow {
  None,   ///< No row: nothing runs on the worker.
  Open,   ///< The leader may start tasks there and renew their leases.
  Closed, ///< The leader gives no leases, and those that it gave end.
};

/// Content of a closed row: how long tasks may still run on a worker.
struct ClosedLeases {
  Millis Expiry_{};        ///< On the clock of the leader that has the value.
  bool RunsKnown_ = false; ///< No tasks other than Runs_ can run there.
  std::vector<std::string> Runs_; ///< Names of tasks.

  friend bool operator==(const ClosedLeases &, const ClosedLeases &) = default;
};

/// A worker whose row has to be closed or removed.
struct LeaseClosing {
  WorkerInfo Info_;
  std::optional<ClosedLeases> Leases_; ///< Empty: the row is removed.

  friend bool operator==(const LeaseClosing &, const LeaseClosing &) = default;
};

/// Failures on a worker since its last completed task. A worker that fails the
/// tasks of several jobs is quarantined: it gets no tasks for some seconds.
struct WorkerHealth {
  int FailuresInRow_ = 0; ///< Failures since the last completed task.
  Millis LastFailureAt_{};
  std::string LastFailedJob_;
  /// The first failure, and each failure of another job than the failure
  /// before. From 2 on, tasks of different jobs have failed.
  int FailedJobSwitches_ = 0;
  Millis QuarantinedUntil_{};
  /// Length of the latest quarantine. Doubles with each further failure until a
  /// task completes.
  Millis QuarantineLength_{};

  friend bool operator==(const WorkerHealth &, const WorkerHealth &) = default;
};

/// A run that a worker reports although the leader has not assigned it to that
/// worker, or that an UnansweredStart may begin there. The leader stops it and
/// reserves its resources until it has ended.
struct UnexpectedRun {
  std::string Task_;
  std::int64_t Attempt_ = 0;
  Size Reserved_;
  Millis StopSentAt_{};
  bool Expected_ = false;    ///< Not reported yet.
  Millis StopConfirmedAt_{}; ///< Of expected runs; zero until confirmed.
  Millis ExpectedUntil_{};   ///< Of expected runs.
  std::string Workspace_{};  ///< Of the job; empty if none is known.
  Size Size_{};              ///< Of the task, with the processors of a filler.

  friend bool operator==(const UnexpectedRun &,
                         const UnexpectedRun &) = default;
};

/// The latest start order for a task that got no reply and whose run has been
/// dropped since. It may still be carried out, by a later process of the worker
/// as well.
struct UnansweredStart {
  std::string Task_;
  std::int64_t Attempt_ = 0;
  Size Reserved_; ///< By a run that it begins.
  Millis OrderedAt_{};
  /// The process that rejects it because of a stop; zero if none does.
  std::int64_t StoppedIn_ = 0;
  std::string Workspace_; ///< Of the job.
  Size Size_;             ///< Of the task, with the processors of a filler.

  friend bool operator==(const UnansweredStart &,
                         const UnansweredStart &) = default;
};

/// What a worker was starting; a run apart is that of a crash suspect.
enum class StartKind { Nothing, Any, Apart };

/// When the latest process of a worker to end may have done so.
struct CrashSpan {
  Millis HeardAt_{}; ///< Its last reply.
  Millis SeenAt_{};
  StartKind Starting_ = StartKind::Nothing;

  friend bool operator==(const CrashSpan &, const CrashSpan &) = default;
};

/// The newest poll reply of a worker.
struct LatestPoll {
  Millis ProcessKnownSince_{}; ///< First reply of the process that sent it.
  Millis WorkerClock_{};       ///< When the worker wrote it, on its own clock.
  Millis ReceivedAt_{};

  friend bool operator==(const LatestPoll &, const LatestPoll &) = default;
};

/// The leader's state of one worker.
struct Worker {
  WorkerInfo Info_;
  /// Position in Dispatcher::WorkersByIndex_, not reused for another worker.
  int Index_ = 0;
  int Kind_ = 0;           ///< Index of its kind in WorkerSpeeds::Kinds_.
  int Pool_ = -1;          ///< Index into Dispatcher::Pools_, once known.
  bool Registered_ = true; ///< Listed in the latest registry snapshot.
  /// Info_ is from an earlier snapshot, since the latest entry cannot be used.
  bool EntryIgnored_ = false;
  /// The row that the worker should have. The store may have an earlier one.
  LeaseRow WantedRow_ = LeaseRow::None;
  bool OpenRowStored_ = false; ///< The store has an open row with its address.
  Reachability Reachability_ = Reachability::Unknown;
  /// Start time of the worker process, Unix milliseconds; changes on a restart.
  std::int64_t ProcessStart_ = 0;
  bool Unbound_ = false; ///< PollReply::Unbound_ of some reply.
  LatestPoll LatestPoll_;
  CrashSpan LastCrash_;
  /// Largest capacity reported so far; a worker may shrink and grow again.
  Size LargestCapacity_;
  Size Used_; ///< Resources reserved by runs, unexpected ones included.
  /// Free capacity at the end of the last planning pass; -1 for each resource
  /// if the worker did not accept work.
  Size OfferedCapacity_{-1, -1, -1};
  /// When all leases on the worker have expired, on the leader's clock.
  Millis LeaseExpiry_{};
  /// The worker's clock in its latest reply, and the leader's clock when that
  /// reply arrived.
  Millis WorkerClock_{};
  Millis ClockReadAt_{};
  Millis ClockAskedAt_{}; ///< When the call with that reply was sent.
  /// When another process was found to take its orders. Only a poll that was
  /// sent later tells which one has the clock.
  Millis ClockLostAt_{};
  /// The worker numbers its reports of ended tasks; the highest number
  /// processed.
  std::int64_t LastEnd_ = 0;
  std::set<TaskRef> Tasks_; ///< Tasks that have a run on this worker.
  std::vector<UnexpectedRun> UnexpectedRuns_;
  std::vector<UnansweredStart> UnansweredStarts_;
  /// Tasks that an earlier leader has left running here, until the worker is
  /// reached. Meaningful if its row was closed with known runs.
  std::vector<TaskRef> UnseenRuns_;
  bool UnseenRunsKnown_ = false;
  /// Reached by this leader, but tasks that an earlier one has started may have
  /// ended here unlisted: no reply has listed all ends yet.
  bool HasUnseenEnds_ = false;
  int Fillers_ = 0;     ///< Number of filler runs (StepSpec::Filler_).
  int ServingRuns_ = 0; ///< Number of runs with a latency target.
  Millis MovedAt_{};    ///< When the registry gave another address for it.
  Millis UnreachableSince_{};
  /// Until ReservedUntil_, only tasks of this job may start here.
  std::string ReservedJob_;
  Millis ReservedUntil_{};
  WorkerHealth Health_;
  /// Moving average of actual divided by estimated task duration; zero until a
  /// task has completed. Ignored if the last update is more than a few seconds
  /// old (DurationRatioMaxAge).
  double DurationRatio_ = 0;
  Millis DurationRatioAt_{}; ///< When DurationRatio_ was last updated.
  /// Speed limit of the filler runs, in percent of full speed; zero pauses
  /// them.
  int FillerPercent_ = 100;
  Millis PaceChangedAt_{}; ///< When FillerPercent_ last changed.
};

/// Whether a reply to a poll is older than the newest one, or may be. Replies
/// on different connections overtake each other. SentAt is when the poll was
/// sent.
bool isOvertaken(const Worker &W, const PollReply &Reply, Millis SentAt);

/// Whether the latest process of the worker can have shown this clock in its
/// reply to a call that was sent at SentAt. False if its clock is not known.
bool isClockOf(const Worker &W, Millis Clock, Millis SentAt, Millis Now);

/// Whether the latest process of the worker is known to have lived at the given
/// time, which lies after its first reply.
bool wasAliveAt(const Worker &W, Millis Time);

/// Capacity that no run has reserved. Fillers reserve memory and accelerators
/// but no processors.
inline Size freeCapacity(const Worker &W) {
  return W.Info_.Capacity_ - W.Used_;
}

/// Whether one of two entries of a worker is that of an earlier process, as far
/// as both list start times.
inline bool isOfEarlierProcess(const WorkerInfo &Info,
                               const WorkerInfo &Other) {
  return Info.ProcessStart_ != 0 && Info.ProcessStart_ < Other.ProcessStart_;
}

/// Whether the registry entry is that of the process that answers polls, as far
/// as entries list start times. Another process may have another capacity.
inline bool hasOwnEntry(const Worker &W) {
  return W.Info_.ProcessStart_ == 0 || W.Info_.ProcessStart_ == W.ProcessStart_;
}

/// Whether new tasks may be placed on the worker. Leases need its clock.
inline bool acceptsWork(const Worker &W, Millis Now) {
  return W.Reachability_ == Reachability::Reachable && W.Registered_ &&
         hasOwnEntry(W) && W.OpenRowStored_ && W.WorkerClock_ > Millis{} &&
         !W.Info_.Draining_ && W.Health_.QuarantinedUntil_ <= Now;
}

/// Whether a task of the job may start on the worker, as far as it is reserved
/// for another job.
inline bool isOpenTo(const Worker &W, const std::string &Job, Millis Now) {
  return W.ReservedUntil_ <= Now || W.ReservedJob_ == Job;
}

/// Whether the latest task result on the worker is a failure that is at most a
/// few seconds old (SuspectDuration).
bool isSuspect(const Worker &W, Millis Now);

/// Adds a completed task to the worker's average duration ratio. DurationRatio
/// is the actual divided by the estimated duration of the task.
void recordDurationRatio(Worker &W, double DurationRatio, Millis Now);

/// Whether tasks on the worker take much longer than on a typical worker.
/// TypicalRatio is the average duration ratio of all workers.
bool isSlow(const Worker &W, double TypicalRatio, Millis Now);

/// Record a completed and a failed task. Consecutive failures of different jobs
/// quarantine the worker. Each further failure before a task completes starts a
/// quarantine of twice the length, up to a limit.
void recordSuccess(WorkerHealth &Health);
void recordFailure(WorkerHealth &Health, const std::string &Job, Millis Now);

} // namespace damaskglade::dispatch

#endif
