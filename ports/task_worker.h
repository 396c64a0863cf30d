#ifndef DAMASKGLADE_PORTS_TASK_WORKER_H
#define DAMASKGLADE_PORTS_TASK_WORKER_H

#include "core/error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damaskglade {

/// The worker that an order is sent to, and the fencing token of the sender.
struct WorkerTarget {
  std::string Worker_;
  std::string Address_;
  std::int64_t FencingToken_ = 0; ///< Epoch of the leader that gives the order.
  /// Start time of the process that is meant, Unix milliseconds; zero if it is
  /// not known. A worker that starts again under its id and at its address
  /// takes what was meant for the process before, so starts, stops and lease
  /// ends are passed only to a process that has told this time.
  std::int64_t ProcessStart_ = 0;

  friend bool operator==(const WorkerTarget &, const WorkerTarget &) = default;
};

/// Starts an attempt of a task under a lease.
struct StartOrder {
  std::string Task_;
  std::int64_t Attempt_ = 0;
  std::string Payload_;
  Millis LeaseEnd_{}; ///< On the worker's clock.
  std::string Checkpoint_;
  std::string Ticket_;

  friend bool operator==(const StartOrder &, const StartOrder &) = default;
};

enum class OrderOutcome {
  Done,
  Fenced,     ///< A newer leader has given orders to this worker.
  Superseded, ///< This or a later attempt was stopped or has ended there.
  TooLate,    ///< The lease end had passed.
  InsufficientCapacity,
  BadTicket,
  WrongWorker, ///< Another process listens at the address.
  Unhealthy,   ///< The worker refused the order; it had no effect.
  Invalid,
  Restarted, ///< Another process answers as the worker, and has no such order.
};

struct OrderReply {
  OrderOutcome Outcome_ = OrderOutcome::Done;
  Millis Clock_{}; ///< Worker's steady clock at the reply; zero if not sent.

  friend bool operator==(const OrderReply &, const OrderReply &) = default;
};

/// A task that a worker reports as running.
struct RunningEntry {
  std::string Task_;
  std::int64_t Attempt_ = 0;
  std::string Checkpoint_;
  int Percent_ = 0;
  std::int64_t Gauge_ = 0; ///< Tail latency in ms, or milli-CPUs in use.

  friend bool operator==(const RunningEntry &, const RunningEntry &) = default;
};

enum class TaskEnd {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  GangBroken,
  GangAlone
};

struct EndedTask {
  std::int64_t SequenceNumber_ = 0; ///< Increases within one worker process.
  std::string Task_;
  std::int64_t Attempt_ = 0;
  TaskEnd End_ = TaskEnd::Done;
  std::string Checkpoint_;

  friend bool operator==(const EndedTask &, const EndedTask &) = default;
};

/// Polls a worker for its tasks and extends their leases.
struct PollRequest {
  Millis LeaseEnd_{};                ///< Zero: leases are not extended.
  std::int64_t LastRecordedEnd_ = 0; ///< The worker may forget ends up to here.
  Millis Wait_{}; ///< Long poll: how long to wait for a task to end.

  friend bool operator==(const PollRequest &, const PollRequest &) = default;
};

struct PollReply {
  OrderOutcome Outcome_ = OrderOutcome::Done;
  Millis Clock_{};
  std::int64_t ProcessStart_ = 0; ///< Unix milliseconds.
  std::vector<RunningEntry> Running_;
  std::vector<EndedTask> Ended_;
  /// Nothing ties later calls to the process: it does not tell its start time,
  /// closes each connection after its reply, or is behind a proxy that keeps
  /// connections when a process ends.
  bool Unbound_ = false;

  friend bool operator==(const PollReply &, const PollReply &) = default;
};

/// Workers list at most this many ended tasks in a reply, the earliest first.
inline constexpr std::size_t MaxListedEnds = 500;

/// Whether the reply lists all tasks that have ended. If not, a task that it
/// does not list may have ended.
inline bool listsAllEnds(const PollReply &Reply) {
  return Reply.Ended_.size() < MaxListedEnds;
}

using OrderHandler = std::function<void(Result<OrderReply>)>;

/// Client for orders and status polls to workers. An order that gets no reply
/// may still have been carried out. A poll that finds another process than its
/// target names returns what that one lists, and renews and acknowledges
/// nothing.
class TaskWorkers {
public:
  virtual ~TaskWorkers() = default;
  virtual void start(const WorkerTarget &Worker, const StartOrder &Order,
                     OrderHandler Done) = 0;
  virtual void stop(const WorkerTarget &Worker, const std::string &Task,
                    std::int64_t Attempt, OrderHandler Done) = 0;
  virtual void pace(const WorkerTarget &Worker, const std::string &Task,
                    std::int64_t Attempt, int Percent, OrderHandler Done) = 0;
  virtual void poll(const WorkerTarget &Worker, const PollRequest &Request,
                    std::function<void(Result<PollReply>)> Done) = 0;
};

} // namespace damaskglade

#endif
