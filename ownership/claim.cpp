#include "ownership/assign.h"
#include "ownership/step_context.h"

#include <algorithm>

namespace damaskglade::ownership {

namespace {

// A transaction may also write the own row, a fenced row and the zone list.
constexpr std::size_t MaxShardWrites = MaxTransactionWrites - 3;

bool isLivePeer(const StepContext &Context, const ObservedNode &Observed) {
  return Observed.Row_.Zone_ == Context.State_.Zone_ &&
         Observed.Row_.Id_ != Context.State_.Id_ &&
         Observed.Row_.State_ == NodeRowState::Live &&
         !isExpired(Observed, Context.Now_, Context.Config_);
}

bool isInOwnZone(const StepContext &Context, const std::string &Shard) {
  const std::string &Zone = Context.State_.Zone_;
  return Shard.size() > Zone.size() && Shard[Zone.size()] == '/' &&
         Shard.compare(0, Zone.size(), Zone) == 0;
}

// Counts the shards of the live nodes of the zone. Includes this node only
// while it is a member.
ShardCounts countShards(const StepContext &Context) {
  const NodeState &State = Context.State_;
  ShardCounts Counts;
  for (const auto &[Id, Observed] : State.Nodes_)
    if (isLivePeer(Context, Observed))
      Counts[Id] = 0;
  if (State.Phase_ == Phase::Member)
    Counts[State.Id_] = 0;
  for (const auto &[Id, Observed] : State.Shards_) {
    const auto Owner = Counts.find(Observed.Row_.Owner_);
    if (isInOwnZone(Context, Id) && Owner != Counts.end())
      Owner->second += 1;
  }
  return Counts;
}

// True if the shard has no owner, or a write to the owner's node row has ended
// its incarnation, so that its lease is over.
bool isUnowned(const NodeState &State, const ShardRow &Row) {
  if (Row.Owner_.empty())
    return true;
  const auto Owner = State.Nodes_.find(Row.Owner_);
  if (Owner == State.Nodes_.end())
    return false;
  const NodeRow &Node = Owner->second.Row_;
  return Node.Incarnation_ > Row.Incarnation_ ||
         (Node.Incarnation_ == Row.Incarnation_ &&
          Node.State_ != NodeRowState::Live);
}

std::vector<std::string> findUnownedShards(StepContext &Context) {
  NodeState &State = Context.State_;
  std::vector<std::string> Unowned;
  for (const auto &[Id, Observed] : State.Shards_)
    if (isInOwnZone(Context, Id) && isUnowned(State, Observed.Row_))
      Unowned.push_back(Id);
  for (const std::string &Id : State.VmShards_)
    if (State.Shards_.count(Id) == 0)
      Unowned.push_back(Id);
  std::map<std::string, Millis> UnownedSince;
  for (const std::string &Id : Unowned) {
    const auto Found = State.UnownedSince_.find(Id);
    UnownedSince[Id] =
        Found == State.UnownedSince_.end() ? Context.Now_ : Found->second;
  }
  State.UnownedSince_ = std::move(UnownedSince);
  return Unowned;
}

// Write that assigns the shard to a node, or to none if the name is empty.
RowWrite makeShardWrite(const StepContext &Context, const std::string &Shard,
                        const std::string &Node) {
  const NodeState &State = Context.State_;
  const auto Observed = State.Shards_.find(Shard);
  const std::int64_t Version =
      Observed == State.Shards_.end() ? 0 : Observed->second.Version_;
  const std::int64_t Epoch =
      Observed == State.Shards_.end() ? 0 : Observed->second.Row_.Epoch_;
  std::int64_t Incarnation = State.Incarnation_;
  if (Node != State.Id_) {
    const auto Peer = State.Nodes_.find(Node);
    Incarnation =
        Peer == State.Nodes_.end() ? 0 : Peer->second.Row_.Incarnation_;
  }
  return RowWrite{ShardRow{Shard, Node, Incarnation, Epoch + 1}, Version};
}

std::vector<RowWrite>
makeShardWrites(const StepContext &Context,
                const std::map<std::string, std::string> &Targets) {
  std::vector<RowWrite> Writes;
  for (const auto &[Shard, Node] : Targets)
    if (Writes.size() < MaxShardWrites)
      Writes.push_back(makeShardWrite(Context, Shard, Node));
  return Writes;
}

std::vector<std::string> shardsOf(const StepContext &Context,
                                  const std::string &Node,
                                  std::int64_t Incarnation) {
  std::vector<std::string> Shards;
  for (const auto &[Id, Observed] : Context.State_.Shards_)
    if (Observed.Row_.Owner_ == Node &&
        Observed.Row_.Incarnation_ == Incarnation)
      Shards.push_back(Id);
  return Shards;
}

// Concurrent claims by several peers would conflict, so claims are staggered:
// nodes with the fewest shards claim first.
Millis claimDelay(const StepContext &Context, const std::string &Target) {
  ShardCounts Counts = countShards(Context);
  Counts.erase(Target);
  const std::size_t OwnCount = Counts.at(Context.State_.Id_);
  const auto NodesAhead =
      std::count_if(Counts.begin(), Counts.end(), [&](const auto &Entry) {
        return Entry.second < OwnCount ||
               (Entry.second == OwnCount && Entry.first < Context.State_.Id_);
      });
  return Context.Config_.ClaimStagger_ * NodesAhead;
}

std::vector<RowWrite> planTakeover(StepContext &Context) {
  NodeState &State = Context.State_;
  const ProtocolConfig &Config = Context.Config_;
  for (auto &[Id, Observed] : State.Nodes_) {
    if (Observed.Row_.Zone_ != State.Zone_ || Id == State.Id_ ||
        Observed.Row_.State_ != NodeRowState::Live ||
        Context.Now_ < Observed.FirstSeen_ + Config.LeaseDuration_ ||
        Context.Now_ > Observed.LastSeen_ + Config.LeaseDuration_ / 2)
      continue;
    const Millis Delay = claimDelay(Context, Id);
    // Requests the consents before the claim margin has passed, so that they
    // are there when it has.
    if (Context.Now_ < Observed.FirstSeen_ + Config.LeaseDuration_ + Delay)
      continue;
    if (!Config.Faults_.SkipConsent_)
      requestConsents(Context, Id);
    if (Context.Now_ < Observed.FirstSeen_ + Config.LeaseDuration_ +
                           claimMargin(Config) + Delay ||
        !hasConsents(Context, Id))
      continue;
    std::vector<RowWrite> Changes = makeShardWrites(
        Context, assignShards(shardsOf(Context, Id, Observed.Row_.Incarnation_),
                              countShards(Context)));
    NodeRow Fenced = Observed.Row_;
    Fenced.State_ = NodeRowState::Fenced;
    Changes.push_back(RowWrite{Fenced, Observed.Version_});
    return Changes;
  }
  return {};
}

// The list that should replace the current one, or the current one if no
// change is due.
std::vector<std::string> targetList(const StepContext &Context) {
  const NodeState &State = Context.State_;
  std::vector<std::string> Nodes = State.List_.Nodes_;
  if (!isListed(State.List_, State.Id_)) {
    Nodes.push_back(State.Id_);
    std::sort(Nodes.begin(), Nodes.end());
    return Nodes;
  }
  // Only the first live node in the list removes others.
  for (const std::string &Node : Nodes) {
    if (Node == State.Id_)
      break;
    const auto Peer = State.Nodes_.find(Node);
    if (Peer != State.Nodes_.end() && isLivePeer(Context, Peer->second))
      return Nodes;
  }
  for (auto It = Nodes.begin(); It != Nodes.end(); ++It) {
    const auto Peer = State.Nodes_.find(*It);
    if (*It == State.Id_ || Peer == State.Nodes_.end() ||
        !isInactive(Context, *It))
      continue;
    // A released node may return after an upgrade.
    if (Context.Now_ < Peer->second.FirstSeen_ + Context.Config_.VmListLag_)
      continue;
    Nodes.erase(It);
    return Nodes;
  }
  return Nodes;
}

std::vector<RowWrite> planListChange(StepContext &Context) {
  NodeState &State = Context.State_;
  if (State.List_.Version_ == 0)
    return {};
  const std::vector<std::string> TargetNodes = targetList(Context);
  // A node that consented to a list change can't give promises under the old
  // list any more. If the change never took effect, writing the same list again
  // with a new version unblocks the node.
  const bool FrozenTooLong =
      State.MinListVersion_ > State.List_.Version_ &&
      Context.Now_ >= State.ListFrozenAt_ + Context.Config_.LeaseDuration_;
  if (TargetNodes == State.List_.Nodes_ && !FrozenTooLong)
    return {};
  requestListConsents(Context);
  if (!hasListConsents(Context))
    return {};
  return {
      RowWrite{ZoneList{State.Zone_, 0, TargetNodes}, State.List_.Version_}};
}

std::vector<RowWrite> planUnowned(StepContext &Context) {
  NodeState &State = Context.State_;
  std::vector<std::string> Unowned = findUnownedShards(Context);
  std::map<std::string, std::string> Targets =
      assignShards(Unowned, countShards(Context));
  for (auto It = Targets.begin(); It != Targets.end();) {
    // The assigned node may not know the shard if it can't read the VM list, so
    // this node claims it after one lease duration.
    const bool WithinGrace = Context.Now_ < State.UnownedSince_.at(It->first) +
                                                Context.Config_.LeaseDuration_;
    if (It->second != State.Id_ && WithinGrace) {
      It = Targets.erase(It);
      continue;
    }
    It->second = State.Id_;
    ++It;
  }
  return makeShardWrites(Context, Targets);
}

std::vector<RowWrite> planHandOver(StepContext &Context) {
  const NodeState &State = Context.State_;
  std::vector<std::string> Owned;
  for (const auto &[Shard, Epoch] : State.Owned_)
    Owned.push_back(Shard);
  return makeShardWrites(Context,
                         planMoves(State.Id_, Owned, countShards(Context)));
}

void planMember(StepContext &Context) {
  NodeState &State = Context.State_;
  std::vector<RowWrite> Changes;
  // Changes other than a renewal require a valid lease, known outcomes of all
  // earlier transactions, and rows read after the last conflict.
  if (hasValidLease(State, Context.Wall_, Context.Now_) &&
      State.Unresolved_.empty() && State.ShardsRead_ != Millis{} &&
      State.ShardsRead_ >= State.ConflictAt_) {
    Changes = planTakeover(Context);
    if (Changes.empty())
      Changes = planListChange(Context);
    if (Changes.empty())
      Changes = planUnowned(Context);
    if (Changes.empty())
      Changes = planHandOver(Context);
  }
  if (Changes.empty() &&
      Context.Now_ < State.RenewalSent_ + Context.Config_.RenewInterval_)
    return;
  sendWrite(Context, NodeRowState::Live, std::move(Changes));
}

void planJoin(StepContext &Context) {
  NodeState &State = Context.State_;
  if (State.ShardsRead_ == Millis{} || State.NodesRead_ < State.ConflictAt_)
    return;
  const auto OwnRow = State.Nodes_.find(State.Id_);
  if (OwnRow != State.Nodes_.end() &&
      OwnRow->second.Row_.State_ == NodeRowState::Live) {
    // The lease of an earlier process of this node may still be valid, or task
    // starts that it sent may be in flight.
    if (!Context.Config_.Faults_.SkipConsent_)
      requestConsents(Context, State.Id_);
    if (!isExpired(OwnRow->second, Context.Now_, Context.Config_) ||
        !hasConsents(Context, State.Id_))
      return;
  }
  std::vector<RowWrite> Changes;
  if (State.List_.Version_ == 0)
    Changes.push_back(RowWrite{ZoneList{State.Zone_, 0, {State.Id_}}, 0});
  sendWrite(Context, NodeRowState::Live, std::move(Changes));
}

// Assigns all own shards to live peers and releases the node row, in one
// transaction or, if the shards exceed its size limit, in several.
void planStop(StepContext &Context) {
  NodeState &State = Context.State_;
  const std::vector<std::string> Shards =
      shardsOf(Context, State.Id_, State.Incarnation_);
  std::map<std::string, std::string> Targets =
      assignShards(Shards, countShards(Context));
  if (Targets.empty())
    for (const std::string &Shard : Shards)
      Targets[Shard] = "";
  std::vector<RowWrite> Changes = makeShardWrites(Context, Targets);
  const bool ReleasesAll = Changes.size() == Shards.size();
  sendWrite(Context, ReleasesAll ? NodeRowState::Released : NodeRowState::Live,
            std::move(Changes));
}

} // namespace

bool isExpired(const ObservedNode &Node, Millis Now,
               const ProtocolConfig &Config) {
  return Now >= Node.FirstSeen_ + Config.LeaseDuration_ + claimMargin(Config);
}

void planWrite(StepContext &Context) {
  const NodeState &State = Context.State_;
  if (State.InFlight_ || Context.Now_ < State.RetryAfter_)
    return;
  switch (State.Phase_) {
  case Phase::Joining:
    planJoin(Context);
    break;
  case Phase::Member:
    planMember(Context);
    break;
  case Phase::Leaving:
    planStop(Context);
    break;
  case Phase::Stopped:
    break;
  }
}

} // namespace damaskglade::ownership
