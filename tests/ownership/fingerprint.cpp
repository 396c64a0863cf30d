#include "tests/ownership/model.h"

#include <algorithm>

namespace damaskglade::ownership::model {

namespace {

// Time differences beyond this don't matter to the protocol with the explorer's
// configuration.
constexpr std::int64_t MaxAge = 24;

using NodeRows = std::map<std::string, Versioned<NodeRow>>;

/// Writes the state of one node, with times relative to its clocks, and
/// versions of node rows and sequence numbers relative to the current ones.
class FingerprintEncoder {
public:
  FingerprintEncoder(std::string &Text, const NodeRows &Table,
                     const std::vector<ModelNode> &Nodes)
      : Text_(Text), Table_(Table), Nodes_(Nodes) {}

  Millis Now_;
  Millis Wall_;

  void number(std::int64_t Value) {
    Text_.append(std::to_string(Value)).push_back(',');
  }
  void text(const std::string &Value) { Text_.append(Value).push_back(','); }
  void time(Millis Value) { relative(Value, Now_); }
  void wall(Millis Value) { relative(Value, Wall_); }
  void times(const std::map<std::string, Millis> &Values) {
    number(static_cast<std::int64_t>(Values.size()));
    for (const auto &[Name, Value] : Values) {
      text(Name);
      time(Value);
    }
  }
  void nodeVersion(const std::string &Id, std::int64_t Version) {
    const auto Found = Table_.find(Id);
    number(Found == Table_.end() ? Version : Version - Found->second.Version_);
  }
  void row(const NodeRow &Row) {
    const NodeState &Owner =
        Nodes_[static_cast<std::size_t>(Row.Id_[0] - 'a')].State_;
    text(Row.Id_);
    text(Row.Writer_);
    number(Row.Incarnation_);
    number(Row.Writer_ == Owner.Writer_ ? Row.Sequence_ - Owner.Sequence_ : 1);
    number(static_cast<std::int64_t>(Row.State_));
  }
  void row(const ShardRow &Row) {
    text(Row.Id_);
    text(Row.Owner_);
    number(Row.Incarnation_);
    number(Row.Epoch_);
  }
  void row(const ZoneList &List) {
    number(List.Version_);
    for (const std::string &Node : List.Nodes_)
      text(Node);
  }
  void writes(const std::vector<RowWrite> &Rows) {
    for (const RowWrite &Write : Rows) {
      std::visit([this](const auto &Row) { row(Row); }, Write.Row_);
      if (const auto *Node = std::get_if<NodeRow>(&Write.Row_))
        nodeVersion(Node->Id_, Write.ExpectedVersion_);
      else
        number(Write.ExpectedVersion_);
    }
  }
  void message(const PeerMessage &Message) {
    number(static_cast<std::int64_t>(Message.Kind_));
    text(Message.From_ + Message.Writer_ + Message.Target_);
    time(Message.Sent_);
    wall(Message.SentWall_);
    row(Message.List_);
  }
  void delivery(const Delivery &Item) {
    number(static_cast<std::int64_t>(Item.Kind_));
    number(static_cast<std::int64_t>(Item.From_));
    number(static_cast<std::int64_t>(Item.To_));
    number(Item.BootCount_);
    writes(Item.Write_.Rows_);
    time(Item.Rows_.Started_);
    number(Item.Rows_.Ok_ ? 1 : 0);
    number(Item.Rows_.HasShards_ ? 1 : 0);
    for (const auto &Node : Item.Rows_.Nodes_) {
      row(Node.Row_);
      nodeVersion(Node.Row_.Id_, Node.Version_);
    }
    for (const auto &Shard : Item.Rows_.Shards_)
      row(Shard.Row_);
    row(Item.Rows_.List_.value_or(ZoneList{}));
    message(Item.Request_);
    message(Item.Answer_.Request_);
    text(Item.Answer_.From_);
    number(Item.Answer_.Granted_ ? 1 : 0);
    row(Item.Answer_.List_);
  }
  void state(const NodeState &State);

private:
  void relative(Millis Value, Millis Base) {
    if (Value == Millis{})
      text("-");
    else
      number(std::min((Base - Value).Value_, MaxAge));
  }

  std::string &Text_;
  const NodeRows &Table_;
  const std::vector<ModelNode> &Nodes_;
};

void FingerprintEncoder::state(const NodeState &State) {
  text(State.Writer_);
  number(static_cast<std::int64_t>(State.Phase_));
  number(State.Incarnation_);
  nodeVersion(State.Id_, State.RowVersion_);
  for (const auto &[Shard, Epoch] : State.Owned_) {
    text(Shard);
    number(Epoch);
  }
  for (const Millis Value :
       {State.Started_, State.Joined_, State.RenewalSent_, State.LeaseExpiry_,
        State.PromisesRequestedAt_, State.ListConsentsRequestedAt_,
        State.ListFrozenAt_, State.ListRead_, State.NodesRead_,
        State.ShardsRead_, State.RetryAfter_, State.ConflictAt_,
        State.ReadRequestedAt_, State.ShardReadRequestedAt_,
        State.VmListReadAt_})
    time(Value);
  wall(State.LeaseExpiryWall_);
  for (const auto &[Peer, Request] : State.PromisesReceived_) {
    text(Peer);
    message(Request);
  }
  for (const auto *Values : {&State.PromisesGiven_, &State.ConsentsGiven_,
                             &State.ConsentsRequestedAt_, &State.UnownedSince_,
                             &State.VmAbsentSince_})
    times(*Values);
  for (const auto &[Target, Consents] : State.ClaimConsents_) {
    text(Target);
    times(Consents);
  }
  for (const std::string &Node : State.ListConsents_)
    text(Node);
  number(State.MinListVersion_);
  row(State.List_);
  for (const auto &[Id, Observed] : State.Nodes_) {
    row(Observed.Row_);
    nodeVersion(Id, Observed.Version_);
    time(Observed.FirstSeen_);
    time(Observed.LastSeen_);
  }
  for (const auto &[Id, Observed] : State.Shards_) {
    row(Observed.Row_);
    number(Observed.Version_);
  }
  if (State.InFlight_) {
    text("write");
    time(State.InFlight_->Sent_);
    writes(State.InFlight_->Rows_);
  }
  for (const PendingWrite &Write : State.Unresolved_) {
    text("unresolved");
    time(Write.Sent_);
    writes(Write.Rows_);
  }
  number(State.ReadInFlight_ ? 1 : 0);
  number(State.ReadDue_ ? 1 : 0);
}

} // namespace

std::string Model::fingerprint() const {
  std::string Text;
  FingerprintEncoder Encode(Text, NodeRows_, Nodes_);
  for (const ModelNode &Node : Nodes_) {
    Encode.Now_ = monotonicOf(Node);
    Encode.Wall_ = wallOf(Node);
    for (const bool Flag : {Node.Alive_, Node.Paused_, Node.TableUnreachable_,
                            Node.PeersUnreachable_})
      Encode.number(Flag ? 1 : 0);
    Encode.time(Node.VmListedFrom_);
    Encode.state(Node.State_);
    for (const Delivery &Item : Node.Inbox_)
      Encode.delivery(Item);
  }
  Encode.Now_ = Now_;
  Encode.Wall_ = Now_;
  for (const Delivery &Item : Delayed_)
    Encode.delivery(Item);
  for (const auto &[Id, Row] : NodeRows_)
    Encode.row(Row.Row_);
  for (const auto &[Id, Row] : ShardRows_)
    Encode.row(Row.Row_);
  Encode.row(List_.value_or(ZoneList{}));
  for (const auto &[Shard, ShardStarts] : SentStarts_)
    for (const auto &[Epoch, Start] : ShardStarts) {
      Encode.number(Epoch);
      Encode.number(static_cast<std::int64_t>(Start.Node_));
      Encode.number(Start.BootCount_);
      Encode.time(Start.StartBy_);
    }
  return Text;
}

} // namespace damaskglade::ownership::model
