#ifndef DAMASKGLADE_DISPATCH_RESERVATION_H
#define DAMASKGLADE_DISPATCH_RESERVATION_H

#include "core/clock.h"

#include <map>
#include <optional>
#include <vector>

namespace damaskglade::dispatch {

/// Room for members of a gang on a worker, from a time on.
struct SlotRelease {
  int WorkerIndex_ = 0; ///< Worker::Index_.
  Millis At_{};
  int Slots_ = 0; ///< In addition to those released there before.

  friend bool operator==(const SlotRelease &, const SlotRelease &) = default;
};

/// The earliest start of a gang, and the workers that it needs for it.
struct Reservation {
  Millis StartAt_{};
  std::map<int, int> Slots_; ///< Members by Worker::Index_.

  friend bool operator==(const Reservation &, const Reservation &) = default;
};

/// Reserves the slots that are released first. Empty if all of them together
/// are fewer than the members.
std::optional<Reservation> reserveSlots(std::vector<SlotRelease> Releases,
                                        int Members);

/// Whether a task with this estimated duration may start on reserved workers
/// (backfilling). HeldFor is how long the reservation has existed.
bool mayBackfill(Millis Estimate, Millis HeldFor, Millis UntilStart);

} // namespace damaskglade::dispatch

#endif
