#ifndef DAMASKGLADE_POLICY_PREEMPTION_H
#define DAMASKGLADE_POLICY_PREEMPTION_H

#include "core/worker.h"
#include "policy/ledger.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::policy {

struct PreemptionSettings {
  /// Share of its reserved processors that a throttled task keeps, 0 to 1.
  double ThrottledShare_ = 0.25;
  /// Share of the worker set for each class, 0 to 1. While the dominant share
  /// of a class is at most this, its tasks are not preempted for other classes.
  std::array<double, TaskClassCount> ProtectedShare_ = {0.02, 0.02, 0.10, 0.10,
                                                        0.20};
};

/// Urgent tasks for which there are not enough free resources.
struct PreemptionRequest {
  Resources Size_; ///< Of each task.
  std::int64_t Tasks_ = 1;
  TaskClass Class_ = TaskClass::Batch;
  Urgency Urgency_ = Urgency::Urgent;
};

/// One action on a running task. The caller sends it to the worker and updates
/// the ledger with applyPreemption() after the worker has confirmed it.
struct PreemptionStep {
  std::string Attempt_;
  std::string Worker_;
  TaskControl Action_ = TaskControl::Throttle;
  Resources RemainingSize_; ///< Still reserved for the attempt afterwards.

  friend bool operator==(const PreemptionStep &,
                         const PreemptionStep &) = default;
};

struct PreemptionPlan {
  std::vector<std::string> Workers_; ///< Worker of each urgent task.
  std::vector<PreemptionStep> Steps_;
  /// Job ids of gangs that are evicted. The steps end their tasks in this
  /// ledger; the caller must end those in other shards.
  std::vector<std::string> Gangs_;
};

/// Plans which tasks to throttle, checkpoint or stop so that urgent work fits:
/// only less urgent tasks, the least urgent and newest first, at most MaxTasks.
/// Throttles if only processors are lacking, otherwise checkpoints, otherwise
/// stops idempotent tasks. Nothing if no such plan exists.
std::optional<PreemptionPlan> planPreemption(const Ledger &Accounts,
                                             const PreemptionRequest &Request,
                                             const PreemptionSettings &Settings,
                                             std::int64_t MaxTasks);

/// Updates the ledger after the worker has confirmed a step. A caller should
/// apply all steps and reserve for the urgent work under one lock; otherwise
/// other work may take the freed resources.
void applyPreemption(Ledger &Accounts, const PreemptionStep &Step);

/// Limits the rate of preempted tasks with a token bucket, so that a burst of
/// urgent work cannot preempt all other work.
class PreemptionBudget {
public:
  /// Rate is in tasks per second, Burst in tasks.
  PreemptionBudget(double Rate, std::int64_t Burst)
      : Rate_(Rate), Burst_(Burst), Tokens_(static_cast<double>(Burst)) {}

  std::int64_t available(Millis Now) const;
  /// Takes a number of tasks from the budget. Returns false and takes none if
  /// not enough are available.
  bool spend(std::int64_t Tasks, Millis Now);

private:
  double tokensAt(Millis Now) const;

  double Rate_;
  std::int64_t Burst_;
  double Tokens_;
  Millis LastUpdate_{};
};

} // namespace damaskglade::policy

#endif
