#ifndef DAMASKGLADE_DRIVERS_BEAST_LOOP_THREAD_H
#define DAMASKGLADE_DRIVERS_BEAST_LOOP_THREAD_H

#include "core/thread.h"
#include "drivers/beast/event_loop.h"

namespace damaskglade::drivers {

/// An event loop on a thread of its own, for work that must not wait for what
/// another loop has to do. Loops exchange tasks with EventLoop::after().
class LoopThread {
public:
  LoopThread() = default;
  ~LoopThread() { stop(); }
  LoopThread(const LoopThread &) = delete;
  LoopThread &operator=(const LoopThread &) = delete;

  EventLoop &loop() { return Loop_; }
  void start();
  /// Waits until the running task has ended. Further tasks are not run.
  void stop();

private:
  EventLoop Loop_;
  Thread Thread_;
};

} // namespace damaskglade::drivers

#endif
