#include "core/work_pool.h"

#include <utility>

namespace damaskglade {

namespace {

constexpr Millis WakeInterval{1000};

} // namespace

WorkPool::WorkPool(std::size_t Threads, std::size_t MaxQueued)
    : MaxQueued_(MaxQueued) {
  for (std::size_t Index = 0; Index < Threads; ++Index)
    Threads_.emplace_back([this] { runThread(); });
}

bool WorkPool::submit(std::function<void()> Task) {
  const MutexLock Lock(Mutex_);
  if (Stopping_ || Tasks_.size() >= MaxQueued_)
    return false;
  Tasks_.push_back(std::move(Task));
  Changed_.notifyOne();
  return true;
}

std::size_t WorkPool::load() const {
  const MutexLock Lock(Mutex_);
  return Tasks_.size() + Running_;
}

void WorkPool::stop() {
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

void WorkPool::runThread() {
  for (;;) {
    std::function<void()> Task;
    {
      const MutexLock Lock(Mutex_);
      while (Tasks_.empty() && !Stopping_)
        Changed_.waitFor(Mutex_, WakeInterval);
      if (Tasks_.empty())
        return;
      Task = std::move(Tasks_.front());
      Tasks_.pop_front();
      ++Running_;
    }
    Task();
    const MutexLock Lock(Mutex_);
    --Running_;
  }
}

} // namespace damaskglade
