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

void Model::reportViolation(const std::string &Text) {
  if (Violation_.empty())
    Violation_ = Text + " at " + std::to_string(Now_.Value_);
}

void Model::run(Millis Time, const FaultSelector &SelectFault) {
  Now_ = Now_ + Time;
  checkInvariants();
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    if (!Nodes_[I].Alive_ || Nodes_[I].Paused_)
      continue;
    const std::deque<Delivery> Arrived = std::move(Nodes_[I].Inbox_);
    Nodes_[I].Inbox_.clear();
    for (const Delivery &Item : Arrived)
      deliver(Item);
    VmSnapshot Snapshot;
    Snapshot.Shards_ = Shards_;
    for (std::size_t J = 0; J < Nodes_.size(); ++J)
      if (Nodes_[J].Alive_ && Now_ >= Nodes_[J].VmListedFrom_)
        Snapshot.Nodes_.insert(nameOf(J));
    handleEvent(I, Snapshot);
    processQueue(SelectFault);
  }
}

void Model::processQueue(const FaultSelector &SelectFault) {
  while (!Queue_.empty()) {
    const Delivery Item = Queue_.front();
    Queue_.pop_front();
    processDelivery(Item, SelectFault(Item));
  }
}

void Model::deliverDelayed(std::size_t Index) {
  const Delivery Item = Delayed_[Index];
  Delayed_.erase(Delayed_.begin() + static_cast<std::ptrdiff_t>(Index));
  if (Item.Kind_ == DeliveryKind::Write)
    applyTransaction(Item.Write_.Rows_);
  else
    deliver(Item);
  processQueue([](const Delivery &) { return Fault::None; });
}

void Model::restart(std::size_t Node) {
  ModelNode &Target = Nodes_[Node];
  Target.BootCount_ += 1;
  Target.Paused_ = false;
  Target.Inbox_.clear();
  handleEvent(Node, Restart{nameOf(Node) + std::to_string(Target.BootCount_)});
  processQueue([](const Delivery &) { return Fault::None; });
}

void Model::kill(std::size_t Node) {
  Nodes_[Node].Alive_ = false;
  Nodes_[Node].Inbox_.clear();
}

void Model::boot(std::size_t Node) {
  // The VM list drops a dead VM at once and includes a new one late, which is
  // the most dangerous order within the permitted staleness.
  Nodes_[Node].Alive_ = true;
  Nodes_[Node].VmListedFrom_ = Now_ + Config_.VmListLag_;
  restart(Node);
}

void Model::requestStop(std::size_t Node) {
  handleEvent(Node, StopRequested{});
}

void Model::processDelivery(const Delivery &Item, Fault InjectedFault) {
  const ModelNode &From = Nodes_[Item.From_];
  if (Item.Kind_ == DeliveryKind::Write) {
    CommitResult Result = CommitResult::Unavailable;
    if (InjectedFault == Fault::Delayed) {
      Delayed_.push_back(Item);
      Result = CommitResult::Unknown;
    } else if (!From.TableUnreachable_ && InjectedFault != Fault::Dropped) {
      Result = applyTransaction(Item.Write_.Rows_) ? CommitResult::Ok
                                                   : CommitResult::Conflict;
      if (InjectedFault == Fault::AnswerLost)
        Result = CommitResult::Unknown;
    }
    handleEvent(Item.From_, CommitDone{Item.Write_.Sequence_, Result});
    return;
  }
  Delivery Delayable = Item;
  if (Item.Kind_ == DeliveryKind::Read) {
    Delayable.Kind_ = DeliveryKind::ReadResult;
    Delayable.To_ = Item.From_;
    if (!From.TableUnreachable_ && InjectedFault != Fault::Dropped)
      Delayable.Rows_ = readTable(Item.From_, Item.Shards_);
  } else if (Item.Kind_ != DeliveryKind::ReadResult) {
    const ModelNode &To = Nodes_[Item.To_];
    if (InjectedFault == Fault::Dropped || From.PeersUnreachable_ ||
        To.PeersUnreachable_ || !To.Alive_)
      return;
  }
  if (InjectedFault == Fault::Delayed)
    Delayed_.push_back(Delayable);
  else
    deliver(Delayable);
}

void Model::deliver(const Delivery &Item) {
  ModelNode &To = Nodes_[Item.To_];
  if (!To.Alive_)
    return;
  if (To.Paused_) {
    To.Inbox_.push_back(Item);
    return;
  }
  if (Item.Kind_ == DeliveryKind::ReadResult) {
    if (Item.BootCount_ == To.BootCount_)
      handleEvent(Item.To_, Item.Rows_);
  } else if (Item.Kind_ == DeliveryKind::Request) {
    handleEvent(Item.To_, Item.Request_);
  } else if (Item.Kind_ == DeliveryKind::Answer) {
    handleEvent(Item.To_, Item.Answer_);
  }
}

void Model::handleEvent(std::size_t Node, decltype(Event::Body_) Body) {
  ModelNode &Target = Nodes_[Node];
  const Millis Monotonic = monotonicOf(Target);
  const Millis Wall = wallOf(Target);
  const bool HadLease = hasValidLease(Target.State_, Wall, Monotonic);
  const Millis RenewalBefore = Target.State_.RenewalSent_;
  StepResult Result =
      step(Target.State_, Event{Monotonic, Wall, std::move(Body)}, Config_);
  Target.State_ = std::move(Result.Next_);
  if (!HadLease && hasValidLease(Target.State_, Wall, Monotonic) &&
      Target.State_.RenewalSent_ == RenewalBefore)
    reportViolation("node " + nameOf(Node) + " renewed an expired lease");
  for (Action &Output : Result.Actions_) {
    Delivery Item;
    Item.From_ = Node;
    Item.BootCount_ = Target.BootCount_;
    if (auto *Write = std::get_if<Commit>(&Output)) {
      // Starts sent before a handover do no harm: the new owner presents its
      // epoch to each worker before it starts anything there.
      for (const RowWrite &Row : Write->Rows_)
        if (const auto *Shard = std::get_if<ShardRow>(&Row.Row_))
          if (const auto Sent = SentStarts_[Shard->Id_].find(Shard->Epoch_ - 1);
              Sent != SentStarts_[Shard->Id_].end() &&
              Sent->second.Node_ == Node &&
              Sent->second.BootCount_ == Target.BootCount_)
            SentStarts_[Shard->Id_].erase(Sent);
      Item.Kind_ = DeliveryKind::Write;
      Item.Write_ = std::move(*Write);
    } else if (const auto *Read = std::get_if<ReadRows>(&Output)) {
      Item.Kind_ = DeliveryKind::Read;
      Item.Shards_ = Read->Shards_;
      Item.Rows_.Started_ = Monotonic;
    } else if (auto *Send = std::get_if<SendMessage>(&Output)) {
      Item.Kind_ = DeliveryKind::Request;
      Item.To_ = static_cast<std::size_t>(Send->To_[0] - 'a');
      Item.Request_ = std::move(Send->Message_);
    } else if (auto *Reply = std::get_if<SendAnswer>(&Output)) {
      Item.Kind_ = DeliveryKind::Answer;
      Item.To_ =
          static_cast<std::size_t>(Reply->Answer_.Request_.From_[0] - 'a');
      Item.Answer_ = std::move(Reply->Answer_);
    } else {
      continue;
    }
    Queue_.push_back(std::move(Item));
  }
  checkInvariants();
}

bool Model::applyTransaction(const std::vector<RowWrite> &Rows) {
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
        reportViolation("epoch of " + Shard->Id_ + " did not grow");
      Row = {*Shard, Version};
    } else if (const auto *List = std::get_if<ZoneList>(&Write.Row_)) {
      List_ = ZoneList{List->Zone_, Version, List->Nodes_};
    }
  }
  return true;
}

RowsRead Model::readTable(std::size_t Node, bool Shards) const {
  RowsRead Read;
  Read.Started_ = monotonicOf(Nodes_[Node]);
  Read.Ok_ = true;
  Read.HasShards_ = Shards;
  for (const auto &[Id, Row] : NodeRows_)
    Read.Nodes_.push_back(Row);
  if (!Shards)
    return Read;
  for (const auto &[Id, Row] : ShardRows_)
    Read.Shards_.push_back(Row);
  Read.List_ = List_;
  return Read;
}

void Model::checkInvariants() {
  for (const std::string &Shard : Shards_) {
    std::map<std::int64_t, SentStarts> &ShardStarts = SentStarts_[Shard];
    for (std::size_t I = 0; I < Nodes_.size(); ++I) {
      const ModelNode &Node = Nodes_[I];
      const Millis Wall = wallOf(Node);
      if (!Node.Alive_ || Node.Paused_ ||
          !mayStartTasks(Node.State_, Shard, Wall, monotonicOf(Node)))
        continue;
      const std::int64_t Epoch = Node.State_.Owned_.at(Shard);
      for (const auto &[OtherEpoch, Start] : ShardStarts)
        if (Now_ <= Start.StartBy_ &&
            (OtherEpoch != Epoch || Start.Node_ != I ||
             Start.BootCount_ != Node.BootCount_))
          reportViolation("node " + nameOf(I) + " grants epoch " +
                          std::to_string(Epoch) + " of " + Shard +
                          " while node " + nameOf(Start.Node_) +
                          " or its starts of epoch " +
                          std::to_string(OtherEpoch) + " are valid");
      SentStarts &Current = ShardStarts[Epoch];
      Current = SentStarts{
          I, Node.BootCount_,
          std::max(Current.StartBy_,
                   latestStartBy(Node.State_, Shard, Wall, monotonicOf(Node)))};
    }
    for (auto It = ShardStarts.begin(); It != ShardStarts.end();)
      It = It->second.StartBy_ < Now_ ? ShardStarts.erase(It) : std::next(It);
  }
}

std::size_t Model::countStartableShards() const {
  std::size_t Count = 0;
  for (const ModelNode &Node : Nodes_)
    for (const auto &[Shard, Epoch] : Node.State_.Owned_)
      Count += Node.Alive_ && mayStartTasks(Node.State_, Shard, wallOf(Node),
                                            monotonicOf(Node))
                   ? 1
                   : 0;
  return Count;
}

std::size_t Model::countListedNodes() const {
  return List_ ? List_->Nodes_.size() : 0;
}

} // namespace damaskglade::ownership::model
