#ifndef DAMASKGLADE_TESTS_OWNERSHIP_MODEL_H
#define DAMASKGLADE_TESTS_OWNERSHIP_MODEL_H

#include "ownership/protocol.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace damaskglade::ownership::model {

/// Fault of one table call or message.
enum class Fault {
  None,
  Dropped,    ///< No effect; a table call reports the failure.
  Delayed,    ///< Takes effect at any later time; a write reports Unknown.
  AnswerLost, ///< A write takes effect but reports Unknown.
};

enum class DeliveryKind { Write, Read, ReadResult, Request, Answer };

/// A table call, a read result or a message in flight.
struct Delivery {
  DeliveryKind Kind_ = DeliveryKind::Request;
  std::size_t From_ = 0;
  std::size_t To_ = 0;
  int BootCount_ = 0; ///< Process that a read result belongs to.
  Commit Write_;
  bool Shards_ = false;
  RowsRead Rows_;
  PeerMessage Request_;
  PeerAnswer Answer_;
};

struct ModelNode {
  NodeState State_;
  bool Alive_ = true;
  bool Paused_ = false;
  bool TableUnreachable_ = false;
  bool PeersUnreachable_ = false;
  int BootCount_ = 0;
  Millis VmListedFrom_{}; ///< The VM list includes the node from this time.
  Millis WallOffset_{};
  std::int64_t RatePerMille_ = 1000; ///< Rate of the monotonic clock.
  std::deque<Delivery> Inbox_;       ///< Arrived during a pause.
};

/// Task starts of one shard epoch that may be in flight to a worker.
struct SentStarts {
  std::size_t Node_ = 0;
  int BootCount_ = 0;
  Millis StartBy_{};
};

/// Nodes, table, network and workers as one copyable value, for state
/// exploration. A worker accepts a start until its clock, which has offset 0,
/// has passed `start_by`.
class Model {
public:
  using FaultSelector = std::function<Fault(const Delivery &)>;

  Model(std::size_t Nodes, const std::vector<std::string> &Shards,
        const ProtocolConfig &Config);

  /// Advances the time, then runs each live node that is not paused until no
  /// call or message is queued.
  void run(Millis Time, const FaultSelector &SelectFault);
  void deliverDelayed(std::size_t Index);
  void restart(std::size_t Node);
  void kill(std::size_t Node);
  void boot(std::size_t Node);
  void requestStop(std::size_t Node);

  /// First violated invariant; empty if all hold.
  const std::string &violation() const { return Violation_; }
  std::size_t countStartableShards() const;
  std::size_t countListedNodes() const;

  /// The state with times relative to the clocks and versions relative to the
  /// table, so that equivalent states have equal texts.
  std::string fingerprint() const;

  std::vector<ModelNode> Nodes_;
  /// Delayed writes, read results and messages.
  std::vector<Delivery> Delayed_;
  Millis Now_{1000};

private:
  Millis monotonicOf(const ModelNode &Node) const;
  Millis wallOf(const ModelNode &Node) const { return Now_ + Node.WallOffset_; }
  void handleEvent(std::size_t Node, decltype(Event::Body_) Body);
  void processQueue(const FaultSelector &SelectFault);
  void processDelivery(const Delivery &Item, Fault InjectedFault);
  void deliver(const Delivery &Item);
  bool applyTransaction(const std::vector<RowWrite> &Rows);
  RowsRead readTable(std::size_t Node, bool Shards) const;
  void checkInvariants();
  void reportViolation(const std::string &Text);

  ProtocolConfig Config_;
  std::set<std::string> Shards_;
  std::map<std::string, Versioned<NodeRow>> NodeRows_;
  std::map<std::string, Versioned<ShardRow>> ShardRows_;
  std::optional<ZoneList> List_;
  std::deque<Delivery> Queue_;
  std::map<std::string, std::map<std::int64_t, SentStarts>> SentStarts_;
  std::string Violation_;
};

} // namespace damaskglade::ownership::model

#endif
