#ifndef DAMASKGLADE_CELL_STORE_CLOCK_H
#define DAMASKGLADE_CELL_STORE_CLOCK_H

#include "cell/worker_rows.h"

#include <optional>

namespace damaskglade::cell {

/// The most by which the store's clock can be ahead of the local one.
struct StoreClockLead {
  Millis Most_{};
  Millis KnownAt_{}; ///< Local time of the reading that has shown it.

  friend bool operator==(const StoreClockLead &,
                         const StoreClockLead &) = default;
};

/// The bound after a further reading that told the time.
StoreClockLead updateLead(const std::optional<StoreClockLead> &Known,
                          const StoreClockReading &Reading);

/// The earliest local time at which the store can have written the reply, given
/// the bound after it. Replies to long polls are written long after the request
/// was sent.
Millis earliestWriteTime(const std::optional<StoreClockLead> &Lead,
                         const StoreClockReading &Reading);

} // namespace damaskglade::cell

#endif
