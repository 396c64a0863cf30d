#include "dispatch/reservation.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// A backfilled task is taken to need this many times its estimate, twice as
// often after each MarginPeriod, up to the limit. Estimates are rough, so tasks
// that last longer would otherwise delay the gang again and again.
constexpr std::int64_t MinBackfillMargin = 2;
constexpr std::int64_t MaxBackfillMargin = 8;
constexpr Millis MarginPeriod{10000};

} // namespace

std::optional<Reservation> reserveSlots(std::vector<SlotRelease> Releases,
                                        int Members) {
  // Of slots that are released at the same time, those on workers with many go
  // first, so that few workers are reserved.
  std::sort(Releases.begin(), Releases.end(),
            [](const SlotRelease &A, const SlotRelease &B) {
              return A.At_ != B.At_ ? A.At_ < B.At_ : A.Slots_ > B.Slots_;
            });
  Reservation Reserved;
  int Missing = Members;
  for (const SlotRelease &Release : Releases) {
    if (Missing == 0)
      break;
    const int Taken = std::min(Missing, Release.Slots_);
    if (Taken <= 0)
      continue;
    Reserved.Slots_[Release.WorkerIndex_] += Taken;
    Reserved.StartAt_ = Release.At_;
    Missing -= Taken;
  }
  if (Missing > 0)
    return std::nullopt;
  return Reserved;
}

bool mayBackfill(Millis Estimate, Millis HeldFor, Millis UntilStart) {
  if (Estimate <= Millis{})
    return false;
  std::int64_t Margin = MinBackfillMargin;
  for (Millis Elapsed = MarginPeriod;
       Elapsed <= HeldFor && Margin < MaxBackfillMargin;
       Elapsed = Elapsed + MarginPeriod)
    Margin *= 2;
  return Estimate * Margin <= UntilStart;
}

} // namespace damaskglade::dispatch
