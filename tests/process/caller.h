#ifndef DAMASKGLADE_TESTS_PROCESS_CALLER_H
#define DAMASKGLADE_TESTS_PROCESS_CALLER_H

#include "core/thread.h"
#include "drivers/platform/http_pool.h"
#include "tests/process/run_record.h"

#include <json/value.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace damaskglade::process_tests {

/// Entry nodes by zone, as the platform's load balancer sees them.
/// Thread-safe.
class EntryNodes {
public:
  void add(const std::string &Zone, const std::string &Address);
  void remove(const std::string &Address);
  /// A node of the zone by turns, empty if there is none.
  std::string next(const std::string &Zone);

private:
  Mutex Mutex_;
  std::map<std::string, std::vector<std::string>> Nodes_;
  std::size_t Turn_ = 0;
};

/// How long a caller goes on.
struct Patience {
  Millis Lookup_{5000};      ///< Until a lookup is given up.
  Millis Acceptance_{10000}; ///< Until a submission is given up.
  Millis Outcome_{60000};    ///< Until an accepted job counts as lost.

  friend bool operator==(const Patience &, const Patience &) = default;
};

/// Runs one job through the callers' interface and returns what it was told.
/// Repeats a submission under its key after a refusal or a lost reply.
class Caller {
public:
  Caller(drivers::HttpPool &Pool, EntryNodes &Nodes, Patience Limits)
      : Pool_(Pool), Nodes_(Nodes), Limits_(Limits) {}

  /// Arrival is the wall time at which the request was due.
  JobResult run(const JobSpec &Spec, const std::string &Zone, Millis Arrival,
                Millis OnTime);
  /// Submits without waiting for the end; for services.
  JobResult submit(const JobSpec &Spec, const std::string &Zone,
                   Millis Arrival);
  /// Waits until the outcome of a submitted job is known.
  void await(JobResult &Job, const std::string &Zone);
  /// The job as a node describes it, nothing if none answers.
  std::optional<Json::Value> status(const std::string &Id,
                                    const std::string &Zone);
  bool cancel(const std::string &Id, const std::string &Zone);

private:
  void waitForOutcome(JobResult &Job, const std::string &Zone, Millis End);
  bool submitOnce(JobResult &Job, const std::string &Zone);

  drivers::HttpPool &Pool_;
  EntryNodes &Nodes_;
  const Patience Limits_;
  SystemClock Clock_;
};

} // namespace damaskglade::process_tests

#endif
