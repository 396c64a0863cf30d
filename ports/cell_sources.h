#ifndef DAMASKGLADE_PORTS_CELL_SOURCES_H
#define DAMASKGLADE_PORTS_CELL_SOURCES_H

#include "dispatch/fleet.h"
#include "dispatch/job.h"
#include "dispatch/workspace.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace damaskglade {

/// Maps the host and path prefix of a caller's request to a queue.
struct QueueRoute {
  std::string Host_;
  std::string PathPrefix_;
  std::string Queue_;
  bool Public_ = false; ///< Its requests need no API key.

  friend bool operator==(const QueueRoute &, const QueueRoute &) = default;
};

/// The operators' configuration of a cell. A newer version replaces an older
/// one.
struct CellConfig {
  std::int64_t Version_ = 0;
  std::vector<QueueRoute> Routes_;
  std::map<std::string, dispatch::QueuePolicy> Queues_;
  /// Whether requests need an API key, unless their route is public.
  bool KeysRequired_ = false;
  dispatch::WorkspacePolicies Workspaces_;
  std::map<std::string, std::string> WorkspaceOfKey_; ///< By API key.
  /// As the operators have written it. Nodes pass it on to each other
  /// unchanged, so that it does not lose what one of them does not know.
  std::string Text_;

  friend bool operator==(const CellConfig &, const CellConfig &) = default;
};

/// A configuration that the threads of a node share.
using SharedConfig = std::shared_ptr<const CellConfig>;

/// Outcome of a request for a newer configuration.
struct ConfigRead {
  SharedConfig Config_; ///< Null: there is no newer one.
  /// The changes since the last request were no longer known, so all was read.
  bool HistoryLost_ = false;
  /// The store's clock when it answered; zero if it was not told.
  Millis StoreClock_{};

  friend bool operator==(const ConfigRead &, const ConfigRead &) = default;
};

/// Source of configurations.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;
  /// Waits a while for a newer configuration. Errors: invalid_field if it
  /// cannot be used; the next request tries it again.
  virtual void next(std::function<void(Result<ConfigRead>)> Done) = 0;
  /// Decodes the text of a configuration. Errors: invalid_field.
  virtual Result<SharedConfig> decode(const std::string &Text) const = 0;
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
