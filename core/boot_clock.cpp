#include "core/boot_clock.h"

#include <ctime>

namespace damaskglade {

Millis BootClock::monotonic() const {
  constexpr std::int64_t MillisPerSecond = 1000;
  constexpr std::int64_t NanosPerMilli = 1000000;
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return Millis{Now.tv_sec * MillisPerSecond + Now.tv_nsec / NanosPerMilli};
}

} // namespace damaskglade
