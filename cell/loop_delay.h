#ifndef DAMASKGLADE_CELL_LOOP_DELAY_H
#define DAMASKGLADE_CELL_LOOP_DELAY_H

#include "core/clock.h"

#include <array>
#include <cstddef>

namespace damaskglade::cell {

/// How late the event loop of a leader has run its latest timers. A leader with
/// too little processor time cannot know its own speed, but its timers are
/// late.
struct LoopDelay {
  static constexpr std::size_t SampleCount = 3;
  std::array<Millis, SampleCount> Samples_{}; ///< The oldest one first.

  friend bool operator==(const LoopDelay &, const LoopDelay &) = default;
};

LoopDelay addDelay(const LoopDelay &Delay, Millis Sample);

/// The least of the samples: work that a burst leaves behind for one period
/// does not count.
Millis standingDelay(const LoopDelay &Delay);

/// Whether the loop has been too late for batch jobs to be accepted.
bool isLate(const LoopDelay &Delay);

/// Whether a new job of a queue is rejected because the leader has fallen
/// behind. Priority is that of the queue; zero is the most urgent.
bool shouldReject(const LoopDelay &Delay, int Priority);

} // namespace damaskglade::cell

#endif
