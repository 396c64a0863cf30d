#ifndef DAMASKGLADE_DISPATCH_FLEET_H
#define DAMASKGLADE_DISPATCH_FLEET_H

#include "dispatch/job.h"

#include <set>
#include <string>
#include <vector>

namespace damaskglade::dispatch {

/// A worker as the registry lists it.
struct WorkerInfo {
  std::string Id_;
  std::string Address_;
  std::string Service_;
  std::string Zone_;
  std::vector<std::string> Labels_;
  Size Capacity_;
  bool Draining_ = false;
  Millis Remaining_{}; ///< While draining, the least time that is left.

  friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

/// Whether orders may go to a worker.
enum class Contact {
  Unknown, ///< Not looked at by this leader; it may run anything.
  Good,
  Unreachable, ///< Calls fail; what runs there is kept until its lease has
               ///< lapsed.
  Expired,     ///< Certain to run nothing that this leader knows of.
};

/// Recent ends on a worker, by which a failing one is told.
struct WorkerHealth {
  int FailuresInRow_ = 0;
  Millis LastFailureAt_{};
  std::string LastFailedJob_;
  int FailedJobs_ = 0; ///< Different jobs among the failures in a row.
  Millis QuarantinedUntil_{};
  Millis QuarantineLength_{}; ///< Grows while trials fail.

  friend bool operator==(const WorkerHealth &, const WorkerHealth &) = default;
};

/// A run that should not be on a worker and is being stopped.
struct UnexpectedRun {
  std::string Task_;
  std::int64_t Attempt_ = 0;
  Size Reserved_;
  Millis StopSentAt_{};

  friend bool operator==(const UnexpectedRun &,
                         const UnexpectedRun &) = default;
};

/// The leader's book of one worker.
struct Worker {
  WorkerInfo Info_;
  int Slot_ = 0;           ///< Never used again for another worker.
  bool Registered_ = true; ///< In the registry.
  bool Recorded_ = false;  ///< A later leader will know of it.
  Contact Contact_ = Contact::Unknown;
  std::int64_t ProcessStart_ = 0;
  Size Used_;
  /// Room at the end of the last planning pass; negative if it took no work.
  Size OfferedCapacity_{-1, -1, -1};
  /// All leases on the worker have lapsed by then, on the leader's clock.
  Millis LeaseExpiry_{};
  /// Worker clock and leader clock at the same reply.
  Millis WorkerClock_{};
  Millis ClockReadAt_{};
  std::int64_t LastEnd_ = 0; ///< Highest end number that was processed.
  std::set<TaskRef> Tasks_;  ///< Tasks with a run here.
  std::vector<UnexpectedRun> UnexpectedRuns_;
  int Fillers_ = 0;     ///< Runs of fillers.
  int ServingRuns_ = 0; ///< Runs of tasks with a latency target.
  Millis UnreachableSince_{};
  WorkerHealth Health_;
  /// Moving average of the time of tasks as a share of their estimate; zero
  /// if none has ended lately.
  double DurationRatio_ = 0;
  Millis DurationRatioAt_{};
  int FillerPercent_ = 100; ///< Pace of fillers here.
  Millis PaceChangedAt_{};
};

/// Room for more tasks. A filler needs no free processors.
Size freeRoom(const Worker &W);

/// Whether new tasks may be placed on the worker.
bool acceptsWork(const Worker &W, Millis Now);

/// Whether the last task on the worker failed, and lately.
bool isSuspect(const Worker &W, Millis Now);

/// Notes the time of a task that ended well.
void noteSpeed(Worker &W, double DurationRatio, Millis Now);
/// Whether tasks on the worker take far longer than usual.
bool isSlow(const Worker &W, double TypicalRatio, Millis Now);

/// Notes an end; quarantines the worker after failures of different jobs in a
/// row, for twice as long each time a trial fails.
void noteSuccess(WorkerHealth &Health);
void noteFailure(WorkerHealth &Health, const std::string &Job, Millis Now);

} // namespace damaskglade::dispatch

#endif
