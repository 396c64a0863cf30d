#include "tests/ownership/model.h"

#include <algorithm>

namespace damaskglade::ownership::model {

namespace {

const std::string ZoneName = "z";

std::string nameOf(std::size_t Node) {
  return std::string(1, static_cast<char>('a' + Node));
}

std::int64_t versionOf(const RowWrite &Write,
                       const std::map<std::string, Versioned<NodeRow>> &Nodes,
                       const std::map<std::string, Versioned<ShardRow>> &Shards,
                       const std::optional<ZoneList> &List) {
  if (const auto *Node = std::get_if<NodeRow>(&Write.Row_)) {
    const auto Found = Nodes.find(Node->Id_);
    return Found == Nodes.end() ? 0 : Found->second.Version_;
  }
  if (const auto *Shard = std::get_if<ShardRow>(&Write.Row_)) {
    const auto Found = Shards.find(Shard->Id_);
    return Found == Shards.end() ? 0 : Found->second.Version_;
  }
  return List ? List->Version_ : 0;
}

} // namespace

Model::Model(std::size_t Nodes, const std::vector<std::string> &Shards,
             const ProtocolConfig &Config)
    : Config_(Config), Shards_(Shards.begin(), Shards.end()) {
  Nodes_.resize(Nodes);
  for (std::size_t I = 0; I < Nodes; ++I)
    Nodes_[I].State_ =
        initialState(nameOf(I), ZoneName, nameOf(I), nameOf(I) + "0", Now_);
}

Millis Model::monotonicOf(const ModelNode &Node) const {
  return Now_ * Node.RatePerMille_ / 1000;
}

void Model::report(const std::string &Text) {
  if (Violation_.empty())
    Violation_ = Text + " at " + std::to_string(Now_.Value_);
}

void Model::run(Millis Time, const Decide &Decision) {
  Now_ = Now_ + Time;
  check();
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    if (!Nodes_[I].Alive_ || Nodes_[I].Paused_)
      continue;
    const std::deque<Delivery> Arrived = std::move(Nodes_[I].Inbox_);
    Nodes_[I].Inbox_.clear();
    for (const Delivery &Item : Arrived)
      arrive(Item);
    VmSnapshot Snapshot;
    Snapshot.Shards_ = Shards_;
    for (std::size_t J = 0; J < Nodes_.size(); ++J)
      if (Nodes_[J].Alive_ && Now_ >= Nodes_[J].NamedFrom_)
        Snapshot.Nodes_.insert(nameOf(J));
    feed(I, Snapshot);
    drain(Decision);
  }
}

void Model::drain(const Decide &Decision) {
  while (!Queue_.empty()) {
    const Delivery Item = Queue_.front();
    Queue_.pop_front();
    process(Item, Decision(Item));
  }
}

void Model::deliverHeld(std::size_t Index) {
  const Delivery Item = Held_[Index];
  Held_.erase(Held_.begin() + static_cast<std::ptrdiff_t>(Index));
  if (Item.Kind_ == DeliveryKind::Write)
    apply(Item.Write_.Rows_);
  else
    arrive(Item);
  drain([](const Delivery &) { return Fault::None; });
}

void Model::restart(std::size_t Node) {
  ModelNode &Target = Nodes_[Node];
  Target.Boot_ += 1;
  Target.Paused_ = false;
  Target.Inbox_.clear();
  feed(Node, Restart{nameOf(Node) + std::to_string(Target.Boot_)});
  drain([](const Delivery &) { return Fault::None; });
}

void Model::kill(std::size_t Node) {
  Nodes_[Node].Alive_ = false;
  Nodes_[Node].Inbox_.clear();
}

void Model::boot(std::size_t Node) {
  // The VM list drops a dead VM at once and names a new one late, which is
  // the most dangerous order within the lag bound.
  Nodes_[Node].Alive_ = true;
  Nodes_[Node].NamedFrom_ = Now_ + Config_.VmLag_;
  restart(Node);
}

void Model::requestStop(std::size_t Node) { feed(Node, StopRequested{}); }

void Model::process(const Delivery &Item, Fault Kind) {
  const ModelNode &From = Nodes_[Item.From_];
  if (Item.Kind_ == DeliveryKind::Write) {
    CommitResult Result = CommitResult::Unavailable;
    if (Kind == Fault::Late) {
      Held_.push_back(Item);
      Result = CommitResult::Unknown;
    } else if (!From.TableCut_ && Kind != Fault::Lose) {
      Result =
          apply(Item.Write_.Rows_) ? CommitResult::Ok : CommitResult::Conflict;
      if (Kind == Fault::LostAnswer)
        Result = CommitResult::Unknown;
    }
    feed(Item.From_, CommitDone{Item.Write_.Sequence_, Result});
    return;
  }
  Delivery Next = Item;
  if (Item.Kind_ == DeliveryKind::Read) {
    Next.Kind_ = DeliveryKind::ReadResult;
    Next.To_ = Item.From_;
    if (!From.TableCut_ && Kind != Fault::Lose)
      Next.Rows_ = readTable(Item.From_, Item.Shards_);
  } else if (Item.Kind_ != DeliveryKind::ReadResult) {
    const ModelNode &To = Nodes_[Item.To_];
    if (Kind == Fault::Lose || From.PeersCut_ || To.PeersCut_ || !To.Alive_)
      return;
  }
  if (Kind == Fault::Late)
    Held_.push_back(Next);
  else
    arrive(Next);
}

void Model::arrive(const Delivery &Item) {
  ModelNode &To = Nodes_[Item.To_];
  if (!To.Alive_)
    return;
  if (To.Paused_) {
    To.Inbox_.push_back(Item);
    return;
  }
  if (Item.Kind_ == DeliveryKind::ReadResult) {
    if (Item.Boot_ == To.Boot_)
      feed(Item.To_, Item.Rows_);
  } else if (Item.Kind_ == DeliveryKind::Request) {
    feed(Item.To_, Item.Request_);
  } else if (Item.Kind_ == DeliveryKind::Answer) {
    feed(Item.To_, Item.Answer_);
  }
}

void Model::feed(std::size_t Node, decltype(Event::Body_) Body) {
  ModelNode &Target = Nodes_[Node];
  const Millis Monotonic = monotonicOf(Target);
  const Millis Wall = wallOf(Target);
  const bool HadRight = hasRight(Target.State_, Wall, Monotonic);
  const Millis Renewed = Target.State_.TableSent_;
  StepResult Result =
      step(Target.State_, Event{Monotonic, Wall, std::move(Body)}, Config_);
  Target.State_ = std::move(Result.Next_);
  if (!HadRight && hasRight(Target.State_, Wall, Monotonic) &&
      Target.State_.TableSent_ == Renewed)
    report("node " + nameOf(Node) + " resumed an expired right");
  for (Action &Step : Result.Actions_) {
    Delivery Item;
    Item.From_ = Node;
    Item.Boot_ = Target.Boot_;
    if (auto *Write = std::get_if<Commit>(&Step)) {
      // Starts before a hand-over are covered by the epoch that the new owner
      // shows each worker before it starts anything there.
      for (const RowWrite &Row : Write->Rows_)
        if (const auto *Shard = std::get_if<ShardRow>(&Row.Row_))
          if (const auto Sent = Starts_[Shard->Id_].find(Shard->Epoch_ - 1);
              Sent != Starts_[Shard->Id_].end() && Sent->second.Node_ == Node &&
              Sent->second.Boot_ == Target.Boot_)
            Starts_[Shard->Id_].erase(Sent);
      Item.Kind_ = DeliveryKind::Write;
      Item.Write_ = std::move(*Write);
    } else if (const auto *Read = std::get_if<ReadRows>(&Step)) {
      Item.Kind_ = DeliveryKind::Read;
      Item.Shards_ = Read->Shards_;
      Item.Rows_.Started_ = Monotonic;
    } else if (auto *Send = std::get_if<SendMessage>(&Step)) {
      Item.Kind_ = DeliveryKind::Request;
      Item.To_ = static_cast<std::size_t>(Send->To_[0] - 'a');
      Item.Request_ = std::move(Send->Message_);
    } else if (auto *Reply = std::get_if<SendAnswer>(&Step)) {
      Item.Kind_ = DeliveryKind::Answer;
      Item.To_ =
          static_cast<std::size_t>(Reply->Answer_.Request_.From_[0] - 'a');
      Item.Answer_ = std::move(Reply->Answer_);
    } else {
      continue;
    }
    Queue_.push_back(std::move(Item));
  }
  check();
}

bool Model::apply(const std::vector<RowWrite> &Rows) {
  for (const RowWrite &Write : Rows)
    if (versionOf(Write, NodeRows_, ShardRows_, List_) !=
        Write.ExpectedVersion_)
      return false;
  for (const RowWrite &Write : Rows) {
    const std::int64_t Version = Write.ExpectedVersion_ + 1;
    if (const auto *Node = std::get_if<NodeRow>(&Write.Row_)) {
      NodeRows_[Node->Id_] = {*Node, Version};
    } else if (const auto *Shard = std::get_if<ShardRow>(&Write.Row_)) {
      Versioned<ShardRow> &Row = ShardRows_[Shard->Id_];
      if (Shard->Epoch_ <= Row.Row_.Epoch_)
        report("epoch of " + Shard->Id_ + " did not grow");
      Row = {*Shard, Version};
    } else if (const auto *List = std::get_if<ZoneList>(&Write.Row_)) {
      List_ = ZoneList{List->Zone_, Version, List->Nodes_};
    }
  }
  return true;
}

RowsRead Model::readTable(std::size_t Node, bool Shards) const {
  RowsRead Out;
  Out.Started_ = monotonicOf(Nodes_[Node]);
  Out.Ok_ = true;
  Out.HasShards_ = Shards;
  for (const auto &[Id, Row] : NodeRows_)
    Out.Nodes_.push_back(Row);
  if (!Shards)
    return Out;
  for (const auto &[Id, Row] : ShardRows_)
    Out.Shards_.push_back(Row);
  Out.List_ = List_;
  return Out;
}

void Model::check() {
  for (const std::string &Shard : Shards_) {
    std::map<std::int64_t, Starts> &Sent = Starts_[Shard];
    for (std::size_t I = 0; I < Nodes_.size(); ++I) {
      const ModelNode &Node = Nodes_[I];
      const Millis Wall = wallOf(Node);
      if (!Node.Alive_ || Node.Paused_ ||
          !mayGrant(Node.State_, Shard, Wall, monotonicOf(Node)))
        continue;
      const std::int64_t Epoch = Node.State_.Owned_.at(Shard);
      for (const auto &[Other, Start] : Sent)
        if (Now_ <= Start.StartBy_ &&
            (Other != Epoch || Start.Node_ != I || Start.Boot_ != Node.Boot_))
          report("node " + nameOf(I) + " grants epoch " +
                 std::to_string(Epoch) + " of " + Shard + " while node " +
                 nameOf(Start.Node_) + " or its starts of epoch " +
                 std::to_string(Other) + " are valid");
      Starts &Own = Sent[Epoch];
      Own = Starts{I, Node.Boot_,
                   std::max(Own.StartBy_, grantEnd(Node.State_, Shard, Wall,
                                                   monotonicOf(Node)))};
    }
    for (auto It = Sent.begin(); It != Sent.end();)
      It = It->second.StartBy_ < Now_ ? Sent.erase(It) : std::next(It);
  }
}

std::size_t Model::granted() const {
  std::size_t Out = 0;
  for (const ModelNode &Node : Nodes_)
    for (const auto &[Shard, Epoch] : Node.State_.Owned_)
      Out += Node.Alive_ && mayGrant(Node.State_, Shard, wallOf(Node),
                                     monotonicOf(Node))
                 ? 1
                 : 0;
  return Out;
}

std::size_t Model::listed() const { return List_ ? List_->Nodes_.size() : 0; }

} // namespace damaskglade::ownership::model
