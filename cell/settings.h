#ifndef DAMASKGLADE_CELL_SETTINGS_H
#define DAMASKGLADE_CELL_SETTINGS_H

#include "cell/access.h"
#include "core/clock.h"

#include <cstddef>
#include <string>

namespace damaskglade::cell {

/// Settings that a node of a cell reads at start-up.
struct CellSettings {
  std::string Node_;            ///< Name of the node.
  std::string Zone_;            ///< Its availability zone.
  std::string CallerListen_;    ///< "ip:port" of the listener for callers.
  std::string ReadinessListen_; ///< For readiness checks, "ip:port".
  std::string PeerListen_;      ///< For calls from other nodes, "ip:port".
  std::string MetricsListen_;   ///< Empty: metrics are not served.
  std::string StoreAddress_;
  std::string AdviceAddress_; ///< Empty: no step can get advice.
  std::string LogLevel_ = "info";
  /// Processors that the process may use, times their relative speed.
  double Cpu_ = 1.0;
  Millis MaxLease_{10000}; ///< Workers cut longer leases to this length.
  /// Workers end tasks of a gang step that wait longer for the other tasks of
  /// the step.
  Millis GangWait_{3000};
  /// Factor by which a task takes longer outside the rack of its data. Above 1,
  /// tasks may wait for that rack.
  double RemotePenalty_ = 1;
  Millis StatusRetention_{120000}; ///< How long ended jobs can be queried.
  Millis StopGrace_{6000};         ///< From the stop signal to process exit.
  /// A leader with fewer workers than this uses no relays: they add two hops to
  /// each call and save little.
  std::size_t RelayMinWorkers_ = 400;
  AccessSettings Access_;
  std::size_t MemoryMb_ = 0;       ///< Of the machine; 0: not limited.
  std::size_t MaxDescriptors_ = 0; ///< Of the process; 0: not limited.

  friend bool operator==(const CellSettings &, const CellSettings &) = default;
};

} // namespace damaskglade::cell

#endif
