#ifndef DAMASKGLADE_DISPATCH_JOB_H
#define DAMASKGLADE_DISPATCH_JOB_H

#include "core/clock.h"
#include "core/error.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace damaskglade::dispatch {

/// What a task or a worker has of each resource.
struct Size {
  std::int64_t MilliCpus_ = 0;
  std::int64_t MemoryMib_ = 0;
  std::int64_t Accelerators_ = 0;

  friend bool operator==(const Size &, const Size &) = default;
};

Size operator+(const Size &A, const Size &B);
Size operator-(const Size &A, const Size &B);
bool fits(const Size &Need, const Size &Free);

/// A step of a job: tasks of one kind that may start after other steps.
struct StepSpec {
  int Count_ = 1;
  Size Size_;
  Millis Estimate_{};
  std::vector<int> After_; ///< Steps that must have ended first.
  bool Checkpointing_ = false;
  bool Gang_ = false;        ///< All tasks run together or not at all.
  bool SameRack_ = false;    ///< Slower when spread over racks.
  bool Speculative_ = false; ///< Copies may run in parallel.
  bool LongRunning_ = false; ///< Runs until the job is canceled.
  bool Filler_ = false;      ///< Runs on processors that others leave unused.
  std::string Label_;        ///< Label that a worker must have.
  std::string Rack_;         ///< Rack where the data is.
  int MaxPerWorker_ = 0;     ///< Zero: no limit.
  std::string Image_;
  Millis TargetLatency_{}; ///< Of the users of a long-running task.
  int MaxUnavailable_ = 0; ///< Tasks that planned stops may take away.

  friend bool operator==(const StepSpec &, const StepSpec &) = default;
};

struct JobSpec {
  std::string Id_;
  std::string Queue_;
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  Millis Accepted_{}; ///< Wall clock.

  friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// Policy of a queue, from the configuration in force.
struct QueuePolicy {
  std::string Service_;
  int Priority_ = 0; ///< Zero is the most urgent.
  int MaxAttempts_ = 1;
  double SlackFactor_ = 1.0;
  Millis Target_{};
  bool NeedsAdvice_ = false;
  Millis AdviceBase_{};        ///< Time of a call for advice.
  double AdvicePerWorker_ = 0; ///< Milliseconds more for each worker named.
  Millis TicketValid_{};

  friend bool operator==(const QueuePolicy &, const QueuePolicy &) = default;
};

enum class JobState { Queued, Active, Complete, Failed, Canceled };

std::string_view jobStateName(JobState Value);
bool isTerminal(JobState Value);

/// What is recorded of a job beside its specification.
struct JobProgress {
  JobState State_ = JobState::Queued;
  /// For each step, the indexes of tasks that have ended well.
  std::vector<std::vector<int>> Done_;
  /// Attempts that ended badly, by step and index.
  std::map<std::pair<int, int>, std::vector<std::int64_t>> FailedAttempts_;

  friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

/// Row bodies. Errors: invalid_field.
std::string encodeSpec(const JobSpec &Spec);
Result<JobSpec> decodeSpec(const std::string &Id, const std::string &Body);
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(const std::string &Body);

/// Checks what a caller declared. Errors: invalid_field with the field's name.
Status checkSpec(const JobSpec &Spec);

/// A task as workers know it.
struct TaskRef {
  std::string Job_;
  int Step_ = 0;
  int Index_ = 0;

  friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
};

/// "JOB.0.STEP.INDEX"; the second part numbers occurrences of a schedule.
std::string taskName(const TaskRef &Task);
std::string stepName(const std::string &Job, int Step);
Result<TaskRef> parseTaskName(const std::string &Name);

/// Milliseconds of the longest chain of steps, by their estimates.
Millis chainEstimate(const JobSpec &Spec);
/// Processor milliseconds of all tasks, by their estimates.
double estimatedWork(const JobSpec &Spec);

} // namespace damaskglade::dispatch

#endif
