#ifndef DAMASKGLADE_DISPATCH_USAGE_H
#define DAMASKGLADE_DISPATCH_USAGE_H

#include "dispatch/job.h"

#include <algorithm>
#include <optional>

namespace damaskglade::dispatch {

/// A step that waits until its workspace uses so little of its limit that the
/// step fits. Other steps of the workspace do not start meanwhile.
struct LimitTurn {
  std::string Job_;
  int Step_ = 0;
  int Priority_ = 0;
  Millis Since_{};
  Millis RoomSince_{}; ///< Since when the limit has had room; zero: it has not.

  friend bool operator==(const LimitTurn &, const LimitTurn &) = default;
};

/// What the tasks of a workspace use, with the processors of fillers.
struct WorkspaceUsage {
  Size Runs_;    ///< Of runs and unexpected runs.
  Size Lasting_; ///< The part of Runs_ that long-running tasks use.
  /// Of restored tasks that an earlier leader may have left running on workers
  /// not reached yet (JobRun::Unlocated_).
  Size Unlocated_;
  /// Calculated at the start of each planning pass: the part of Unlocated_ that
  /// such workers can run, and starts without a reply whose runs were dropped.
  Size Pending_;
  /// Needed by tasks for which this pass has stopped others.
  Size Awaited_;
  std::optional<LimitTurn> Turn_;
  Millis TurnEndedAt_{}; ///< Of the last turn.

  Size total() const { return Runs_ + Pending_ + Awaited_; }

  friend bool operator==(const WorkspaceUsage &,
                         const WorkspaceUsage &) = default;
};

inline Size operator*(const Size &Each, std::int64_t Count) {
  return Size{Each.MilliCpus_ * Count, Each.MemoryMib_ * Count,
              Each.Accelerators_ * Count};
}

/// The smaller amount of each resource.
inline Size smallest(const Size &A, const Size &B) {
  return Size{std::min(A.MilliCpus_, B.MilliCpus_),
              std::min(A.MemoryMib_, B.MemoryMib_),
              std::min(A.Accelerators_, B.Accelerators_)};
}

/// Whether the amount is within the limit. A resource that is zero in Limit is
/// not limited; one that is zero in Need may be overused.
bool isWithinLimit(const Size &Used, const Size &Need, const Size &Limit);

/// How many tasks of the given size may start, at most Count. A task that is
/// larger than the limit starts if nothing is used.
std::int64_t startsWithinLimit(const Size &Used, const Size &Each,
                               const Size &Limit, std::int64_t Count);

} // namespace damaskglade::dispatch

#endif
