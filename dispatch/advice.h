#ifndef DAMASKGLADE_DISPATCH_ADVICE_H
#define DAMASKGLADE_DISPATCH_ADVICE_H

#include "core/clock.h"

#include <set>
#include <string>
#include <vector>

namespace damaskglade::dispatch {

/// Delay between a failed advice request and the next one for the step.
inline constexpr Millis AdviceRetryDelay{150};

/// The nodes that make advice requests, as planning sees them.
class AdviceQueue {
public:
  virtual ~AdviceQueue() = default;
  /// Starts a planning pass, whose requests are sent when it is over.
  virtual void beginPass() = 0;
  /// Whether a request of at least this duration would be accepted.
  virtual bool accepts(Millis Duration, bool Urgent) = 0;
  /// Counts a request of this pass.
  virtual void add(Millis Duration, bool Urgent) = 0;
};

/// Permission of the advice service to run a step on a worker for a limited
/// time. The start order carries its text, and the worker rejects an invalid
/// one.
struct Ticket {
  std::string Text_;
  Millis ValidUntil_{}; ///< On the leader's clock.

  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// A worker that may run a step.
struct AllowedWorker {
  int WorkerIndex_ = 0; ///< Worker::Index_.
  Ticket Ticket_;

  friend bool operator==(const AllowedWorker &,
                         const AllowedWorker &) = default;
};

/// Advice received for a step: the workers that the advice service allows to
/// run it. An allowed worker stays allowed; its ticket expires and can be
/// renewed.
struct StepAdvice {
  std::vector<AllowedWorker> AllowedWorkers_; ///< Sorted by worker index.
  /// Whether the service has answered about a worker; indexed by
  /// Worker::Index_.
  std::vector<bool> AnsweredWorkers_;
  /// Workers named in requests that are in flight, by worker index.
  std::set<int> PendingWorkers_;
  int PendingRequests_ = 0; ///< Requests in flight.
  Millis NextRequestAt_{};  ///< Earliest time of the next request.
};

/// Ticket of a worker, which may have expired; null if the worker is not
/// allowed to run the step.
const Ticket *findTicket(const StepAdvice &Advice, int WorkerIndex);
/// Adds an allowed worker, or replaces its ticket.
void allowWorker(StepAdvice &Advice, int WorkerIndex, Ticket NewTicket);
/// Whether the advice service has answered a request that named the worker.
bool hasAnswer(const StepAdvice &Advice, int WorkerIndex);
void markAnswered(StepAdvice &Advice, int WorkerIndex);

} // namespace damaskglade::dispatch

#endif
