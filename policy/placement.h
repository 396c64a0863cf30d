#ifndef DAMASKGLADE_POLICY_PLACEMENT_H
#define DAMASKGLADE_POLICY_PLACEMENT_H

#include "policy/ledger.h"

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace damaskglade::policy {

/// Share of the processors, memory, slots and connections of a worker set
/// that other classes leave free for a class until it uses as much itself,
/// 0 to 1, rounded down to whole units. Accelerators are not kept free.
struct ClassGuards {
  std::array<double, TaskClassCount> MinimumShare_ = {0.02, 0.02, 0.0, 0.0,
                                                      0.0};

  friend bool operator==(const ClassGuards &, const ClassGuards &) = default;
};

/// Guards that keep nothing free.
constexpr ClassGuards NoGuards{{0.0, 0.0, 0.0, 0.0, 0.0}};

struct PlacementRequest {
  std::string Job_;
  TaskClass Class_ = TaskClass::Batch;
  Resources Size_;
  ClassGuards Guards_;
  std::uint64_t Random_ = 0; ///< Varies the choice among equal workers.
  /// Further condition on a worker with room, for example from
  /// backfillFilter(); empty: none.
  std::function<bool(const WorkerAccount &)> Accepts_;
};

struct Placement {
  std::string Worker_;
  std::string Zone_;
  std::string Rack_;

  friend bool operator==(const Placement &, const Placement &) = default;
};

/// A worker with room for one task, by the rule of its class; nothing if there
/// is none or if the guards of other classes forbid it. The caller reserves.
std::optional<Placement> place(const Ledger &Accounts,
                               const PlacementRequest &Request);

/// True if the guards of the other classes allow a class to take an amount.
/// A class that holds nothing may always take one amount, so that work as
/// large as the worker set does not wait forever.
bool guardsAllow(const Ledger &Accounts, const ClassGuards &Guards,
                 TaskClass Class, const Resources &Amount);

} // namespace damaskglade::policy

#endif
