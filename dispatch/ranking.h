#ifndef DAMASKGLADE_DISPATCH_RANKING_H
#define DAMASKGLADE_DISPATCH_RANKING_H

#include "dispatch/job_run.h"

namespace damaskglade::dispatch {

/// Inputs from which rankStep() computes the rank of a step.
struct RankInput {
  int Priority_ = 0;
  bool LongRunning_ = false;
  Millis Objective_{};   ///< Time from arrival within which the job is on time.
  Millis Age_{};         ///< Time since the job arrived.
  Millis Remaining_{};   ///< Estimated run time of the step.
  double Work_ = 0;      ///< Estimated processor milliseconds of the whole job.
  bool Started_ = false; ///< JobRun::Started_.
  bool OverShare_ = false; ///< JobRun::OverShare_.
  int ShareLevel_ = 0;     ///< shareLevel() of the workspace.

  friend bool operator==(const RankInput &, const RankInput &) = default;
};

/// Sort key of a step; steps with a smaller key are placed first.
struct Rank {
  int Priority_ = 0;
  bool OverShare_ = false; ///< The workspace has sent more than its share.
  /// 0: the job is expected on time; 1: late; 2: so late that it has no value.
  int Lateness_ = 0;
  int ShareLevel_ = 0;
  double Weight_ = 0; ///< Work of the job, reduced if it has started.

  friend auto operator<=>(const Rank &, const Rank &) = default;
};

/// Ranks by priority, then jobs in share before others, then by the expected
/// lateness, then by how far the workspace is beyond its part of the fleet.
/// Among equals, started jobs and jobs with less work go first. The value of a
/// completed job is a fixed part plus a part that grows with its work. Because
/// of the fixed part, small jobs yield more value per unit of processor time.
Rank rankStep(const RankInput &Input);

} // namespace damaskglade::dispatch

#endif
