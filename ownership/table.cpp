#include "ownership/step_context.h"

#include <algorithm>

namespace damaskglade::ownership {

namespace {

// Limit of transactions kept with unknown outcome, to recognize one that took
// effect late. Older renewals would no longer extend the lease.
constexpr std::size_t MaxUnresolved = 8;

void addOwnedShard(StepContext &Context, const ShardRow &Row) {
  const auto [Entry, Added] =
      Context.State_.Owned_.try_emplace(Row.Id_, Row.Epoch_);
  if (!Added && Entry->second == Row.Epoch_)
    return;
  Entry->second = Row.Epoch_;
  Context.Actions_.push_back(GainedShard{Row.Id_, Row.Epoch_});
}

bool hasChanges(const PendingWrite &Write) { return Write.Rows_.size() > 1; }

bool isOwnedHere(const NodeState &State, const ShardRow &Row) {
  return Row.Owner_ == State.Id_ && Row.Incarnation_ == State.Incarnation_;
}

// Ends the membership after the own row was fenced or overwritten. Promises and
// consents given to others stay in force.
void dropMembership(StepContext &Context) {
  NodeState &State = Context.State_;
  while (!State.Owned_.empty())
    removeOwnedShard(Context, std::string(State.Owned_.begin()->first));
  State.LeaseExpiry_ = Millis{};
  State.LeaseExpiryWall_ = Millis{};
  State.PromisesReceived_.clear();
  State.Unresolved_.clear();
  State.Incarnation_ = 0;
  State.Phase_ =
      State.Phase_ == Phase::Leaving ? Phase::Stopped : Phase::Joining;
}

// True if a claimant wrote the new row, which is no sign of life of the node
// itself.
bool isFencingUpdate(const NodeRow &Old, const NodeRow &New) {
  return New.State_ == NodeRowState::Fenced && Old.Writer_ == New.Writer_ &&
         Old.Sequence_ == New.Sequence_;
}

void mergeNode(StepContext &Context, const NodeRow &Row, std::int64_t Version,
               Millis ObservedAt) {
  ObservedNode &Observed = Context.State_.Nodes_[Row.Id_];
  if (Version < Observed.Version_)
    return;
  if (Version == Observed.Version_)
    Observed.LastSeen_ = std::max(Observed.LastSeen_, ObservedAt);
  else
    Observed =
        ObservedNode{Row, Version,
                     isFencingUpdate(Observed.Row_, Row) ? Observed.FirstSeen_
                                                         : Context.Now_,
                     ObservedAt};
}

void mergeShard(NodeState &State, const ShardRow &Row, std::int64_t Version) {
  ObservedShard &Observed = State.Shards_[Row.Id_];
  if (Version > Observed.Version_)
    Observed = ObservedShard{Row, Version};
}

const NodeRow &ownRowIn(const PendingWrite &Write) {
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
    if (isOwnedHere(State, *Shard))
      addOwnedShard(Context, *Shard);
    else
      removeOwnedShard(Context, Shard->Id_);
  } else if (const auto *List = std::get_if<ZoneList>(&Write.Row_)) {
    ZoneList UpdatedList = *List;
    UpdatedList.Version_ = Version;
    adoptList(Context, UpdatedList);
  }
}

// Applies a transaction of this node that is known to have taken effect. All
// others that expected the same version of the own row can no longer take
// effect.
void applyWrite(StepContext &Context, const PendingWrite &Write) {
  NodeState &State = Context.State_;
  const NodeRow &OwnRow = ownRowIn(Write);
  const std::int64_t Version = Write.Rows_.front().ExpectedVersion_ + 1;
  const ObservedNode &LastObserved = State.Nodes_[State.Id_];
  const bool Superseded =
      LastObserved.Version_ > Version ||
      (LastObserved.Version_ == Version && !(LastObserved.Row_ == OwnRow));
  if (Version <= State.RowVersion_ || Superseded)
    return;
  State.RowVersion_ = Version;
  State.Incarnation_ = OwnRow.Incarnation_;
  State.Unresolved_.clear();
  if (OwnRow.State_ == NodeRowState::Released)
    State.Phase_ = Phase::Stopped;
  if (State.Phase_ == Phase::Joining)
    State.Phase_ = Phase::Member;
  if (State.Joined_ == Millis{})
    State.Joined_ = Context.Now_;
  if (State.Phase_ != Phase::Stopped)
    extendLeaseByRenewal(Context, Write);
  for (const RowWrite &Row : Write.Rows_)
    applyRow(Context, Row);
  if (!hasChanges(Write) && OwnRow.State_ == NodeRowState::Live)
    return;
  PeerMessage Notification;
  Notification.Kind_ = MessageKind::RowsChanged;
  Notification.From_ = State.Id_;
  Notification.Writer_ = State.Writer_;
  for (const auto &[Id, Observed] : State.Nodes_)
    if (Observed.Row_.Zone_ == State.Zone_ &&
        Observed.Row_.State_ == NodeRowState::Live)
      sendToPeer(Context, Id, Notification);
}

// Determines the outcome of earlier transactions from the own row.
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
    // The result of the transaction in flight is about to arrive.
    if (State.InFlight_ && Matches(*State.InFlight_))
      return;
    const auto Write = std::find_if(State.Unresolved_.begin(),
                                    State.Unresolved_.end(), Matches);
    if (Write != State.Unresolved_.end()) {
      applyWrite(Context, PendingWrite(*Write));
      return;
    }
    // A renewal that is no longer kept. It does not extend the lease.
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

// Adds shards that a peer handed to this node, and removes those that the table
// assigns to others. Waits for the outcome of transactions that may hand shards
// over, but not for plain renewals: if reads and renewals run at the same rate,
// that wait would never end.
void reconcileShards(StepContext &Context) {
  NodeState &State = Context.State_;
  if (State.Phase_ != Phase::Member ||
      (State.InFlight_ && hasChanges(*State.InFlight_)) ||
      std::any_of(State.Unresolved_.begin(), State.Unresolved_.end(),
                  hasChanges))
    return;
  for (const auto &[Id, Observed] : State.Shards_) {
    if (isOwnedHere(State, Observed.Row_))
      addOwnedShard(Context, Observed.Row_);
    else
      removeOwnedShard(Context, Id);
  }
}

} // namespace

void removeOwnedShard(StepContext &Context, const std::string &Shard) {
  if (Context.State_.Owned_.erase(Shard) != 0)
    Context.Actions_.push_back(LostShard{Shard});
}

void handleRows(StepContext &Context, const RowsRead &Read) {
  NodeState &State = Context.State_;
  State.ReadInFlight_ = false;
  if (!Read.Ok_)
    return;
  // A row counts as unchanged only while it is being read. Otherwise all nodes
  // would claim each other's rows after a table outage.
  const bool HadReadGap =
      Read.Started_ - State.NodesRead_ >= Context.Config_.LeaseDuration_;
  if (HadReadGap)
    for (auto &[Id, Observed] : State.Nodes_)
      Observed.FirstSeen_ = Context.Now_;
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
  State.ReadDue_ = true;
  if (Done.Result_ == CommitResult::Unavailable)
    return;
  // The conflict may be with the driver's own retry of this transaction, so its
  // outcome is unknown as well.
  if (Done.Result_ == CommitResult::Conflict)
    State.ConflictAt_ = Context.Now_;
  // Drops only plain renewals: the outcome of a transaction that hands shards
  // over must be resolved.
  if (State.Unresolved_.size() >= MaxUnresolved) {
    const auto Renewal = std::find_if(
        State.Unresolved_.begin(), State.Unresolved_.end(),
        [](const PendingWrite &Earlier) { return !hasChanges(Earlier); });
    if (Renewal != State.Unresolved_.end())
      State.Unresolved_.erase(Renewal);
  }
  State.Unresolved_.push_back(Write);
}

void scheduleRead(StepContext &Context) {
  NodeState &State = Context.State_;
  const ProtocolConfig &Config = Context.Config_;
  if (State.ReadInFlight_ || State.Phase_ == Phase::Stopped)
    return;
  const bool IsFirst = State.ReadRequestedAt_ == Millis{};
  if (!IsFirst && !State.ReadDue_ &&
      Context.Now_ < State.ReadRequestedAt_ + Config.NodeReadInterval_)
    return;
  const bool WithShards =
      IsFirst || State.ReadDue_ ||
      Context.Now_ >= State.ShardReadRequestedAt_ + Config.ShardReadInterval_;
  State.ReadInFlight_ = true;
  State.ReadDue_ = false;
  State.ReadRequestedAt_ = Context.Now_;
  if (WithShards)
    State.ShardReadRequestedAt_ = Context.Now_;
  Context.Actions_.push_back(ReadRows{WithShards});
}

void sendWrite(StepContext &Context, NodeRowState RowState,
               std::vector<RowWrite> Changes) {
  NodeState &State = Context.State_;
  const bool IsJoining = State.Phase_ == Phase::Joining;
  const auto OwnRow = State.Nodes_.find(State.Id_);
  const std::int64_t ExpectedVersion = !IsJoining ? State.RowVersion_
                                       : OwnRow == State.Nodes_.end()
                                           ? 0
                                           : OwnRow->second.Version_;
  const std::int64_t LastIncarnation =
      OwnRow == State.Nodes_.end() ? 0 : OwnRow->second.Row_.Incarnation_;
  const NodeRow Row{State.Id_,
                    State.Zone_,
                    State.Address_,
                    State.Writer_,
                    IsJoining ? LastIncarnation + 1 : State.Incarnation_,
                    State.Sequence_ + 1,
                    RowState,
                    Context.Wall_ + Context.Config_.LeaseDuration_};
  for (const RowWrite &Change : Changes)
    if (const auto *Shard = std::get_if<ShardRow>(&Change.Row_))
      removeOwnedShard(Context, Shard->Id_);
  Changes.insert(Changes.begin(), RowWrite{Row, ExpectedVersion});
  State.Sequence_ += 1;
  State.InFlight_ =
      PendingWrite{State.Sequence_, Context.Now_, Context.Wall_, Changes};
  Context.Actions_.push_back(Commit{State.Sequence_, std::move(Changes)});
}

} // namespace damaskglade::ownership
