#ifndef DAMASKGLADE_DRIVERS_BEAST_SESSION_LIMITS_H
#define DAMASKGLADE_DRIVERS_BEAST_SESSION_LIMITS_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace damaskglade::drivers {

/// Bounds of all sessions of the guarded listeners of a process. Zero: no such
/// bound.
struct SessionLimits {
  std::size_t Sessions_ = 0;
  /// Held by incomplete requests, requests in progress and unread replies.
  std::size_t Bytes_ = 0;
  std::size_t Fields_ = 0;             ///< Header fields of a request.
  Millis HeaderTime_{};                ///< From the first byte of a request.
  std::size_t BodyBytesPerSecond_ = 0; ///< Least average pace of a body.

  friend bool operator==(const SessionLimits &,
                         const SessionLimits &) = default;
};

/// Bounds for a process with so much memory and so many descriptors. Zero: not
/// limited.
SessionLimits deriveSessionLimits(std::size_t MemoryMb,
                                  std::size_t Descriptors);

/// What is known about a session when one has to be closed.
struct SessionUse {
  Millis Since_{};           ///< Start of the request, reply or idle time.
  std::size_t Received_ = 0; ///< Bytes of the incomplete request.
  std::size_t Bytes_ = 0;    ///< Held in memory.
  bool InHandler_ = false;   ///< Its request has been passed on.

  friend bool operator==(const SessionUse &, const SessionUse &) = default;
};

/// Index of the session to close: the oldest one, where received bytes count
/// like a later start. Sessions in a handler are never chosen, and with
/// HoldsBytes only sessions that hold memory.
std::optional<std::size_t> chooseSession(const std::vector<SessionUse> &All,
                                         bool HoldsBytes);

/// Time for the rest of a request once its header has been read.
Millis bodyTime(const SessionLimits &Limits, std::uint64_t Bytes);

} // namespace damaskglade::drivers

#endif
