#include "drivers/http/connection_threads.h"

#include <utility>

namespace damaskglade::drivers {

namespace {

constexpr Millis WakeInterval{1000};

} // namespace

void ConnectionThreads::enqueue(std::function<void()> Task) {
  const MutexLock Lock(Mutex_);
  Tasks_.push_back(std::move(Task));
  // A keep-alive connection holds its thread. A fixed pool as small as the
  // library's default would let idle peers block new callers.
  if (Idle_ < Tasks_.size() && Threads_.size() < MaxThreads_)
    Threads_.emplace_back([this] { runThread(); });
  Changed_.notifyOne();
}

void ConnectionThreads::shutdown() {
  std::vector<Thread> Threads;
  {
    const MutexLock Lock(Mutex_);
    Stopping_ = true;
    Threads.swap(Threads_);
    Changed_.notifyAll();
  }
  for (Thread &Each : Threads)
    Each.join();
}

void ConnectionThreads::runThread() {
  for (;;) {
    std::function<void()> Task;
    {
      const MutexLock Lock(Mutex_);
      ++Idle_;
      while (Tasks_.empty() && !Stopping_)
        Changed_.waitFor(Mutex_, WakeInterval);
      --Idle_;
      if (Tasks_.empty())
        return;
      Task = std::move(Tasks_.front());
      Tasks_.pop_front();
    }
    Task();
  }
}

} // namespace damaskglade::drivers
