#include "dispatch/ranking.h"

namespace damaskglade::dispatch {

namespace {

// A job that ends after more than this multiple of its objective has no value.
constexpr int WorthlessFactor = 3;
// The work of a started job counts by this factor, which ranks it before jobs
// of the same size that have not started.
constexpr double StartedWorkFactor = 0.5;

} // namespace

Rank rankStep(const RankInput &Input) {
  Rank StepRank;
  StepRank.Priority_ = Input.Priority_;
  StepRank.OverShare_ = Input.OverShare_;
  StepRank.ShareLevel_ = Input.ShareLevel_;
  if (Input.LongRunning_)
    return StepRank;
  const Millis ProjectedTime = Input.Age_ + Input.Remaining_;
  if (ProjectedTime > Input.Objective_)
    StepRank.Lateness_ = 1;
  if (ProjectedTime > Input.Objective_ * WorthlessFactor)
    StepRank.Lateness_ = 2;
  StepRank.Weight_ = Input.Work_ * (Input.Started_ ? StartedWorkFactor : 1.0);
  return StepRank;
}

} // namespace damaskglade::dispatch
