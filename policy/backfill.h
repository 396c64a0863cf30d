#ifndef DAMASKGLADE_POLICY_BACKFILL_H
#define DAMASKGLADE_POLICY_BACKFILL_H

#include "policy/ledger.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::policy {

/// Time after which the reservation of work that is still blocked becomes
/// strict: then not even tasks that are estimated to end before its start may
/// use its resources. Estimates may be four times too short, and each overrun
/// would delay the start again.
constexpr Millis DefaultStrictAfter{30000};

/// Tasks of a gang, or one large task, that wait for enough free resources.
struct BlockedWork {
  std::string Job_;
  Resources Size_; ///< Of each task.
  std::int64_t Tasks_ = 1;
  Millis Since_{}; ///< When the work was first found not to fit.
};

/// A worker that is reserved for blocked work, with the number of tasks that
/// are to run on it.
struct ReservedWorker {
  std::string Worker_;
  std::int64_t Tasks_ = 0;

  friend bool operator==(const ReservedWorker &,
                         const ReservedWorker &) = default;
};

/// Earliest start of blocked work, by the estimated ends of running tasks.
struct BackfillReservation {
  BlockedWork Work_;
  Millis Start_{};
  std::vector<ReservedWorker> Rooms_; ///< In order of worker id.
};

/// Returns when a running task is expected to end; nothing if unknown. A task
/// past its estimated end is expected to run for as long again as it is
/// overdue, at least 1 s.
std::optional<Millis> expectedEnd(const Reservation &RunningTask, Millis Now);

/// Finds the earliest time at which all tasks of the work fit; nothing if they
/// do not fit even after every task with a known end has ended. Sorts all
/// running tasks, so callers should keep the result while the work is blocked.
std::optional<BackfillReservation>
earliestStart(const Ledger &Accounts, const BlockedWork &Work, Millis Now);

/// Recomputes a reservation from the present state. Until it is strict, it
/// moves to the workers that are expected to be free first. A strict
/// reservation stays on its workers as long as all of them accept work and the
/// work can fit there.
std::optional<BackfillReservation>
refreshReservation(const Ledger &Accounts, const BackfillReservation &Previous,
                   Millis Now, Millis StrictAfter = DefaultStrictAfter);

/// True if a task of the given size and estimated end can start on a worker
/// without delaying the reservation.
bool mayBackfill(const Ledger &Accounts, const BackfillReservation &Reservation,
                 const WorkerAccount &Worker, const Resources &Size, Millis End,
                 Millis Now, Millis StrictAfter = DefaultStrictAfter);

/// Returns a predicate for PlacementRequest::Accepts_ that respects all
/// reservations. It refers to Accounts and Reservations and is valid only while
/// both exist and are unchanged.
std::function<bool(const WorkerAccount &)>
backfillFilter(const Ledger &Accounts,
               const std::vector<BackfillReservation> &Reservations,
               const Resources &Size, Millis End, Millis Now,
               Millis StrictAfter = DefaultStrictAfter);

} // namespace damaskglade::policy

#endif
