#ifndef DAMASKGLADE_NODE_MESSAGES_H
#define DAMASKGLADE_NODE_MESSAGES_H

#include "core/error.h"
#include "core/job.h"
#include "core/resources.h"
#include "core/worker.h"

#include <array>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace damaskglade::node {

/// Asks a shard owner to reserve capacity for tasks of one job.
struct ReserveRequest {
  std::string Job_;
  std::string Home_;
  std::string Team_;
  TaskClass Class_ = TaskClass::Batch;
  Urgency Urgency_ = Urgency::Normal;
  Resources Size_;
  Millis Run_{}; ///< Expected run time, for backfill reservations.
  bool Idempotent_ = true;
  bool MayPreempt_ = false;
  bool MayBlock_ = false;      ///< May get a backfill reservation.
  std::vector<Attempt> Tries_; ///< Member_ and Number_ are set.

  friend bool operator==(const ReserveRequest &,
                         const ReserveRequest &) = default;
};

/// Attempts for which capacity is reserved, with worker, shard and start_by;
/// may be fewer than requested.
struct ReserveReply {
  std::vector<Attempt> Held_;

  friend bool operator==(const ReserveReply &, const ReserveReply &) = default;
};

/// Starts a task for which capacity is reserved.
struct StartCommand {
  std::string Job_;
  Attempt Try_;
  Millis Run_{};
  std::string Payload_;

  friend bool operator==(const StartCommand &, const StartCommand &) = default;
};

/// Attempts of a job, as parameter of the calls that release a reservation,
/// stop a task or query its status.
struct AttemptList {
  std::string Job_;
  std::vector<Attempt> Tries_;

  friend bool operator==(const AttemptList &, const AttemptList &) = default;
};

/// State of an attempt as its shard owner knows it.
enum class OwnerVerdict {
  Running,
  Finished,
  Pending, ///< Not known yet; the caller asks again.
  NotRun,  ///< The worker has not started it and no longer can.
  Lost,    ///< May have run in part; no longer runs.
};

struct OwnerStatus {
  OwnerVerdict Verdict_ = OwnerVerdict::Pending;
  Answer Answer_; ///< Set when finished.

  friend bool operator==(const OwnerStatus &, const OwnerStatus &) = default;
};

/// Notifies the home of the end of an attempt.
struct FinishedNotice {
  std::string Attempt_; ///< "<job id>.<member>.<number>".
  OwnerStatus Status_;

  friend bool operator==(const FinishedNotice &,
                         const FinishedNotice &) = default;
};

/// Runs an idempotent request and returns its answer.
struct ExecuteRequest {
  JobSpec Spec_;
  std::int64_t Number_ = 0; ///< Unique among the attempts of the entry node.
  std::string Entry_;       ///< Id of the node that received the request.
  Millis Timeout_{};        ///< Time left until the deadline.

  friend bool operator==(const ExecuteRequest &,
                         const ExecuteRequest &) = default;
};

/// Free and total capacity of the workers of one node.
struct Headroom {
  std::string Node_;
  Resources Free_;         ///< Sum over workers that accept work.
  Resources Largest_;      ///< Largest free amount of one worker, by resource.
  Resources Total_;        ///< Capacity of workers that accept work.
  Resources LargestTotal_; ///< Largest capacity of one worker, by resource.

  friend bool operator==(const Headroom &, const Headroom &) = default;
};

/// Exchanged by each pair of nodes; the reply has the same type.
struct Heartbeat {
  Headroom Headroom_;
  std::int64_t ConfigVersion_ = 0;
  std::string ConfigHash_;
  bool Leaving_ = false;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

Json::Value encode(const ReserveRequest &Value);
Json::Value encode(const ReserveReply &Value);
Json::Value encode(const StartCommand &Value);
Json::Value encode(const AttemptList &Value);
Json::Value encode(const OwnerStatus &Value);
Json::Value encode(const FinishedNotice &Value);
Json::Value encode(const ExecuteRequest &Value);
Json::Value encode(const Heartbeat &Value);

// All decoders return invalid_field on malformed input.
Result<ReserveRequest> decodeReserveRequest(const Json::Value &Value);
Result<ReserveReply> decodeReserveReply(const Json::Value &Value);
Result<StartCommand> decodeStartCommand(const Json::Value &Value);
Result<AttemptList> decodeAttemptList(const Json::Value &Value);
Result<OwnerStatus> decodeOwnerStatus(const Json::Value &Value);
Result<FinishedNotice> decodeFinishedNotice(const Json::Value &Value);
Result<ExecuteRequest> decodeExecuteRequest(const Json::Value &Value);
Result<Heartbeat> decodeHeartbeat(const Json::Value &Value);

/// Splits an attempt id into job id, member and number. Returns false if it is
/// malformed.
bool splitAttemptId(const std::string &Id, std::string &Job, Attempt &Try);

} // namespace damaskglade::node

#endif
