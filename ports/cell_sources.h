#ifndef DAMASKGLADE_PORTS_CELL_SOURCES_H
#define DAMASKGLADE_PORTS_CELL_SOURCES_H

#include "dispatch/fleet.h"
#include "dispatch/job.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade {

/// Maps the host and path prefix of a caller's request to a queue.
struct QueueRoute {
  std::string Host_;
  std::string PathPrefix_;
  std::string Queue_;

  friend bool operator==(const QueueRoute &, const QueueRoute &) = default;
};

/// The operators' configuration of a cell. A newer version replaces an older
/// one.
struct CellConfig {
  std::int64_t Version_ = 0;
  std::vector<QueueRoute> Routes_;
  std::map<std::string, dispatch::QueuePolicy> Queues_;
  std::size_t Bytes_ = 0; ///< Size of the text that it was decoded from.

  friend bool operator==(const CellConfig &, const CellConfig &) = default;
};

/// Outcome of a request for a newer configuration.
struct ConfigRead {
  std::optional<CellConfig> Config_; ///< Empty: there is no newer one.
  /// The changes since the last request were no longer known, so all was read.
  bool HistoryLost_ = false;

  friend bool operator==(const ConfigRead &, const ConfigRead &) = default;
};

/// Source of configurations.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;
  /// Waits a while for a newer configuration.
  virtual void next(std::function<void(Result<ConfigRead>)> Done) = 0;
};

/// The registry of live workers at one moment.
struct RegistrySnapshot {
  std::vector<dispatch::WorkerInfo> Workers_;
  /// Why an entry cannot be used, by id. Other processes can write to the
  /// registry, so such an entry says nothing about the worker.
  std::map<std::string, Error> UnusableEntries_;

  friend bool operator==(const RegistrySnapshot &,
                         const RegistrySnapshot &) = default;
};

/// Registry of live workers.
class WorkerRegistry {
public:
  virtual ~WorkerRegistry() = default;
  virtual void list(std::function<void(Result<RegistrySnapshot>)> Done) = 0;
};

} // namespace damaskglade

#endif
