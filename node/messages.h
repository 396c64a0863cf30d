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

/// Asks a shard owner to hold room for tasks of one job.
struct ReserveRequest {
  std::string Job_;
  std::string Home_;
  std::string Team_;
  TaskClass Class_ = TaskClass::Batch;
  Urgency Urgency_ = Urgency::Normal;
  Resources Size_;
  Millis Run_{}; ///< As planned, for earliest-start reservations.
  bool Idempotent_ = true;
  bool MayPreempt_ = false;
  bool MayBlock_ = false; ///< Room may be kept free for it if it does not fit.
  std::vector<Attempt> Tries_; ///< Member_ and Number_ are set.

  friend bool operator==(const ReserveRequest &,
                         const ReserveRequest &) = default;
};

/// Tries for which room is held, with worker, shard and start_by; may be fewer
/// than asked for.
struct ReserveReply {
  std::vector<Attempt> Held_;

  friend bool operator==(const ReserveReply &, const ReserveReply &) = default;
};

/// Starts a task for which room is held.
struct StartCommand {
  std::string Job_;
  Attempt Try_;
  Millis Run_{};
  std::string Payload_;

  friend bool operator==(const StartCommand &, const StartCommand &) = default;
};

/// Names attempts of a job: releases held room, stops a task, or asks for the
/// state of one.
struct AttemptList {
  std::string Job_;
  std::vector<Attempt> Tries_;

  friend bool operator==(const AttemptList &, const AttemptList &) = default;
};

/// What a shard owner knows of an attempt.
enum class OwnerVerdict {
  Running,
  Finished,
  Pending, ///< Not yet known: ask again.
  NotRun,  ///< The worker never started it and can't start it any more.
  Lost,    ///< It may have run in part; it does not run any more.
};

struct OwnerStatus {
  OwnerVerdict Verdict_ = OwnerVerdict::Pending;
  Answer Answer_; ///< Set when finished.

  friend bool operator==(const OwnerStatus &, const OwnerStatus &) = default;
};

/// Tells the home how an attempt ended.
struct FinishedNotice {
  std::string Attempt_; ///< "<job id>.<member>.<number>".
  OwnerStatus Status_;

  friend bool operator==(const FinishedNotice &,
                         const FinishedNotice &) = default;
};

/// Runs an idempotent request and returns its answer.
struct ExecuteRequest {
  JobSpec Spec_;
  std::int64_t Number_ = 0; ///< Unique among the tries of the entry node.
  std::string Entry_;
  Millis Timeout_{}; ///< Time left until the deadline.

  friend bool operator==(const ExecuteRequest &,
                         const ExecuteRequest &) = default;
};

/// Free room of one node's workers.
struct Headroom {
  std::string Node_;
  Resources Free_;    ///< Sum over workers that accept work.
  Resources Largest_; ///< Largest free amount of one worker, by resource.
  Resources Total_;   ///< Capacity of workers that accept work.
  Resources LargestTotal_;

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

// Errors of all: invalid_field.
Result<ReserveRequest> decodeReserveRequest(const Json::Value &Value);
Result<ReserveReply> decodeReserveReply(const Json::Value &Value);
Result<StartCommand> decodeStartCommand(const Json::Value &Value);
Result<AttemptList> decodeAttemptList(const Json::Value &Value);
Result<OwnerStatus> decodeOwnerStatus(const Json::Value &Value);
Result<FinishedNotice> decodeFinishedNotice(const Json::Value &Value);
Result<ExecuteRequest> decodeExecuteRequest(const Json::Value &Value);
Result<Heartbeat> decodeHeartbeat(const Json::Value &Value);

/// Job id, member and number of an attempt id; false if it is malformed.
bool splitAttemptId(const std::string &Id, std::string &Job, Attempt &Try);

} // namespace damaskglade::node

#endif
