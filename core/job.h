#ifndef DAMASKGLADE_CORE_JOB_H
#define DAMASKGLADE_CORE_JOB_H

#include "core/clock.h"
#include "core/reason.h"
#include "core/resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskglade {

/// Kind of work, each with its own policy.
enum class TaskClass { Lookup, Request, Batch, Gang, Service };
constexpr std::size_t TaskClassCount = 5;

/// Order in which work is served under pressure.
enum class Urgency { Urgent, Normal, Low };
constexpr std::size_t UrgencyCount = 3;

std::string_view taskClassName(TaskClass Value);
std::optional<TaskClass> taskClassFromName(std::string_view Name);
std::string_view urgencyName(Urgency Value);
std::optional<Urgency> urgencyFromName(std::string_view Name);

/// What a caller submits.
struct JobSpec {
  std::string Team_;
  std::string Key_; ///< Idempotency key chosen by the caller.
  TaskClass Class_ = TaskClass::Batch;
  Urgency Urgency_ = Urgency::Normal;
  Resources Size_;         ///< Of each task.
  std::int64_t Tasks_ = 1; ///< More than one only for gangs and services.
  Millis Run_{1000};       ///< Declared run time of a task.
  Millis Deadline_{};      ///< After submission; zero means none.
  bool Idempotent_ = true; ///< False: runs at most once.
  std::string Payload_;    ///< Passed to the worker unread.

  friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// True for classes whose acceptance is recorded in the table.
bool isDurable(const JobSpec &Spec);

/// Job id: XXH3-128 of team and idempotency key, in hex, so that submissions
/// of one key meet at one row whichever node they enter at.
std::string jobIdFor(const JobSpec &Spec);

enum class JobState {
  Queued,
  Running,
  Finished, ///< Completed; the answer says whether the work succeeded.
  NotRun,   ///< Ended without running.
  Unknown,  ///< May have run; never started again.
  Canceled,
};

std::string_view jobStateName(JobState Value);
std::optional<JobState> jobStateFromName(std::string_view Name);
bool isFinal(JobState Value);

/// Result of one task as the worker reported it.
struct Answer {
  bool Ok_ = false;
  std::string Body_;
  std::int64_t Length_ = 0; ///< Bytes that the worker says it sent.
  std::string Digest_;      ///< XXH3-64 of the body, in hex.

  friend bool operator==(const Answer &, const Answer &) = default;
};

/// XXH3-64 of the text, in hex.
std::string digestOf(std::string_view Text);

/// An answer with the length and digest of its body.
Answer makeAnswer(bool Ok, std::string Body);

/// True if the length and digest match the body.
bool isWhole(const Answer &Received);

/// One try at running one task of a job.
struct Attempt {
  std::int64_t Member_ = 0; ///< Index of the task, from 0.
  std::int64_t Number_ = 0; ///< Counts the tries of this task, from 1.
  std::string Worker_;
  std::string Shard_;
  Millis StartBy_{}; ///< Wall time after which the worker refuses the start.

  friend bool operator==(const Attempt &, const Attempt &) = default;
};

/// "<job id>.<member>.<number>".
std::string attemptId(const std::string &JobId, const Attempt &Try);

/// The row of a durable job, or the memory entry of a lookup.
struct JobRecord {
  std::string Id_;
  JobSpec Spec_;
  JobState State_ = JobState::Queued;
  Reason Reason_ = Reason::None; ///< Why it ended, if it did not finish.
  std::string Home_;             ///< Node that drives the job.
  std::int64_t HomeIncarnation_ = 0;
  Millis Submitted_{};                         ///< Wall time.
  std::vector<Attempt> Attempts_;              ///< The latest of each member.
  std::vector<std::optional<Answer>> Answers_; ///< By member.
  std::int64_t Version_ = 0; ///< Of the table row; 0 before the first write.

  friend bool operator==(const JobRecord &, const JobRecord &) = default;
};

} // namespace damaskglade

#endif
