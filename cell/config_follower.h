#ifndef DAMASKGLADE_CELL_CONFIG_FOLLOWER_H
#define DAMASKGLADE_CELL_CONFIG_FOLLOWER_H

#include "core/clock.h"
#include "ports/async_http.h"
#include "ports/cell_sources.h"
#include "ports/event_log.h"
#include "ports/metrics_sink.h"

#include <functional>

namespace damaskglade::cell {

/// Clock, services and outputs that a configuration follower uses. All
/// callbacks run on one event loop.
struct ConfigPorts {
  const Clock &Clock_;
  TimerService &Timers_;
  ConfigSource &Source_;
  EventLog &Log_;
  MetricsSink &Metrics_;
};

/// Keeps the configuration of a node current, and tells how old it is.
class ConfigFollower {
public:
  /// Apply is called with each newer version.
  ConfigFollower(const ConfigPorts &Ports,
                 std::function<void(const CellConfig &)> Apply)
      : Ports_(Ports), Apply_(std::move(Apply)) {}

  void start();
  /// Updates the gauge with the time since the store has last confirmed that
  /// there is no newer version than the one in force.
  void reportAge() const;

private:
  Millis now() const { return Ports_.Clock_.monotonic(); }
  void request();
  void handleRead(const Result<ConfigRead> &Read);
  void handleFailure(const Error &Failure);
  void endFailures();
  void log(LogLevel Level, const std::string &Message) const;

  const ConfigPorts Ports_;
  const std::function<void(const CellConfig &)> Apply_;
  std::int64_t Version_ = 0; ///< In force; zero: none.
  Millis ConfirmedAt_{};     ///< Of the last read that succeeded, or the start.
  Millis FailingSince_{};    ///< Zero while reads succeed.
  Millis FailureLoggedAt_{};
  int Failures_ = 0; ///< In a row.
};

} // namespace damaskglade::cell

#endif
