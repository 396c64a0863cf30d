#include "dispatch/fleet.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// A job that always fails makes single workers look bad, so failures count
// towards a quarantine only once they come from different jobs.
constexpr int FailuresToQuarantine = 3;
constexpr int JobsToQuarantine = 2;
// The shortest faults of workers on the users' sites last about 5 s.
constexpr Millis FirstQuarantine{2000};
constexpr Millis LongestQuarantine{8000};
// A worker that gets no lookups any more is tried again after this time.
constexpr Millis SpeedMemory{4000};

// Faults of workers last several seconds. Tasks also fail by their own fault,
// so a suspect worker is only the last choice, and not for long.
constexpr Millis SuspectTime{4000};

} // namespace

Size freeRoom(const Worker &Where) {
  return Where.Info_.Capacity_ - Where.Used_;
}

bool acceptsWork(const Worker &Where, Millis Now) {
  return Where.Contact_ == Contact::Good && Where.Listed_ && Where.Recorded_ &&
         !Where.Info_.Draining_ && Where.Health_.QuarantinedUntil_ <= Now;
}

bool isSuspect(const Worker &Where, Millis Now) {
  return Where.Health_.FailuresInRow_ > 0 &&
         Now < Where.Health_.LastFailureAt_ + SuspectTime;
}

void noteSpeed(Worker &Where, double ShareOfEstimate, Millis Now) {
  constexpr double Weight = 0.35;
  if (Where.Slowness_ == 0 || Now > Where.SlownessAt_ + SpeedMemory)
    Where.Slowness_ = ShareOfEstimate;
  else
    Where.Slowness_ += Weight * (ShareOfEstimate - Where.Slowness_);
  Where.SlownessAt_ = Now;
}

bool isSlow(const Worker &Where, double UsualShare, Millis Now) {
  // Declared times are off by up to half, so less tells nothing.
  constexpr double SlowFactor = 3.0;
  return UsualShare > 0 && Where.Slowness_ > SlowFactor * UsualShare &&
         Now < Where.SlownessAt_ + SpeedMemory;
}

void noteSuccess(WorkerHealth &Health) { Health = WorkerHealth{}; }

void noteFailure(WorkerHealth &Health, const std::string &Job, Millis Now) {
  ++Health.FailuresInRow_;
  Health.LastFailureAt_ = Now;
  if (Health.LastFailedJob_ != Job) {
    Health.LastFailedJob_ = Job;
    ++Health.FailedJobs_;
  }
  const bool Trial = Health.QuarantineLength_ > Millis{};
  const bool Suspect = Health.FailuresInRow_ >= FailuresToQuarantine &&
                       Health.FailedJobs_ >= JobsToQuarantine;
  if (!Trial && !Suspect)
    return;
  Health.QuarantineLength_ =
      Trial ? std::min(Health.QuarantineLength_ * 2, LongestQuarantine)
            : FirstQuarantine;
  Health.QuarantinedUntil_ = Now + Health.QuarantineLength_;
}

} // namespace damaskglade::dispatch
