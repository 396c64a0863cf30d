#include "core/thread.h"

#include <cstdlib>
#include <ctime>
#include <memory>
#include <utility>

namespace damaskglade {

namespace {

constexpr std::int64_t MillisPerSecond = 1000;
constexpr std::int64_t NanosPerMilli = 1000000;
constexpr std::int64_t NanosPerSecond = 1000000000;
// The daemon runs one thread for each connection in progress. The default of
// 8 MiB of address space each would exceed the memory limit of a small VM.
constexpr std::size_t StackBytes = std::size_t{512} * 1024;

void *runBody(void *Argument) {
  std::unique_ptr<std::function<void()>> Body(
      static_cast<std::function<void()> *>(Argument));
  (*Body)();
  return nullptr;
}

} // namespace

Condition::Condition() {
  pthread_condattr_t Attributes;
  pthread_condattr_init(&Attributes);
  pthread_condattr_setclock(&Attributes, CLOCK_MONOTONIC);
  pthread_cond_init(&Handle_, &Attributes);
  pthread_condattr_destroy(&Attributes);
}

bool Condition::waitFor(Mutex &Held, Millis Timeout) {
  timespec End{};
  clock_gettime(CLOCK_MONOTONIC, &End);
  End.tv_sec += Timeout.Value_ / MillisPerSecond;
  End.tv_nsec += (Timeout.Value_ % MillisPerSecond) * NanosPerMilli;
  if (End.tv_nsec >= NanosPerSecond) {
    End.tv_sec += 1;
    End.tv_nsec -= NanosPerSecond;
  }
  return pthread_cond_timedwait(&Handle_, &Held.Handle_, &End) == 0;
}

Thread::Thread(std::function<void()> Body) {
  auto Owned = std::make_unique<std::function<void()>>(std::move(Body));
  pthread_attr_t Attributes;
  pthread_attr_init(&Attributes);
  pthread_attr_setstacksize(&Attributes, StackBytes);
  const int Status =
      pthread_create(&Handle_, &Attributes, runBody, Owned.get());
  pthread_attr_destroy(&Attributes);
  // A process that can't start its own threads can't serve; ending it lets
  // the platform replace the VM.
  if (Status != 0)
    std::abort();
  // The thread owns the body from here on.
  static_cast<void>(Owned.release());
  Joinable_ = true;
}

Thread::Thread(Thread &&Other) noexcept
    : Handle_(Other.Handle_), Joinable_(std::exchange(Other.Joinable_, false)) {
}

Thread &Thread::operator=(Thread &&Other) noexcept {
  if (this == &Other)
    return *this;
  join();
  Handle_ = Other.Handle_;
  Joinable_ = std::exchange(Other.Joinable_, false);
  return *this;
}

void Thread::join() {
  if (!std::exchange(Joinable_, false))
    return;
  pthread_join(Handle_, nullptr);
}

} // namespace damaskglade
