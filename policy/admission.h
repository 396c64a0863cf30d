#ifndef DAMASKGLADE_POLICY_ADMISSION_H
#define DAMASKGLADE_POLICY_ADMISSION_H

#include "core/error.h"
#include "policy/queue.h"
#include "policy/shares.h"

#include <array>
#include <string>
#include <unordered_map>

namespace damaskglade::policy {

struct AdmissionSettings {
  /// Half-life of the decaying average that measures service rates.
  Millis RateHalfLife_{5000};
  Millis MinRetryAfter_{100};
  Millis MaxRetryAfter_{60000};
  /// Maximum number of teams of one class whose rates are measured. The wait of
  /// other teams is estimated from their guaranteed minimum and current share.
  std::size_t MaxTeams_ = 1024;
};

/// Refuses jobs that are expected to miss their deadline. Not thread-safe: the
/// caller must hold a lock.
class Admission {
public:
  /// Queue and FairShares must outlive the object.
  Admission(AdmissionSettings Settings, const JobQueue &Queue,
            const Shares &FairShares);

  /// Checks a new job against its deadline. Errors: deadline_unreachable with
  /// retry-after; no task has run.
  Status admit(const QueuedJob &Job, Millis Now) const;

  /// Records the start of a job, from which the service rate is measured.
  void started(const QueuedJob &Job, Millis Now);

  /// Expected time until a new job starts, given the work queued ahead of it.
  Millis expectedWait(TaskClass Class, const std::string &Team, Urgency Level,
                      Millis Now) const;

  /// Measured service rate as a share of the fleet.
  double serviceRate(TaskClass Class, const std::string &Team,
                     Millis Now) const;

private:
  struct Rate {
    /// Decaying sum over started jobs of fleet share times planned run time in
    /// milliseconds.
    double Work_ = 0.0;
    Millis LastUpdate_{};
  };
  using TeamRates = std::unordered_map<std::string, Rate>;

  double decayedWork(const Rate &TeamRate, Millis Now) const;

  AdmissionSettings Settings_;
  const JobQueue &Queue_;
  const Shares &Shares_;
  std::array<TeamRates, TaskClassCount> Rates_;
};

} // namespace damaskglade::policy

#endif
