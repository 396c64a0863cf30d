#include "ownership/serial_executor.h"

#include <utility>

namespace damaskglade::ownership {

namespace {

// post() and finish() notify the thread, so this only bounds the wait.
constexpr Millis IdleWait{1000};

} // namespace

SerialExecutor::SerialExecutor(std::size_t MaxWaiting)
    : MaxWaiting_(MaxWaiting), Thread_([this] { run(); }) {}

void SerialExecutor::post(std::function<void()> Call) {
  const MutexLock Guard(Lock_);
  if (Finishing_)
    return;
  if (Waiting_.size() >= MaxWaiting_)
    Waiting_.pop_front();
  Waiting_.push_back(std::move(Call));
  Changed_.notifyOne();
}

void SerialExecutor::finish() {
  {
    const MutexLock Guard(Lock_);
    Finishing_ = true;
    Changed_.notifyOne();
  }
  Thread_.join();
}

void SerialExecutor::run() {
  while (true) {
    std::function<void()> Call;
    {
      const MutexLock Guard(Lock_);
      while (Waiting_.empty() && !Finishing_)
        Changed_.waitFor(Lock_, IdleWait);
      if (Waiting_.empty())
        return;
      Call = std::move(Waiting_.front());
      Waiting_.pop_front();
    }
    Call();
  }
}

} // namespace damaskglade::ownership
