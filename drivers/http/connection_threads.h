#ifndef DAMASKGLADE_DRIVERS_HTTP_CONNECTION_THREADS_H
#define DAMASKGLADE_DRIVERS_HTTP_CONNECTION_THREADS_H

#include "core/thread.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace damaskglade::drivers {

/// Runs one task for each connection and adds threads as needed, up to a
/// bound. Later connections wait for a thread.
class ConnectionThreads {
public:
  explicit ConnectionThreads(std::size_t MaxThreads)
      : MaxThreads_(MaxThreads) {}
  ~ConnectionThreads() { shutdown(); }

  void enqueue(std::function<void()> Task);
  /// Waits until all tasks have ended.
  void shutdown();

private:
  void runThread();

  const std::size_t MaxThreads_;
  Mutex Mutex_;
  Condition Changed_;
  std::deque<std::function<void()>> Tasks_;
  std::vector<Thread> Threads_;
  std::size_t Idle_ = 0;
  bool Stopping_ = false;
};

} // namespace damaskglade::drivers

#endif
