#include "ownership/step_context.h"

#include <algorithm>

namespace damaskglade::ownership {

namespace {

// Renewals that are kept to recognise one that took effect late. Older ones
// would no longer extend the right.
constexpr std::size_t MaxUnresolved = 8;

void gainShard(StepContext &Context, const ShardRow &Row) {
  const auto [Entry, Added] =
      Context.State_.Owned_.try_emplace(Row.Id_, Row.Epoch_);
  if (!Added && Entry->second == Row.Epoch_)
    return;
  Entry->second = Row.Epoch_;
  Context.Actions_.push_back(GainedShard{Row.Id_, Row.Epoch_});
}

bool hasChanges(const PendingWrite &Write) { return Write.Rows_.size() > 1; }

bool isMine(const NodeState &State, const ShardRow &Row) {
  return Row.Owner_ == State.Id_ && Row.Incarnation_ == State.Incarnation_;
}

// Drops everything after the own row was taken away. Promises and consents to
// others stay in force.
void dropMembership(StepContext &Context) {
  NodeState &State = Context.State_;
  while (!State.Owned_.empty())
    loseShard(Context, std::string(State.Owned_.begin()->first));
  State.RightEnd_ = Millis{};
  State.RightEndWall_ = Millis{};
  State.PromisedToMe_.clear();
  State.Unresolved_.clear();
  State.Incarnation_ = 0;
  State.Phase_ =
      State.Phase_ == Phase::Leaving ? Phase::Stopped : Phase::Joining;
}

bool mergeNode(StepContext &Context, const NodeRow &Row, std::int64_t Version,
               Millis SeenAt) {
  SeenNode &Seen = Context.State_.Nodes_[Row.Id_];
  if (Version < Seen.Version_)
    return false;
  if (Version == Seen.Version_)
    Seen.LastSeen_ = std::max(Seen.LastSeen_, SeenAt);
  else
    Seen = SeenNode{Row, Version, Context.Now_, SeenAt};
  return true;
}

void mergeShard(NodeState &State, const ShardRow &Row, std::int64_t Version) {
  SeenShard &Seen = State.Shards_[Row.Id_];
  if (Version > Seen.Version_)
    Seen = SeenShard{Row, Version};
}

const NodeRow &ownRowOf(const PendingWrite &Write) {
  return std::get<NodeRow>(Write.Rows_.front().Row_);
}

void applyRow(StepContext &Context, const RowWrite &Write) {
  NodeState &State = Context.State_;
  const std::int64_t Version = Write.ExpectedVersion_ + 1;
  if (const auto *Node = std::get_if<NodeRow>(&Write.Row_)) {
    mergeNode(Context, *Node, Version, Context.Now_);
    State.ClaimConsents_.erase(Node->Id_);
  } else if (const auto *Shard = std::get_if<ShardRow>(&Write.Row_)) {
    mergeShard(State, *Shard, Version);
    if (isMine(State, *Shard))
      gainShard(Context, *Shard);
    else
      loseShard(Context, Shard->Id_);
  } else if (const auto *List = std::get_if<ZoneList>(&Write.Row_)) {
    ZoneList Changed = *List;
    Changed.Version_ = Version;
    adoptList(Context, Changed);
  }
}

// A transaction of this node is known to have taken effect, which rules out
// all others that expected the same version of the own row.
void applyWrite(StepContext &Context, const PendingWrite &Write) {
  NodeState &State = Context.State_;
  const NodeRow &Own = ownRowOf(Write);
  const std::int64_t Version = Write.Rows_.front().ExpectedVersion_ + 1;
  const SeenNode &Known = State.Nodes_[State.Id_];
  const bool Overtaken = Known.Version_ > Version ||
                         (Known.Version_ == Version && !(Known.Row_ == Own));
  if (Version <= State.RowVersion_ || Overtaken)
    return;
  State.RowVersion_ = Version;
  State.Incarnation_ = Own.Incarnation_;
  State.Unresolved_.clear();
  if (Own.State_ == NodeRowState::Released)
    State.Phase_ = Phase::Stopped;
  if (State.Phase_ == Phase::Joining)
    State.Phase_ = Phase::Member;
  if (State.Joined_ == Millis{})
    State.Joined_ = Context.Now_;
  if (State.Phase_ != Phase::Stopped)
    extendByTable(Context, Write);
  for (const RowWrite &Row : Write.Rows_)
    applyRow(Context, Row);
  if (!hasChanges(Write) && Own.State_ == NodeRowState::Live)
    return;
  PeerMessage Hint;
  Hint.Kind_ = MessageKind::Changed;
  Hint.From_ = State.Id_;
  Hint.Writer_ = State.Writer_;
  for (const auto &[Id, Seen] : State.Nodes_)
    if (Seen.Row_.Zone_ == State.Zone_ &&
        Seen.Row_.State_ == NodeRowState::Live)
      sendTo(Context, Id, Hint);
}

// Finds out from the own row what became of earlier transactions.
void checkOwnRow(StepContext &Context) {
  NodeState &State = Context.State_;
  const auto Found = State.Nodes_.find(State.Id_);
  if (Found == State.Nodes_.end() ||
      Found->second.Version_ <= State.RowVersion_)
    return;
  const NodeRow &Row = Found->second.Row_;
  if (Row.Writer_ == State.Writer_ && Row.State_ != NodeRowState::Fenced) {
    const auto Matches = [&Row](const PendingWrite &Write) {
      return Write.Sequence_ == Row.Sequence_;
    };
    // The answer to a transaction under way is about to arrive.
    if (State.InFlight_ && Matches(*State.InFlight_))
      return;
    const auto Write = std::find_if(State.Unresolved_.begin(),
                                    State.Unresolved_.end(), Matches);
    if (Write != State.Unresolved_.end()) {
      applyWrite(Context, PendingWrite(*Write));
      return;
    }
    // A renewal so old that it is no longer kept. The right does not change.
    if (State.Phase_ != Phase::Joining &&
        Row.Incarnation_ == State.Incarnation_) {
      State.RowVersion_ = Found->second.Version_;
      State.Unresolved_.clear();
      return;
    }
  }
  if (State.Phase_ != Phase::Joining)
    dropMembership(Context);
}

// Takes over shards that a peer handed to this node, and drops what the table
// gives to others. A transaction that may still give shards away decides
// first. Plain renewals don't matter: waiting for those as well would never
// end where reads and renewals keep the same pace.
void reconcileShards(StepContext &Context) {
  NodeState &State = Context.State_;
  if (State.Phase_ != Phase::Member ||
      (State.InFlight_ && hasChanges(*State.InFlight_)) ||
      std::any_of(State.Unresolved_.begin(), State.Unresolved_.end(),
                  hasChanges))
    return;
  for (const auto &[Id, Seen] : State.Shards_) {
    if (isMine(State, Seen.Row_))
      gainShard(Context, Seen.Row_);
    else
      loseShard(Context, Id);
  }
}

} // namespace

void loseShard(StepContext &Context, const std::string &Shard) {
  if (Context.State_.Owned_.erase(Shard) != 0)
    Context.Actions_.push_back(LostShard{Shard});
}

void handleRows(StepContext &Context, const RowsRead &Read) {
  NodeState &State = Context.State_;
  State.ReadInFlight_ = false;
  if (!Read.Ok_)
    return;
  // A row counts as unchanged only while it is watched. Otherwise all nodes
  // would claim each other's rows when the table comes back.
  const bool WasBlind =
      Read.Started_ - State.NodesRead_ >= Context.Config_.Lease_;
  if (WasBlind)
    for (auto &[Id, Seen] : State.Nodes_)
      Seen.FirstSeen_ = Context.Now_;
  for (const Versioned<NodeRow> &Node : Read.Nodes_)
    mergeNode(Context, Node.Row_, Node.Version_, Read.Started_);
  State.NodesRead_ = Read.Started_;
  if (Read.HasShards_) {
    for (const Versioned<ShardRow> &Shard : Read.Shards_)
      mergeShard(State, Shard.Row_, Shard.Version_);
    State.ShardsRead_ = Read.Started_;
    State.ListRead_ = Read.Started_;
    if (Read.List_)
      adoptList(Context, *Read.List_);
  }
  checkOwnRow(Context);
  if (Read.HasShards_)
    reconcileShards(Context);
}

void handleCommit(StepContext &Context, const CommitDone &Done) {
  NodeState &State = Context.State_;
  if (!State.InFlight_ || State.InFlight_->Sequence_ != Done.Sequence_)
    return;
  const PendingWrite Write = *State.InFlight_;
  State.InFlight_.reset();
  if (Done.Result_ == CommitResult::Ok) {
    applyWrite(Context, Write);
    return;
  }
  State.RetryAfter_ =
      Context.Now_ + std::max(Context.Config_.RenewInterval_ / 4, Millis{1});
  State.ReadNow_ = true;
  if (Done.Result_ == CommitResult::Unavailable)
    return;
  // A conflict may be with a repeat of the same transaction by the driver.
  if (Done.Result_ == CommitResult::Conflict)
    State.Conflict_ = Context.Now_;
  // A write that gives shards away is never the one that is forgotten: none
  // with changes is sent while others are unresolved.
  if (State.Unresolved_.size() >= MaxUnresolved) {
    const auto Plain =
        std::find_if(State.Unresolved_.begin(), State.Unresolved_.end(),
                     [](const PendingWrite &Old) { return !hasChanges(Old); });
    if (Plain != State.Unresolved_.end())
      State.Unresolved_.erase(Plain);
  }
  State.Unresolved_.push_back(Write);
}

void scheduleRead(StepContext &Context) {
  NodeState &State = Context.State_;
  const ProtocolConfig &Config = Context.Config_;
  if (State.ReadInFlight_ || State.Phase_ == Phase::Stopped)
    return;
  const bool First = State.ReadAsked_ == Millis{};
  if (!First && !State.ReadNow_ &&
      Context.Now_ < State.ReadAsked_ + Config.NodeReadInterval_)
    return;
  const bool Shards =
      First || State.ReadNow_ ||
      Context.Now_ >= State.ShardReadAsked_ + Config.ShardReadInterval_;
  State.ReadInFlight_ = true;
  State.ReadNow_ = false;
  State.ReadAsked_ = Context.Now_;
  if (Shards)
    State.ShardReadAsked_ = Context.Now_;
  Context.Actions_.push_back(ReadRows{Shards});
}

void sendWrite(StepContext &Context, NodeRowState RowState,
               std::vector<RowWrite> Changes) {
  NodeState &State = Context.State_;
  const bool Joins = State.Phase_ == Phase::Joining;
  const auto Own = State.Nodes_.find(State.Id_);
  const std::int64_t Expected = !Joins ? State.RowVersion_
                                : Own == State.Nodes_.end()
                                    ? 0
                                    : Own->second.Version_;
  const std::int64_t Last =
      Own == State.Nodes_.end() ? 0 : Own->second.Row_.Incarnation_;
  const NodeRow Row{State.Id_,
                    State.Zone_,
                    State.Address_,
                    State.Writer_,
                    Joins ? Last + 1 : State.Incarnation_,
                    State.Sequence_ + 1,
                    RowState,
                    Context.Wall_ + Context.Config_.Lease_};
  for (const RowWrite &Change : Changes)
    if (const auto *Shard = std::get_if<ShardRow>(&Change.Row_))
      loseShard(Context, Shard->Id_);
  Changes.insert(Changes.begin(), RowWrite{Row, Expected});
  State.Sequence_ += 1;
  State.InFlight_ =
      PendingWrite{State.Sequence_, Context.Now_, Context.Wall_, Changes};
  Context.Actions_.push_back(Commit{State.Sequence_, std::move(Changes)});
}

} // namespace damaskglade::ownership
