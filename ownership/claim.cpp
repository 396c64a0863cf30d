#include "ownership/assign.h"
#include "ownership/step_context.h"

#include <algorithm>

namespace damaskglade::ownership {

namespace {

// The own row, a fenced row and the zone list take part as well.
constexpr std::size_t MaxShardWrites = MaxTransactionWrites - 3;

bool isLivePeer(const StepContext &Context, const SeenNode &Seen) {
  return Seen.Row_.Zone_ == Context.State_.Zone_ &&
         Seen.Row_.Id_ != Context.State_.Id_ &&
         Seen.Row_.State_ == NodeRowState::Live &&
         !isExpired(Seen, Context.Now_, Context.Config_);
}

bool isOwnZone(const StepContext &Context, const std::string &Shard) {
  const std::string &Zone = Context.State_.Zone_;
  return Shard.size() > Zone.size() && Shard[Zone.size()] == '/' &&
         Shard.compare(0, Zone.size(), Zone) == 0;
}

// Shards of live nodes of the zone, this one included unless it leaves.
ShardCounts countShards(const StepContext &Context) {
  const NodeState &State = Context.State_;
  ShardCounts Counts;
  for (const auto &[Id, Seen] : State.Nodes_)
    if (isLivePeer(Context, Seen))
      Counts[Id] = 0;
  if (State.Phase_ == Phase::Member)
    Counts[State.Id_] = 0;
  for (const auto &[Id, Seen] : State.Shards_) {
    const auto Owner = Counts.find(Seen.Row_.Owner_);
    if (isOwnZone(Context, Id) && Owner != Counts.end())
      Owner->second += 1;
  }
  return Counts;
}

// True if the owner's incarnation has ended by a write to its node row, so
// that it can have no right any more.
bool isOrphan(const NodeState &State, const ShardRow &Row) {
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

std::vector<std::string> findOrphans(StepContext &Context) {
  NodeState &State = Context.State_;
  std::vector<std::string> Out;
  for (const auto &[Id, Seen] : State.Shards_)
    if (isOwnZone(Context, Id) && isOrphan(State, Seen.Row_))
      Out.push_back(Id);
  for (const std::string &Id : State.VmShards_)
    if (State.Shards_.count(Id) == 0)
      Out.push_back(Id);
  std::map<std::string, Millis> Since;
  for (const std::string &Id : Out) {
    const auto Known = State.UnownedSince_.find(Id);
    Since[Id] =
        Known == State.UnownedSince_.end() ? Context.Now_ : Known->second;
  }
  State.UnownedSince_ = std::move(Since);
  return Out;
}

// Write that gives the shard to a node; to nobody if the name is empty.
RowWrite giveShard(const StepContext &Context, const std::string &Shard,
                   const std::string &Node) {
  const NodeState &State = Context.State_;
  const auto Seen = State.Shards_.find(Shard);
  const std::int64_t Version =
      Seen == State.Shards_.end() ? 0 : Seen->second.Version_;
  const std::int64_t Epoch =
      Seen == State.Shards_.end() ? 0 : Seen->second.Row_.Epoch_;
  std::int64_t Incarnation = State.Incarnation_;
  if (Node != State.Id_) {
    const auto Peer = State.Nodes_.find(Node);
    Incarnation =
        Peer == State.Nodes_.end() ? 0 : Peer->second.Row_.Incarnation_;
  }
  return RowWrite{ShardRow{Shard, Node, Incarnation, Epoch + 1}, Version};
}

std::vector<RowWrite>
giveShards(const StepContext &Context,
           const std::map<std::string, std::string> &Targets) {
  std::vector<RowWrite> Out;
  for (const auto &[Shard, Node] : Targets)
    if (Out.size() < MaxShardWrites)
      Out.push_back(giveShard(Context, Shard, Node));
  return Out;
}

std::vector<std::string> shardsOf(const StepContext &Context,
                                  const std::string &Node,
                                  std::int64_t Incarnation) {
  std::vector<std::string> Out;
  for (const auto &[Id, Seen] : Context.State_.Shards_)
    if (Seen.Row_.Owner_ == Node && Seen.Row_.Incarnation_ == Incarnation)
      Out.push_back(Id);
  return Out;
}

// Claims of several peers at once would conflict, so they take turns, those
// with the fewest shards first.
Millis claimDelay(const StepContext &Context, const std::string &Target) {
  ShardCounts Counts = countShards(Context);
  Counts.erase(Target);
  const std::size_t Own = Counts.at(Context.State_.Id_);
  const auto Ahead =
      std::count_if(Counts.begin(), Counts.end(), [&](const auto &Entry) {
        return Entry.second < Own ||
               (Entry.second == Own && Entry.first < Context.State_.Id_);
      });
  return Context.Config_.ClaimStagger_ * Ahead;
}

std::vector<RowWrite> planFence(StepContext &Context) {
  NodeState &State = Context.State_;
  const ProtocolConfig &Config = Context.Config_;
  for (auto &[Id, Seen] : State.Nodes_) {
    if (Seen.Row_.Zone_ != State.Zone_ || Id == State.Id_ ||
        Seen.Row_.State_ != NodeRowState::Live ||
        Context.Now_ < Seen.FirstSeen_ + Config.Lease_ ||
        Context.Now_ > Seen.LastSeen_ + Config.Lease_ / 2)
      continue;
    const Millis Delay = claimDelay(Context, Id);
    // Consents are collected while the margin passes.
    if (Context.Now_ < Seen.FirstSeen_ + Config.Lease_ + Delay)
      continue;
    if (!Config.Faults_.SkipConsent_)
      askConsents(Context, Id);
    if (Context.Now_ <
            Seen.FirstSeen_ + Config.Lease_ + claimMargin(Config) + Delay ||
        !hasConsents(Context, Id))
      continue;
    std::vector<RowWrite> Changes = giveShards(
        Context, assignShards(shardsOf(Context, Id, Seen.Row_.Incarnation_),
                              countShards(Context)));
    NodeRow Fenced = Seen.Row_;
    Fenced.State_ = NodeRowState::Fenced;
    Changes.push_back(RowWrite{Fenced, Seen.Version_});
    return Changes;
  }
  return {};
}

// The list that should replace the current one; the same if none should.
std::vector<std::string> wantedList(const StepContext &Context) {
  const NodeState &State = Context.State_;
  std::vector<std::string> Nodes = State.List_.Nodes_;
  if (!isListed(State.List_, State.Id_)) {
    Nodes.push_back(State.Id_);
    std::sort(Nodes.begin(), Nodes.end());
    return Nodes;
  }
  // One node makes the change, the first live one.
  for (const std::string &Node : Nodes) {
    if (Node == State.Id_)
      break;
    const auto Peer = State.Nodes_.find(Node);
    if (Peer != State.Nodes_.end() && isLivePeer(Context, Peer->second))
      return Nodes;
  }
  for (auto It = Nodes.begin(); It != Nodes.end(); ++It) {
    const auto Peer = State.Nodes_.find(*It);
    if (*It == State.Id_ || Peer == State.Nodes_.end() || !isGone(Context, *It))
      continue;
    // A released node may be about to return after an upgrade.
    if (Context.Now_ < Peer->second.FirstSeen_ + Context.Config_.VmLag_)
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
  const std::vector<std::string> Wanted = wantedList(Context);
  // A node that consented to a change that never came about can't promise
  // under the old list any more. Writing the same list again frees it.
  const bool Stuck = State.MinListVersion_ > State.List_.Version_ &&
                     Context.Now_ >= State.ListFrozen_ + Context.Config_.Lease_;
  if (Wanted == State.List_.Nodes_ && !Stuck)
    return {};
  askListConsents(Context);
  if (!hasListConsents(Context))
    return {};
  return {RowWrite{ZoneList{State.Zone_, 0, Wanted}, State.List_.Version_}};
}

std::vector<RowWrite> planOrphans(StepContext &Context) {
  NodeState &State = Context.State_;
  std::vector<std::string> Orphans = findOrphans(Context);
  std::map<std::string, std::string> Targets =
      assignShards(Orphans, countShards(Context));
  for (auto It = Targets.begin(); It != Targets.end();) {
    // The node that should claim may not know the shard, if the VM list does
    // not answer it.
    const bool Patient = Context.Now_ < State.UnownedSince_.at(It->first) +
                                            Context.Config_.Lease_;
    if (It->second != State.Id_ && Patient) {
      It = Targets.erase(It);
      continue;
    }
    It->second = State.Id_;
    ++It;
  }
  return giveShards(Context, Targets);
}

std::vector<RowWrite> planHandOver(StepContext &Context) {
  const NodeState &State = Context.State_;
  std::vector<std::string> Owned;
  for (const auto &[Shard, Epoch] : State.Owned_)
    Owned.push_back(Shard);
  return giveShards(Context, movesFrom(State.Id_, Owned, countShards(Context)));
}

void planMember(StepContext &Context) {
  NodeState &State = Context.State_;
  std::vector<RowWrite> Changes;
  // Changes wait for a valid right, for the outcome of earlier transactions
  // and for rows read after a conflict.
  if (hasRight(State, Context.Wall_, Context.Now_) &&
      State.Unresolved_.empty() && State.ShardsRead_ != Millis{} &&
      State.ShardsRead_ >= State.Conflict_) {
    Changes = planFence(Context);
    if (Changes.empty())
      Changes = planListChange(Context);
    if (Changes.empty())
      Changes = planOrphans(Context);
    if (Changes.empty())
      Changes = planHandOver(Context);
  }
  if (Changes.empty() &&
      Context.Now_ < State.TableSent_ + Context.Config_.RenewInterval_)
    return;
  sendWrite(Context, NodeRowState::Live, std::move(Changes));
}

void planJoin(StepContext &Context) {
  NodeState &State = Context.State_;
  if (State.ShardsRead_ == Millis{} || State.NodesRead_ < State.Conflict_)
    return;
  const auto Own = State.Nodes_.find(State.Id_);
  if (Own != State.Nodes_.end() &&
      Own->second.Row_.State_ == NodeRowState::Live) {
    // The right of an earlier process of this node may still be valid, or
    // starts that it sent may be under way.
    if (!Context.Config_.Faults_.SkipConsent_)
      askConsents(Context, State.Id_);
    if (!isExpired(Own->second, Context.Now_, Context.Config_) ||
        !hasConsents(Context, State.Id_))
      return;
  }
  std::vector<RowWrite> Changes;
  if (State.List_.Version_ == 0)
    Changes.push_back(RowWrite{ZoneList{State.Zone_, 0, {State.Id_}}, 0});
  sendWrite(Context, NodeRowState::Live, std::move(Changes));
}

// Gives everything to live peers and releases the row in one transaction, or
// in several if there are too many shards for one.
void planStop(StepContext &Context) {
  NodeState &State = Context.State_;
  const std::vector<std::string> Shards =
      shardsOf(Context, State.Id_, State.Incarnation_);
  std::map<std::string, std::string> Targets =
      assignShards(Shards, countShards(Context));
  if (Targets.empty())
    for (const std::string &Shard : Shards)
      Targets[Shard] = "";
  std::vector<RowWrite> Changes = giveShards(Context, Targets);
  const bool Last = Changes.size() == Shards.size();
  sendWrite(Context, Last ? NodeRowState::Released : NodeRowState::Live,
            std::move(Changes));
}

} // namespace

bool isExpired(const SeenNode &Node, Millis Now, const ProtocolConfig &Config) {
  return Now >= Node.FirstSeen_ + Config.Lease_ + claimMargin(Config);
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
