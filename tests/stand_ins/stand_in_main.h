#ifndef DAMASKGLADE_TESTS_STAND_INS_STAND_IN_MAIN_H
#define DAMASKGLADE_TESTS_STAND_INS_STAND_IN_MAIN_H

#include "core/clock.h"

#include <cstdint>

namespace damaskglade::stand_ins {

/// Blocks SIGTERM and SIGINT; to be called before any thread starts.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT and ends the process with status 0. Requests in
/// progress are dropped, as in a stopped VM.
[[noreturn]] void runUntilStopped();

} // namespace damaskglade::stand_ins

#endif
