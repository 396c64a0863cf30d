#ifndef DAMASKGLADE_DISPATCH_ADVICE_H
#define DAMASKGLADE_DISPATCH_ADVICE_H

#include "core/clock.h"

#include <string>
#include <vector>

namespace damaskglade::dispatch {

/// Ticket of a worker for a step.
struct Ticket {
  std::string Text_;
  Millis ValidUntil_{};

  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// A worker that may run a step, identified by its slot (Worker::Slot_).
struct AllowedWorker {
  int Slot_ = 0;
  Ticket Ticket_;

  friend bool operator==(const AllowedWorker &,
                         const AllowedWorker &) = default;
};

/// Advice received for a step. An allowed worker stays allowed; its ticket
/// expires and can be renewed.
struct StepAdvice {
  std::vector<AllowedWorker> Allowed_; ///< Sorted by slot.
  std::vector<bool> Asked_;            ///< Indexed by slot.
  bool Pending_ = false;               ///< A request is in flight.
  Millis AskedAt_{};
  Millis RetryAt_{};
};

/// Ticket of a worker, or null if it is not allowed to run the step.
const Ticket *findTicket(const StepAdvice &Advice, int Slot);
/// Allows a worker, or renews its ticket.
void allowWorker(StepAdvice &Advice, int Slot, Ticket NewTicket);
bool wasAsked(const StepAdvice &Advice, int Slot);
void markAsked(StepAdvice &Advice, int Slot);

} // namespace damaskglade::dispatch

#endif
