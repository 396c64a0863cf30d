#ifndef DAMASKGLADE_OWNERSHIP_PROTOCOL_H
#define DAMASKGLADE_OWNERSHIP_PROTOCOL_H

#include "core/clock.h"
#include "ownership/message.h"
#include "ownership/rows.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace damaskglade::ownership {

/// Faults that tests inject to show that the checker finds them. All are off
/// outside tests.
struct ProtocolFaults {
  bool SkipRestartWait_ = false;
  bool SkipClockMargin_ = false;
  bool SkipConsent_ = false;
  bool ResumeExpiredRight_ = false;
  bool ConsentDespitePromise_ = false;

  friend bool operator==(const ProtocolFaults &,
                         const ProtocolFaults &) = default;
};

struct ProtocolConfig {
  Millis Lease_{4000};
  Millis RenewInterval_{1000};
  /// Covers differences in clock rate between two monotonic clocks.
  Millis ClaimMargin_{500};
  Millis ClockError_{250}; ///< Bound between the wall clocks of two VMs.
  Millis PromiseTime_{3000};
  Millis ConsentTime_{3000};
  Millis AskInterval_{1000}; ///< Between repeated requests to peers.
  Millis VmLag_{30000};      ///< Lag bound of the VM list.
  Millis MaxHold_{7200000};
  Millis NodeReadInterval_{500};
  Millis ShardReadInterval_{1000};
  /// Delay between the claims of two peers, so that one of them wins at once.
  Millis ClaimStagger_{300};
  ProtocolFaults Faults_;

  friend bool operator==(const ProtocolConfig &,
                         const ProtocolConfig &) = default;
};

/// A node row as last read, with monotonic times of the reader.
struct SeenNode {
  NodeRow Row_;
  std::int64_t Version_ = 0;
  Millis FirstSeen_{}; ///< End of the first read that returned the version.
  Millis LastSeen_{};  ///< Start of the last read that returned it.

  friend bool operator==(const SeenNode &, const SeenNode &) = default;
};

struct SeenShard {
  ShardRow Row_;
  std::int64_t Version_ = 0;

  friend bool operator==(const SeenShard &, const SeenShard &) = default;
};

/// A transaction that was sent. Each one writes the sender's own node row, so
/// that of several with unknown effect at most one takes effect.
struct PendingWrite {
  std::int64_t Sequence_ = 0;
  Millis Sent_{};
  Millis SentWall_{};
  std::vector<RowWrite> Rows_;

  friend bool operator==(const PendingWrite &, const PendingWrite &) = default;
};

enum class Phase { Joining, Member, Leaving, Stopped };

/// Everything that one node knows. Times are the node's monotonic times unless
/// they are marked as wall times.
struct NodeState {
  std::string Id_;
  std::string Zone_;
  std::string Address_;
  std::string Writer_;
  Phase Phase_ = Phase::Joining;
  Millis Started_{}; ///< Start of the process.
  Millis Joined_{};  ///< First join of the process; zero before.

  std::int64_t Incarnation_ = 0;
  std::int64_t Sequence_ = 0;
  std::int64_t RowVersion_ = 0;               ///< Of the own node row.
  std::map<std::string, std::int64_t> Owned_; ///< Epoch by shard.

  Millis TableSent_{}; ///< Sending of the last renewal known to be applied.
  /// The clock error bound is already taken off both ends, so that a worker
  /// whose clock is behind refuses a start in time.
  Millis RightEnd_{};
  Millis RightEndWall_{}; ///< Wall time.
  Millis PromiseAsked_{};
  std::map<std::string, PeerMessage> PromisedToMe_; ///< Requests, by peer.

  std::map<std::string, Millis> PromisesGiven_; ///< End by owner.
  std::map<std::string, Millis> ConsentsGiven_; ///< End by target.
  std::int64_t MinListVersion_ = 0; ///< No promise or consent below it.

  std::map<std::string, Millis> ClaimAsked_; ///< Last request, by target.
  /// Sending of the granted request, by target and peer.
  std::map<std::string, std::map<std::string, Millis>> ClaimConsents_;
  Millis ListAsked_{};
  Millis ListFrozen_{}; ///< When MinListVersion_ last rose above the list.
  std::set<std::string> ListConsents_;

  ZoneList List_;     ///< Newest list known; version 0 if none.
  Millis ListRead_{}; ///< Start of its last read from the table.
  std::map<std::string, SeenNode> Nodes_;
  std::map<std::string, SeenShard> Shards_;
  std::map<std::string, Millis> UnownedSince_;
  Millis NodesRead_{};  ///< Start of the last complete read; zero if none.
  Millis ShardsRead_{}; ///< Likewise.

  std::set<std::string> VmShards_;         ///< Shards of the own zone.
  std::map<std::string, Millis> VmAbsent_; ///< Listed nodes no longer named.

  std::optional<PendingWrite> InFlight_;
  std::vector<PendingWrite> Unresolved_; ///< Sent earlier, effect unknown.
  Millis RetryAfter_{};                  ///< No write before this time.
  /// Only a read that starts later shows whether a change is worth another
  /// try after a conflict.
  Millis Conflict_{};
  bool ReadInFlight_ = false;
  Millis ReadAsked_{};
  Millis ShardReadAsked_{};
  bool ReadNow_ = false;

  friend bool operator==(const NodeState &, const NodeState &) = default;
};

// Events.
struct Tick {};
enum class CommitResult { Ok, Conflict, Unavailable, Unknown };
struct CommitDone {
  std::int64_t Sequence_ = 0;
  CommitResult Result_ = CommitResult::Unknown;
};
template <typename Row> struct Versioned {
  Row Row_;
  std::int64_t Version_ = 0;
};
/// End of a read. Shards are read before nodes, so that an owner's row is
/// never older than the shard rows that name it.
struct RowsRead {
  Millis Started_{}; ///< Monotonic time.
  bool Ok_ = false;
  bool HasShards_ = false; ///< Shard rows and the zone list were read as well.
  std::vector<Versioned<ShardRow>> Shards_;
  std::vector<Versioned<NodeRow>> Nodes_;
  std::optional<ZoneList> List_;
};
struct VmSnapshot {
  std::set<std::string> Nodes_;  ///< Entry VMs of the zone.
  std::set<std::string> Shards_; ///< Shards of the zone's workers.
};
/// The process starts; earlier memory is lost.
struct Restart {
  std::string Writer_;
};
struct StopRequested {};

struct Event {
  Millis Monotonic_{};
  Millis Wall_{};
  std::variant<Tick, CommitDone, RowsRead, PeerMessage, PeerAnswer, VmSnapshot,
               Restart, StopRequested>
      Body_;
};

// Actions.
struct Commit {
  std::int64_t Sequence_ = 0;
  std::vector<RowWrite> Rows_;
};
struct ReadRows {
  bool Shards_ = false; ///< Also the shard rows and the zone list.
};
struct SendMessage {
  std::string To_;
  std::string Address_;
  PeerMessage Message_;
};
struct SendAnswer {
  PeerAnswer Answer_;
};
struct GainedShard {
  std::string Shard_;
  std::int64_t Epoch_ = 0;
};
struct LostShard {
  std::string Shard_;
};
using Action = std::variant<Commit, ReadRows, SendMessage, SendAnswer,
                            GainedShard, LostShard>;

struct StepResult {
  NodeState Next_;
  std::vector<Action> Actions_;
};

/// State of a node whose process has just started.
NodeState initialState(const std::string &Id, const std::string &Zone,
                       const std::string &Address, const std::string &Writer,
                       Millis Monotonic);

/// The protocol: next state and what to do. At most one Commit and one
/// ReadRows are under way at a time.
StepResult step(const NodeState &State, const Event &Input,
                const ProtocolConfig &Config);

/// True if the node may start tasks on the shard at the given times. The wall
/// time must be read before the monotonic time.
bool mayGrant(const NodeState &State, const std::string &Shard, Millis Wall,
              Millis Monotonic);

/// Latest `start_by` in wall time; zero if the node has no right now.
Millis grantEnd(const NodeState &State, const std::string &Shard, Millis Wall,
                Millis Monotonic);

/// True if the node has a valid right at the given times.
bool hasRight(const NodeState &State, Millis Wall, Millis Monotonic);

/// True if the row has been seen unchanged for a lease and margin.
bool isExpired(const SeenNode &Node, Millis Now, const ProtocolConfig &Config);

} // namespace damaskglade::ownership

#endif
