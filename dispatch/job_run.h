#ifndef DAMASKGLADE_DISPATCH_JOB_RUN_H
#define DAMASKGLADE_DISPATCH_JOB_RUN_H

#include "dispatch/advice.h"
#include "dispatch/job.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::dispatch {

/// Interval after which an unconfirmed stop order is repeated. A worker answers
/// within a few milliseconds; the call times out after 250 ms.
inline constexpr Millis StopRetryInterval{400};

enum class RunState {
  Starting,  ///< The start order has been sent.
  Uncertain, ///< No reply to the start order; it may still be carried out.
  Running,
  Stopping, ///< Stop sent or confirmed; the end is not reported yet.
};

/// An attempt at a task that holds resources on a worker.
struct Run {
  std::int64_t Attempt_ = 0;
  std::string Worker_;
  RunState State_ = RunState::Starting;
  Millis OrderedAt_{};
  Millis StartedAt_{};    ///< When the start was confirmed; zero if it was not.
  bool Reported_ = false; ///< In at least one poll reply of the worker.
  int Percent_ = 0;
  Millis ProgressAt_{};          ///< When the percentage last changed.
  int PollsWithoutProgress_ = 0; ///< Polls since ProgressAt_.
  std::int64_t Gauge_ = 0;
  int Pace_ = 100;
  Millis StopSentAt_{};
  Millis StopConfirmedAt_{}; ///< Zero until the worker confirms a stop.
};

struct TaskState {
  bool Done_ = false;
  std::vector<std::int64_t> FailedAttempts_;
  std::int64_t LastAttempt_ = 0;
  std::string Checkpoint_;
  std::optional<Run> Run_;
  Millis RetryAt_{}; ///< Earliest time of the next attempt.
};

struct StepRun {
  std::vector<TaskState> Tasks_;
  int DoneCount_ = 0;
  int RunCount_ = 0; ///< Tasks that have a run.
  bool Ready_ = false;
  Millis ReadyAt_{};
  StepAdvice Advice_;
  Millis LastPreemption_{};
  /// Last planning pass in which no worker had capacity for a task of the step.
  std::int64_t NoCapacityPass_ = 0;

  bool ended() const { return DoneCount_ == static_cast<int>(Tasks_.size()); }
};

/// A job and the state of its tasks.
struct JobRun {
  JobSpec Spec_;
  std::vector<StepRun> Steps_;
  JobState State_ = JobState::Queued;
  /// State in the store, which outlives this leader.
  JobState RecordedState_ = JobState::Queued;
  bool Started_ = false; ///< At least one task has been started.
  /// Read from the store by a new leader: runs that an earlier leader started
  /// may be on any worker.
  bool Restored_ = false;
  Millis ArrivedAt_{}; ///< On the leader's monotonic clock.
  Millis EndedAt_{};
  Millis CriticalPath_{};
  double Work_ = 0;
};

} // namespace damaskglade::dispatch

#endif
