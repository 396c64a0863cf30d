#ifndef DAMASKGLADE_CONFIG_SETTINGS_H
#define DAMASKGLADE_CONFIG_SETTINGS_H

#include "core/clock.h"
#include "core/job.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskglade::config {

/// An IP number and a TCP port.
struct Endpoint {
  std::string Ip_;
  std::int64_t Port_ = 0;

  /// "ip:port".
  std::string text() const { return Ip_ + ":" + std::to_string(Port_); }
  friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

enum class LogLevel { Debug, Info, Warning, Error };

/// Settings of one process, from the node's own file.
struct ProcessSettings {
  std::string NodeId_;
  std::string Zone_;
  std::string Region_;
  Endpoint Listen_;
  std::string TableUrl_;
  std::string ObjectsUrl_;
  std::string VmListUrl_;
  LogLevel LogLevel_ = LogLevel::Info;
  std::vector<Endpoint> Seeds_; ///< Peers to contact first; may be empty.

  friend bool operator==(const ProcessSettings &,
                         const ProcessSettings &) = default;
};

struct OwnershipSettings {
  Millis Lease_{4000};
  Millis Renew_{1000};
  Millis ClaimMargin_{500};
  Millis ClockBound_{250};
  Millis Promise_{3000};
  Millis Consent_{3000};
  Millis VmListLag_{30000};
  Millis MaxHold_{7200000};

  friend bool operator==(const OwnershipSettings &,
                         const OwnershipSettings &) = default;
};

struct TaskSettings {
  Millis RunLease_{30000};
  Millis GangHold_{2000};

  friend bool operator==(const TaskSettings &, const TaskSettings &) = default;
};

struct RetrySettings {
  Millis DelayMin_{50};
  Millis DelayMax_{2000};
  std::int64_t BudgetPercent_ = 10; ///< Of first tries.

  friend bool operator==(const RetrySettings &,
                         const RetrySettings &) = default;
};

/// Queue bound and fair share of one class.
struct ClassSettings {
  std::int64_t MaxQueued_ = 0; ///< Jobs in the queue of one node.
  std::int64_t Weight_ = 1;
  std::int64_t MinSharePercent_ = 0; ///< Guaranteed part of the fleet.

  friend bool operator==(const ClassSettings &,
                         const ClassSettings &) = default;
};

struct TeamSettings {
  std::int64_t QuotaMilliCpus_ = 1000000;
  std::int64_t QuotaAccelerators_ = 100;
  std::int64_t Weight_ = 10;

  friend bool operator==(const TeamSettings &, const TeamSettings &) = default;
};

/// Budgets of the whole cell towards the table service; each node takes an
/// equal share.
struct TableSettings {
  std::int64_t WritesPerSecond_ = 300;
  std::int64_t ReadsPerSecond_ = 2000;

  friend bool operator==(const TableSettings &,
                         const TableSettings &) = default;
};

struct RecordSettings {
  std::int64_t MaxPending_ = 2000;
  Millis Retention_{86400000};

  friend bool operator==(const RecordSettings &,
                         const RecordSettings &) = default;
};

/// Settings of the whole cell, pushed as versions. A default-constructed value
/// holds the defaults.
struct CellSettings {
  OwnershipSettings Ownership_;
  TaskSettings Tasks_;
  RetrySettings Retry_;
  std::int64_t QuarantineCapPercent_ = 25;   ///< Of the workers of a zone.
  std::int64_t PreemptionBudgetPercent_ = 5; ///< Of running tasks a minute.
  /// By TaskClass.
  std::array<ClassSettings, TaskClassCount> Classes_ = {{
      {2000, 40, 20},
      {2000, 30, 20},
      {10000, 10, 10},
      {1000, 10, 10},
      {1000, 10, 10},
  }};
  TeamSettings TeamDefault_;
  std::map<std::string, TeamSettings> Teams_;
  TableSettings Table_;
  RecordSettings Records_;

  /// Settings of a class.
  const ClassSettings &forClass(TaskClass Class) const {
    return Classes_.at(static_cast<std::size_t>(Class));
  }
  /// Settings of a team, or the default if it has no section of its own.
  const TeamSettings &forTeam(const std::string &Team) const;

  friend bool operator==(const CellSettings &, const CellSettings &) = default;
};

} // namespace damaskglade::config

#endif
