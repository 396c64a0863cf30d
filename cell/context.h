#ifndef DAMASKGLADE_CELL_CONTEXT_H
#define DAMASKGLADE_CELL_CONTEXT_H

#include "cell/rpc.h"
#include "cell/settings.h"
#include "ports/advisor.h"
#include "ports/async_http.h"
#include "ports/cell_sources.h"
#include "ports/event_log.h"
#include "ports/metrics_sink.h"
#include "ports/row_store.h"
#include "ports/task_worker.h"

#include <array>

namespace damaskglade::cell {

/// Clocks, services and connections that a node uses. All callbacks run on one
/// event loop.
struct CellPorts {
  const Clock &Clock_;
  TimerService &Timers_;
  RowStore &Store_;
  TaskWorkers &Workers_;
  Advisor &Advisor_;
  WorkerRegistry &Registry_;
  RpcClient &Peers_;
  EventLog &Log_;
  MetricsSink &Metrics_;
};

// Partitions of the store. A transaction can only change rows of one, and the
// store may reject one while it serves the others.

/// Has the leader row of the cell, the rows of workers, and normally all jobs.
inline constexpr const char *MainPart = "main";
/// Have the jobs that are accepted while the store does not serve the main one.
inline constexpr std::array<const char *, 2> SpareParts{"spare-1", "spare-2"};
// Tables of the store. "jobs" has the specification of each job, "progress" its
// state, "workers" the workers that leaders send orders to, and "canceled" the
// jobs that were canceled before they were submitted.
inline constexpr const char *LeaderTable = "cell";
inline constexpr const char *LeaderKey = "leader";
inline constexpr const char *ResignationKey = "resignation";
inline constexpr const char *JobsTable = "jobs";
inline constexpr const char *ProgressTable = "progress";
inline constexpr const char *WorkersTable = "workers";
inline constexpr const char *CanceledTable = "canceled";

/// The row with the current leader. That of the main partition is written by
/// elections. Those of the others follow it: a new leader writes them before it
/// reads the jobs there.
inline RowName leaderRow(const std::string &Part = MainPart) {
  return RowName{LeaderTable, Part, LeaderKey};
}
inline RowName resignationRow() {
  return RowName{LeaderTable, MainPart, ResignationKey};
}
inline RowName workerRow(const std::string &Id) {
  return RowName{WorkersTable, MainPart, Id};
}
/// Key is that of CanceledIds.
inline RowName canceledRow(const std::string &Key) {
  return RowName{CanceledTable, MainPart, Key};
}
inline RowName jobRow(const std::string &Id,
                      const std::string &Part = MainPart) {
  return RowName{JobsTable, Part, Id};
}
inline RowName progressRow(const std::string &Id,
                           const std::string &Part = MainPart) {
  return RowName{ProgressTable, Part, Id};
}

/// Content of the leader row, which names the current leader of the cell. The
/// epoch numbers the terms of leadership: each election increments it.
struct LeaderRecord {
  std::int64_t Epoch_ = 0;   ///< Zero: no leader has been elected yet.
  std::string Node_;         ///< Name of the node that leads.
  std::string Address_;      ///< Its address for calls from other nodes.
  std::int64_t Version_ = 0; ///< Version of the row.
  std::string Incarnation_; ///< Process that wrote the row: address/start time.
  /// The leader was elected while it could not reach a majority of the known
  /// nodes, so the previous leader may still be in contact with them.
  bool ElectedByMinority_ = false;
  /// All leaders from this epoch on open the row of a worker before they use
  /// the worker, so rows that were closed since then can be relied on. During
  /// an update a leader of an earlier release may have been in between.
  std::int64_t LeaseRowsSince_ = 0;

  friend bool operator==(const LeaderRecord &, const LeaderRecord &) = default;
};

/// The value of a leader row.
std::string encodeLeaderRecord(const LeaderRecord &Record);
/// Errors: invalid_field.
Result<LeaderRecord> decodeLeaderRecord(const StoredRow &Row);

/// Writes a log entry. Request is a job id, Step the operation and Peer the
/// worker or node concerned; each may be empty.
inline void logEvent(const CellPorts &Ports, LogLevel Level,
                     const std::string &Request, const std::string &Step,
                     const std::string &Peer, const std::string &Message) {
  Ports.Log_.write(LogEvent{Level, Message, Request, Step, Peer});
}

} // namespace damaskglade::cell

#endif
