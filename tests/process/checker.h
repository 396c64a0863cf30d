#ifndef DAMASKGLADE_TESTS_PROCESS_CHECKER_H
#define DAMASKGLADE_TESTS_PROCESS_CHECKER_H

#include "tests/process/run_record.h"

#include <compare>
#include <string>
#include <vector>

namespace damaskglade::process_tests {

enum class ViolationKind {
  Lost,          ///< Accepted, but not finished with an answer.
  Late,          ///< Accepted, but finished only after MaxOutcomeTime.
  FinishedTwice, ///< A task of a durable job finished more than once.
  RanTwice,      ///< A non-idempotent task was started more than once.
  NotRunButRan,  ///< Reported as not run, but started.
  Overlap,       ///< Two attempts of one task ran at the same time.
  OverLimit,     ///< A worker was given more than it has.
  WrongAnswer,   ///< Not whole, or another caller's.
  LowerEpoch,    ///< A start that followed one of a higher epoch.
  UnknownJob,    ///< A start of a job that no caller submitted.
};

/// Time within which an accepted job of the load must end, faults included. Its
/// run takes under a second; the rest allows for every lease to run out.
constexpr Millis MaxOutcomeTime{45000};

const char *violationName(ViolationKind Kind);

struct Violation {
  ViolationKind Kind_ = ViolationKind::Lost;
  std::string Subject_; ///< Job, attempt or worker.
  std::string Detail_;

  friend auto operator<=>(const Violation &, const Violation &) = default;
};

/// Judges a run from what the callers were told and from what the workers
/// logged; nothing that a node says about itself is used. Lookups may run
/// again, because a caller repeats them.
std::vector<Violation> checkRun(const std::vector<JobResult> &Jobs,
                                const std::vector<WorkerLog> &Logs);

/// Starts and attempted starts on a worker after the given wall time.
std::vector<LogEntry> startsAfter(const WorkerLog &Log, Millis Time);

} // namespace damaskglade::process_tests

#endif
