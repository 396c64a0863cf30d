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

/// Decides what happens to tasks that use more than they reserved. While all
/// reservations of the worker are still covered, nothing. Otherwise the newest
/// such task is throttled, then checkpointed, then stopped, each after a
/// grace time without success. A throttled task that is back at its size is
/// resumed once; if it grows again, the next call follows. A stopped
/// non-idempotent task has an unknown outcome; it is stopped all the same,
/// since others would lose their share.
class OvergrowthTracker {
public:
  /// Grace covers the lag of usage reports.
  explicit OvergrowthTracker(Millis Grace = Millis{5000}) : Grace_(Grace) {}

  /// The calls to make now, by a report of all tasks of a worker. Tasks that
  /// the report does not name count with what they reserved.
  std::vector<OvergrowthStep> step(const Ledger &Accounts,
                                   const std::string &Worker,
                                   const std::vector<TaskUsage> &Report,
                                   Millis Now);
  /// Forgets a task that ended.
  void forget(const std::string &Attempt) { Treated_.erase(Attempt); }

private:
  struct Treatment {
    TaskControl Last_ = TaskControl::Throttle;
    Millis Since_{};
    bool Resumed_ = false;
  };

  std::optional<TaskControl> escalate(const std::string &Attempt,
                                      const WorkerInfo &Worker, Millis Now);

  Millis Grace_;
  std::unordered_map<std::string, Treatment> Treated_; ///< By attempt.
};

} // namespace damaskglade::policy

#endif
