#ifndef DAMASKGLADE_DISPATCH_FLEET_H
#define DAMASKGLADE_DISPATCH_FLEET_H

#include "dispatch/job.h"

#include <set>
#include <string>
#include <vector>

namespace damaskglade::dispatch {

/// Registry entry of a worker.
struct WorkerInfo {
  std::string Id_;
  std::string Address_;
  std::string Service_;
  std::string Zone_;
  std::vector<std::string> Labels_;
  Size Capacity_;
  bool Draining_ = false;
  Millis Remaining_{}; ///< While draining, the least time left.

  friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

/// Whether a worker answers this leader.
enum class Reachability {
  Unknown, ///< Not polled by this leader yet; it may run any task.
  Reachable,
  Unreachable, ///< Calls fail; its runs are kept until their leases expire.
  Expired,     ///< Leases have expired; none of the known runs is alive.
};

/// Recent task results on a worker, used to detect a failing one.
struct WorkerHealth {
  int FailuresInRow_ = 0;
  Millis LastFailureAt_{};
  std::string LastFailedJob_;
  int FailedJobs_ = 0; ///< Rises when a failure in the row is of another job.
  Millis QuarantinedUntil_{};
  Millis QuarantineLength_{}; ///< Doubles with each failure after a quarantine.

  friend bool operator==(const WorkerHealth &, const WorkerHealth &) = default;
};

/// A run that a worker reports but the leader did not expect; it is stopped.
struct UnexpectedRun {
  std::string Task_;
  std::int64_t Attempt_ = 0;
  Size Reserved_;
  Millis StopSentAt_{};

  friend bool operator==(const UnexpectedRun &,
                         const UnexpectedRun &) = default;
};

/// The leader's state of one worker.
struct Worker {
  WorkerInfo Info_;
  int Slot_ = 0;           ///< Never reused for another worker.
  bool Registered_ = true; ///< Listed in the registry.
  bool Recorded_ = false;  ///< In the store, so later leaders know it.
  Reachability Reachability_ = Reachability::Unknown;
  std::int64_t ProcessStart_ = 0;
  Size Used_;
  /// Free capacity at the end of the last planning pass; negative if the worker
  /// did not accept work.
  Size OfferedCapacity_{-1, -1, -1};
  /// When all leases on the worker have expired, on the leader's clock.
  Millis LeaseExpiry_{};
  /// The worker's clock in its latest reply, and the leader's clock when that
  /// reply arrived.
  Millis WorkerClock_{};
  Millis ClockReadAt_{};
  std::int64_t LastEnd_ = 0; ///< Highest end number processed so far.
  std::set<TaskRef> Tasks_;  ///< Tasks that have a run on this worker.
  std::vector<UnexpectedRun> UnexpectedRuns_;
  int Fillers_ = 0;     ///< Number of filler runs.
  int ServingRuns_ = 0; ///< Number of runs with a latency target.
  Millis UnreachableSince_{};
  WorkerHealth Health_;
  /// Moving average of task duration divided by its estimate; zero until a task
  /// has completed. Out of date some time after DurationRatioAt_.
  double DurationRatio_ = 0;
  Millis DurationRatioAt_{};
  int FillerPercent_ = 100; ///< Speed limit of the fillers, in percent.
  Millis PaceChangedAt_{};
};

/// Unreserved capacity. Fillers reserve no processors.
Size freeCapacity(const Worker &W);

/// Whether new tasks may be placed on the worker.
bool acceptsWork(const Worker &W, Millis Now);

/// Whether the last task on the worker failed a short time ago.
bool isSuspect(const Worker &W, Millis Now);

/// Updates the average duration ratio with that of a completed task.
void recordDurationRatio(Worker &W, double DurationRatio, Millis Now);
/// Whether tasks on the worker take much longer than on a typical worker.
bool isSlow(const Worker &W, double TypicalRatio, Millis Now);

/// Record a task result. Consecutive failures of different jobs quarantine the
/// worker; each failure after that doubles the quarantine, up to a limit.
void recordSuccess(WorkerHealth &Health);
void recordFailure(WorkerHealth &Health, const std::string &Job, Millis Now);

} // namespace damaskglade::dispatch

#endif
