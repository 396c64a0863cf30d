#ifndef DAMASKGLADE_CELL_WORKER_BATCH_H
#define DAMASKGLADE_CELL_WORKER_BATCH_H

#include "ports/task_worker.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace damaskglade::cell {

/// Stops an attempt at a task.
struct StopOrder {
  std::string Task_;
  std::int64_t Attempt_ = 0;

  friend bool operator==(const StopOrder &, const StopOrder &) = default;
};

/// Limits the speed of an attempt at a task.
struct PaceOrder {
  std::string Task_;
  std::int64_t Attempt_ = 0;
  int Percent_ = 100; ///< Of full speed; zero pauses the attempt.

  friend bool operator==(const PaceOrder &, const PaceOrder &) = default;
};

using WorkerCallContent =
    std::variant<StartOrder, StopOrder, PaceOrder, PollRequest>;

/// A call to a worker that a relay makes for the leader.
struct WorkerCall {
  std::int64_t Id_ = 0; ///< Unique among the calls of one leader.
  WorkerTarget Target_;
  WorkerCallContent Content_;

  friend bool operator==(const WorkerCall &, const WorkerCall &) = default;
};

/// Calls that the leader passes to a relay in one message.
struct CallBatch {
  std::string Leader_;      ///< Address of the leader, which gets the replies.
  std::int64_t Epoch_ = 0;  ///< Of the leader; the fencing token of all calls.
  std::int64_t Number_ = 0; ///< Unique among the batches of one leader.
  /// The process that is to make the calls; empty if it is not known, which it
  /// is before the relay has answered.
  std::string Relay_;
  /// On the monotonic clock of that process. No order is sent after this time,
  /// so that a relay that was paused does not act for a leader that has been
  /// replaced. Polls are: they extend leases only as far as they say.
  Millis Expiry_{};
  std::vector<WorkerCall> Calls_;

  friend bool operator==(const CallBatch &, const CallBatch &) = default;
};

/// What a worker has replied to a call, or why there is no reply.
struct WorkerCallReply {
  std::int64_t Id_ = 0; ///< Of the call.
  std::variant<OrderReply, PollReply, Error> Content_;

  friend bool operator==(const WorkerCallReply &,
                         const WorkerCallReply &) = default;
};

/// Replies that a relay passes to the leader in one message.
struct ReplyBatch {
  std::string Relay_; ///< Address of the relay.
  std::int64_t Epoch_ = 0;
  std::vector<WorkerCallReply> Replies_;

  friend bool operator==(const ReplyBatch &, const ReplyBatch &) = default;
};

/// Batches in the MessagePack format.
std::string encodeCallBatch(const CallBatch &Batch);
/// Errors: invalid_field.
Result<CallBatch> decodeCallBatch(const std::string &Text);
std::string encodeReplyBatch(const ReplyBatch &Batch);
/// Errors: invalid_field.
Result<ReplyBatch> decodeReplyBatch(const std::string &Text);

} // namespace damaskglade::cell

#endif
