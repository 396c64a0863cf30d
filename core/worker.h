#ifndef DAMASKGLADE_CORE_WORKER_H
#define DAMASKGLADE_CORE_WORKER_H

#include "core/clock.h"
#include "core/job.h"
#include "core/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskglade {

/// What the VM list says of one VM.
struct VmEntry {
  std::string Id_;
  std::string Zone_;
  std::string Rack_;
  std::string Address_; ///< "ip:port".
  bool IsWorker_ = false;
  bool Leaving_ = false;

  friend bool operator==(const VmEntry &, const VmEntry &) = default;
};

/// Shard that a worker belongs to: all workers of one rack.
inline std::string shardOf(const VmEntry &Worker) {
  return Worker.Zone_ + "/" + Worker.Rack_;
}

/// Start of one task on a worker.
struct StartRequest {
  std::string Attempt_;
  std::string Job_;
  std::int64_t Epoch_ = 0;
  std::string Owner_;
  Millis StartBy_{};  ///< Wall time after which the start has no effect.
  Millis LeaseEnd_{}; ///< Wall time at which the worker stops the task.
  Resources Size_;
  Millis Run_{};
  std::string Payload_;
  bool Wait_ = false; ///< True: the reply carries the answer.
  std::string ReportUrl_;

  friend bool operator==(const StartRequest &, const StartRequest &) = default;
};

/// State of an attempt as the worker knows it.
enum class AttemptState { Running, Finished, Unknown };

struct AttemptReport {
  std::string Attempt_;
  AttemptState State_ = AttemptState::Unknown;
  Answer Answer_; ///< Set when finished.

  friend bool operator==(const AttemptReport &,
                         const AttemptReport &) = default;
};

/// Renews the leases of all tasks that a worker runs for a shard owner.
struct LeaseRequest {
  std::string Owner_;
  std::int64_t Epoch_ = 0;
  Millis LeaseEnd_{};
  bool List_ = false; ///< Asks for the attempts that run.
  std::vector<std::string> Acked_;

  friend bool operator==(const LeaseRequest &, const LeaseRequest &) = default;
};

/// An attempt that a worker runs, with what was reserved for it.
struct RunningTask {
  std::string Attempt_;
  Resources Size_;
  bool Suspended_ = false; ///< Checkpointed: takes nothing until resumed.

  friend bool operator==(const RunningTask &, const RunningTask &) = default;
};

struct LeaseReply {
  std::string Worker_;
  Resources Capacity_;
  Resources Used_; ///< Measured usage; lags.
  bool Leaving_ = false;
  std::vector<RunningTask> Running_; ///< Only if asked for.
  std::vector<AttemptReport> Finished_;

  friend bool operator==(const LeaseReply &, const LeaseReply &) = default;
};

enum class TaskControl { Stop, Checkpoint, Throttle, Resume };

} // namespace damaskglade

#endif
