#include "ownership/lane.h"

#include <utility>

namespace damaskglade::ownership {

namespace {

// Calls are announced, so the wait only needs to end at some time.
constexpr Millis IdleWait{1000};

} // namespace

Lane::Lane(std::size_t MaxWaiting)
    : MaxWaiting_(MaxWaiting), Thread_([this] { run(); }) {}

void Lane::post(std::function<void()> Call) {
  const MutexLock Guard(Lock_);
  if (Finishing_)
    return;
  if (Waiting_.size() >= MaxWaiting_)
    Waiting_.pop_front();
  Waiting_.push_back(std::move(Call));
  Changed_.notifyOne();
}

void Lane::finish() {
  {
    const MutexLock Guard(Lock_);
    Finishing_ = true;
    Changed_.notifyOne();
  }
  Thread_.join();
}

void Lane::run() {
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
