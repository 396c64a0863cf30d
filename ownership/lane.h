#ifndef DAMASKGLADE_OWNERSHIP_LANE_H
#define DAMASKGLADE_OWNERSHIP_LANE_H

#include "core/thread.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace damaskglade::ownership {

/// Runs blocking calls one after the other on a thread of its own.
class Lane {
public:
  explicit Lane(std::size_t MaxWaiting);
  ~Lane() { finish(); }
  Lane(const Lane &) = delete;
  Lane &operator=(const Lane &) = delete;

  /// Drops the oldest waiting call if there are too many. Does nothing after
  /// finish().
  void post(std::function<void()> Call);

  /// Runs the waiting calls and ends the thread.
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
