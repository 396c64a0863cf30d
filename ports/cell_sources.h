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

  friend bool operator==(const CellConfig &, const CellConfig &) = default;
};

/// Source of configurations. The callback gets no value if no newer
/// configuration appears within the wait.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;
  virtual void
  next(std::function<void(Result<std::optional<CellConfig>>)> Done) = 0;
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
