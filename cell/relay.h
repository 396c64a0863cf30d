#ifndef DAMASKGLADE_CELL_RELAY_H
#define DAMASKGLADE_CELL_RELAY_H

#include "cell/context.h"
#include "cell/worker_batch.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>

namespace damaskglade::cell {

/// Makes calls to workers for the leader, which thus exchanges a few messages
/// with its relays instead of some with each worker. A relay keeps no state of
/// workers and decides nothing: a call that it loses is to the leader one that
/// was not answered.
class Relay : public std::enable_shared_from_this<Relay> {
public:
  /// Address is that of this node, under which the leader knows it, and
  /// Incarnation identifies its process.
  Relay(const CellPorts &Ports, std::string Address, std::string Incarnation)
      : Ports_(Ports), Address_(std::move(Address)),
        Incarnation_(std::move(Incarnation)) {}

  /// Makes the calls of a batch, and tells the process and the clock of this
  /// node. Errors, all without effect: stale_epoch after a batch of a later
  /// leader, not_ready for one to an earlier process, shutting_down.
  void handleCalls(const std::string &Params, const RpcReply &Reply);
  /// Rejects batches of earlier leaders from now on.
  void noteLeader(std::int64_t Epoch) {
    LatestEpoch_ = std::max(LatestEpoch_, Epoch);
  }
  /// Rejects all further batches. Calls in flight go on.
  void close() { Closed_ = true; }

private:
  Millis now() const { return Ports_.Clock_.monotonic(); }
  Status checkBatch(const CallBatch &Batch) const;
  /// Whether the batch has been handled before.
  bool isRepeated(const CallBatch &Batch) const;
  void accept(const CallBatch &Batch);
  void makeCall(const WorkerCall &Call);
  template <typename Reply>
  std::function<void(Result<Reply>)> replyHandler(std::int64_t Id);
  void addReply(WorkerCallReply Reply);
  void scheduleSend(Millis Delay);
  void sendReplies();
  ReplyBatch takeReplies();
  void handleSent(const ReplyBatch &Batch, Millis FirstSentAt,
                  const Result<Json::Value> &Outcome);
  void send(const ReplyBatch &Batch, Millis FirstSentAt);

  const CellPorts Ports_;
  const std::string Address_;
  const std::string Incarnation_;
  std::int64_t LatestEpoch_ = 0; ///< Of the leaders that this node knows.
  std::string Leader_;     ///< Address of the leader whose calls are made.
  std::int64_t Epoch_ = 0; ///< Of that leader.
  /// A worker has rejected a call of that leader, since it knows a later one.
  bool Fenced_ = false;
  bool Closed_ = false;
  std::deque<std::int64_t> RecentBatches_; ///< Numbers; see isRepeated().
  std::deque<WorkerCallReply> Replies_;    ///< Not sent yet.
  bool SendScheduled_ = false;
  bool SendOpen_ = false; ///< A message with replies is in flight.
  Millis SentAt_{};       ///< When the last such message was sent.
};

} // namespace damaskglade::cell

#endif
