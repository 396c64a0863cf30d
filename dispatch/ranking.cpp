#include "dispatch/ranking.h"

namespace damaskglade::dispatch {

namespace {

// A job that ends within three times its objective is late but still counts.
constexpr int WorthlessFactor = 3;
constexpr double StartedWorkFactor = 0.5;

} // namespace

Rank rankStep(const RankInput &Input) {
  Rank Out;
  Out.Priority_ = Input.Priority_;
  if (Input.LongRunning_)
    return Out;
  const Millis End = Input.Age_ + Input.Remaining_;
  if (End > Input.Objective_)
    Out.Lateness_ = 1;
  if (End > Input.Objective_ * WorthlessFactor)
    Out.Lateness_ = 2;
  Out.Weight_ = Input.Work_ * (Input.Started_ ? StartedWorkFactor : 1.0);
  return Out;
}

} // namespace damaskglade::dispatch
