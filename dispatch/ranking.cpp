#include "dispatch/ranking.h"

namespace damaskglade::dispatch {

namespace {

// A job that completes within three times its objective still has value.
constexpr int WorthlessFactor = 3;
constexpr double StartedWorkFactor = 0.5;

} // namespace

Rank rankStep(const RankInput &Input) {
  Rank StepRank;
  StepRank.Priority_ = Input.Priority_;
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
