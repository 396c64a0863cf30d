#ifndef DAMASKGLADE_POLICY_PLACEMENT_H
#define DAMASKGLADE_POLICY_PLACEMENT_H

#include "policy/ledger.h"

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace damaskglade::policy {

/// Guaranteed minimum shares of the task classes, 0 to 1. Other classes leave
/// this share of the processors, memory, slots and connections of a worker set
/// free, rounded down to whole units, until the class itself uses as much.
/// Accelerators are not kept free.
struct ClassGuards {
  std::array<double, TaskClassCount> MinimumShare_ = {0.02, 0.02, 0.0, 0.0,
                                                      0.0};

  friend bool operator==(const ClassGuards &, const ClassGuards &) = default;
};

/// No class has a guaranteed share.
constexpr ClassGuards NoGuards{{0.0, 0.0, 0.0, 0.0, 0.0}};

struct PlacementRequest {
  std::string Job_;
  TaskClass Class_ = TaskClass::Batch;
  Resources Size_;
  ClassGuards Guards_;
  std::uint64_t Random_ = 0; ///< Varies the choice among equal workers.
  /// Additional condition that a worker must meet, for example from
  /// backfillFilter(). May be empty.
  std::function<bool(const WorkerAccount &)> Accepts_;
};

struct Placement {
  std::string Worker_;
  std::string Zone_;
  std::string Rack_;

  friend bool operator==(const Placement &, const Placement &) = default;
};

/// Chooses a worker with enough free resources for one task by the rule of the
/// task's class. Nothing if there is none or if the guarantees of other classes
/// do not allow it. Does not reserve; the caller does.
std::optional<Placement> place(const Ledger &Accounts,
                               const PlacementRequest &Request);

/// True if the guarantees of the other classes allow a class to take an amount.
/// Always true for a class without reservations, so that a task as large as the
/// worker set does not wait forever.
bool guaranteesAllow(const Ledger &Accounts, const ClassGuards &Guarantees,
                     TaskClass Class, const Resources &Amount);

} // namespace damaskglade::policy

#endif
