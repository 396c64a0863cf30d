#ifndef DAMASKGLADE_CORE_WORK_POOL_H
#define DAMASKGLADE_CORE_WORK_POOL_H

#include "core/thread.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace damaskglade {

/// A fixed number of threads that run tasks in order of submission.
class WorkPool {
public:
  WorkPool(std::size_t Threads, std::size_t MaxQueued);
  ~WorkPool() { stop(); }
  WorkPool(const WorkPool &) = delete;
  WorkPool &operator=(const WorkPool &) = delete;

  /// Returns false if the queue is full or the pool is stopping.
  bool submit(std::function<void()> Task);
  /// Tasks that wait or run.
  std::size_t load() const;
  /// Runs what is queued, then ends the threads.
  void stop();

private:
  void runThread();

  const std::size_t MaxQueued_;
  mutable Mutex Mutex_;
  Condition Changed_;
  std::deque<std::function<void()>> Tasks_;
  std::size_t Running_ = 0;
  bool Stopping_ = false;
  std::vector<Thread> Threads_;
};

} // namespace damaskglade

#endif
