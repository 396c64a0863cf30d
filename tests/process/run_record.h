#ifndef DAMASKGLADE_TESTS_PROCESS_RUN_RECORD_H
#define DAMASKGLADE_TESTS_PROCESS_RUN_RECORD_H

#include "core/clock.h"
#include "core/job.h"
#include "core/resources.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace damaskglade::process_tests {

/// What the load generator, as the caller, knows of one job at the end.
struct JobResult {
  std::string Id_;
  JobSpec Spec_;
  Millis Submitted_{}; ///< Wall time of the first submission.
  Millis Ended_{};     ///< Wall time at which the caller knew the outcome.
  bool Accepted_ = false;
  /// A submission ended without a reply, so it may have been accepted.
  bool Ambiguous_ = false;
  bool Final_ = false; ///< The outcome below is known.
  JobState State_ = JobState::Queued;
  Reason Reason_ = Reason::None; ///< Of a refusal or an end without an answer.
  std::vector<Answer> Answers_;
  bool OnTime_ = false; ///< Finished within the time that the test allows.

  friend bool operator==(const JobResult &, const JobResult &) = default;
};

/// Entry of a worker's own log.
struct LogEntry {
  Millis Time_{};
  std::string Attempt_;
  std::string Job_;
  std::string Event_;
  std::int64_t Epoch_ = 0;
  std::string Detail_;
  Resources Size_;

  friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

struct WorkerLog {
  std::string Worker_;
  Resources Capacity_;
  std::vector<LogEntry> Entries_; ///< In the order of their occurrence.

  friend bool operator==(const WorkerLog &, const WorkerLog &) = default;
};

/// The job id that the caller knows. A node gives each execution of a lookup
/// the name "lookup-<node>-<job id>".
std::string callersJob(const std::string &Job);

/// Decodes the reply of a stand-in worker to GET /_log.
WorkerLog decodeWorkerLog(const Json::Value &Value);

} // namespace damaskglade::process_tests

#endif
