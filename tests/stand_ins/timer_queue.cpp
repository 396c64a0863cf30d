#include "tests/stand_ins/timer_queue.h"

namespace damaskglade::stand_ins {

TimerQueue::TimerQueue() : Thread_([this] { run(); }) {}

void TimerQueue::stop() {
  {
    const MutexLock Held(Mutex_);
    Stopping_ = true;
    Changed_.notifyAll();
  }
  Thread_.join();
}

void TimerQueue::runAfter(Millis Delay, std::function<void()> Action) {
  const MutexLock Held(Mutex_);
  Actions_.emplace(Clock_.monotonic() + Delay, std::move(Action));
  Changed_.notifyAll();
}

void TimerQueue::run() {
  constexpr Millis Forever{60000};
  Mutex_.lock();
  while (!Stopping_) {
    if (Actions_.empty()) {
      Changed_.waitFor(Mutex_, Forever);
      continue;
    }
    const Millis Left = Actions_.begin()->first - Clock_.monotonic();
    if (Left > Millis{}) {
      Changed_.waitFor(Mutex_, Left);
      continue;
    }
    const std::function<void()> Action = std::move(Actions_.begin()->second);
    Actions_.erase(Actions_.begin());
    Mutex_.unlock();
    Action();
    Mutex_.lock();
  }
  Mutex_.unlock();
}

} // namespace damaskglade::stand_ins
