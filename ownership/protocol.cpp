#include "ownership/protocol.h"

#include "ownership/step_context.h"

#include <algorithm>

namespace damaskglade::ownership {

namespace {

void handleVms(StepContext &Context, const VmSnapshot &Snapshot) {
  NodeState &State = Context.State_;
  State.VmShards_ = Snapshot.Shards_;
  // A VM list that lacks this live node is stale, so it gives no evidence about
  // other nodes.
  if (Snapshot.Nodes_.count(State.Id_) == 0) {
    State.VmAbsentSince_.clear();
    return;
  }
  State.VmListReadAt_ = Context.Now_;
  for (const std::string &Node : State.List_.Nodes_) {
    if (Snapshot.Nodes_.count(Node) != 0)
      State.VmAbsentSince_.erase(Node);
    else
      State.VmAbsentSince_.try_emplace(Node, Context.Now_);
  }
}

void handleStop(NodeState &State) {
  const bool HasRow =
      State.Phase_ == Phase::Member || State.Phase_ == Phase::Leaving;
  State.Phase_ = HasRow ? Phase::Leaving : Phase::Stopped;
  State.RetryAfter_ = Millis{};
}

} // namespace

NodeState initialState(const std::string &Id, const std::string &Zone,
                       const std::string &Address, const std::string &Writer,
                       Millis Monotonic) {
  NodeState State;
  State.Id_ = Id;
  State.Zone_ = Zone;
  State.Address_ = Address;
  State.Writer_ = Writer;
  State.Started_ = Monotonic;
  State.List_.Zone_ = Zone;
  return State;
}

StepResult step(const NodeState &State, const Event &Input,
                const ProtocolConfig &Config) {
  StepResult Result{State, {}};
  StepContext Context{Result.Next_, Input.Monotonic_, Input.Wall_, Config,
                      Result.Actions_};
  if (const auto *Start = std::get_if<Restart>(&Input.Body_))
    Result.Next_ = initialState(State.Id_, State.Zone_, State.Address_,
                                Start->Writer_, Input.Monotonic_);
  else if (const auto *Done = std::get_if<CommitDone>(&Input.Body_))
    handleCommit(Context, *Done);
  else if (const auto *Read = std::get_if<RowsRead>(&Input.Body_))
    handleRows(Context, *Read);
  else if (const auto *Request = std::get_if<PeerMessage>(&Input.Body_))
    handleRequest(Context, *Request);
  else if (const auto *Answer = std::get_if<PeerAnswer>(&Input.Body_))
    handleAnswer(Context, *Answer);
  else if (const auto *Vms = std::get_if<VmSnapshot>(&Input.Body_))
    handleVms(Context, *Vms);
  else if (std::holds_alternative<StopRequested>(Input.Body_))
    handleStop(Result.Next_);
  requestPromises(Context);
  planWrite(Context);
  scheduleRead(Context);
  return Result;
}

bool hasValidLease(const NodeState &State, Millis Wall, Millis Monotonic) {
  return Monotonic < State.LeaseExpiry_ && Wall < State.LeaseExpiryWall_;
}

bool mayStartTasks(const NodeState &State, const std::string &Shard,
                   Millis Wall, Millis Monotonic) {
  return hasValidLease(State, Wall, Monotonic) &&
         State.Owned_.count(Shard) != 0;
}

Millis latestStartBy(const NodeState &State, const std::string &Shard,
                     Millis Wall, Millis Monotonic) {
  if (!mayStartTasks(State, Shard, Wall, Monotonic))
    return Millis{};
  // Setting the wall clock back after a renewal must not extend the lease.
  return std::min(State.LeaseExpiryWall_,
                  Wall + (State.LeaseExpiry_ - Monotonic));
}

} // namespace damaskglade::ownership
