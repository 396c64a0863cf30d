#ifndef DAMASKGLADE_PORTS_TASK_WORKER_H
#define DAMASKGLADE_PORTS_TASK_WORKER_H

#include "core/error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damaskglade {

/// Where and with which right an order goes.
struct WorkerTarget {
  std::string Worker_;
  std::string Address_;
  std::int64_t Fence_ = 0; ///< Epoch of the leader that gives the order.

  friend bool operator==(const WorkerTarget &, const WorkerTarget &) = default;
};

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
  NoRoom,
  BadTicket,
  WrongWorker, ///< Another process listens at the address.
  Unhealthy,   ///< The worker did nothing.
  Invalid,
};

struct OrderReply {
  OrderOutcome Outcome_ = OrderOutcome::Done;
  Millis Clock_{}; ///< Worker's steady clock at the reply; zero if not told.

  friend bool operator==(const OrderReply &, const OrderReply &) = default;
};

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
  std::int64_t Number_ = 0; ///< Rises in one life of the worker.
  std::string Task_;
  std::int64_t Attempt_ = 0;
  TaskEnd End_ = TaskEnd::Done;
  std::string Checkpoint_;

  friend bool operator==(const EndedTask &, const EndedTask &) = default;
};

struct LookOrder {
  Millis LeaseEnd_{};             ///< Zero: leases are not extended.
  std::int64_t LastRecorded_ = 0; ///< Ends up to here need not be kept.
  Millis Wait_{};                 ///< The reply waits so long for an end.

  friend bool operator==(const LookOrder &, const LookOrder &) = default;
};

struct LookReply {
  OrderOutcome Outcome_ = OrderOutcome::Done;
  Millis Clock_{};
  std::int64_t Born_ = 0; ///< Start of the worker process, Unix milliseconds.
  std::vector<RunningEntry> Running_;
  std::vector<EndedTask> Ended_;

  friend bool operator==(const LookReply &, const LookReply &) = default;
};

using OrderHandler = std::function<void(Result<OrderReply>)>;

/// Orders to workers. An order without an answer may still be carried out.
class TaskWorkers {
public:
  virtual ~TaskWorkers() = default;
  virtual void start(const WorkerTarget &Worker, const StartOrder &Order,
                     OrderHandler Done) = 0;
  virtual void stop(const WorkerTarget &Worker, const std::string &Task,
                    std::int64_t Attempt, OrderHandler Done) = 0;
  virtual void pace(const WorkerTarget &Worker, const std::string &Task,
                    std::int64_t Attempt, int Percent, OrderHandler Done) = 0;
  virtual void look(const WorkerTarget &Worker, const LookOrder &Order,
                    std::function<void(Result<LookReply>)> Done) = 0;
};

} // namespace damaskglade

#endif
