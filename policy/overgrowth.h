#ifndef DAMASKGLADE_POLICY_OVERGROWTH_H
#define DAMASKGLADE_POLICY_OVERGROWTH_H

#include "core/worker.h"
#include "policy/ledger.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::policy {

/// Measured usage of one task.
struct TaskUsage {
  std::string Attempt_;
  Resources Used_;
};

struct OvergrowthStep {
  std::string Attempt_;
  TaskControl Action_ = TaskControl::Throttle;

  friend bool operator==(const OvergrowthStep &,
                         const OvergrowthStep &) = default;
};

/// Decides on actions against tasks that use more than they reserved. No action
/// is taken while the worker has enough of each resource for all its tasks.
/// Otherwise these tasks, the newest first, are throttled, then checkpointed,
/// then stopped, with a grace period after each action. A throttled task whose
/// usage is back within its reservation is resumed once; if its usage exceeds
/// the reservation again, the next action follows. A non-idempotent task is
/// stopped too, although its outcome is then unknown, because other tasks would
/// otherwise lose resources that they reserved.
class OvergrowthTracker {
public:
  /// The grace period covers the delay of usage reports.
  explicit OvergrowthTracker(Millis GracePeriod = Millis{5000})
      : GracePeriod_(GracePeriod) {}

  /// Returns the actions to take now, given a usage report of a worker. Tasks
  /// missing from the report count with their reserved size.
  std::vector<OvergrowthStep> step(const Ledger &Accounts,
                                   const std::string &Worker,
                                   const std::vector<TaskUsage> &Report,
                                   Millis Now);
  /// Drops the state of a task that has ended.
  void forget(const std::string &Attempt) { Escalations_.erase(Attempt); }

private:
  struct Escalation {
    TaskControl LastAction_ = TaskControl::Throttle;
    Millis LastActionTime_{};
    /// True after a resume; the fields above still describe the throttle.
    bool Resumed_ = false;
  };

  std::optional<TaskControl> escalate(const std::string &Attempt,
                                      const WorkerInfo &Worker, Millis Now);

  Millis GracePeriod_;
  std::unordered_map<std::string, Escalation> Escalations_; ///< By attempt id.
};

} // namespace damaskglade::policy

#endif
