#ifndef DAMASKGLADE_TESTS_STAND_INS_FAULT_PANEL_H
#define DAMASKGLADE_TESTS_STAND_INS_FAULT_PANEL_H

#include "core/clock.h"
#include "core/thread.h"
#include "tests/stand_ins/http_server.h"

#include <cstdint>
#include <random>

namespace damaskglade::stand_ins {

/// Faults of a platform service. Fractions are from 0 to 1.
struct Faults {
  bool Down_ = false;        ///< Connections end without effect or answer.
  bool Hang_ = false;        ///< Requests wait, without effect, until cleared.
  Millis Delay_{};           ///< Before each request takes effect.
  double DropAnswers_ = 0.0; ///< Requests that take effect without an answer.
  double Truncate_ = 0.0;    ///< Answers that end after half of their body.
  double Throttle_ = 0.0;    ///< Requests refused for load.
  Millis LateWrite_{};       ///< Delay of writes whose answer is dropped.

  friend bool operator==(const Faults &, const Faults &) = default;
};

/// Fault switches of one service, set by POST /_fault. Thread-safe.
class FaultPanel {
public:
  explicit FaultPanel(std::uint64_t Seed) : Random_(Seed) {}

  /// Replaces all faults; members left out are switched off.
  HttpResponse set(const std::string &Body);
  void set(const Faults &Value);
  Faults current();

  /// True with the given probability.
  bool chance(double Fraction);

  /// Waits as the faults demand. False if the request must end without effect
  /// and without an answer.
  bool admit();

private:
  Mutex Mutex_;
  Condition Changed_;
  Faults Faults_;
  std::mt19937_64 Random_;
};

/// Answer that the caller does not receive.
HttpResponse droppedAnswer();

} // namespace damaskglade::stand_ins

#endif
