#ifndef DAMASKGLADE_CELL_SETTINGS_H
#define DAMASKGLADE_CELL_SETTINGS_H

#include "core/clock.h"

#include <string>

namespace damaskglade::cell {

/// Start-up settings of a node of a cell.
struct CellSettings {
  std::string Node_;
  std::string Zone_;
  std::string CallerListen_; ///< "ip:port" of the listener for callers.
  std::string ReadinessListen_;
  std::string PeerListen_;
  std::string MetricsListen_; ///< Empty: metrics are not served.
  std::string StoreAddress_;
  std::string AdviceAddress_;
  std::string LogLevel_ = "info";
  /// Processors that the process may use, times their relative speed.
  double Cpu_ = 1.0;
  Millis MaxLease_{10000}; ///< Workers cut longer leases to this length.
  Millis GangWait_{3000};
  Millis StatusRetention_{120000}; ///< How long ended jobs can be queried.
  Millis StopGrace_{6000};         ///< From the stop signal to process exit.

  friend bool operator==(const CellSettings &, const CellSettings &) = default;
};

} // namespace damaskglade::cell

#endif
