#ifndef DAMASKGLADE_CORE_THREAD_H
#define DAMASKGLADE_CORE_THREAD_H

#include "core/clock.h"

#include <functional>
#include <pthread.h>

namespace damaskglade {

/// A POSIX mutex.
class Mutex {
public:
  Mutex() { pthread_mutex_init(&Handle_, nullptr); }
  ~Mutex() { pthread_mutex_destroy(&Handle_); }
  Mutex(const Mutex &) = delete;
  Mutex &operator=(const Mutex &) = delete;

  void lock() { pthread_mutex_lock(&Handle_); }
  void unlock() { pthread_mutex_unlock(&Handle_); }

private:
  friend class Condition;
  pthread_mutex_t Handle_;
};

/// Holds a mutex for the lifetime of the object.
class MutexLock {
public:
  explicit MutexLock(Mutex &Target) : Target_(Target) { Target_.lock(); }
  ~MutexLock() { Target_.unlock(); }
  MutexLock(const MutexLock &) = delete;
  MutexLock &operator=(const MutexLock &) = delete;

private:
  Mutex &Target_;
};

/// A POSIX condition variable on the monotonic clock.
class Condition {
public:
  Condition();
  ~Condition() { pthread_cond_destroy(&Handle_); }
  Condition(const Condition &) = delete;
  Condition &operator=(const Condition &) = delete;

  /// Waits until notified or until the timeout passes. The caller holds the
  /// mutex. Returns false on a timeout; wake-ups may be spurious.
  bool waitFor(Mutex &Held, Millis Timeout);
  void notifyOne() { pthread_cond_signal(&Handle_); }
  void notifyAll() { pthread_cond_broadcast(&Handle_); }

private:
  pthread_cond_t Handle_;
};

/// A POSIX thread that is joined on destruction.
class Thread {
public:
  Thread() = default;
  explicit Thread(std::function<void()> Body);
  ~Thread() { join(); }
  Thread(Thread &&Other) noexcept;
  Thread &operator=(Thread &&Other) noexcept;
  Thread(const Thread &) = delete;
  Thread &operator=(const Thread &) = delete;

  /// Waits for the thread to end; does nothing if it was never started.
  void join();

private:
  pthread_t Handle_{};
  bool Joinable_ = false;
};

} // namespace damaskglade

#endif
