#ifndef DAMASKGLADE_TESTS_PROCESS_REPORT_H
#define DAMASKGLADE_TESTS_PROCESS_REPORT_H

#include "tests/process/checker.h"
#include "tests/process/run_record.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskglade::process_tests {

/// Time of a fault on the wall clock.
struct FaultWindow {
  Millis Start_{};
  Millis End_{};

  friend bool operator==(const FaultWindow &, const FaultWindow &) = default;
};

/// Figures of one run.
struct Summary {
  std::size_t Requests_ = 0;
  std::size_t Finished_ = 0;
  std::size_t Refused_ = 0;     ///< Told that the work was not run.
  std::size_t Unknown_ = 0;     ///< Told that the work may have run.
  std::size_t Losses_ = 0;      ///< Accepted work without an answer.
  std::size_t Doubles_ = 0;     ///< Work that ran or finished too often.
  std::size_t Violations_ = 0;  ///< All kinds, including the two above.
  std::size_t DuringFault_ = 0; ///< Requests that arrived during the fault.
  double OnTimeInFault_ = 1.0;  ///< Share of those that were finished on time.
  /// From the fault's start to the arrival of the last request that was not
  /// finished on time; 0 if all were.
  Millis Recovery_{};

  friend bool operator==(const Summary &, const Summary &) = default;
};

Summary summarize(const std::vector<JobResult> &Jobs,
                  const std::vector<Violation> &Found, FaultWindow Window);

/// One line for people.
std::string describe(const std::string &Scenario, std::uint64_t Seed,
                     const Summary &Figures);

/// One line that counts the requests without an answer by outcome and reason.
std::string describeFailures(const std::vector<JobResult> &Jobs);

/// What the caller and all workers know of the subject of a violation.
std::string traceOf(const Violation &Found, const std::vector<JobResult> &Jobs,
                    const std::vector<WorkerLog> &Logs);

} // namespace damaskglade::process_tests

#endif
