#include "dispatch/fleet.h"

#include <algorithm>
#include <cstdlib>

namespace damaskglade::dispatch {

namespace {

// A worker is quarantined after this many consecutive failures, among them
// failures of different jobs: one job that always fails must not quarantine
// healthy workers.
constexpr int MinQuarantineFailures = 3;
constexpr int MinQuarantineJobs = 2;
// Length of the first quarantine and limit of the later ones, each of which is
// twice as long as the one before. The shortest worker faults in production
// last about 5 s.
constexpr Millis MinQuarantineLength{2000};
constexpr Millis MaxQuarantineLength{8000};
// A worker's average duration ratio is ignored if it was not updated for this
// time, so that a slow worker that no longer gets tasks is tried again.
constexpr Millis DurationRatioMaxAge{4000};

// Time after a failure during which placement avoids the worker. Worker faults
// last several seconds. The time is short because a task may also fail through
// an error of its own on a healthy worker.
constexpr Millis SuspectDuration{4000};

// A worker that has answered is taken to live on for this time, which is as
// long as an order waits for its reply.
constexpr Millis AliveTime{250};

// Clocks are told in whole milliseconds, and may run 2% slow.
constexpr Millis ClockRounding{10};
constexpr std::int64_t DriftDivisor = 50;

} // namespace

// A poll that was sent after a reply had arrived is answered after it.
// Otherwise only the clock of the same process tells which reply is newer.
bool isOvertaken(const Worker &W, const PollReply &Reply, Millis SentAt) {
  const LatestPoll &Latest = W.LatestPoll_;
  if (Reply.Outcome_ != OrderOutcome::Done)
    return SentAt < Latest.ReceivedAt_;
  if (Reply.ProcessStart_ != W.ProcessStart_)
    return SentAt < Latest.ProcessKnownSince_;
  return SentAt < Latest.ReceivedAt_ && Reply.Clock_ <= Latest.WorkerClock_;
}

bool isClockOf(const Worker &W, Millis Clock, Millis SentAt, Millis Now) {
  if (W.WorkerClock_ == Millis{})
    return false;
  const auto Error = [](Millis Duration) {
    return Millis{std::abs(Duration.Value_) / DriftDivisor} + ClockRounding;
  };
  // Both replies were written between their call and their arrival.
  const Millis Shortest = SentAt - W.ClockReadAt_;
  const Millis Longest = Now - W.ClockAskedAt_;
  return Clock >= W.WorkerClock_ + Shortest - Error(Shortest) &&
         Clock <= W.WorkerClock_ + Longest + Error(Longest);
}

bool wasAliveAt(const Worker &W, Millis Time) {
  return Time <= W.ClockReadAt_ + AliveTime;
}

bool isSuspect(const Worker &W, Millis Now) {
  return W.Health_.FailuresInRow_ > 0 &&
         Now < W.Health_.LastFailureAt_ + SuspectDuration;
}

void recordDurationRatio(Worker &W, double DurationRatio, Millis Now) {
  constexpr double SmoothingFactor = 0.35;
  if (W.DurationRatio_ == 0 || Now > W.DurationRatioAt_ + DurationRatioMaxAge)
    W.DurationRatio_ = DurationRatio;
  else
    W.DurationRatio_ += SmoothingFactor * (DurationRatio - W.DurationRatio_);
  W.DurationRatioAt_ = Now;
}

bool isSlow(const Worker &W, double TypicalRatio, Millis Now) {
  // A worker counts as slow above this multiple of the typical ratio. Estimates
  // in job specifications are off by up to 50%, so a smaller factor would give
  // false positives.
  constexpr double SlowFactor = 3.0;
  return TypicalRatio > 0 && W.DurationRatio_ > SlowFactor * TypicalRatio &&
         Now < W.DurationRatioAt_ + DurationRatioMaxAge;
}

void recordSuccess(WorkerHealth &Health) { Health = WorkerHealth{}; }

void recordFailure(WorkerHealth &Health, const std::string &Job, Millis Now) {
  ++Health.FailuresInRow_;
  Health.LastFailureAt_ = Now;
  if (Health.LastFailedJob_ != Job) {
    Health.LastFailedJob_ = Job;
    ++Health.FailedJobSwitches_;
  }
  const bool OnProbation = Health.QuarantineLength_ > Millis{};
  const bool ThresholdReached =
      Health.FailuresInRow_ >= MinQuarantineFailures &&
      Health.FailedJobSwitches_ >= MinQuarantineJobs;
  if (!OnProbation && !ThresholdReached)
    return;
  Health.QuarantineLength_ =
      OnProbation ? std::min(Health.QuarantineLength_ * 2, MaxQuarantineLength)
                  : MinQuarantineLength;
  Health.QuarantinedUntil_ = Now + Health.QuarantineLength_;
}

} // namespace damaskglade::dispatch
