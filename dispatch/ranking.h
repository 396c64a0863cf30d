#ifndef DAMASKGLADE_DISPATCH_RANKING_H
#define DAMASKGLADE_DISPATCH_RANKING_H

#include "dispatch/job_run.h"

namespace damaskglade::dispatch {

/// Inputs of the rank of a step.
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
  int Lateness_ = 0; ///< 0 on time, 1 late but still useful, 2 useless.
  double Weight_ = 0;

  friend auto operator<=>(const Rank &, const Rank &) = default;
};

/// Ranks by priority, then by the projected lateness. Among equals, started and
/// small jobs go first, because each completed job has a fixed value in
/// addition to that of its work.
Rank rankStep(const RankInput &Input);

} // namespace damaskglade::dispatch

#endif
