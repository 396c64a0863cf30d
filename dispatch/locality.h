#ifndef DAMASKGLADE_DISPATCH_LOCALITY_H
#define DAMASKGLADE_DISPATCH_LOCALITY_H

#include "core/clock.h"

#include <cstdint>
#include <vector>

namespace damaskglade::dispatch {

/// Processors that a run is expected to release.
struct ExpectedEnd {
  Millis At_{};
  std::int64_t MilliCpus_ = 0;

  friend bool operator==(const ExpectedEnd &, const ExpectedEnd &) = default;
};

/// Inputs of tasksToHold() for a step whose preferred rack has no room.
struct RackWaitInput {
  Millis Now_{};
  Millis ReadyAt_{};   ///< When the step became ready.
  Millis RunTime_{};   ///< Expected run time of a task in the rack.
  Millis Following_{}; ///< Estimated run time of the steps that follow.
  Millis DueAt_{};     ///< The job is on time if it ends by then.
  double Penalty_ = 1; ///< Factor by which a task takes longer elsewhere.
  int Tasks_ = 0;      ///< Tasks of the step that wait.
  std::int64_t TaskMilliCpus_ = 0;
  /// Of the workers of the rack that accept work and may run the step, by time.
  std::vector<ExpectedEnd> Ends_;
  /// Of what ends, the part for which tasks of earlier steps wait.
  std::int64_t AheadMilliCpus_ = 0;
  double FreeShare_ = 0; ///< Of the fleet's processors.

  friend bool operator==(const RackWaitInput &,
                         const RackWaitInput &) = default;
};

/// How many of the waiting tasks should wait for the rack; the others start
/// elsewhere.
int tasksToHold(const RackWaitInput &Input);

} // namespace damaskglade::dispatch

#endif
