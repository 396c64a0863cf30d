#ifndef DAMASKGLADE_CELL_SETTINGS_H
#define DAMASKGLADE_CELL_SETTINGS_H

#include "core/clock.h"

#include <string>

namespace damaskglade::cell {

/// What a node of a cell is told at its start.
struct CellSettings {
  std::string Node_;
  std::string Zone_;
  std::string CallerListen_; ///< "ip:port" for callers.
  std::string ReadinessListen_;
  std::string PeerListen_;
  std::string MetricsListen_; ///< Empty: metrics are not served.
  std::string StoreAddress_;
  std::string AdviceAddress_;
  std::string LogLevel_ = "info";
  double Cpu_ = 1.0;       ///< Processors that the process may use.
  Millis MaxLease_{10000}; ///< Workers shorten longer leases.
  Millis GangWait_{3000};
  Millis StatusKept_{120000}; ///< Time for which ended jobs are known.
  Millis StopGrace_{6000};    ///< From the signal to the end of the process.

  friend bool operator==(const CellSettings &, const CellSettings &) = default;
};

} // namespace damaskglade::cell

#endif
