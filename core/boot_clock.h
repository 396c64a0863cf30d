#ifndef DAMASKGLADE_CORE_BOOT_CLOCK_H
#define DAMASKGLADE_CORE_BOOT_CLOCK_H

#include "core/clock.h"

namespace damaskglade {

/// Clock of the operating system whose monotonic time also counts the time for
/// which the machine was suspended. For permissions that expire.
class BootClock : public SystemClock {
public:
  Millis monotonic() const override;
};

} // namespace damaskglade

#endif
