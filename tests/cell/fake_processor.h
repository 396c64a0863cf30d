#ifndef DAMASKGLADE_TESTS_CELL_FAKE_PROCESSOR_H
#define DAMASKGLADE_TESTS_CELL_FAKE_PROCESSOR_H

#include "core/clock.h"
#include "ports/async_http.h"
#include "ports/row_store.h"
#include "ports/task_worker.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace damaskglade::fakes {

/// Processor time in microseconds, on a whole core.
using Micros = std::int64_t;

/// The processor and the event loop of a node, in the virtual time of another
/// loop. Callbacks run one after the other. Each takes its cost divided by the
/// speed; timers, replies and calls that come meanwhile wait. Costs nothing
/// until a speed is set.
class FakeProcessor : public TimerService, public Clock {
public:
  FakeProcessor(TimerService &Loop, const Clock &LoopClock)
      : Loop_(Loop), LoopClock_(LoopClock) {}

  /// Sets the share of a core that the node may use.
  void setSpeed(double Cores) { Cores_ = Cores; }
  /// Runs the task when the earlier ones have ended.
  void run(Micros Cost, std::function<void()> Task);
  /// Runs nothing for a while, as a stopped process does.
  void pause(Millis Time);
  /// Adds to the cost of the running task, then sends something to the network.
  void send(Micros Cost, std::function<void()> Task);
  /// All costs until now.
  Micros used() const { return Used_; }

  void after(Millis Delay, std::function<void()> Task) override;
  void whenIdle(Millis Limit, std::function<void()> Task) override;
  /// Time up to which the running task has got.
  Millis monotonic() const override;
  Millis wall() const override { return monotonic(); }
  std::int64_t processorMicros() const override { return Used_; }

private:
  void charge(Micros Cost);
  void runQueue();
  void runIdleTasks();
  Millis lag() const { return monotonic() - LoopClock_.monotonic(); }

  TimerService &Loop_;
  const Clock &LoopClock_;
  double Cores_ = 0; ///< Zero: costs nothing.
  Micros Used_ = 0;
  Micros BusyUntil_ = 0;
  std::deque<std::pair<Micros, std::function<void()>>> Queue_;
  /// Tasks that wait until the queue is empty. Empty once run.
  std::deque<std::shared_ptr<std::function<void()>>> IdleTasks_;
  bool Running_ = false; ///< The queue is being run, or a timer will do so.
};

/// Store whose calls take processor time.
class CostlyStore : public RowStore {
public:
  CostlyStore(FakeProcessor &Processor, RowStore &Store)
      : Processor_(Processor), Store_(Store) {}
  void transact(const RowTransaction &Transaction,
                std::function<void(Result<TransactionOutcome>)> Done) override;
  void read(const RowRange &Range,
            std::function<void(Result<RowPage>)> Done) override;
  void follow(const std::string &, std::int64_t, Millis,
              std::function<void(Result<RowPage>)>) override {}

private:
  FakeProcessor &Processor_;
  RowStore &Store_;
};

/// Workers whose orders and polls take processor time.
class CostlyWorkers : public TaskWorkers {
public:
  CostlyWorkers(FakeProcessor &Processor, TaskWorkers &Workers)
      : Processor_(Processor), Workers_(Workers) {}
  void start(const WorkerTarget &Worker, const StartOrder &Order,
             OrderHandler Done) override;
  void stop(const WorkerTarget &Worker, const std::string &Task,
            std::int64_t Attempt, OrderHandler Done) override;
  void pace(const WorkerTarget &Worker, const std::string &Task,
            std::int64_t Attempt, int Percent, OrderHandler Done) override;
  void poll(const WorkerTarget &Worker, const PollRequest &Request,
            std::function<void(Result<PollReply>)> Done) override;

private:
  FakeProcessor &Processor_;
  TaskWorkers &Workers_;
};

// Costs as measured on a leader with 1,100 workers.
inline constexpr Micros TimerCost = 5;
inline constexpr Micros RequestCost = 84; ///< Of a caller or another node.
inline constexpr Micros PeerReplyCost = 20;
inline constexpr Micros TransactionCost = 400;
inline constexpr Micros ConfigCost = 12000; ///< To read one of 1,400 routes.
inline constexpr int ConfigParts = 26;      ///< In which it arrives.
inline constexpr Micros RowCost =
    16; ///< Of a row read, or a registered worker.
inline constexpr Micros StartCost = 122; ///< With its share of planning.
inline constexpr Micros StopCost = 52;
inline constexpr Micros PollSendCost = 19;
inline constexpr Micros PollReplyCost = 19;
inline constexpr Micros PollNewsCost = 39; ///< Added if tasks have ended.
inline constexpr Micros PlanningCost = 70; ///< The share of StartCost.
// Of a call or reply in a message between the leader and a relay, on each side.
inline constexpr Micros RelayedCallCost = 2;
inline constexpr Micros RelayedReplyCost = 4;

} // namespace damaskglade::fakes

#endif
