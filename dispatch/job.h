#ifndef DAMASKGLADE_DISPATCH_JOB_H
#define DAMASKGLADE_DISPATCH_JOB_H

#include "core/clock.h"
#include "core/error.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::dispatch {

/// Amount of each resource that a task needs or a worker has.
struct Size {
  std::int64_t MilliCpus_ = 0;
  std::int64_t MemoryMib_ = 0;
  std::int64_t Accelerators_ = 0;

  friend bool operator==(const Size &, const Size &) = default;
};

// Planning calls these for every worker, so they are inline.

inline Size operator+(const Size &A, const Size &B) {
  return Size{A.MilliCpus_ + B.MilliCpus_, A.MemoryMib_ + B.MemoryMib_,
              A.Accelerators_ + B.Accelerators_};
}

inline Size operator-(const Size &A, const Size &B) {
  return Size{A.MilliCpus_ - B.MilliCpus_, A.MemoryMib_ - B.MemoryMib_,
              A.Accelerators_ - B.Accelerators_};
}

inline bool fits(const Size &Need, const Size &Free) {
  return Need.MilliCpus_ <= Free.MilliCpus_ &&
         Need.MemoryMib_ <= Free.MemoryMib_ &&
         Need.Accelerators_ <= Free.Accelerators_;
}

/// The same for the free capacity of a worker that has shrunk: a resource of
/// which nothing is needed may be overused.
inline bool fitsInto(const Size &Need, const Size &Free) {
  const auto HasRoom = [](std::int64_t Needed, std::int64_t Available) {
    return Needed == 0 || Needed <= Available;
  };
  return HasRoom(Need.MilliCpus_, Free.MilliCpus_) &&
         HasRoom(Need.MemoryMib_, Free.MemoryMib_) &&
         HasRoom(Need.Accelerators_, Free.Accelerators_);
}

/// The larger amount of each resource.
Size largest(const Size &A, const Size &B);

/// A step of a job: identical tasks that start once other steps are complete.
struct StepSpec {
  int Count_ = 1;
  Size Size_;
  Millis Estimate_{};
  std::vector<int>
      Dependencies_;           ///< Indexes of steps that must complete first.
  bool Checkpointing_ = false; ///< A stopped task can resume from a checkpoint.
  bool Gang_ = false;          ///< All tasks run at the same time or none.
  bool SameRack_ = false;      ///< Runs slower when spread over racks.
  bool Speculative_ = false;   ///< Copies may run in parallel.
  bool LongRunning_ = false;   ///< Runs until the job is canceled.
  /// Best-effort tasks that run on idle processors and reserve none. They are
  /// slowed down if they raise the latency of other tasks on the worker.
  bool Filler_ = false;
  std::string Label_;    ///< Worker label that the step requires.
  std::string Rack_;     ///< Rack label of the input data.
  int MaxPerWorker_ = 0; ///< Tasks of the step on one worker; zero: no limit.
  std::string Image_;
  Millis TargetLatency_{}; ///< Latency goal of a serving task; zero: none.
  int MaxUnavailable_ = 0; ///< Tasks that planned stops may interrupt.

  friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

/// Policy of a queue, taken from the active configuration.
struct QueuePolicy {
  std::string Service_; ///< Only workers of this service run the tasks.
  int Priority_ = 0;    ///< Zero is the most urgent.
  int MaxAttempts_ = 1; ///< Failures of a task after which its job fails.
  /// A job is on time if it ends within its estimated critical path times
  /// SlackFactor_ plus Target_.
  double SlackFactor_ = 1.0;
  Millis Target_{};
  /// Whether the advice service must be asked which workers may run a step.
  /// Each allowed worker comes with a ticket, which the start order has to
  /// carry.
  bool NeedsAdvice_ = false;
  Millis AdviceBase_{}; ///< Fixed part of the duration of an advice call.
  double AdvicePerWorker_ = 0; ///< Added milliseconds per worker in the call.
  Millis TicketValid_{};       ///< How long a ticket is valid.

  friend bool operator==(const QueuePolicy &, const QueuePolicy &) = default;
};

struct JobSpec {
  std::string Id_;
  std::string Queue_;
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  Millis Accepted_{};     ///< Wall-clock time at which the job was accepted.
  std::string Workspace_; ///< That submitted the job; empty if it has none.
  /// That of its queue when the job was accepted; only of accepted jobs.
  std::optional<QueuePolicy> Policy_;

  friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

enum class JobState { Queued, Active, Complete, Failed, Canceled };

std::string_view jobStateName(JobState Value);
bool isTerminal(JobState Value);

/// The part of a job that is stored besides its specification.
struct JobProgress {
  JobState State_ = JobState::Queued;
  /// For each step, the indexes of completed tasks.
  std::vector<std::vector<int>> Done_;
  /// Numbers of failed attempts, by step and task index.
  std::map<std::pair<int, int>, std::vector<std::int64_t>> FailedAttempts_;
  /// Numbers of attempts whose worker crashed while it started them, by step
  /// and task index.
  std::map<std::pair<int, int>, std::vector<std::int64_t>> CrashedAttempts_;

  friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

/// Encode and decode the JSON of stored rows. Errors: invalid_field.
std::string encodeSpec(const JobSpec &Spec);
Result<JobSpec> decodeSpec(const std::string &Id, const std::string &Body);
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(const std::string &Body);

/// Whether the text is 16 hexadecimal digits.
bool isJobId(const std::string &Text);

/// Bounds of a job. A leader keeps some 200 bytes for each task.
inline constexpr int MaxTasksOfJob = 50000;
inline constexpr Millis MaxEstimate{1000000000000};
/// Validates a submitted job. Errors: invalid_field with the field's name.
Status checkSpec(const JobSpec &Spec);

/// Size of the rows that the store takes.
inline constexpr std::size_t MaxRowBytes = 65536;
/// The same for a job as submitted, to whose row the leader adds.
inline constexpr std::size_t MaxSpecBytes = MaxRowBytes - 1024;
/// Whether the encoded specification can be stored. Errors: body_too_large.
Status checkSpecSize(const std::string &Encoded);

/// Identifies a task of a job.
struct TaskRef {
  std::string Job_;
  int Step_ = 0;
  int Index_ = 0;

  friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
};

/// "JOB.0.STEP.INDEX"; the second part is the occurrence number of a scheduled
/// job and is always 0 here.
std::string taskName(const TaskRef &Task);
std::string stepName(const std::string &Job, int Step);
Result<TaskRef> parseTaskName(const std::string &Name);

/// Estimated duration of the longest chain of dependent steps.
Millis criticalPathEstimate(const JobSpec &Spec);
/// Estimated duration of the longest chain of steps that follow the step.
Millis followingPath(const JobSpec &Spec, int Step);
/// Estimated processor time of all tasks, in processor milliseconds.
double estimatedWork(const JobSpec &Spec);

} // namespace damaskglade::dispatch

#endif
