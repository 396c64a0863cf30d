#ifndef DAMASKGLADE_CELL_WORKER_ROWS_H
#define DAMASKGLADE_CELL_WORKER_ROWS_H

#include "cell/context.h"
#include "dispatch/fleet.h"
#include "dispatch/job_run.h"

#include <optional>

namespace damaskglade::cell {

// Rows that tell the next leader how long tasks may still run on workers that
// it does not reach. Times in rows are on the steady clock of the store, the
// only clock that all nodes see.

/// A reply of the store that told the time.
struct StoreClockReading {
  Millis SentAt_{};     ///< When the request was sent, on this node's clock.
  Millis ReceivedAt_{}; ///< When the reply arrived.
  Millis StoreClock_{}; ///< The store's clock; zero if it was not told.

  friend bool operator==(const StoreClockReading &,
                         const StoreClockReading &) = default;
};

/// The latest time that the store's clock can show at the given local time.
Millis latestStoreTime(const StoreClockReading &Reading, Millis LocalTime);

/// The latest local time at which the store's clock can show StoreTime.
Millis latestLocalTime(const StoreClockReading &Reading, Millis StoreTime);

/// A row of the workers table. An open row tells that the leader may start
/// tasks on the worker at any time, a closed one how long its tasks may run. A
/// worker without a row runs nothing.
struct WorkerRow {
  /// Only id, address, service and the start time of the process.
  dispatch::WorkerInfo Info_;
  /// Empty if the row is open. The expiry is on the store's clock.
  std::optional<dispatch::ClosedLeases> Closed_;
  std::int64_t ClosedInEpoch_ = 0;

  friend bool operator==(const WorkerRow &, const WorkerRow &) = default;
};

std::string encodeWorkerRow(const WorkerRow &Row);
/// Errors: invalid_field.
Result<WorkerRow> decodeWorkerRow(const StoredRow &Row);

/// Written by a leader that resigns.
struct Resignation {
  std::int64_t Epoch_ = 0;
  /// When all leases of this and earlier leaders have expired, on the store's
  /// clock.
  Millis LeaseExpiry_{};
  /// Tasks that ran nowhere when the leader stopped.
  std::vector<dispatch::TaskRange> Waiting_;

  friend bool operator==(const Resignation &, const Resignation &) = default;
};

/// The most ranges of tasks that fit into a row.
inline constexpr std::size_t MaxWaitingRanges = 1500;

std::string encodeResignation(const Resignation &Record);
/// Errors: invalid_field.
Result<Resignation> decodeResignation(const StoredRow &Row);

} // namespace damaskglade::cell

#endif
