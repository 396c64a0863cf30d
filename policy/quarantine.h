#ifndef DAMASKGLADE_POLICY_QUARANTINE_H
#define DAMASKGLADE_POLICY_QUARANTINE_H

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::policy {

struct QuarantineSettings {
  /// A task that fails within this time after its start counts as a failed
  /// start; a later failure is attributed to the task.
  Millis StartFailureWindow_{2000};
  /// Number of consecutive failed starts after which a worker is quarantined.
  std::int64_t FailureThreshold_ = 3;
  /// Delay before the first trial start; doubles with each failed trial.
  Millis InitialTrialDelay_{10000};
  Millis MaxTrialDelay_{600000};
  /// A trial start without an outcome within this time is abandoned, and
  /// another one may be sent.
  Millis TrialTimeout_{60000};
  /// Maximum share of a zone's workers in quarantine, 0 to 1; the number of
  /// workers is rounded down. If more workers fail, the fault is more likely in
  /// the tasks or the network than in the workers.
  double MaxZoneShare_ = 0.25;
};

enum class WorkerHealth {
  Healthy,
  Quarantined,  ///< Receives no work.
  TrialDue,     ///< One trial start may be sent: beginTrial().
  TrialRunning, ///< The outcome of the trial start is pending.
};

/// Quarantines workers whose task starts fail repeatedly. Not thread-safe: the
/// caller must hold a lock.
class Quarantine {
public:
  explicit Quarantine(QuarantineSettings Settings = {}) : Settings_(Settings) {}

  /// Sets the workers of a zone, or those that this node places work on.
  /// Forgets the records of removed workers. Ends quarantines that exceed the
  /// limit of their zone, starting with the workers with the fewest failed
  /// trials.
  void setZone(const std::string &Zone,
               const std::vector<std::string> &Workers);

  /// Records a failure; RunTime is the time from the start of the task to the
  /// failure. A failure after StartFailureWindow_ counts as a successful start.
  /// Refusals by a leaving or full worker must not be recorded.
  void recordFailure(const std::string &Worker, Millis RunTime, Millis Now);
  /// Records a successful start. A quarantined worker is released only by the
  /// success of its trial start.
  void recordSuccess(const std::string &Worker);
  /// Quarantines a worker on an operator's request; trial starts follow as
  /// usual. Returns false if the limit of its zone is reached or the worker is
  /// unknown.
  bool quarantine(const std::string &Worker, Millis Now);
  /// Ends a quarantine on an operator's request.
  void lift(const std::string &Worker);

  WorkerHealth health(const std::string &Worker, Millis Now) const;
  /// Claims the due trial start of a worker. Returns false if none is due.
  bool beginTrial(const std::string &Worker, Millis Now);
  /// Number of quarantined workers of a zone, including those with a trial
  /// start.
  std::int64_t quarantinedIn(const std::string &Zone) const;
  /// Maximum number of quarantined workers of a zone.
  std::int64_t maxQuarantinedIn(const std::string &Zone) const;

private:
  struct Record {
    std::string Zone_;
    std::int64_t ConsecutiveFailures_ = 0;
    bool Quarantined_ = false;
    std::int64_t FailedTrials_ = 0; ///< Since the quarantine began.
    Millis NextTrial_{};
    Millis TrialDeadline_{}; ///< Zero: no trial start is in progress.
  };

  bool beginQuarantine(Record &WorkerRecord, Millis Now);
  void endQuarantine(Record &WorkerRecord);
  Millis trialDelay(std::int64_t FailedTrials) const;

  QuarantineSettings Settings_;
  std::unordered_map<std::string, Record> Records_; ///< By worker.
  std::map<std::string, std::int64_t> ZoneSizes_;
  std::map<std::string, std::int64_t> QuarantinedCounts_; ///< By zone.
};

} // namespace damaskglade::policy

#endif
