#ifndef DAMASKGLADE_TESTS_STAND_INS_TIMER_QUEUE_H
#define DAMASKGLADE_TESTS_STAND_INS_TIMER_QUEUE_H

#include "core/clock.h"
#include "core/thread.h"

#include <functional>
#include <map>

namespace damaskglade::stand_ins {

/// Runs functions at given times on one thread of its own.
class TimerQueue {
public:
  TimerQueue();
  ~TimerQueue() { stop(); }
  TimerQueue(const TimerQueue &) = delete;
  TimerQueue &operator=(const TimerQueue &) = delete;

  /// Discards what is not yet due; returns once nothing runs any more. Objects
  /// that the functions use may be destroyed afterwards.
  void stop();

  void runAfter(Millis Delay, std::function<void()> Action);

private:
  void run();

  SystemClock Clock_;
  Mutex Mutex_;
  Condition Changed_;
  std::multimap<Millis, std::function<void()>> Actions_;
  bool Stopping_ = false;
  Thread Thread_; // Last, so that the other members exist when it runs.
};

} // namespace damaskglade::stand_ins

#endif
