#include "tests/cell/fake_cell.h"

#include "cell/worker_batch.h"
#include "core/codec.h"

#include <algorithm>

namespace damaskglade::fakes {

namespace {

constexpr Millis RegistryDelay{5};
constexpr Millis PeerDelay{1};
constexpr Millis WorkerDelay{1};
constexpr Millis StoreTimeout{1500};
constexpr Millis WorkerTimeout{700};

Error refused(const std::string &Step) {
  return Error{
      Reason::ConnectFailed, Effect::None, Step, "fake", "refused", {}};
}

Error timeout(const std::string &Step) {
  return Error{Reason::Timeout, Effect::Unknown, Step, "fake", "no answer", {}};
}

} // namespace

void FakeLoop::run(Millis Time) {
  const Millis End = Now_ + Time;
  while (!Tasks_.empty() && Tasks_.begin()->first.first <= End) {
    const auto First = Tasks_.begin();
    Now_ = std::max(Now_, First->first.first);
    const auto Task = std::move(First->second);
    Tasks_.erase(First);
    Task();
  }
  Now_ = End;
}

bool FakeLoop::runUntil(Millis Time, const std::function<bool()> &Done) {
  const Millis End = Now_ + Time;
  while (!Done() && Now_ < End)
    run(Millis{1});
  return Done();
}

TransactionOutcome FakeStoreState::apply(const RowTransaction &Transaction) {
  TransactionOutcome Outcome;
  Outcome.Applied_ = true;
  for (const RowCondition &Condition : Transaction.Conditions_) {
    const auto Existing = Rows_.find(Condition.Name_);
    StoredRow Row;
    Row.Name_ = Condition.Name_;
    if (Existing != Rows_.end())
      Row = Existing->second;
    Outcome.Applied_ = Outcome.Applied_ && Row.Version_ == Condition.Version_;
    if (Row.Version_ != 0 || !OmitsAbsentRows_)
      Outcome.Current_.push_back(Row);
  }
  if (!Outcome.Applied_)
    return Outcome;
  Outcome.Current_.clear();
  Outcome.Version_ = ++Version_;
  ++Writes_;
  RowTransaction Written = Transaction;
  if (ChangeWrites_)
    ChangeWrites_(Written);
  write(Written);
  return Outcome;
}

bool FakeStoreState::rejects(const RowTransaction &Transaction) const {
  std::set<std::string> Parts;
  for (const RowCondition &Condition : Transaction.Conditions_)
    Parts.insert(Condition.Name_.Partition_);
  for (const RowPut &Put : Transaction.Puts_)
    Parts.insert(Put.Name_.Partition_);
  for (const RowName &Name : Transaction.Removes_)
    Parts.insert(Name.Partition_);
  return std::any_of(Parts.begin(), Parts.end(), [&](const std::string &Part) {
    return RejectedParts_.count(Part) > 0;
  });
}

void FakeStoreState::write(const RowTransaction &Transaction) {
  for (const RowPut &Put : Transaction.Puts_)
    Rows_[Put.Name_] = StoredRow{Put.Name_, Put.Value_, Version_};
  for (const RowName &Name : Transaction.Removes_)
    Rows_.erase(Name);
}

void FakeStore::transact(const RowTransaction &Transaction,
                         std::function<void(Result<TransactionOutcome>)> Done) {
  if (Disconnected_)
    return;
  Loop_.after(StoreState_.Delay_, [this, Transaction, Done] {
    if (StoreState_.rejects(Transaction))
      return Done(Error{
          Reason::TableUnavailable, Effect::None, "write", "fake", "503", {}});
    switch (StoreState_.StoreModes_[Node_]) {
    case StoreMode::Healthy: {
      TransactionOutcome Outcome = StoreState_.apply(Transaction);
      Outcome.StoreClock_ = Loop_.monotonic() + StoreState_.ClockOffset_;
      return Done(std::move(Outcome));
    }
    case StoreMode::Rejects:
      return Done(Error{
          Reason::TableUnavailable, Effect::None, "write", "fake", "503", {}});
    case StoreMode::LosesReplies:
      StoreState_.apply(Transaction);
      break;
    case StoreMode::TimesOut:
      break;
    }
    Loop_.after(StoreTimeout, [Done] { Done(timeout("write")); });
  });
}

void FakeStore::read(const RowRange &Range,
                     std::function<void(Result<RowPage>)> Done) {
  if (Disconnected_)
    return;
  Loop_.after(StoreState_.Delay_, [this, Range, Done] {
    const StoreMode Mode = StoreState_.StoreModes_[Node_];
    if (Mode == StoreMode::Rejects ||
        StoreState_.RejectedParts_.count(Range.Partition_) > 0)
      return Done(Error{
          Reason::TableUnavailable, Effect::None, "read", "fake", "503", {}});
    const bool IsTooLarge =
        StoreState_.MaxPageRows_ > 0 && Range.Limit_ > StoreState_.MaxPageRows_;
    const bool IsBlocked = StoreState_.NodesWithoutJobReads_.count(Node_) > 0 &&
                           Range.Table_ == cell::JobsTable;
    if (Mode == StoreMode::TimesOut || IsTooLarge || IsBlocked) {
      Loop_.after(StoreTimeout, [Done] { Done(timeout("read")); });
      return;
    }
    RowPage Page;
    Page.Version_ = StoreState_.Version_;
    Page.StoreClock_ = Loop_.monotonic() + StoreState_.ClockOffset_;
    for (const auto &[Name, Row] : StoreState_.Rows_) {
      if (Name.Table_ != Range.Table_ || Name.Partition_ != Range.Partition_ ||
          Name.Key_ < Range.FirstKey_)
        continue;
      if (Page.Rows_.size() == StoreState_.PageRows_) {
        Page.HasMore_ = true;
        break;
      }
      Page.Rows_.push_back(Row);
    }
    Done(std::move(Page));
  });
}

void FakeConfigs::next(std::function<void(Result<ConfigRead>)> Done) {
  constexpr Millis LongestWait{1000};
  poll(Loop_.monotonic() + LongestWait, Done);
}

void FakeConfigs::poll(Millis Until,
                       const std::function<void(Result<ConfigRead>)> &Done) {
  Loop_.after(StoreState_.Delay_, [this, Until, Done] {
    if (Disconnected_)
      return;
    const StoreMode Mode = StoreState_.StoreModes_[Node_];
    if (Mode == StoreMode::Rejects)
      return Processor_.run(0, [Done] {
        Done(Error{Reason::TableUnavailable, Effect::None, "follow", "fake",
                   "503"});
      });
    if (Mode == StoreMode::TimesOut)
      return Loop_.after(StoreTimeout, [this, Done] {
        Processor_.run(0, [Done] { Done(timeout("follow")); });
      });
    ConfigRead Read;
    Read.HistoryLost_ = StoreState_.NodesWithLostHistory_.erase(Node_) > 0;
    if (Read.HistoryLost_ ||
        StoreState_.Configs_.back()->Version_ > LastVersion_)
      Read.Config_ = StoreState_.Configs_.back();
    constexpr Millis PollInterval{20};
    if (!Read.Config_ && Loop_.monotonic() < Until)
      return Loop_.after(PollInterval,
                         [this, Until, Done] { poll(Until, Done); });
    if (!Read.Config_)
      return Processor_.run(0, [Done, Read] { Done(Read); });
    LastVersion_ = Read.Config_->Version_;
    receive(ConfigParts, [Done, Read] { Done(Read); });
  });
}

void FakeConfigs::receive(int Parts, const std::function<void()> &Done) {
  Processor_.run(ConfigCost / ConfigParts, [this, Parts, Done] {
    if (Parts == 1)
      return Done();
    // The next part has arrived by then, and waits behind what is ready.
    Loop_.after(Millis{}, [this, Parts, Done] { receive(Parts - 1, Done); });
  });
}

Result<SharedConfig> FakeConfigs::decode(const std::string &Text) const {
  for (const SharedConfig &Config : StoreState_.Configs_)
    if (Config->Text_ == Text)
      return Config;
  return invalidField("decode configuration", "", "is not known");
}

bool FakeFleet::isRunning(const std::string &Task, Millis Now) const {
  return std::any_of(Workers_.begin(), Workers_.end(), [&](const auto &Entry) {
    return Entry.second.Running_.count(Task) > 0 &&
           Entry.second.clock(Now) <= Entry.second.LeaseEnd_;
  });
}

FakeWorkerState *FakeWorkerClient::findReachable(const WorkerTarget &Worker) {
  const auto Entry = Fleet_.Workers_.find(Worker.Worker_);
  if (Entry == Fleet_.Workers_.end() || !Entry->second.Reachable_ ||
      Entry->second.CutOff_ || Entry->second.BackAt_ > Loop_.monotonic() ||
      !IsReachable_(Worker.Worker_))
    return nullptr;
  FakeWorkerState &State = Entry->second;
  if (State.clock(Loop_.monotonic()) > State.LeaseEnd_) {
    const auto RunningTasks = State.Running_;
    for (const auto &[Task, Attempt] : RunningTasks)
      end(State, Task, TaskEnd::LeaseExpired);
  }
  return &State;
}

void FakeWorkerState::extendLeases(Millis End, Millis Now) {
  constexpr Millis LongestLease{10000};
  LeaseEnd_ = std::max(LeaseEnd_, std::min(End, clock(Now) + LongestLease));
}

bool FakeWorkerClient::isDelayed(const WorkerTarget &Worker, Millis Timeout,
                                 const std::function<void()> &Call) {
  const Millis BackAt = Fleet_.Workers_[Worker.Worker_].BackAt_;
  const Millis Now = Loop_.monotonic();
  if (BackAt <= Now || BackAt > Now + Timeout || !IsReachable_(Worker.Worker_))
    return false;
  Loop_.after(BackAt - Now, Call);
  return true;
}

template <typename Handler>
void FakeWorkerClient::fail(const std::string &Id, const std::string &Step,
                            const Handler &Done, Millis Wait) {
  const bool Refuses = Fleet_.Workers_[Id].Refuses_ && IsReachable_(Id);
  Loop_.after(
      Refuses ? WorkerDelay : WorkerTimeout + Wait,
      [Done, Refuses, Step] { Done(Refuses ? refused(Step) : timeout(Step)); });
}

void FakeWorkerClient::end(FakeWorkerState &Worker, const std::string &Task,
                           TaskEnd Cause) {
  const std::int64_t Attempt = Worker.Running_[Task];
  Worker.Running_.erase(Task);
  Worker.HighestAttempt_[Task] =
      std::max(Worker.HighestAttempt_[Task], Attempt);
  Worker.Ended_.push_back(
      EndedTask{++Worker.LastEndNumber_, Task, Attempt, Cause, ""});
}

template <typename Handler, typename Reply>
void FakeWorkerClient::deliver(const FakeWorkerState &Worker,
                               const Handler &Done, const Reply &Written) {
  const Millis Now = Loop_.monotonic();
  if (Worker.RepliesHeldUntil_ <= Now)
    return Done(Written);
  Loop_.after(Worker.RepliesHeldUntil_ - Now,
              [Done, Written] { Done(Written); });
}

void FakeWorkerClient::start(const WorkerTarget &Worker,
                             const StartOrder &Order, OrderHandler Done) {
  Loop_.after(WorkerDelay, [this, Worker, Order, Done] {
    if (isDelayed(Worker, WorkerTimeout,
                  [this, Worker, Order, Done] { start(Worker, Order, Done); }))
      return;
    FakeWorkerState *Target = findReachable(Worker);
    if (!Target)
      return fail(Worker.Worker_, "start", Done);
    if (!Target->isMeant(Worker))
      return Done(OrderReply{OrderOutcome::Restarted, Millis{}});
    if (Target->StartDelay_ > Millis{}) {
      Loop_.after(Target->StartDelay_, [this, Worker, Order] {
        FakeWorkerState &Later = Fleet_.Workers_[Worker.Worker_];
        if (Later.BackAt_ <= Loop_.monotonic() && !Later.Refuses_)
          carryOut(Later, Worker, Order);
      });
      return fail(Worker.Worker_, "start", Done);
    }
    const OrderReply Reply = carryOut(*Target, Worker, Order);
    if (Target->LosesStartReplies_ && Reply.Outcome_ == OrderOutcome::Done)
      Loop_.after(WorkerTimeout, [Done] { Done(timeout("start")); });
    else
      deliver(*Target, Done, Reply);
  });
}

OrderReply FakeWorkerClient::carryOut(FakeWorkerState &Target,
                                      const WorkerTarget &Worker,
                                      const StartOrder &Order) {
  OrderReply Reply{OrderOutcome::Done, Target.clock(Loop_.monotonic())};
  if (Worker.FencingToken_ < Target.HighestEpoch_)
    Reply.Outcome_ = OrderOutcome::Fenced;
  else if (Target.HighestAttempt_[Order.Task_] >= Order.Attempt_)
    Reply.Outcome_ = OrderOutcome::Superseded;
  else if (Order.LeaseEnd_ <= Reply.Clock_)
    Reply.Outcome_ = OrderOutcome::TooLate;
  if (Reply.Outcome_ != OrderOutcome::Done)
    return Reply;
  Target.HighestEpoch_ = Worker.FencingToken_;
  Target.extendLeases(Order.LeaseEnd_, Loop_.monotonic());
  if (Target.Running_.count(Order.Task_) > 0)
    return Reply;
  if (Fleet_.isRunning(Order.Task_, Loop_.monotonic()))
    Fleet_.ConcurrentRuns_.push_back(Order.Task_);
  if (Fleet_.AcknowledgedTasks_.count(Order.Task_) > 0)
    Fleet_.StartedAfterAcknowledgement_.push_back(Order.Task_);
  Target.Running_[Order.Task_] = Order.Attempt_;
  ++Fleet_.Starts_[Order.Task_];
  // The payload is the duration of the task in milliseconds.
  const Millis Duration{std::atoll(Order.Payload_.c_str())};
  const std::string Id = Worker.Worker_;
  const std::int64_t WorkerStart = Target.ProcessStart_;
  Loop_.after(Duration, [this, Id, WorkerStart, Order] {
    FakeWorkerState &State = Fleet_.Workers_[Id];
    const auto RunningTask = State.Running_.find(Order.Task_);
    if (State.ProcessStart_ != WorkerStart ||
        RunningTask == State.Running_.end() ||
        RunningTask->second != Order.Attempt_)
      return;
    const bool Expired = State.clock(Loop_.monotonic()) > State.LeaseEnd_;
    end(State, Order.Task_, Expired ? TaskEnd::LeaseExpired : TaskEnd::Done);
  });
  return Reply;
}

void FakeWorkerClient::stop(const WorkerTarget &Worker, const std::string &Task,
                            std::int64_t Attempt, OrderHandler Done) {
  Loop_.after(WorkerDelay, [this, Worker, Task, Attempt, Done] {
    FakeWorkerState *Target = findReachable(Worker);
    if (!Target)
      return fail(Worker.Worker_, "stop", Done);
    const Millis WorkerClock = Target->clock(Loop_.monotonic());
    if (!Target->isMeant(Worker))
      return Done(OrderReply{OrderOutcome::Restarted, Millis{}});
    if (Worker.FencingToken_ < Target->HighestEpoch_)
      return Done(OrderReply{OrderOutcome::Fenced, WorkerClock});
    Target->HighestEpoch_ = Worker.FencingToken_;
    Target->HighestAttempt_[Task] =
        std::max(Target->HighestAttempt_[Task], Attempt);
    const auto RunningTask = Target->Running_.find(Task);
    if (RunningTask != Target->Running_.end() && RunningTask->second <= Attempt)
      end(*Target, Task, TaskEnd::Stopped);
    if (Target->LosesStopReplies_)
      Loop_.after(WorkerTimeout, [Done] { Done(timeout("stop")); });
    else
      deliver(*Target, Done, OrderReply{OrderOutcome::Done, WorkerClock});
  });
}

void FakeWorkerClient::poll(const WorkerTarget &Worker,
                            const PollRequest &Request,
                            std::function<void(Result<PollReply>)> Done) {
  Loop_.after(WorkerDelay, [this, Worker, Request, Done] {
    if (isDelayed(
            Worker, Request.Wait_ + WorkerTimeout,
            [this, Worker, Request, Done] { poll(Worker, Request, Done); }))
      return;
    FakeWorkerState *Target = findReachable(Worker);
    if (!Target)
      return fail(Worker.Worker_, "look", Done, Request.Wait_);
    if (Worker.FencingToken_ < Target->HighestEpoch_) {
      PollReply FencedReply;
      FencedReply.Outcome_ = OrderOutcome::Fenced;
      return Done(FencedReply);
    }
    Target->HighestEpoch_ = Worker.FencingToken_;
    const PollRequest Asked = Target->isMeant(Worker) ? Request : PollRequest{};
    Target->extendLeases(Asked.LeaseEnd_, Loop_.monotonic());
    if (Asked.LastRecordedEnd_ > Target->LastEndNumber_)
      ++Fleet_.ForeignAcknowledgements_;
    for (const EndedTask &Ended : Target->Ended_)
      if (Ended.SequenceNumber_ <= Asked.LastRecordedEnd_ &&
          Ended.End_ == TaskEnd::Done)
        Fleet_.AcknowledgedTasks_.insert(Ended.Task_);
    std::erase_if(Target->Ended_, [&](const EndedTask &Ended) {
      return Ended.SequenceNumber_ <= Asked.LastRecordedEnd_;
    });
    if (Target->LosesPollReplies_) {
      Loop_.after(Asked.Wait_ + WorkerTimeout,
                  [Done] { Done(timeout("look")); });
      return;
    }
    sendPollReply(std::make_shared<const OpenPoll>(
        OpenPoll{Worker.Worker_, Target->ProcessStart_,
                 Loop_.monotonic() + Asked.Wait_, Done}));
  });
}

void FakeWorkerClient::sendPollReply(
    const std::shared_ptr<const OpenPoll> &Poll) {
  const FakeWorkerState &Worker = Fleet_.Workers_[Poll->Worker_];
  constexpr Millis PollInterval{5};
  if (Worker.Ended_.empty() && Loop_.monotonic() < Poll->Deadline_ &&
      !Worker.Refuses_) {
    Loop_.after(PollInterval, [this, Poll] { sendPollReply(Poll); });
    return;
  }
  if (!Worker.Reachable_ || Worker.CutOff_ || !IsReachable_(Poll->Worker_) ||
      Worker.ProcessStart_ != Poll->ProcessStart_)
    return fail(Poll->Worker_, "look", Poll->Done_);
  PollReply Reply;
  Reply.Clock_ = Worker.clock(Loop_.monotonic());
  Reply.ProcessStart_ = Worker.ProcessStart_;
  // The reported progress changes with time, since the leader stops tasks that
  // make no progress.
  constexpr std::int64_t Hundred = 100;
  const auto Percent =
      static_cast<int>(Loop_.monotonic().Value_ / Hundred % Hundred);
  for (const auto &[Task, Attempt] : Worker.Running_)
    Reply.Running_.push_back(RunningEntry{Task, Attempt, "", Percent, 0});
  Reply.Ended_.assign(Worker.Ended_.begin(),
                      Worker.Ended_.begin() +
                          static_cast<std::ptrdiff_t>(
                              std::min(Worker.Ended_.size(), MaxListedEnds)));
  deliver(Worker, Poll->Done_, Reply);
}

/// Delivers calls to the RPC server of the addressed node.
class FakeCell::PeerHttp : public WebClient {
public:
  PeerHttp(FakeCell &Cell, std::string From, FakeProcessor &Processor)
      : Cell_(Cell), From_(std::move(From)), Processor_(Processor) {}
  void call(const WebCall &Call, WebReplyHandler Done) override;

private:
  FakeCell &Cell_;
  const std::string From_;
  FakeProcessor &Processor_; ///< Of the calling node.
};

namespace {

class FakeAdvisor : public Advisor {
public:
  void
  ask(const std::string &, const std::vector<std::string> &, Millis,
      std::function<void(Result<std::vector<AdvisedWorker>>)> Done) override {
    Done(std::vector<AdvisedWorker>{});
  }
};

class FakeRegistry : public WorkerRegistry {
public:
  FakeRegistry(FakeLoop &Loop, FakeFleet &Fleet, FakeProcessor &Processor)
      : Loop_(Loop), Fleet_(Fleet), Processor_(Processor) {}
  void list(std::function<void(Result<RegistrySnapshot>)> Done) override {
    Loop_.after(RegistryDelay, [this, Done] {
      RegistrySnapshot Snapshot;
      for (const auto &[Id, State] : Fleet_.Workers_)
        if (Fleet_.UnusableEntries_.count(Id) > 0)
          Snapshot.UnusableEntries_.emplace(Id, Error{});
        else if (State.Reachable_)
          Snapshot.Workers_.push_back(State.Info_);
      Processor_.run(RowCost * static_cast<Micros>(Snapshot.Workers_.size()),
                     [Done, Snapshot] { Done(Snapshot); });
    });
  }

private:
  FakeLoop &Loop_;
  FakeFleet &Fleet_;
  FakeProcessor &Processor_;
};

SharedConfig makeConfig(std::int64_t Version,
                        const std::vector<std::string> &Queues) {
  CellConfig Config;
  Config.Version_ = Version;
  Config.Routes_ = {QueueRoute{"host", "/q/", "queue"},
                    QueueRoute{"host", "/q/deep/", "deep"}};
  dispatch::QueuePolicy Policy;
  Policy.Service_ = "desk";
  Policy.MaxAttempts_ = 2;
  Config.Queues_["queue"] = Policy;
  for (const std::string &Queue : Queues) {
    Config.Routes_.push_back(QueueRoute{"host", '/' + Queue + '/', Queue});
    Config.Queues_[Queue] = Policy;
  }
  Config.Text_ = std::to_string(Version);
  return std::make_shared<const CellConfig>(std::move(Config));
}

} // namespace

struct FakeCell::Node {
  Node(FakeCell &Cell, const std::string &Name)
      : Cell_(Cell), Name_(Name), Processor_(Cell.Loop_, Cell.Loop_),
        ConfigProcessor_(Cell.Loop_, Cell.Loop_),
        Store_(Cell.Loop_, Cell.StoreState_, Name),
        Workers_(Cell.Loop_, Cell.Fleet_,
                 [&Cell, Name](const std::string &Worker) {
                   return Cell.IsolatedNodes_.count(Name) == 0 &&
                          Cell.BlindNodes_.count(Name) == 0 &&
                          !Cell.isAcrossCut(Name, Worker);
                 }),
        CostlyStore_(Processor_, Store_), CostlyWorkers_(Processor_, Workers_),
        Registry_(Cell.Loop_, Cell.Fleet_, Processor_),
        Http_(Cell, Name, Processor_),
        Rpc_(Http_), Ports_{Processor_,     Processor_, CostlyStore_,
                            CostlyWorkers_, Advisor_,   Registry_,
                            Rpc_,           Log_,       Metrics_},
        Member_(
            std::make_shared<cell::Member>(Ports_, makeSettings(Cell, Name))),
        Gateway_(Ports_, Member_, cell::AccessSettings{true}, Processor_),
        Configs_(Cell.Loop_, Cell.StoreState_, ConfigProcessor_, Name),
        ConfigHttp_(Cell, Name, ConfigProcessor_), ConfigRpc_(ConfigHttp_),
        Follower_(
            cell::ConfigPorts{ConfigProcessor_, ConfigProcessor_, Configs_,
                              ConfigRpc_, Log_, Metrics_},
            Name,
            [this](const SharedConfig &Config) {
              Processor_.run(TimerCost,
                             [this, Config] { applyConfig(Config); });
            },
            [this](Millis ConfirmedAt) {
              Processor_.run(TimerCost, [this, ConfirmedAt] {
                Gateway_.setConfirmed(ConfirmedAt);
              });
            }) {
    Member_->addMethods(Server_);
    connectConfig();
    applyConfig(Cell.StoreState_.Configs_.front());
    Follower_.start();
    Member_->start();
  }

  // As in the daemon, the follower has a thread of its own.
  void connectConfig() {
    cell::ConfigHints Hints;
    Hints.OnNewerVersion_ = [this](std::int64_t Version,
                                   const std::string &Holder) {
      ConfigProcessor_.run(TimerCost, [this, Version, Holder] {
        Follower_.noteVersion(Version, Holder);
      });
    };
    Hints.OnNodes_ = [this](const std::vector<std::string> &Nodes) {
      ConfigProcessor_.run(TimerCost,
                           [this, Nodes] { Follower_.setNodes(Nodes); });
    };
    Hints.Age_ = [this] { return Gateway_.configAge(); };
    Hints.Now_ = [this] { return Processor_.monotonic(); };
    Hints.OnConfirmed_ = [this](std::int64_t Version, Millis ConfirmedAt) {
      ConfigProcessor_.run(TimerCost, [this, Version, ConfirmedAt] {
        Follower_.noteConfirmation(Version, ConfirmedAt);
      });
    };
    Member_->setConfigHints(std::move(Hints));
    Server_.add("config.get", [this](const Json::Value &Params,
                                     const cell::RpcReply &Reply) {
      ConfigProcessor_.run(TimerCost, [this, Params, Reply] {
        Follower_.serve(Params, [this, Reply](const Result<Json::Value> &Out) {
          Processor_.run(PeerReplyCost, [Reply, Out] { Reply(Out); });
        });
      });
    });
  }

  void applyConfig(const SharedConfig &Config) {
    if (Gateway_.config() && Config->Version_ < Gateway_.config()->Version_)
      Cell_.ConfigRegressions_.push_back(Name_);
    Gateway_.setConfig(Config);
    Member_->setConfig(Config);
  }

  // The thread of the follower gets half of the processor at most.
  void setSpeed(double Cores) {
    Processor_.setSpeed(Cores);
    ConfigProcessor_.setSpeed(Cores / 2);
  }

  static cell::CellSettings makeSettings(const FakeCell &Cell,
                                         const std::string &Name) {
    cell::CellSettings Settings;
    Settings.Node_ = Name;
    Settings.PeerListen_ = Name;
    Settings.RelayMinWorkers_ = Cell.RelayMinWorkers_;
    const auto Cpu = Cell.NodeCpus_.find(Name);
    if (Cpu != Cell.NodeCpus_.end())
      Settings.Cpu_ = Cpu->second;
    return Settings;
  }

  FakeCell &Cell_;
  const std::string Name_;
  FakeProcessor Processor_;
  FakeProcessor ConfigProcessor_;
  FakeStore Store_;
  FakeWorkerClient Workers_;
  CostlyStore CostlyStore_;
  CostlyWorkers CostlyWorkers_;
  FakeAdvisor Advisor_;
  FakeRegistry Registry_;
  PeerHttp Http_;
  cell::RpcClient Rpc_;
  NullEventLog Log_;
  NullMetrics Metrics_;
  cell::CellPorts Ports_;
  std::shared_ptr<cell::Member> Member_;
  cell::Gateway Gateway_;
  cell::RpcServer Server_;
  FakeConfigs Configs_;
  PeerHttp ConfigHttp_;
  cell::RpcClient ConfigRpc_;
  cell::ConfigFollower Follower_;
};

namespace {

/// Processor time that a message between nodes takes on each side, and that it
/// takes the sender to make its content.
struct MessageCost {
  Micros OnEachSide_ = 0;
  Micros OfContent_ = 0;
};

MessageCost messageCost(const WebCall &Call) {
  MessageCost Cost;
  if (Call.Target_ == "/rpc/relay.replies") {
    const auto Batch = cell::decodeReplyBatch(Call.Body_);
    if (Batch)
      Cost.OnEachSide_ =
          RelayedReplyCost * static_cast<Micros>(Batch.value().Replies_.size());
  }
  if (Call.Target_ == "/rpc/relay.calls") {
    const auto Batch = cell::decodeCallBatch(Call.Body_);
    if (Batch)
      for (const cell::WorkerCall &Relayed : Batch.value().Calls_) {
        const bool IsStart =
            std::holds_alternative<StartOrder>(Relayed.Content_);
        Cost.OnEachSide_ += RelayedCallCost;
        Cost.OfContent_ += IsStart ? PlanningCost : 0;
      }
  }
  return Cost;
}

} // namespace

void FakeCell::PeerHttp::call(const WebCall &Call, WebReplyHandler Done) {
  const MessageCost Cost = messageCost(Call);
  const auto HasReplied = std::make_shared<bool>(false);
  const WebReplyHandler Finish = [this, HasReplied,
                                  Done](const Result<WebReply> &Reply) {
    if (std::exchange(*HasReplied, true))
      return;
    Processor_.run(PeerReplyCost, [Done, Reply] { Done(Reply); });
  };
  Processor_.send(Cost.OnEachSide_ + Cost.OfContent_, [this, Call, Finish,
                                                       Cost] {
    Cell_.Loop_.after(Call.Timeout_, [Finish] { Finish(timeout("peer")); });
    const auto Deliver = [this, Call, Finish, Cost] {
      if (Cell_.IsolatedNodes_.count(From_) > 0 ||
          Cell_.IsolatedNodes_.count(Call.Address_) > 0 ||
          Cell_.MutedNodes_.count(From_) > 0)
        return;
      const auto Peer = Cell_.Nodes_.find(Call.Address_);
      if (Peer == Cell_.Nodes_.end() || Cell_.isAcrossCut(From_, Call.Address_))
        return Finish(Error{Reason::ConnectFailed,
                            Effect::None,
                            "peer",
                            Call.Address_,
                            "refused",
                            {}});
      Node &Target = *Peer->second;
      Target.Processor_.run(
          RequestCost + Cost.OnEachSide_, [this, Call, Finish, &Target] {
            WebRequest Request;
            Request.Target_ = Call.Target_;
            Request.Body_ = Call.Body_;
            Target.Server_.handle(
                Request, [this, Call, Finish, &Target](const WebReply &Reply) {
                  Target.Processor_.send(0, [this, Call, Finish, Reply] {
                    Cell_.Loop_.after(PeerDelay, [this, Call, Finish, Reply] {
                      if (Cell_.IsolatedNodes_.count(From_) == 0 &&
                          Cell_.IsolatedNodes_.count(Call.Address_) == 0 &&
                          !Cell_.isAcrossCut(From_, Call.Address_))
                        Finish(Reply);
                    });
                  });
                });
          });
    };
    Cell_.Loop_.after(PeerDelay, [this, Call, Deliver] {
      if (Cell_.HeldBackNodes_.count(Call.Address_) > 0)
        Cell_.HeldBackMessages_.push_back(Deliver);
      else
        Deliver();
    });
  });
}

FakeCell::FakeCell(int Nodes, int Workers, std::size_t RelayMinWorkers)
    : RelayMinWorkers_(RelayMinWorkers) {
  StoreState_.Configs_.push_back(makeConfig(1, {}));
  for (int Number = 1; Number <= Workers; ++Number) {
    FakeWorkerState State;
    State.Info_.Id_ = "w" + std::to_string(Number);
    State.Info_.Address_ = State.Info_.Id_;
    State.Info_.Service_ = "desk";
    State.Info_.ProcessStart_ = State.ProcessStart_;
    State.Info_.Capacity_ = dispatch::Size{4000, 8000, 0};
    Fleet_.Workers_[State.Info_.Id_] = State;
  }
  for (int Number = 1; Number <= Nodes; ++Number)
    startNode("n" + std::to_string(Number));
}

FakeCell::~FakeCell() = default;

void FakeCell::startNode(const std::string &Name) {
  Nodes_[Name] = std::make_unique<Node>(*this, Name);
}

void FakeCell::killNode(const std::string &Name) {
  // Callbacks of the node may still be queued, so the object is kept.
  const auto Entry = Nodes_.find(Name);
  Entry->second->Store_.disconnect();
  Entry->second->Configs_.disconnect();
  Entry->second->Member_->resign([] {});
  KilledNodes_.push_back(std::move(Entry->second));
  Nodes_.erase(Entry);
}

void FakeCell::setIsolated(const std::string &Name, bool Isolated) {
  StoreState_.StoreModes_[Name] =
      Isolated ? StoreMode::TimesOut : StoreMode::Healthy;
  if (Isolated)
    IsolatedNodes_.insert(Name);
  else
    IsolatedNodes_.erase(Name);
}

void FakeCell::cutZone(const std::set<std::string> &Members) {
  CutZone_ = Members;
  for (const auto &[Name, NodePtr] : Nodes_)
    if (Members.count(Name) > 0)
      StoreState_.StoreModes_[Name] = StoreMode::TimesOut;
}

void FakeCell::healZone() {
  for (const std::string &Name : std::exchange(CutZone_, {}))
    if (Nodes_.count(Name) > 0)
      StoreState_.StoreModes_[Name] = StoreMode::Healthy;
}

void FakeCell::setMuted(const std::string &Name, bool Muted) {
  if (Muted)
    MutedNodes_.insert(Name);
  else
    MutedNodes_.erase(Name);
}

void FakeCell::setBlind(const std::string &Name, bool Blind) {
  if (Blind)
    BlindNodes_.insert(Name);
  else
    BlindNodes_.erase(Name);
}

void FakeCell::pauseNode(const std::string &Name, Millis Time) {
  Nodes_.at(Name)->Processor_.pause(Time);
  Nodes_.at(Name)->ConfigProcessor_.pause(Time);
}

std::int64_t FakeCell::changeConfig(const std::vector<std::string> &Queues) {
  // Versions rise in uneven steps.
  constexpr std::int64_t Step = 3;
  const std::int64_t Version = StoreState_.Configs_.back()->Version_ + Step;
  StoreState_.Configs_.push_back(makeConfig(Version, Queues));
  return Version;
}

std::int64_t FakeCell::configVersion(const std::string &Name) const {
  return Nodes_.at(Name)->Gateway_.config()->Version_;
}

std::optional<Millis> FakeCell::configAge(const std::string &Name) const {
  return Nodes_.at(Name)->Gateway_.configAge();
}

void FakeCell::holdBack(const std::string &Name) {
  HeldBackNodes_.insert(Name);
}

void FakeCell::deliverHeldBack() {
  HeldBackNodes_.clear();
  for (const auto &Deliver : std::exchange(HeldBackMessages_, {}))
    Loop_.after(Millis{}, Deliver);
}

std::vector<std::string> FakeCell::nodes() const {
  std::vector<std::string> Names;
  for (const auto &[Name, NodePtr] : Nodes_)
    Names.push_back(Name);
  return Names;
}

std::vector<std::string> FakeCell::leaders() const {
  std::vector<std::string> Names;
  for (const auto &[Name, NodePtr] : Nodes_)
    if (NodePtr->Member_->isActiveLeader())
      Names.push_back(Name);
  return Names;
}

std::string FakeCell::leader() const {
  std::vector<std::string> Names = leaders();
  if (Names.size() != 1)
    return "";
  return std::move(Names.front());
}

cell::Member &FakeCell::member(const std::string &Name) {
  return *Nodes_.at(Name)->Member_;
}

FakeProcessor &FakeCell::processor(const std::string &Name) {
  return Nodes_.at(Name)->Processor_;
}

void FakeCell::setSpeed(double Cores) {
  for (const auto &[Name, NodePtr] : Nodes_)
    NodePtr->setSpeed(Cores);
}

std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
FakeCell::call(const std::string &Name, const cell::CallerRequest &Request) {
  auto Answer = std::make_shared<std::optional<Result<cell::CallerAnswer>>>();
  Node &Target = *Nodes_.at(Name);
  Target.Processor_.run(RequestCost, [&Target, Request, Answer] {
    Target.Gateway_.handle(Request,
                           [Answer](const Result<cell::CallerAnswer> &Reply) {
                             Answer->emplace(Reply);
                           });
  });
  return Answer;
}

std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
FakeCell::submitSteps(const std::string &Name, const std::string &Id,
                      const std::vector<dispatch::StepSpec> &Steps,
                      Millis Duration) {
  cell::CallerRequest Request;
  Request.Verb_ = cell::CallerVerb::Submit;
  Request.Queue_ = "queue";
  Request.Id_ = Id;
  Request.Spec_.Id_ = Id;
  Request.Spec_.Queue_ = "queue";
  Request.Spec_.Payload_ = std::to_string(Duration.Value_);
  Request.Spec_.Steps_ = Steps;
  return call(Name, Request);
}

std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
FakeCell::submit(const std::string &Name, const std::string &Id, int Tasks,
                 Millis Duration) {
  dispatch::StepSpec Step;
  Step.Count_ = Tasks;
  Step.Size_ = dispatch::Size{500, 100, 0};
  Step.Estimate_ = Duration;
  return submitSteps(Name, Id, {Step}, Duration);
}

std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
FakeCell::submitLongRunning(const std::string &Name, const std::string &Id,
                            int Tasks) {
  constexpr Millis LongerThanAnyTest{3600000};
  dispatch::StepSpec Step;
  Step.Count_ = Tasks;
  Step.Size_ = dispatch::Size{500, 100, 0};
  Step.LongRunning_ = true;
  return submitSteps(Name, Id, {Step}, LongerThanAnyTest);
}

void FakeCell::drainWorker(const std::string &Id) {
  Fleet_.Workers_.at(Id).Info_.Draining_ = true;
}

void FakeCell::restartWorker(const std::string &Id, Millis DownTime,
                             Millis EntryDelay) {
  FakeWorkerState &Worker = Fleet_.Workers_.at(Id);
  Worker.Running_.clear();
  Worker.HighestAttempt_.clear();
  Worker.Ended_.clear();
  Worker.LastEndNumber_ = 0;
  Worker.HighestEpoch_ = 0;
  Worker.LeaseEnd_ = Millis{};
  Worker.LosesStartReplies_ = false;
  Worker.LosesStopReplies_ = false;
  Worker.RepliesHeldUntil_ = Millis{};
  ++Worker.ProcessStart_;
  Worker.BackAt_ = Loop_.monotonic() + DownTime;
  Worker.ClockStart_ = Worker.BackAt_;
  Loop_.after(DownTime + EntryDelay,
              [&Worker, ProcessStart = Worker.ProcessStart_] {
                if (Worker.ProcessStart_ == ProcessStart)
                  Worker.Info_.ProcessStart_ = ProcessStart;
              });
}

void FakeCell::removeWorker(const std::string &Id) {
  FakeWorkerState &Worker = Fleet_.Workers_.at(Id);
  Worker.Reachable_ = false;
  Worker.Refuses_ = true;
  Worker.Running_.clear();
  ++Worker.ProcessStart_;
}

std::optional<dispatch::JobState> FakeCell::state(const std::string &Name,
                                                  const std::string &Id) {
  cell::CallerRequest Request;
  Request.Verb_ = cell::CallerVerb::State;
  Request.Id_ = Id;
  const auto Answer = call(Name, Request);
  Loop_.runUntil(Millis{4000}, [&] { return Answer->has_value(); });
  if (!Answer->has_value() || !(*Answer)->has_value())
    return std::nullopt;
  return (*Answer)->value().State_;
}

std::string jobId(int Number) {
  const std::string Digits = std::to_string(Number);
  return std::string(16 - Digits.size(), '0') + Digits;
}

} // namespace damaskglade::fakes
