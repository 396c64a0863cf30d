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
  /// A task that fails within this time of its start counts as a failed
  /// start; a later failure is the task's own.
  Millis QuickFailure_{2000};
  std::int64_t FailuresInARow_ = 3; ///< That lead to quarantine.
  Millis FirstDelay_{10000};        ///< Before the first trial start; doubles.
  Millis MaxDelay_{600000};
  /// A trial start without an outcome in this time is given up.
  Millis TrialTimeout_{60000};
  /// Largest share of a zone's workers, 0 to 1, rounded down. Beyond it the
  /// fault is more likely in the work or the network than in the workers.
  double MaxShareOfZone_ = 0.25;
};

enum class WorkerHealth {
  Healthy,
  Quarantined, ///< Receives no work.
  TrialDue,    ///< One trial start may be sent: beginTrial().
  OnTrial,     ///< Waits for the outcome of its trial start.
};

/// Workers that fail what they start. Not synchronized.
class Quarantine {
public:
  explicit Quarantine(QuarantineSettings Settings = {}) : Settings_(Settings) {}

  /// The workers of a zone, or those of them that this node owns. Forgets those
  /// that are gone and lifts quarantines that the cap no longer covers, the
  /// shortest first.
  void setZone(const std::string &Zone,
               const std::vector<std::string> &Workers);

  /// Counts the outcome of a start. RanFor is the time from the start to the
  /// failure. Refusals by a leaving or full worker are not outcomes.
  void recordFailure(const std::string &Worker, Millis RanFor, Millis Now);
  /// A quarantined worker is released by the success of its trial start only.
  void recordSuccess(const std::string &Worker);
  /// Quarantines a worker for an operator; trial starts follow as usual.
  /// Returns false if the cap is reached or the worker is unknown.
  bool quarantine(const std::string &Worker, Millis Now);
  /// Ends a quarantine for an operator.
  void lift(const std::string &Worker);

  WorkerHealth health(const std::string &Worker, Millis Now) const;
  /// Takes the trial start of a worker. Returns false if none is due.
  bool beginTrial(const std::string &Worker, Millis Now);
  /// Quarantined workers of a zone, those on trial included.
  std::int64_t countIn(const std::string &Zone) const;
  /// Largest number of quarantined workers of a zone.
  std::int64_t capOf(const std::string &Zone) const;

private:
  struct Record {
    std::string Zone_;
    std::int64_t Failures_ = 0; ///< In a row.
    bool Quarantined_ = false;
    std::int64_t Level_ = 0; ///< Failed trials since the quarantine began.
    Millis TrialAt_{};
    Millis TrialUntil_{}; ///< Zero: no trial start is in progress.
  };

  bool enter(Record &Entry, Millis Now);
  void leave(Record &Entry);
  Millis delayFor(std::int64_t Level) const;

  QuarantineSettings Settings_;
  std::unordered_map<std::string, Record> Records_; ///< By worker.
  std::map<std::string, std::int64_t> ZoneSizes_;
  std::map<std::string, std::int64_t> Quarantined_; ///< By zone.
};

} // namespace damaskglade::policy

#endif
