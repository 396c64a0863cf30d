#include "ownership/agent.h"

#include "core/codec.h"
#include "core/thread.h"
#include "ownership/lane.h"
#include "ownership/table_access.h"

#include <algorithm>
#include <map>
#include <random>
#include <sstream>
#include <utility>

namespace damaskglade::ownership {

namespace {

constexpr std::int64_t TicksPerRenewal = 10;
constexpr std::size_t MaxTableCalls = 4;
// A peer that does not answer holds up only messages to itself, and old ones
// are of no use.
constexpr std::size_t MaxMessages = 4;

std::string makeWriter() {
  std::random_device Source;
  std::ostringstream Out;
  Out << std::hex << Source() << Source();
  return Out.str();
}

} // namespace

class Agent::Impl {
public:
  Impl(AgentOptions Options, TableStore &Table, VmList &Vms, const Clock &Time,
       SendFunction Send)
      : Options_(std::move(Options)), Table_(Table), Vms_(Vms), Time_(Time),
        Send_(std::move(Send)),
        State_(initialState(Options_.Node_, Options_.Zone_, Options_.Address_,
                            makeWriter(), Time.monotonic())) {}
  ~Impl() { stop(); }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start();
  void stop();
  std::string handleMessage(const std::string &Message);
  std::vector<NodeInfo> nodes() const;

  /// Result of a function of the state and the wall and monotonic time.
  template <typename Function> auto inspect(Function Read) const {
    const MutexLock Guard(Lock_);
    // The wall time comes first: a pause between the two makes the right look
    // shorter, not longer.
    const Millis Wall = Time_.wall();
    return Read(State_, Wall, Time_.monotonic());
  }

private:
  using EventBody = decltype(Event::Body_);

  /// Runs one step. Returns the answer if the event is a peer's message.
  PeerAnswer handle(EventBody Body);
  void perform(const Commit &Write);
  void perform(const ReadRows &Read);
  void perform(const SendMessage &Send);
  void runTicks();
  void pollVms();
  bool waitOrStop(Millis Time);

  const AgentOptions Options_;
  TableStore &Table_;
  VmList &Vms_;
  const Clock &Time_;
  const SendFunction Send_;

  Mutex Lifecycle_; ///< Held by start() and stop(); taken before Lock_.
  bool Running_ = false;
  mutable Mutex Lock_;
  Condition Changed_;
  bool Stopping_ = false;
  NodeState State_;
  std::unique_ptr<Lane> Writes_;
  std::unique_ptr<Lane> Reads_;
  std::map<std::string, std::unique_ptr<Lane>> Messages_; ///< By address.
  Thread Ticks_;
  Thread VmPolls_;
};

void Agent::Impl::start() {
  const MutexLock Guard(Lifecycle_);
  if (Running_)
    return;
  Running_ = true;
  Writes_ = std::make_unique<Lane>(MaxTableCalls);
  Reads_ = std::make_unique<Lane>(MaxTableCalls);
  Ticks_ = Thread([this] { runTicks(); });
  VmPolls_ = Thread([this] { pollVms(); });
}

void Agent::Impl::stop() {
  const MutexLock Guard(Lifecycle_);
  if (!Running_)
    return;
  Running_ = false;
  handle(StopRequested{});
  {
    const MutexLock StateGuard(Lock_);
    const Millis End = Time_.monotonic() + Options_.Protocol_.Lease_;
    while (State_.Phase_ != Phase::Stopped && Time_.monotonic() < End)
      Changed_.waitFor(Lock_,
                       Options_.Protocol_.RenewInterval_ / TicksPerRenewal);
    Stopping_ = true;
    Changed_.notifyAll();
  }
  Ticks_.join();
  VmPolls_.join();
  Writes_->finish();
  Reads_->finish();
  std::map<std::string, std::unique_ptr<Lane>> Messages;
  {
    const MutexLock StateGuard(Lock_);
    Messages.swap(Messages_);
  }
  // Runs the waiting messages, the hints to the new owners among them.
  Messages.clear();
}

PeerAnswer Agent::Impl::handle(EventBody Body) {
  const MutexLock Guard(Lock_);
  const Millis Wall = Time_.wall();
  StepResult Result =
      step(State_, Event{Time_.monotonic(), Wall, std::move(Body)},
           Options_.Protocol_);
  const bool Ended = State_.Phase_ != Result.Next_.Phase_;
  State_ = std::move(Result.Next_);
  PeerAnswer Answer;
  for (const Action &Step : Result.Actions_) {
    if (const auto *Write = std::get_if<Commit>(&Step))
      perform(*Write);
    else if (const auto *Read = std::get_if<ReadRows>(&Step))
      perform(*Read);
    else if (const auto *Send = std::get_if<SendMessage>(&Step))
      perform(*Send);
    else if (const auto *Reply = std::get_if<SendAnswer>(&Step))
      Answer = Reply->Answer_;
  }
  if (Ended)
    Changed_.notifyAll();
  return Answer;
}

void Agent::Impl::perform(const Commit &Write) {
  const std::string Token =
      State_.Writer_ + "-" + std::to_string(Write.Sequence_);
  Writes_->post([this, Write, Token] {
    const CommitResult Result =
        commitRows(Table_, Write, Token, Options_.Protocol_.RenewInterval_);
    handle(CommitDone{Write.Sequence_, Result});
  });
}

void Agent::Impl::perform(const ReadRows &Read) {
  Reads_->post([this, Read] {
    handle(readRows(Table_, Options_.Zone_, Read.Shards_, Time_.monotonic(),
                    Options_.Protocol_.RenewInterval_));
  });
}

void Agent::Impl::perform(const SendMessage &Send) {
  if (Stopping_)
    return;
  std::unique_ptr<Lane> &Line = Messages_[Send.Address_];
  if (!Line)
    Line = std::make_unique<Lane>(MaxMessages);
  Line->post([this, Send] {
    const auto Reply = Send_(Send.Address_, encodeMessage(Send.Message_));
    if (!Reply)
      return;
    const auto Answer = decodePeerAnswer(Send.Message_, Reply.value());
    if (Answer)
      handle(Answer.value());
  });
}

std::string Agent::Impl::handleMessage(const std::string &Message) {
  const auto Request = decodeMessage(Message);
  if (!Request)
    return writeJson(encodeError(Request.error()));
  return encodePeerAnswer(handle(Request.value()));
}

bool Agent::Impl::waitOrStop(Millis Time) {
  const MutexLock Guard(Lock_);
  if (!Stopping_)
    Changed_.waitFor(Lock_, Time);
  return Stopping_;
}

void Agent::Impl::runTicks() {
  do
    handle(Tick{});
  while (!waitOrStop(Options_.Protocol_.RenewInterval_ / TicksPerRenewal));
}

void Agent::Impl::pollVms() {
  const Millis Interval = Options_.Protocol_.Lease_ / 2;
  do {
    const auto Entries = Vms_.list(Options_.Protocol_.RenewInterval_);
    if (!Entries)
      continue;
    VmSnapshot Snapshot;
    for (const VmEntry &Vm : Entries.value()) {
      if (Vm.Zone_ != Options_.Zone_)
        continue;
      if (Vm.IsWorker_)
        Snapshot.Shards_.insert(shardOf(Vm));
      else
        Snapshot.Nodes_.insert(Vm.Id_);
    }
    handle(Snapshot);
  } while (!waitOrStop(Interval));
}

std::vector<NodeInfo> Agent::Impl::nodes() const {
  return inspect([this](const NodeState &State, Millis Wall, Millis Now) {
    std::vector<NodeInfo> Out;
    for (const auto &[Id, Seen] : State.Nodes_) {
      const NodeRow &Row = Seen.Row_;
      // While the table can't be read, nodes keep the state last seen.
      const bool Valid = Id == State.Id_ ? hasRight(State, Wall, Now)
                                         : !isExpired(Seen, Seen.LastSeen_,
                                                      Options_.Protocol_);
      Out.push_back(NodeInfo{Id, Row.Zone_, Row.Address_, Row.Incarnation_,
                             Row.State_ == NodeRowState::Live && Valid,
                             Row.State_ == NodeRowState::Released});
    }
    return Out;
  });
}

Agent::Agent(AgentOptions Options, TableStore &Table, VmList &Vms,
             const Clock &Time, SendFunction Send)
    : Impl_(std::make_unique<Impl>(std::move(Options), Table, Vms, Time,
                                   std::move(Send))) {}

Agent::~Agent() = default;

void Agent::start() { Impl_->start(); }

void Agent::stop() { Impl_->stop(); }

std::string Agent::handleMessage(const std::string &Message) {
  return Impl_->handleMessage(Message);
}

std::int64_t Agent::incarnation() const {
  return Impl_->inspect([](const NodeState &State, Millis, Millis) {
    return State.Incarnation_;
  });
}

bool Agent::mayGrant(const std::string &Shard) const {
  return Impl_->inspect(
      [&Shard](const NodeState &State, Millis Wall, Millis Now) {
        return ownership::mayGrant(State, Shard, Wall, Now);
      });
}

Millis Agent::grantEnd(const std::string &Shard) const {
  return Impl_->inspect(
      [&Shard](const NodeState &State, Millis Wall, Millis Now) {
        return ownership::grantEnd(State, Shard, Wall, Now);
      });
}

std::vector<OwnedShard> Agent::ownedShards() const {
  return Impl_->inspect([](const NodeState &State, Millis, Millis) {
    std::vector<OwnedShard> Out;
    for (const auto &[Shard, Epoch] : State.Owned_)
      Out.push_back(OwnedShard{Shard, Epoch});
    return Out;
  });
}

std::vector<NodeInfo> Agent::nodes() const { return Impl_->nodes(); }

std::vector<ShardInfo> Agent::shards() const {
  return Impl_->inspect([](const NodeState &State, Millis, Millis) {
    std::vector<ShardInfo> Out;
    for (const auto &[Shard, Seen] : State.Shards_)
      Out.push_back(ShardInfo{Shard, Seen.Row_.Owner_, Seen.Row_.Epoch_});
    return Out;
  });
}

bool Agent::isReady() const {
  return Impl_->inspect([](const NodeState &State, Millis Wall, Millis Now) {
    return State.Phase_ == Phase::Member && hasRight(State, Wall, Now);
  });
}

} // namespace damaskglade::ownership
