#ifndef DAMASKGLADE_POLICY_BACKFILL_H
#define DAMASKGLADE_POLICY_BACKFILL_H

#include "policy/ledger.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::policy {

/// After this time without a start, work that might outlast the reservation
/// is kept off its workers whatever its estimate says: estimates may be four
/// times too short, and each miss would move the start again.
constexpr Millis DefaultStrictAfter{30000};

/// Tasks of a gang, or one large task, that wait for room.
struct BlockedWork {
  std::string Job_;
  Resources Size_; ///< Of each task.
  std::int64_t Tasks_ = 1;
  Millis Since_{}; ///< When it was first found not to fit.
};

struct ReservedRoom {
  std::string Worker_;
  std::int64_t Tasks_ = 0;

  friend bool operator==(const ReservedRoom &, const ReservedRoom &) = default;
};

/// The earliest start of blocked work by the estimates of running tasks.
struct BackfillReservation {
  BlockedWork Work_;
  Millis Start_{};
  std::vector<ReservedRoom> Rooms_; ///< In order of worker id.
};

/// When a running task is expected to end; nothing if unknown. A task past
/// its estimate is expected to run on for as long as it is late, at least 1 s.
std::optional<Millis> expectedEnd(const Reservation &Running, Millis Now);

/// The earliest time at which all tasks of the work fit; nothing if they never
/// do, even after every task with a known end. Costs a sort of all running
/// tasks; keep the result while its work stays blocked.
std::optional<BackfillReservation>
earliestStart(const Ledger &Accounts, const BlockedWork &Work, Millis Now);

/// The reservation by the present state. Within StrictAfter it moves to the
/// workers that are free first; later it stays on its workers while all of
/// them accept work.
std::optional<BackfillReservation>
refreshReservation(const Ledger &Accounts, const BackfillReservation &Old,
                   Millis Now, Millis StrictAfter = DefaultStrictAfter);

/// True if a task of the given size and end on a worker leaves the start of
/// the reservation as it is.
bool mayBackfill(const Ledger &Accounts, const BackfillReservation &Reservation,
                 const WorkerAccount &Worker, const Resources &Size, Millis End,
                 Millis Now, Millis StrictAfter = DefaultStrictAfter);

/// Condition for PlacementRequest::Accepts_ that honours all reservations.
/// Refers to both arguments by address; valid while they are unchanged.
std::function<bool(const WorkerAccount &)>
backfillFilter(const Ledger &Accounts,
               const std::vector<BackfillReservation> &Reservations,
               const Resources &Size, Millis End, Millis Now,
               Millis StrictAfter = DefaultStrictAfter);

} // namespace damaskglade::policy

#endif
