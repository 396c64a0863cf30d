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

/// Protocol rules that tests disable to show that the model checker detects the
/// violations. All are false outside tests.
struct ProtocolFaults {
  bool SkipRestartWait_ = false;
  bool SkipClockMargin_ = false;
  bool SkipConsent_ = false;
  bool ResumeExpiredLease_ = false;
  bool ConsentDespitePromise_ = false;

  friend bool operator==(const ProtocolFaults &,
                         const ProtocolFaults &) = default;
};

struct ProtocolConfig {
  Millis LeaseDuration_{4000};
  Millis RenewInterval_{1000};
  /// Compensates for rate differences between monotonic clocks.
  Millis ClaimMargin_{500};
  /// Maximum offset between the wall clocks of two VMs.
  Millis ClockError_{250};
  Millis PromiseDuration_{3000};
  Millis ConsentDuration_{3000};
  Millis RequestInterval_{1000}; ///< Between repeated requests to peers.
  Millis VmListLag_{30000};      ///< Maximum staleness of the VM list.
  /// Maximum time since the last applied renewal for which promises of peers
  /// can extend the lease.
  Millis MaxHold_{7200000};
  Millis NodeReadInterval_{500};
  Millis ShardReadInterval_{1000};
  /// Delay between the claims of two peers, so that they don't conflict.
  Millis ClaimStagger_{300};
  ProtocolFaults Faults_;

  friend bool operator==(const ProtocolConfig &,
                         const ProtocolConfig &) = default;
};

/// Last known version of a node row, with the reader's monotonic times.
struct ObservedNode {
  NodeRow Row_;
  std::int64_t Version_ = 0;
  Millis FirstSeen_{}; ///< End of the first read that returned it, or of the
                       ///< first read after a gap.
  Millis LastSeen_{};  ///< Start of the last read that returned it.

  friend bool operator==(const ObservedNode &, const ObservedNode &) = default;
};

struct ObservedShard {
  ShardRow Row_;
  std::int64_t Version_ = 0;

  friend bool operator==(const ObservedShard &,
                         const ObservedShard &) = default;
};

/// A transaction that has been sent. Each one writes the sender's own node row
/// and expects its version, so that at most one of several transactions with
/// unknown outcome takes effect.
struct PendingWrite {
  std::int64_t Sequence_ = 0;
  Millis Sent_{};
  Millis SentWall_{};
  std::vector<RowWrite> Rows_;

  friend bool operator==(const PendingWrite &, const PendingWrite &) = default;
};

enum class Phase { Joining, Member, Leaving, Stopped };

/// Protocol state of one node. Times are the node's monotonic times unless
/// marked as wall times.
struct NodeState {
  std::string Id_;
  std::string Zone_;
  std::string Address_;
  std::string Writer_;
  Phase Phase_ = Phase::Joining;
  Millis Started_{}; ///< Process start.
  Millis Joined_{};  ///< First join of this process; zero before.

  std::int64_t Incarnation_ = 0;
  std::int64_t Sequence_ = 0;
  std::int64_t RowVersion_ = 0;               ///< Version of the own node row.
  std::map<std::string, std::int64_t> Owned_; ///< Epoch by shard.

  Millis RenewalSent_{}; ///< When the last applied transaction was sent.
  /// The lease ends at the earlier of the two expiries. The clock error bound
  /// is already subtracted from both, so that a worker whose clock is behind
  /// refuses a start in time.
  Millis LeaseExpiry_{};
  Millis LeaseExpiryWall_{}; ///< Wall time.
  Millis PromisesRequestedAt_{};
  /// Granted requests by peer.
  std::map<std::string, PeerMessage> PromisesReceived_;

  std::map<std::string, Millis> PromisesGiven_; ///< Expiry by owner.
  std::map<std::string, Millis> ConsentsGiven_; ///< Expiry by target.
  /// No promise or consent under older lists.
  std::int64_t MinListVersion_ = 0;

  std::map<std::string, Millis> ConsentsRequestedAt_; ///< By target.
  /// When the granted request was sent, by target and peer.
  std::map<std::string, std::map<std::string, Millis>> ClaimConsents_;
  Millis ListConsentsRequestedAt_{};
  /// When MinListVersion_ last exceeded the list version.
  Millis ListFrozenAt_{};
  std::set<std::string> ListConsents_;

  ZoneList List_;     ///< Newest known list; version 0 if none.
  Millis ListRead_{}; ///< Start of the last read that included the list.
  std::map<std::string, ObservedNode> Nodes_;
  std::map<std::string, ObservedShard> Shards_;
  std::map<std::string, Millis> UnownedSince_;
  Millis NodesRead_{};  ///< Start of the last complete read; zero if none.
  Millis ShardsRead_{}; ///< The same for reads that included shards.

  Millis VmListReadAt_{};          ///< Last snapshot that included this node.
  std::set<std::string> VmShards_; ///< Shards of the own zone.
  /// Listed nodes that the VM list does not include, with the time since when.
  std::map<std::string, Millis> VmAbsentSince_;

  std::optional<PendingWrite> InFlight_;
  std::vector<PendingWrite> Unresolved_; ///< Outcome unknown.
  Millis RetryAfter_{}; ///< No transaction is sent before this time.
  /// Time of the last conflict. Changes are retried only on rows from a read
  /// that started after it.
  Millis ConflictAt_{};
  bool ReadInFlight_ = false;
  Millis ReadRequestedAt_{};
  Millis ShardReadRequestedAt_{};
  bool ReadDue_ = false;

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
/// Result of a read. Shards are read before nodes, so that an owner's row is
/// never older than the shard rows that refer to it.
struct RowsRead {
  Millis Started_{}; ///< Monotonic time.
  bool Ok_ = false;
  bool HasShards_ = false; ///< The read included shard rows and the zone list.
  std::vector<Versioned<ShardRow>> Shards_;
  std::vector<Versioned<NodeRow>> Nodes_;
  std::optional<ZoneList> List_;
};
struct VmSnapshot {
  std::set<std::string> Nodes_;  ///< Entry VMs of the zone.
  std::set<std::string> Shards_; ///< Shards of the zone's workers.
};
/// The process restarted and lost its state.
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
  bool Shards_ = false; ///< Include shard rows and the zone list.
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

/// Transition function of the protocol: the next state and the actions to
/// execute. At most one Commit and one ReadRows are in flight at a time.
StepResult step(const NodeState &State, const Event &Input,
                const ProtocolConfig &Config);

/// True if the node may start tasks on the shard at the given times. The wall
/// clock must be read before the monotonic clock.
bool mayStartTasks(const NodeState &State, const std::string &Shard,
                   Millis Wall, Millis Monotonic);

/// Latest `start_by` in wall time; zero if the node may not start tasks on the
/// shard.
Millis latestStartBy(const NodeState &State, const std::string &Shard,
                     Millis Wall, Millis Monotonic);

/// True if the node's lease is valid at the given times.
bool hasValidLease(const NodeState &State, Millis Wall, Millis Monotonic);

/// True if no change of the row has been observed for a lease duration and
/// claim margin.
bool isExpired(const ObservedNode &Node, Millis Now,
               const ProtocolConfig &Config);

} // namespace damaskglade::ownership

#endif
