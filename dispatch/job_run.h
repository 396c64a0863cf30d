#ifndef DAMASKGLADE_DISPATCH_JOB_RUN_H
#define DAMASKGLADE_DISPATCH_JOB_RUN_H

#include "dispatch/advice.h"
#include "dispatch/job.h"
#include "dispatch/reservation.h"
#include "dispatch/speed.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::dispatch {

/// A stop order that the worker has not confirmed is repeated after this time.
/// Workers answer within a few milliseconds; the call times out after 250 ms.
inline constexpr Millis StopRetryInterval{400};

enum class RunState {
  Starting,  ///< The start order has been sent.
  Uncertain, ///< No reply to the start order; it may still be carried out.
  Running,
  Stopping, ///< Stop sent or confirmed; the end has not been reported.
};

/// An attempt at a task that holds resources on a worker.
struct Run {
  std::int64_t Attempt_ = 0;
  std::string Worker_;
  /// Start time of the worker process that it was ordered from or that has
  /// listed it, Unix milliseconds.
  std::int64_t Process_ = 0;
  RunState State_ = RunState::Starting;
  Millis OrderedAt_{};
  Millis StartedAt_{}; ///< When the start was confirmed; zero if it was not.
  /// Started while the worker started no task of another job.
  bool Apart_ = false;
  /// Ordered by this leader and not resumed from a checkpoint.
  bool WholeTask_ = false;
  bool Reported_ = false; ///< Listed in at least one poll reply of the worker.
  /// Progress that the worker reports; 100 in a long-running task: it serves.
  int Percent_ = 0;
  Millis ProgressAt_{};          ///< When the percentage last changed.
  int PollsWithoutProgress_ = 0; ///< Poll replies since ProgressAt_.
  std::int64_t Gauge_ = 0; ///< Reported load; tail latency in ms for services.
  int Pace_ = 100; ///< Speed limit last ordered, in percent; -1 if unknown.
  Millis StopSentAt_{};      ///< When the stop order was last sent.
  Millis StopConfirmedAt_{}; ///< Zero until the worker confirms a stop.
};

struct TaskState {
  bool Done_ = false;
  std::vector<std::int64_t> FailedAttempts_;
  /// Attempts whose worker crashed while it started them; empty again once an
  /// attempt has outlived its start.
  std::vector<std::int64_t> CrashedAttempts_;
  std::int64_t LastAttempt_ = 0; ///< Highest attempt number used so far.
  std::string Checkpoint_;       ///< Latest one; passed to the next attempt.
  std::optional<Run> Run_;       ///< Empty if no worker holds the task.
  Millis RetryAt_{};             ///< Earliest time of the next attempt.
  /// This leader has started the task or found it running, or the one before
  /// has told that it ran nowhere. So no attempt of an earlier leader runs on a
  /// worker that was not polled yet.
  bool Located_ = false;
  /// Workers not reached yet on which an earlier leader has left it running.
  int UnseenRuns_ = 0;
  int UnexpectedRuns_ = 0; ///< Its entries in Worker::UnexpectedRuns_.
};

/// The state of a step and of its tasks.
struct StepRun {
  std::vector<TaskState> Tasks_;
  int DoneCount_ = 0;
  int RunCount_ = 0;   ///< Tasks that have a run.
  bool Ready_ = false; ///< All steps that it depends on have completed.
  Millis ReadyAt_{};
  StepAdvice Advice_;
  Millis LastPreemption_{}; ///< When tasks were last stopped for this step.
  /// Number of the last planning pass that found no worker with capacity for
  /// one more task of the step.
  std::int64_t NoCapacityPass_ = 0;
  /// Of a gang that waits for capacity: the workers that it needs, if it can
  /// start at all, when that was calculated, and since when they are reserved.
  std::optional<Reservation> Reservation_;
  Millis ReservationAt_{};
  Millis HeldSince_{};

  /// Durations of its tasks, from which the speeds of workers are learned once
  /// it has ended.
  std::vector<SpeedSample> SpeedSamples_;

  bool ended() const { return DoneCount_ == static_cast<int>(Tasks_.size()); }
};

/// Tasks of a step with consecutive indexes.
struct TaskRange {
  std::string Job_;
  int Step_ = 0;
  int First_ = 0;
  int Last_ = 0; ///< Inclusive.

  friend bool operator==(const TaskRange &, const TaskRange &) = default;
};

/// A job and the state of its tasks.
struct JobRun {
  JobSpec Spec_;
  std::vector<StepRun> Steps_;
  JobState State_ = JobState::Queued;
  /// State last written to the store, from which a later leader reads it.
  JobState RecordedState_ = JobState::Queued;
  /// How often this leader has seen a worker crash that was starting a task of
  /// the job, and how many of these crashes are stored.
  int Crashes_ = 0;
  int RecordedCrashes_ = 0;
  bool Started_ = false;   ///< A worker has had one of the tasks.
  bool OverShare_ = false; ///< Accepted beyond the share of its workspace.
  /// Read from the store by this leader. Tasks that an earlier leader started
  /// may be running on any worker.
  bool Restored_ = false;
  /// Size of its tasks that an earlier leader may have left running on workers
  /// that are not reached yet.
  Size Unlocated_;
  Millis ArrivedAt_{}; ///< On the leader's monotonic clock.
  Millis EndedAt_{};
  Millis CriticalPath_{}; ///< Estimated duration of the longest chain of steps.
  double Work_ = 0;       ///< Estimated processor milliseconds of all tasks.
};

} // namespace damaskglade::dispatch

#endif
