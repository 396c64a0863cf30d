#ifndef DAMASKGLADE_TESTS_OWNERSHIP_MODEL_H
#define DAMASKGLADE_TESTS_OWNERSHIP_MODEL_H

#include "ownership/protocol.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace damaskglade::ownership::model {

/// What happens to one table call or message.
enum class Fault {
  None,
  Lose,       ///< No effect; a table call reports so.
  Late,       ///< Takes effect at any later time; a write reports Unknown.
  LostAnswer, ///< A write takes effect and reports Unknown.
};

enum class DeliveryKind { Write, Read, ReadResult, Request, Answer };

/// A table call, its result or a message under way.
struct Delivery {
  DeliveryKind Kind_ = DeliveryKind::Request;
  std::size_t From_ = 0;
  std::size_t To_ = 0;
  int Boot_ = 0; ///< Process that a result belongs to.
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
  bool TableCut_ = false;
  bool PeersCut_ = false;
  int Boot_ = 0;
  Millis NamedFrom_{}; ///< The VM list names it from here on.
  Millis WallOffset_{};
  std::int64_t RatePerMille_ = 1000; ///< Of the monotonic clock.
  std::deque<Delivery> Inbox_;       ///< Arrived during a pause.
};

/// Starts of one shard epoch that may be on their way to a worker.
struct Starts {
  std::size_t Node_ = 0;
  int Boot_ = 0;
  Millis StartBy_{};
};

/// Nodes, table, network and workers in one value, for exploration. A worker
/// accepts a start while its clock, which has offset 0, has not passed
/// `start_by`.
class Model {
public:
  using Decide = std::function<Fault(const Delivery &)>;

  Model(std::size_t Nodes, const std::vector<std::string> &Shards,
        const ProtocolConfig &Config);

  /// Passes the time, then runs all live nodes until nothing is under way.
  void run(Millis Time, const Decide &Decision);
  void deliverHeld(std::size_t Index);
  void restart(std::size_t Node);
  void kill(std::size_t Node);
  void boot(std::size_t Node);
  void requestStop(std::size_t Node);

  /// What went wrong; empty if all invariants hold.
  const std::string &violation() const { return Violation_; }
  std::size_t granted() const;
  std::size_t listed() const;

  /// The state with times and versions relative to now and to the table, so
  /// that states that behave alike have equal texts.
  std::string fingerprint() const;

  std::vector<ModelNode> Nodes_;
  std::vector<Delivery> Held_; ///< Late writes and messages.
  Millis Now_{1000};

private:
  Millis monotonicOf(const ModelNode &Node) const;
  Millis wallOf(const ModelNode &Node) const { return Now_ + Node.WallOffset_; }
  void feed(std::size_t Node, decltype(Event::Body_) Body);
  void drain(const Decide &Decision);
  void process(const Delivery &Item, Fault Kind);
  void arrive(const Delivery &Item);
  bool apply(const std::vector<RowWrite> &Rows);
  RowsRead readTable(std::size_t Node, bool Shards) const;
  void check();
  void report(const std::string &Text);

  ProtocolConfig Config_;
  std::set<std::string> Shards_;
  std::map<std::string, Versioned<NodeRow>> NodeRows_;
  std::map<std::string, Versioned<ShardRow>> ShardRows_;
  std::optional<ZoneList> List_;
  std::deque<Delivery> Queue_;
  std::map<std::string, std::map<std::int64_t, Starts>> Starts_;
  std::string Violation_;
};

} // namespace damaskglade::ownership::model

#endif
