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
  /// Share of its processors that a throttled task keeps, 0 to 1.
  double ThrottledShare_ = 0.25;
  /// Dominant share of the worker set at or below which a class loses no task
  /// to another class, 0 to 1.
  std::array<double, TaskClassCount> ProtectedShare_ = {0.02, 0.02, 0.10, 0.10,
                                                        0.20};
};

/// Urgent tasks that find no room.
struct PreemptionRequest {
  Resources Size_; ///< Of each task.
  std::int64_t Tasks_ = 1;
  TaskClass Class_ = TaskClass::Batch;
  Urgency Urgency_ = Urgency::Urgent;
};

/// One call to a worker. The ledger changes after the worker confirmed it.
struct PreemptionStep {
  std::string Attempt_;
  std::string Worker_;
  TaskControl Action_ = TaskControl::Throttle;
  Resources Left_; ///< What the attempt still holds afterwards.

  friend bool operator==(const PreemptionStep &,
                         const PreemptionStep &) = default;
};

struct PreemptionPlan {
  std::vector<std::string> Workers_; ///< One for each urgent task.
  std::vector<PreemptionStep> Steps_;
  /// Gangs that lose a task. The plan ends their tasks in this ledger; the
  /// caller ends those in other shards.
  std::vector<std::string> Gangs_;
};

/// The tasks to checkpoint, throttle or stop so that urgent work fits: less
/// urgent ones only, the least urgent and newest first, at most MaxTasks.
/// Throttles where processors alone are short, else checkpoints, else stops
/// idempotent tasks. Nothing if no such plan exists.
std::optional<PreemptionPlan> planPreemption(const Ledger &Accounts,
                                             const PreemptionRequest &Request,
                                             const PreemptionSettings &Settings,
                                             std::int64_t MaxTasks);

/// Records a step that the worker confirmed. A caller that applies all steps
/// and reserves for the urgent work under one lock loses the room to nobody.
void applyPreemption(Ledger &Accounts, const PreemptionStep &Step);

/// Number of tasks that may be preempted: a token bucket, so that a flood of
/// urgent work does not wear down all other work.
class PreemptionBudget {
public:
  /// Rate in tasks per second; Burst in tasks.
  PreemptionBudget(double Rate, std::int64_t Burst)
      : Rate_(Rate), Burst_(Burst), Tokens_(static_cast<double>(Burst)) {}

  std::int64_t available(Millis Now) const;
  /// Takes the tasks of a plan. Returns false, taking nothing, if there are
  /// not enough.
  bool spend(std::int64_t Tasks, Millis Now);

private:
  double tokensAt(Millis Now) const;

  double Rate_;
  std::int64_t Burst_;
  double Tokens_;
  Millis Updated_{};
};

} // namespace damaskglade::policy

#endif
