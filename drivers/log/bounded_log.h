#ifndef DAMASKGLADE_DRIVERS_LOG_BOUNDED_LOG_H
#define DAMASKGLADE_DRIVERS_LOG_BOUNDED_LOG_H

#include "core/clock.h"
#include "ports/event_log.h"

#include <cstddef>
#include <memory>

namespace damaskglade::drivers {

/// Budget of a log.
struct LogBudget {
  std::size_t LinesPerSecond_ = 400; ///< Warnings are not counted.
  std::size_t QueuedLines_ = 2000;   ///< More are dropped.
  /// Lines a second that each step may write beside those, unless they are
  /// about a request, so that frequent lines do not displace rare ones.
  std::size_t LinesPerStep_ = 10;

  friend bool operator==(const LogBudget &, const LogBudget &) = default;
};

/// Passes events to another log on a thread of its own, so that a reader of
/// the output that stalls never blocks a decision. What is over the budget is
/// dropped, and a line tells how much.
std::unique_ptr<EventLog> makeBoundedLog(std::unique_ptr<EventLog> Target,
                                         const Clock &Time,
                                         const LogBudget &Budget);

} // namespace damaskglade::drivers

#endif
