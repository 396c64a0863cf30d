#include "drivers/log/bounded_log.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace damaskglade::drivers {

namespace {

// Each wake-up of the writer costs processor time, so it takes many lines.
constexpr std::chrono::milliseconds WritePeriod{100};
constexpr Millis BudgetPeriod{1000};

class BoundedLog : public EventLog {
public:
  BoundedLog(std::unique_ptr<EventLog> Target, const Clock &Time,
             const LogBudget &Budget)
      : Target_(std::move(Target)), Time_(Time), Budget_(Budget),
        Writer_([this] { run(); }) {}

  ~BoundedLog() override {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Stopping_ = true;
    }
    Wake_.notify_one();
    Writer_.join();
  }

  void write(const LogEvent &Event) override {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    const Millis Now = Time_.monotonic();
    if (Now - PeriodStart_ > BudgetPeriod) {
      PeriodStart_ = Now;
      Lines_ = 0;
      StepLines_.clear();
    }
    if (Queue_.size() >= Budget_.QueuedLines_ || !isWithinBudget(Event)) {
      ++Dropped_;
      return;
    }
    Queue_.push_back(Event);
    if (Queue_.size() == 1)
      Wake_.notify_one();
  }

private:
  bool isWithinBudget(const LogEvent &Event) {
    if (Event.Level_ == LogLevel::Warning || Event.Level_ == LogLevel::Error)
      return true;
    // Steps of requests are tasks, of which there is no limited number.
    if (Event.Request_.empty() &&
        ++StepLines_[Event.Step_] <= Budget_.LinesPerStep_)
      return true;
    return ++Lines_ <= Budget_.LinesPerSecond_;
  }

  void run() {
    std::unique_lock<std::mutex> Lock(Mutex_);
    while (!Stopping_ || !Queue_.empty()) {
      Wake_.wait(Lock, [this] { return Stopping_ || !Queue_.empty(); });
      if (!Stopping_)
        Wake_.wait_for(Lock, WritePeriod, [this] { return Stopping_; });
      std::vector<LogEvent> Batch;
      Batch.swap(Queue_);
      const std::size_t Dropped = Dropped_;
      Dropped_ = 0;
      Lock.unlock();
      for (const LogEvent &Each : Batch)
        Target_->write(Each);
      if (Dropped > 0)
        Target_->write(LogEvent{LogLevel::Warning,
                                "dropped_lines=" + std::to_string(Dropped), "",
                                "log", ""});
      Lock.lock();
    }
  }

  const std::unique_ptr<EventLog> Target_;
  const Clock &Time_;
  const LogBudget Budget_;
  std::mutex Mutex_;
  std::condition_variable Wake_;
  std::vector<LogEvent> Queue_;
  std::size_t Lines_ = 0;
  std::map<std::string, std::size_t> StepLines_; ///< In this period, by step.
  std::size_t Dropped_ = 0;
  Millis PeriodStart_{};
  bool Stopping_ = false;
  std::thread Writer_;
};

} // namespace

std::unique_ptr<EventLog> makeBoundedLog(std::unique_ptr<EventLog> Target,
                                         const Clock &Time,
                                         const LogBudget &Budget) {
  return std::make_unique<BoundedLog>(std::move(Target), Time, Budget);
}

} // namespace damaskglade::drivers
