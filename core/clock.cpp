#include "core/clock.h"

#include <ctime>

namespace damaskglade {

namespace {

constexpr std::int64_t MillisPerSecond = 1000;
constexpr std::int64_t NanosPerMilli = 1000000;

Millis readClock(clockid_t Id) {
  timespec Now{};
  clock_gettime(Id, &Now);
  return Millis{Now.tv_sec * MillisPerSecond + Now.tv_nsec / NanosPerMilli};
}

} // namespace

Millis SystemClock::monotonic() const { return readClock(CLOCK_MONOTONIC); }

Millis SystemClock::wall() const { return readClock(CLOCK_REALTIME); }

std::int64_t SystemClock::processorMicros() const {
  constexpr std::int64_t MicrosPerSecond = 1000000;
  constexpr std::int64_t NanosPerMicro = 1000;
  timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return Used.tv_sec * MicrosPerSecond + Used.tv_nsec / NanosPerMicro;
}

void sleepFor(Millis Time) {
  if (Time.Value_ <= 0)
    return;
  timespec Rest{Time.Value_ / MillisPerSecond,
                (Time.Value_ % MillisPerSecond) * NanosPerMilli};
  while (nanosleep(&Rest, &Rest) != 0) {
  }
}

} // namespace damaskglade
