#ifndef DAMASKGLADE_OWNERSHIP_SERIAL_EXECUTOR_H
#define DAMASKGLADE_OWNERSHIP_SERIAL_EXECUTOR_H

#include "core/thread.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace damaskglade::ownership {

/// Runs blocking calls in order on a dedicated thread.
class SerialExecutor {
public:
  explicit SerialExecutor(std::size_t MaxWaiting);
  ~SerialExecutor() { finish(); }
  SerialExecutor(const SerialExecutor &) = delete;
  SerialExecutor &operator=(const SerialExecutor &) = delete;

  /// Queues a call; drops the oldest queued call if the queue is full. Does
  /// nothing after finish().
  void post(std::function<void()> Call);

  /// Runs the queued calls and joins the thread.
  void finish();

private:
  void run();

  const std::size_t MaxWaiting_;
  Mutex Lock_;
  Condition Changed_;
  std::deque<std::function<void()>> Waiting_;
  bool Finishing_ = false;
  Thread Thread_;
};

} // namespace damaskglade::ownership

#endif
