#ifndef DAMASKGLADE_DISPATCH_RANKING_H
#define DAMASKGLADE_DISPATCH_RANKING_H

#include "dispatch/job_run.h"

namespace damaskglade::dispatch {

/// What the order of steps depends on.
struct RankInput {
  int Priority_ = 0;
  bool LongRunning_ = false;
  Millis Objective_{}; ///< Time from arrival within which the job is on time.
  Millis Age_{};
  Millis Remaining_{}; ///< Estimate of the chain that is still to run.
  double Work_ = 0;    ///< Processor milliseconds of the whole job.
  bool Started_ = false;

  friend bool operator==(const RankInput &, const RankInput &) = default;
};

/// Sort key of a step; smaller starts first.
struct Rank {
  int Priority_ = 0;
  int Lateness_ = 0; ///< 0 on time, 1 late but worth something, 2 worthless.
  double Weight_ = 0;

  friend auto operator<=>(const Rank &, const Rank &) = default;
};

/// Ranks by priority, then by what ending in time is still worth; among equals
/// jobs that have begun and small ones go first, since each job has a fixed
/// worth beside that of its work.
Rank rankStep(const RankInput &Input);

} // namespace damaskglade::dispatch

#endif
