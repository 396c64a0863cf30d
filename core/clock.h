#ifndef DAMASKGLADE_CORE_CLOCK_H
#define DAMASKGLADE_CORE_CLOCK_H

#include <compare>
#include <cstdint>

namespace damaskglade {

/// A duration or a point in time, in milliseconds.
struct Millis {
  std::int64_t Value_ = 0;

  friend constexpr auto operator<=>(const Millis &, const Millis &) = default;
};

constexpr Millis operator+(Millis A, Millis B) {
  return Millis{A.Value_ + B.Value_};
}
constexpr Millis operator-(Millis A, Millis B) {
  return Millis{A.Value_ - B.Value_};
}
constexpr Millis operator*(Millis A, std::int64_t Factor) {
  return Millis{A.Value_ * Factor};
}
constexpr Millis operator/(Millis A, std::int64_t Divisor) {
  return Millis{A.Value_ / Divisor};
}

/// Source of time. Decision logic receives it as an argument.
class Clock {
public:
  virtual ~Clock() = default;
  /// Milliseconds since an arbitrary start; never goes back.
  virtual Millis monotonic() const = 0;
  /// Milliseconds since the Unix epoch, within the clock error bound.
  virtual Millis wall() const = 0;
  /// Processor time that the calling thread has used, in microseconds; zero if
  /// it is not known.
  virtual std::int64_t processorMicros() const { return 0; }
};

/// Clock of the operating system.
class SystemClock : public Clock {
public:
  Millis monotonic() const override;
  Millis wall() const override;
  std::int64_t processorMicros() const override;
};

/// Blocks the calling thread for the given time.
void sleepFor(Millis Time);

/// Clock set by hand, for unit tests and for benchmarks in virtual time.
class ManualClock : public Clock {
public:
  explicit ManualClock(Millis Start = Millis{}) : Now_(Start) {}
  Millis monotonic() const override { return Now_; }
  Millis wall() const override { return Now_; }
  void advance(Millis Time) { Now_ = Now_ + Time; }

private:
  Millis Now_;
};

} // namespace damaskglade

#endif
