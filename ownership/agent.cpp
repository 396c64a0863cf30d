#include "ownership/agent.h"

#include "core/codec.h"
#include "core/thread.h"
#include "ownership/serial_executor.h"
#include "ownership/table_access.h"

#include <algorithm>
#include <map>
#include <random>
#include <sstream>
#include <utility>

namespace damaskglade::ownership {

namespace {

constexpr std::int64_t TicksPerRenewal = 10;
constexpr std::size_t MaxQueuedTableCalls = 4;
// Each peer has its own queue, so that an unresponsive peer delays only its own
// messages. The queue is short because old messages are useless.
constexpr std::size_t MaxQueuedMessages = 4;

std::string makeWriterId() {
  std::random_device Device;
  std::ostringstream Id;
  Id << std::hex << Device() << Device();
  return Id.str();
}

} // namespace

class Agent::Impl {
public:
  Impl(AgentOptions Options, TableStore &Table, VmList &Vms, const Clock &Time,
       SendFunction Send)
      : Options_(std::move(Options)), Table_(Table), Vms_(Vms), Time_(Time),
        Send_(std::move(Send)),
        State_(initialState(Options_.Node_, Options_.Zone_, Options_.Address_,
                            makeWriterId(), Time.monotonic())) {}
  ~Impl() { stop(); }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start();
  void stop();
  std::string handleMessage(const std::string &Message);
  std::vector<NodeInfo> nodes() const;

  /// Calls a function with the state, the wall time and the monotonic time
  /// under the lock and returns its result.
  template <typename Function> auto inspect(Function Inspect) const {
    const MutexLock Guard(Lock_);
    // The wall clock is read first: a pause between the two reads then makes
    // the remaining lease look shorter, not longer.
    const Millis Wall = Time_.wall();
    return Inspect(State_, Wall, Time_.monotonic());
  }

private:
  using EventBody = decltype(Event::Body_);

  /// Runs one protocol step and executes its actions. Returns the answer if
  /// the event is a message from a peer.
  PeerAnswer handleEvent(EventBody Body);
  void perform(const Commit &Write);
  void perform(const ReadRows &Read);
  void perform(const SendMessage &Send);
  void runTicks();
  void pollVms();
  bool waitOrStop(Millis Timeout);

  const AgentOptions Options_;
  TableStore &Table_;
  VmList &Vms_;
  const Clock &Time_;
  const SendFunction Send_;

  Mutex LifecycleLock_; ///< Held by start() and stop(); taken before Lock_.
  bool Running_ = false;
  mutable Mutex Lock_;
  Condition StateChanged_;
  bool Stopping_ = false;
  NodeState State_;
  std::unique_ptr<SerialExecutor> WriteExecutor_;
  std::unique_ptr<SerialExecutor> ReadExecutor_;
  /// By address.
  std::map<std::string, std::unique_ptr<SerialExecutor>> PeerExecutors_;
  Thread TickThread_;
  Thread VmPollThread_;
};

void Agent::Impl::start() {
  const MutexLock Guard(LifecycleLock_);
  if (Running_)
    return;
  Running_ = true;
  WriteExecutor_ = std::make_unique<SerialExecutor>(MaxQueuedTableCalls);
  ReadExecutor_ = std::make_unique<SerialExecutor>(MaxQueuedTableCalls);
  TickThread_ = Thread([this] { runTicks(); });
  VmPollThread_ = Thread([this] { pollVms(); });
}

void Agent::Impl::stop() {
  const MutexLock Guard(LifecycleLock_);
  if (!Running_)
    return;
  Running_ = false;
  handleEvent(StopRequested{});
  {
    const MutexLock StateGuard(Lock_);
    const Millis Deadline =
        Time_.monotonic() + Options_.Protocol_.LeaseDuration_;
    while (State_.Phase_ != Phase::Stopped && Time_.monotonic() < Deadline)
      StateChanged_.waitFor(Lock_, Options_.Protocol_.RenewInterval_ /
                                       TicksPerRenewal);
    Stopping_ = true;
    StateChanged_.notifyAll();
  }
  TickThread_.join();
  VmPollThread_.join();
  WriteExecutor_->finish();
  ReadExecutor_->finish();
  std::map<std::string, std::unique_ptr<SerialExecutor>> PeerExecutors;
  {
    const MutexLock StateGuard(Lock_);
    PeerExecutors.swap(PeerExecutors_);
  }
  // The destructors send the queued messages, which include the notifications
  // to the new owners.
  PeerExecutors.clear();
}

PeerAnswer Agent::Impl::handleEvent(EventBody Body) {
  const MutexLock Guard(Lock_);
  const Millis Wall = Time_.wall();
  StepResult Result =
      step(State_, Event{Time_.monotonic(), Wall, std::move(Body)},
           Options_.Protocol_);
  const bool PhaseChanged = State_.Phase_ != Result.Next_.Phase_;
  State_ = std::move(Result.Next_);
  PeerAnswer Answer;
  for (const Action &Output : Result.Actions_) {
    if (const auto *Write = std::get_if<Commit>(&Output))
      perform(*Write);
    else if (const auto *Read = std::get_if<ReadRows>(&Output))
      perform(*Read);
    else if (const auto *Send = std::get_if<SendMessage>(&Output))
      perform(*Send);
    else if (const auto *Reply = std::get_if<SendAnswer>(&Output))
      Answer = Reply->Answer_;
  }
  if (PhaseChanged)
    StateChanged_.notifyAll();
  return Answer;
}

void Agent::Impl::perform(const Commit &Write) {
  const std::string Token =
      State_.Writer_ + "-" + std::to_string(Write.Sequence_);
  WriteExecutor_->post([this, Write, Token] {
    const CommitResult Result =
        commitRows(Table_, Write, Token, Options_.Protocol_.RenewInterval_);
    handleEvent(CommitDone{Write.Sequence_, Result});
  });
}

void Agent::Impl::perform(const ReadRows &Read) {
  ReadExecutor_->post([this, Read] {
    handleEvent(readRows(Table_, Options_.Zone_, Read.Shards_,
                         Time_.monotonic(), Options_.Protocol_.RenewInterval_));
  });
}

void Agent::Impl::perform(const SendMessage &Send) {
  if (Stopping_)
    return;
  std::unique_ptr<SerialExecutor> &Executor = PeerExecutors_[Send.Address_];
  if (!Executor)
    Executor = std::make_unique<SerialExecutor>(MaxQueuedMessages);
  Executor->post([this, Send] {
    const auto Reply = Send_(Send.Address_, encodeMessage(Send.Message_));
    if (!Reply)
      return;
    const auto Answer = decodePeerAnswer(Send.Message_, Reply.value());
    if (Answer)
      handleEvent(Answer.value());
  });
}

std::string Agent::Impl::handleMessage(const std::string &Message) {
  const auto Request = decodeMessage(Message);
  if (!Request)
    return writeJson(encodeError(Request.error()));
  return encodePeerAnswer(handleEvent(Request.value()));
}

bool Agent::Impl::waitOrStop(Millis Timeout) {
  const MutexLock Guard(Lock_);
  if (!Stopping_)
    StateChanged_.waitFor(Lock_, Timeout);
  return Stopping_;
}

void Agent::Impl::runTicks() {
  do
    handleEvent(Tick{});
  while (!waitOrStop(Options_.Protocol_.RenewInterval_ / TicksPerRenewal));
}

void Agent::Impl::pollVms() {
  const Millis Interval = Options_.Protocol_.LeaseDuration_ / 2;
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
    handleEvent(Snapshot);
  } while (!waitOrStop(Interval));
}

std::vector<NodeInfo> Agent::Impl::nodes() const {
  return inspect([this](const NodeState &State, Millis Wall, Millis Now) {
    std::vector<NodeInfo> Nodes;
    for (const auto &[Id, Observed] : State.Nodes_) {
      const NodeRow &Row = Observed.Row_;
      // While the table can't be read, peers keep their last observed state.
      const bool HasLease =
          Id == State.Id_
              ? hasValidLease(State, Wall, Now)
              : !isExpired(Observed, Observed.LastSeen_, Options_.Protocol_);
      Nodes.push_back(NodeInfo{Id, Row.Zone_, Row.Address_, Row.Incarnation_,
                               Row.State_ == NodeRowState::Live && HasLease,
                               Row.State_ == NodeRowState::Released});
    }
    return Nodes;
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
        return ownership::mayStartTasks(State, Shard, Wall, Now);
      });
}

Millis Agent::grantEnd(const std::string &Shard) const {
  return Impl_->inspect(
      [&Shard](const NodeState &State, Millis Wall, Millis Now) {
        return ownership::latestStartBy(State, Shard, Wall, Now);
      });
}

std::vector<OwnedShard> Agent::ownedShards() const {
  return Impl_->inspect([](const NodeState &State, Millis, Millis) {
    std::vector<OwnedShard> Shards;
    for (const auto &[Shard, Epoch] : State.Owned_)
      Shards.push_back(OwnedShard{Shard, Epoch});
    return Shards;
  });
}

std::vector<NodeInfo> Agent::nodes() const { return Impl_->nodes(); }

std::vector<ShardInfo> Agent::shards() const {
  return Impl_->inspect([](const NodeState &State, Millis, Millis) {
    std::vector<ShardInfo> Shards;
    for (const auto &[Shard, Observed] : State.Shards_)
      Shards.push_back(
          ShardInfo{Shard, Observed.Row_.Owner_, Observed.Row_.Epoch_});
    return Shards;
  });
}

bool Agent::isReady() const {
  return Impl_->inspect([](const NodeState &State, Millis Wall, Millis Now) {
    return State.Phase_ == Phase::Member && hasValidLease(State, Wall, Now);
  });
}

} // namespace damaskglade::ownership
