#ifndef DAMASKGLADE_PORTS_CELL_SOURCES_H
#define DAMASKGLADE_PORTS_CELL_SOURCES_H

#include "dispatch/fleet.h"
#include "dispatch/job.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade {

/// Where a queue is reached by callers.
struct QueueRoute {
  std::string Host_;
  std::string PathPrefix_;
  std::string Queue_;

  friend bool operator==(const QueueRoute &, const QueueRoute &) = default;
};

/// The operators' configuration of a cell. A newer version replaces an older.
struct CellConfig {
  std::int64_t Version_ = 0;
  std::vector<QueueRoute> Routes_;
  std::map<std::string, dispatch::QueuePolicy> Queues_;

  friend bool operator==(const CellConfig &, const CellConfig &) = default;
};

/// Source of configurations. The callback gets nothing if there is no newer
/// one within the wait.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;
  virtual void
  next(std::function<void(Result<std::optional<CellConfig>>)> Done) = 0;
};

/// Registry of the workers that live.
class WorkerRegistry {
public:
  virtual ~WorkerRegistry() = default;
  virtual void
  list(std::function<void(Result<std::vector<dispatch::WorkerInfo>>)> Done) = 0;
};

} // namespace damaskglade

#endif
