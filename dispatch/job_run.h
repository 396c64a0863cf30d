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

/// Time after which an order to stop is given again. A worker answers within a
/// few milliseconds; the call times out after 250.
inline constexpr Millis StopRetryInterval{400};

enum class RunState {
  Starting,  ///< The order is on its way.
  Uncertain, ///< The order got no answer; it may still be carried out.
  Running,
  Stopping, ///< A stop is on its way or confirmed; the end is not listed yet.
};

/// An attempt at a task that holds room on a worker.
struct Run {
  std::int64_t Attempt_ = 0;
  std::string Worker_;
  RunState State_ = RunState::Starting;
  Millis OrderedAt_{};
  Millis StartedAt_{};    ///< Of the reply to the order.
  bool Reported_ = false; ///< In the worker's list at least once.
  int Percent_ = 0;
  Millis ProgressAt_{};          ///< When the percentage last rose.
  int PollsWithoutProgress_ = 0; ///< Looks since then.
  std::int64_t Gauge_ = 0;
  int Pace_ = 100;
  Millis StopSentAt_{};
  Millis StopConfirmedAt_{}; ///< Zero until the worker has answered a stop.
};

struct TaskState {
  bool Done_ = false;
  std::vector<std::int64_t> FailedAttempts_;
  std::int64_t LastAttempt_ = 0;
  std::string Checkpoint_;
  std::optional<Run> Run_;
  Millis RetryAt_{}; ///< Not started before.
};

struct StepRun {
  std::vector<TaskState> Tasks_;
  int DoneCount_ = 0;
  int RunCount_ = 0; ///< Tasks with a run.
  bool Ready_ = false;
  Millis ReadyAt_{};
  StepAdvice Advice_;
  Millis LastPreemption_{};
  /// Last pass in which no worker had room for a task of the step.
  std::int64_t NoCapacityPass_ = 0;

  bool ended() const { return DoneCount_ == static_cast<int>(Tasks_.size()); }
};

/// A job with the state of its tasks.
struct JobRun {
  JobSpec Spec_;
  std::vector<StepRun> Steps_;
  JobState State_ = JobState::Queued;
  /// State that is recorded, so it survives this leader.
  JobState RecordedState_ = JobState::Queued;
  bool Started_ = false; ///< A task has been started.
  /// Read from the store by a new leader: earlier runs may be anywhere.
  bool Restored_ = false;
  Millis ArrivedAt_{}; ///< Leader's monotonic clock.
  Millis EndedAt_{};
  Millis CriticalPath_{};
  double Work_ = 0;
};

} // namespace damaskglade::dispatch

#endif
