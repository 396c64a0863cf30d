#ifndef DAMASKGLADE_DRIVERS_BEAST_STALL_WATCH_H
#define DAMASKGLADE_DRIVERS_BEAST_STALL_WATCH_H

#include "core/clock.h"

namespace damaskglade::drivers {

/// Tells when the event loop of a process did not run, because the process was
/// stopped or a task took long. Requests that arrived meanwhile have waited.
struct StallWatch {
  /// Interval of the checks.
  static constexpr Millis CheckPeriod{100};
  /// Shorter delays are those of a busy loop.
  static constexpr Millis MinStall{500};

  Millis CheckedAt_{};    ///< The latest check; zero if there was none.
  Millis StalledSince_{}; ///< Zero unless requests of a stall may be unread.

  friend bool operator==(const StallWatch &, const StallWatch &) = default;
};

/// Called in each period. Returns whether a stall has just ended.
bool recordCheck(StallWatch &Watch, Millis Now);

/// Called when the requests that arrived during a stall have been read.
void endStall(StallWatch &Watch);

/// How long a request that is read now may have waited in a stall.
Millis longestWait(const StallWatch &Watch, Millis Now);

} // namespace damaskglade::drivers

#endif
