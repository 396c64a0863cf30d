#ifndef DAMASKGLADE_CELL_RELAYED_WORKERS_H
#define DAMASKGLADE_CELL_RELAYED_WORKERS_H

#include "cell/candidate.h"
#include "cell/context.h"
#include "cell/worker_batch.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskglade::cell {

/// Addresses of relays by availability zone.
using RelaysByZone = std::map<std::string, std::vector<std::string>>;

/// Chooses the relays of a leader with the given processors: in each zone the
/// strongest nodes heard since the given time that have at least half of its
/// processors, as many as the workers of the zone need. None for a fleet of
/// fewer workers than the minimum, which the leader calls itself. Answers the
/// load of a leader with many workers, whose calls take more processor time
/// than planning.
RelaysByZone chooseRelays(const PeerNodes &Nodes, Millis HeardSince,
                          double LeaderCpu, std::size_t MinWorkers,
                          const std::map<std::string, std::size_t> &Workers);

/// Workers that a leader calls through relays, in batches. A call goes directly
/// to the worker if its zone has no relay that answers, or if the last poll
/// through the relay has failed. A call through a relay that fails ends with
/// not_ready if it was a poll or was not made, else with timeout.
class RelayedWorkers : public TaskWorkers,
                       public std::enable_shared_from_this<RelayedWorkers> {
public:
  /// Address is that of this node. MayActUntil tells until when this node may
  /// give orders, as far as it knows. OnStaleEpoch is called when a relay knows
  /// a later leader.
  RelayedWorkers(const CellPorts &Ports, std::string Address,
                 std::int64_t Epoch, std::function<Millis()> MayActUntil,
                 std::function<void()> OnStaleEpoch)
      : Ports_(Ports), Address_(std::move(Address)), Epoch_(Epoch),
        MayActUntil_(std::move(MayActUntil)),
        OnStaleEpoch_(std::move(OnStaleEpoch)) {}

  /// Sets the relays. A new one is used once it has answered.
  void setRelays(const RelaysByZone &Relays);
  /// Sets the availability zone of each worker, by id.
  void setZones(std::unordered_map<std::string, std::string> Zones);
  /// Sends the calls that wait for their batch.
  void flush();
  /// Makes no further calls; those in flight are forgotten.
  void close();
  /// Takes replies from a relay. Errors: not_owner if they are for another
  /// leader.
  void handleReplies(const std::string &Params, const RpcReply &Reply);

  void start(const WorkerTarget &Worker, const StartOrder &Order,
             OrderHandler Done) override;
  void stop(const WorkerTarget &Worker, const std::string &Task,
            std::int64_t Attempt, OrderHandler Done) override;
  void pace(const WorkerTarget &Worker, const std::string &Task,
            std::int64_t Attempt, int Percent, OrderHandler Done) override;
  void poll(const WorkerTarget &Worker, const PollRequest &Request,
            std::function<void(Result<PollReply>)> Done) override;

private:
  using PollHandler = std::function<void(Result<PollReply>)>;

  /// Handlers of a call that was passed to a relay and has no reply yet.
  struct OpenCall {
    std::string Worker_;
    std::string Relay_;
    Millis Deadline_{}; ///< On AttentiveTime_.
    OrderHandler OnOrder_;
    PollHandler OnPoll_; ///< Of polls only.
  };
  /// What this node knows of a relay.
  struct RelayState {
    bool Answers_ = false; ///< It has answered the last batch.
    bool Listed_ = false;  ///< It is one of the chosen relays.
    std::string Process_;  ///< As it has told with its clock.
    /// Difference from the clock of this node to that of the relay, at least.
    Millis ClockOffset_{};
    Millis OffsetReadAt_{};
    Millis FailedAt_{};
    Millis AvoidUntil_{};
    int FailuresInRow_ = 0; ///< Since its last replies.
    /// When replies of workers came last, on AttentiveTime_.
    Millis RepliesAt_{};
    Millis BatchSentAt_{};
    int OpenBatches_ = 0;
    bool SendScheduled_ = false;
    Millis OldestCallAt_{};          ///< When the first waiting call was made.
    std::vector<WorkerCall> Calls_;  ///< Wait for the next batch.
    std::set<std::int64_t> OpenIds_; ///< Keys of OpenCalls_.
  };

  /// A worker that is called directly for a while.
  struct DirectCall {
    Millis Until_{};
    int FailuresInRow_ = 0; ///< Of polls through its relay.
  };

  Millis now() const { return Ports_.Clock_.monotonic(); }
  /// The relay for a worker; null if the call goes to the worker directly.
  RelayState *findRelay(const std::string &Worker, std::string &Address);
  /// Passes a call to the relay of the worker. False if there is none.
  bool passOn(const WorkerTarget &Worker, WorkerCallContent Content,
              Millis Timeout, OrderHandler OnOrder, PollHandler OnPoll);
  void scheduleBatch(const std::string &Address, Millis Delay);
  void sendBatch(const std::string &Address);
  void handleBatchReply(const std::string &Address, Millis SentAt,
                        const std::vector<std::int64_t> &Ids,
                        const Result<Json::Value> &Reply);
  /// By how much the clocks may have drifted apart since the last reading.
  Millis drift(const RelayState &Relay) const;
  /// Takes the process and the clock that a relay has told.
  void updateClock(RelayState &Relay, const Json::Value &Reply) const;
  /// Ends what waits for a relay that has failed to answer a batch of the given
  /// time. NotMade are calls that it has not made.
  void abandon(const std::string &Address, Millis SentAt,
               const std::vector<std::int64_t> &NotMade, const Error &Failure);
  void finish(std::int64_t Id, const WorkerCallReply &Reply);
  /// Takes a call out of all lists; empty if it has ended.
  std::optional<OpenCall> take(std::int64_t Id);
  void fail(std::int64_t Id, const Error &Failure);
  void endOverdueCalls();
  void sweep();

  const CellPorts Ports_;
  const std::string Address_;
  const std::int64_t Epoch_;
  const std::function<Millis()> MayActUntil_;
  const std::function<void()> OnStaleEpoch_;
  RelaysByZone Relays_;
  std::unordered_map<std::string, std::string> Zones_; ///< By worker.
  std::map<std::string, RelayState> RelayStates_;      ///< By address.
  std::unordered_map<std::int64_t, OpenCall> OpenCalls_;
  std::set<std::pair<Millis, std::int64_t>> Deadlines_; ///< Of OpenCalls_.
  /// Workers that their relay has failed to reach, by id.
  std::unordered_map<std::string, DirectCall> DirectCalls_;
  std::int64_t LastCall_ = 0;
  std::int64_t LastBatch_ = 0;
  /// Time that passed while the event loop was not late, which is no silence of
  /// a relay.
  Millis AttentiveTime_{};
  Millis SweptAt_{};
  bool Sweeping_ = false;
  bool Closed_ = false;
};

} // namespace damaskglade::cell

#endif
