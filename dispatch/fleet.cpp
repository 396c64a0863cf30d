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

} // namespace

Size freeRoom(const Worker &Where) {
  return Where.Info_.Capacity_ - Where.Used_;
}

bool acceptsWork(const Worker &Where, Millis Now) {
  return Where.Contact_ == Contact::Good && Where.Listed_ && Where.Recorded_ &&
         !Where.Info_.Draining_ && Where.Health_.QuarantinedUntil_ <= Now;
}

void noteSuccess(WorkerHealth &Health) { Health = WorkerHealth{}; }

void noteFailure(WorkerHealth &Health, const std::string &Job, Millis Now) {
  ++Health.FailuresInRow_;
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
