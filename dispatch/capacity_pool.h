#ifndef DAMASKGLADE_DISPATCH_CAPACITY_POOL_H
#define DAMASKGLADE_DISPATCH_CAPACITY_POOL_H

#include "dispatch/fleet.h"
#include "dispatch/job.h"

namespace damaskglade::dispatch {

/// Share of running work that is expected to end before the tickets of a
/// request expire.
inline constexpr double ReleasedShare = 1.0 / 6;

/// Workers of one service with the same labels, and what steps may still count
/// on there in a planning pass. Tasks are counted in fractions, as if all of
/// the capacity were on one worker.
struct CapacityPool {
  /// Service and labels of the workers, and the largest capacity of one.
  WorkerInfo Info_;
  int Workers_ = 0;  ///< That accept work.
  Size LargestFree_; ///< Largest free amount of each resource on one worker.
  Size Free_;
  Size Released_; ///< Expected to become free soon.

  friend bool operator==(const CapacityPool &, const CapacityPool &) = default;
};

/// Adds the worker's free and expected capacity to the pool.
void addWorker(CapacityPool &Pool, const Worker &W);

/// Whether the pool has processors left.
bool hasCapacity(const CapacityPool &Pool);

/// Tasks of this size for which the pool has capacity.
double availableTasks(const CapacityPool &Pool, const Size &Need);

/// Removes the capacity for so many tasks, at most availableTasks().
void claimTasks(CapacityPool &Pool, const Size &Need, double Tasks);

} // namespace damaskglade::dispatch

#endif
