#include "tests/cell/fake_processor.h"

#include <algorithm>

namespace damaskglade::fakes {

namespace {

constexpr Micros MicrosPerMilli = 1000;

void runOnce(std::function<void()> &Task) {
  if (Task)
    std::exchange(Task, nullptr)();
}

} // namespace

void FakeProcessor::charge(Micros Cost) {
  Used_ += Cost;
  const Micros LoopTime = LoopClock_.monotonic().Value_ * MicrosPerMilli;
  if (Cores_ > 0)
    BusyUntil_ = std::max(BusyUntil_, LoopTime) +
                 static_cast<Micros>(static_cast<double>(Cost) / Cores_);
}

Millis FakeProcessor::monotonic() const {
  return std::max(LoopClock_.monotonic(), Millis{BusyUntil_ / MicrosPerMilli});
}

void FakeProcessor::after(Millis Delay, std::function<void()> Task) {
  Loop_.after(lag() + Delay, [this, Task = std::move(Task)]() mutable {
    run(TimerCost, std::move(Task));
  });
}

void FakeProcessor::whenIdle(Millis Limit, std::function<void()> Task) {
  auto Pending = std::make_shared<std::function<void()>>(std::move(Task));
  IdleTasks_.push_back(Pending);
  after(Limit, [Pending] { runOnce(*Pending); });
  Loop_.after(lag(), [this] { runIdleTasks(); });
}

void FakeProcessor::runIdleTasks() {
  while (!IdleTasks_.empty() && !*IdleTasks_.front())
    IdleTasks_.pop_front();
  if (IdleTasks_.empty())
    return;
  if (!Queue_.empty() || lag() > Millis{})
    return Loop_.after(std::max(lag(), Millis{1}), [this] { runIdleTasks(); });
  const auto Pending = std::move(IdleTasks_.front());
  IdleTasks_.pop_front();
  run(TimerCost, [Pending] { runOnce(*Pending); });
  if (!IdleTasks_.empty())
    Loop_.after(std::max(lag(), Millis{1}), [this] { runIdleTasks(); });
}

void FakeProcessor::run(Micros Cost, std::function<void()> Task) {
  if (Cores_ == 0 && !Running_ && lag() == Millis{}) {
    Used_ += Cost;
    return Task();
  }
  Queue_.emplace_back(Cost, std::move(Task));
  if (!std::exchange(Running_, true))
    runQueue();
}

void FakeProcessor::pause(Millis Time) {
  BusyUntil_ = (LoopClock_.monotonic() + Time).Value_ * MicrosPerMilli;
}

void FakeProcessor::send(Micros Cost, std::function<void()> Task) {
  charge(Cost);
  if (lag() == Millis{})
    return Task();
  Loop_.after(lag(), std::move(Task));
}

void FakeProcessor::runQueue() {
  while (!Queue_.empty() && lag() == Millis{}) {
    const auto [Cost, Task] = std::move(Queue_.front());
    Queue_.pop_front();
    charge(Cost);
    Task();
  }
  Running_ = !Queue_.empty();
  if (Running_)
    Loop_.after(lag(), [this] { runQueue(); });
}

void CostlyStore::transact(
    const RowTransaction &Transaction,
    std::function<void(Result<TransactionOutcome>)> Done) {
  Processor_.send(TransactionCost, [this, Transaction, Done] {
    Store_.transact(Transaction, [this, Done](auto Outcome) {
      Processor_.run(0,
                     [Done, Outcome = std::move(Outcome)] { Done(Outcome); });
    });
  });
}

void CostlyStore::read(const RowRange &Range,
                       std::function<void(Result<RowPage>)> Done) {
  Processor_.send(RequestCost, [this, Range, Done] {
    Store_.read(Range, [this, Done](Result<RowPage> Page) {
      const std::size_t Rows = Page ? Page.value().Rows_.size() : 0;
      Processor_.run(RowCost * static_cast<Micros>(Rows),
                     [Done, Page = std::move(Page)] { Done(Page); });
    });
  });
}

void CostlyWorkers::start(const WorkerTarget &Worker, const StartOrder &Order,
                          OrderHandler Done) {
  Processor_.send(StartCost, [this, Worker, Order, Done] {
    Workers_.start(Worker, Order, [this, Done](Result<OrderReply> Reply) {
      Processor_.run(0, [Done, Reply = std::move(Reply)] { Done(Reply); });
    });
  });
}

void CostlyWorkers::stop(const WorkerTarget &Worker, const std::string &Task,
                         std::int64_t Attempt, OrderHandler Done) {
  Processor_.send(StopCost, [this, Worker, Task, Attempt, Done] {
    Workers_.stop(
        Worker, Task, Attempt, [this, Done](Result<OrderReply> Reply) {
          Processor_.run(0, [Done, Reply = std::move(Reply)] { Done(Reply); });
        });
  });
}

void CostlyWorkers::pace(const WorkerTarget &Worker, const std::string &Task,
                         std::int64_t Attempt, int Percent, OrderHandler Done) {
  Workers_.pace(Worker, Task, Attempt, Percent, std::move(Done));
}

void CostlyWorkers::poll(const WorkerTarget &Worker, const PollRequest &Request,
                         std::function<void(Result<PollReply>)> Done) {
  Processor_.send(PollSendCost, [this, Worker, Request, Done] {
    Workers_.poll(Worker, Request, [this, Done](Result<PollReply> Reply) {
      const bool HasNews = Reply && !Reply.value().Ended_.empty();
      Processor_.run(PollReplyCost + (HasNews ? PollNewsCost : 0),
                     [Done, Reply = std::move(Reply)] { Done(Reply); });
    });
  });
}

} // namespace damaskglade::fakes
