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
  /// Time in which a measured service rate follows a change half-way.
  Millis RateHalfLife_{5000};
  Millis MinRetryAfter_{100};
  Millis MaxRetryAfter_{60000};
  /// Teams of one class whose rates are measured; others count as served at
  /// their guaranteed minimum.
  std::size_t MaxTeams_ = 1024;
};

/// Refuses work early whose expected wait passes its deadline. Not
/// thread-safe: the caller holds a lock.
class Admission {
public:
  /// Queue and Accounts outlive the object.
  Admission(AdmissionSettings Settings, const JobQueue &Queue,
            const Shares &Accounts);

  /// Errors: deadline_unreachable with retry-after; nothing was run.
  Status admit(const QueuedJob &Job, Millis Now) const;

  /// Measures the service rate from the jobs that are started.
  void started(const QueuedJob &Job, Millis Now);

  /// Time until a new job starts, from the work queued ahead of it.
  Millis expectedWait(TaskClass Class, const std::string &Team, Urgency Level,
                      Millis Now) const;

  /// Measured service rate as a share of the fleet.
  double serviceRate(TaskClass Class, const std::string &Team,
                     Millis Now) const;

private:
  struct Rate {
    double Work_ = 0.0; ///< Decaying sum of share times milliseconds.
    Millis Updated_{};
  };
  using TeamRates = std::unordered_map<std::string, Rate>;

  double workAt(const Rate &Measured, Millis Now) const;

  AdmissionSettings Settings_;
  const JobQueue &Queue_;
  const Shares &Accounts_;
  std::array<TeamRates, TaskClassCount> Rates_;
};

} // namespace damaskglade::policy

#endif
