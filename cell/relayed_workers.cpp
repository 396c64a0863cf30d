#include "cell/relayed_workers.h"

#include <algorithm>
#include <optional>

namespace damaskglade::cell {

namespace {

// Workers of a zone for each of its relays.
constexpr std::size_t WorkersPerRelay = 300;
// Calls within this time share a batch.
constexpr Millis BatchInterval{10};
constexpr std::size_t MaxCallsPerBatch = 128;
constexpr Millis BatchTimeout{700};
// No order is sent this long after the leader has decided it: by then it nearly
// takes the order for lost.
constexpr Millis CallLifetime{500};
// A relay that has not been sent a batch for this long gets an empty one, which
// shows whether it answers.
constexpr Millis HeartbeatInterval{250};
// How long a relay that has failed is not used; doubled with each further
// failure, up to the limit.
constexpr Millis AvoidTime{1000};
constexpr int MaxAvoidDoublings = 3;
// A relay that answers batches but passes on no replies for this long has
// failed, too.
constexpr Millis RepliesTimeout{1000};
// How long a worker is called directly after a poll through its relay failed;
// doubled with each further failure, up to the limit.
constexpr Millis DirectTime{2000};
constexpr int MaxDirectDoublings = 3;
// Time for the reply to an order and to a poll. The relay has its own timeouts,
// 0.25 s and 0.7 s; the rest is for the way to it and back.
constexpr Millis OrderTimeout{550};
constexpr Millis PollTimeout{1100};
constexpr Millis SweepPeriod{50};
// Rate at which the clocks of two nodes may drift apart.
constexpr std::int64_t DriftDivisor = 1000;

const std::vector<std::int64_t> NoIds;

Error relayFailure(const std::string &Relay, const std::string &Message) {
  return Error{
      Reason::NotReady, Effect::None, "relay calls", Relay, Message, {}};
}

} // namespace

RelaysByZone chooseRelays(const PeerNodes &Nodes, Millis HeardSince,
                          double LeaderCpu, std::size_t MinWorkers,
                          const std::map<std::string, std::size_t> &Workers) {
  std::size_t WorkerCount = 0;
  for (const auto &[Zone, Count] : Workers)
    WorkerCount += Count;
  RelaysByZone Relays;
  if (WorkerCount < MinWorkers)
    return Relays;
  constexpr double MinShare = 0.5;
  for (const std::string &Address : nodesByStrength(Nodes, HeardSince, 0)) {
    const PeerNode &Node = Nodes.at(Address);
    const auto Count = Workers.find(Node.Zone_);
    if (Count == Workers.end() || Node.Cpu_ < LeaderCpu * MinShare)
      continue;
    const std::size_t Wanted =
        (Count->second + WorkersPerRelay - 1) / WorkersPerRelay;
    std::vector<std::string> &OfZone = Relays[Node.Zone_];
    if (OfZone.size() < Wanted)
      OfZone.push_back(Address);
  }
  return Relays;
}

void RelayedWorkers::setRelays(const RelaysByZone &Relays) {
  Relays_ = Relays;
  for (auto &[Address, State] : RelayStates_)
    State.Listed_ = false;
  for (const auto &[Zone, Addresses] : Relays_)
    for (const std::string &Address : Addresses) {
      RelayState &State = RelayStates_[Address];
      State.Listed_ = true;
      if (!State.Answers_ && State.OpenBatches_ == 0 &&
          now() > State.AvoidUntil_)
        scheduleBatch(Address, Millis{});
    }
  std::erase_if(RelayStates_, [](const auto &Entry) {
    const RelayState &State = Entry.second;
    return !State.Listed_ && State.OpenBatches_ == 0 && !State.SendScheduled_ &&
           State.OpenIds_.empty();
  });
  if (!Relays_.empty() && !std::exchange(Sweeping_, true)) {
    SweptAt_ = now();
    sweep();
  }
}

void RelayedWorkers::setZones(
    std::unordered_map<std::string, std::string> Zones) {
  Zones_ = std::move(Zones);
  std::erase_if(DirectCalls_, [this](const auto &Entry) {
    return Zones_.count(Entry.first) == 0;
  });
}

void RelayedWorkers::flush() {
  for (const auto &[Address, Relay] : RelayStates_)
    if (!Relay.Calls_.empty())
      sendBatch(Address);
}

// The handlers of the calls may own the owner of this object.
void RelayedWorkers::close() {
  Closed_ = true;
  const auto Forgotten = std::exchange(OpenCalls_, {});
  Deadlines_.clear();
  RelayStates_.clear();
}

RelayedWorkers::RelayState *RelayedWorkers::findRelay(const std::string &Worker,
                                                      std::string &Address) {
  if (Relays_.empty())
    return nullptr;
  const auto Zone = Zones_.find(Worker);
  if (Zone == Zones_.end())
    return nullptr;
  const auto Relays = Relays_.find(Zone->second);
  if (Relays == Relays_.end() || Relays->second.empty())
    return nullptr;
  const auto Direct = DirectCalls_.find(Worker);
  if (Direct != DirectCalls_.end() && now() < Direct->second.Until_)
    return nullptr;
  // The other relays of the zone stand in for one that does not answer.
  const std::vector<std::string> &Addresses = Relays->second;
  const std::size_t First = std::hash<std::string>()(Worker);
  for (std::size_t Offset = 0; Offset < Addresses.size(); ++Offset) {
    Address = Addresses[(First + Offset) % Addresses.size()];
    RelayState &State = RelayStates_[Address];
    if (State.Answers_)
      return &State;
  }
  return nullptr;
}

bool RelayedWorkers::passOn(const WorkerTarget &Worker,
                            WorkerCallContent Content, Millis Timeout,
                            OrderHandler OnOrder, PollHandler OnPoll) {
  if (Closed_)
    return true;
  std::string Address;
  RelayState *Relay = findRelay(Worker.Worker_, Address);
  if (!Relay)
    return false;
  const std::int64_t Id = ++LastCall_;
  const Millis Deadline = AttentiveTime_ + Timeout;
  OpenCalls_.emplace(Id, OpenCall{Worker.Worker_, Address, Deadline,
                                  std::move(OnOrder), std::move(OnPoll)});
  Deadlines_.emplace(Deadline, Id);
  Relay->OpenIds_.insert(Id);
  if (Relay->Calls_.empty())
    Relay->OldestCallAt_ = now();
  Relay->Calls_.push_back(WorkerCall{Id, Worker, std::move(Content)});
  if (Relay->Calls_.size() >= MaxCallsPerBatch)
    sendBatch(Address);
  else
    scheduleBatch(Address, std::max(Relay->BatchSentAt_ + BatchInterval - now(),
                                    Millis{}));
  return true;
}

void RelayedWorkers::start(const WorkerTarget &Worker, const StartOrder &Order,
                           OrderHandler Done) {
  if (!passOn(Worker, Order, OrderTimeout, Done, nullptr))
    Ports_.Workers_.start(Worker, Order, std::move(Done));
}

void RelayedWorkers::stop(const WorkerTarget &Worker, const std::string &Task,
                          std::int64_t Attempt, OrderHandler Done) {
  if (!passOn(Worker, StopOrder{Task, Attempt}, OrderTimeout, Done, nullptr))
    Ports_.Workers_.stop(Worker, Task, Attempt, std::move(Done));
}

void RelayedWorkers::pace(const WorkerTarget &Worker, const std::string &Task,
                          std::int64_t Attempt, int Percent,
                          OrderHandler Done) {
  if (!passOn(Worker, PaceOrder{Task, Attempt, Percent}, OrderTimeout, Done,
              nullptr))
    Ports_.Workers_.pace(Worker, Task, Attempt, Percent, std::move(Done));
}

void RelayedWorkers::poll(const WorkerTarget &Worker,
                          const PollRequest &Request, PollHandler Done) {
  if (!passOn(Worker, Request, Request.Wait_ + PollTimeout, nullptr, Done))
    Ports_.Workers_.poll(Worker, Request, std::move(Done));
}

void RelayedWorkers::scheduleBatch(const std::string &Address, Millis Delay) {
  RelayState &Relay = RelayStates_[Address];
  if (std::exchange(Relay.SendScheduled_, true))
    return;
  Ports_.Timers_.after(Delay, [Self = shared_from_this(), Address] {
    if (Self->Closed_)
      return;
    Self->RelayStates_[Address].SendScheduled_ = false;
    Self->sendBatch(Address);
  });
}

void RelayedWorkers::sendBatch(const std::string &Address) {
  RelayState &Relay = RelayStates_[Address];
  CallBatch Batch;
  Batch.Leader_ = Address_;
  Batch.Epoch_ = Epoch_;
  Batch.Number_ = ++LastBatch_;
  Batch.Calls_ = std::exchange(Relay.Calls_, {});
  const Millis DecidedAt = Batch.Calls_.empty() ? now() : Relay.OldestCallAt_;
  const Millis Expiry = std::min(DecidedAt + CallLifetime, MayActUntil_());
  Batch.Relay_ = Relay.Process_;
  Batch.Expiry_ = Expiry + Relay.ClockOffset_ - drift(Relay);
  std::vector<std::int64_t> Ids;
  Ids.reserve(Batch.Calls_.size());
  for (const WorkerCall &Call : Batch.Calls_)
    Ids.push_back(Call.Id_);
  ++Relay.OpenBatches_;
  Relay.BatchSentAt_ = now();
  Ports_.Peers_.callBinary(
      Address, "relay.calls", encodeCallBatch(Batch), BatchTimeout,
      [Self = shared_from_this(), Address, SentAt = now(),
       Ids = std::move(Ids)](const Result<Json::Value> &Reply) {
        if (!Self->Closed_)
          Self->handleBatchReply(Address, SentAt, Ids, Reply);
      });
}

void RelayedWorkers::handleBatchReply(const std::string &Address, Millis SentAt,
                                      const std::vector<std::int64_t> &Ids,
                                      const Result<Json::Value> &Reply) {
  RelayState &Relay = RelayStates_[Address];
  --Relay.OpenBatches_;
  if (Reply && Reply.value()["clock"].isInt64() &&
      Reply.value()["process"].isString()) {
    updateClock(Relay, Reply.value());
    // A reply to a batch that was sent before the relay failed does not show
    // that it works again.
    if (!Relay.Answers_ && SentAt >= Relay.AvoidUntil_) {
      Relay.Answers_ = true;
      logEvent(Ports_, LogLevel::Info, "", "relay", Address, "in use");
    }
    return;
  }
  const Error Failure = Reply ? Error{Reason::AnswerTruncated, Effect::Unknown,
                                      "relay calls",           Address,
                                      "reply without a clock", {}}
                              : Reply.error();
  Ports_.Metrics_.countRetry(Failure.Reason_);
  if (Failure.Reason_ == Reason::StaleEpoch)
    OnStaleEpoch_();
  if (Closed_)
    return;
  abandon(Address, SentAt, Failure.Effect_ == Effect::None ? Ids : NoIds,
          Failure);
}

Millis RelayedWorkers::drift(const RelayState &Relay) const {
  return (now() - Relay.OffsetReadAt_) / DriftDivisor;
}

// The relay has read its clock before its reply arrived here, so the difference
// is at least this. The best reading counts, less the drift since.
void RelayedWorkers::updateClock(RelayState &Relay,
                                 const Json::Value &Reply) const {
  const std::string Process = Reply["process"].asString();
  const Millis Offset = Millis{Reply["clock"].asInt64()} - now();
  if (Process == Relay.Process_ && Offset < Relay.ClockOffset_ - drift(Relay))
    return;
  Relay.Process_ = Process;
  Relay.ClockOffset_ = Offset;
  Relay.OffsetReadAt_ = now();
}

void RelayedWorkers::abandon(const std::string &Address, Millis SentAt,
                             const std::vector<std::int64_t> &NotMade,
                             const Error &Failure) {
  RelayState &Relay = RelayStates_[Address];
  if (Relay.Answers_)
    logEvent(Ports_, LogLevel::Warning, "", "relay", Address,
             "not used any more: " + describe(Failure));
  Relay.Answers_ = false;
  // All batches that were on their way fail together.
  if (SentAt >= Relay.FailedAt_) {
    Relay.FailedAt_ = now();
    Relay.AvoidUntil_ =
        now() +
        AvoidTime * (1 << std::min(Relay.FailuresInRow_++, MaxAvoidDoublings));
  }
  std::set<std::int64_t> ToFail(NotMade.begin(), NotMade.end());
  for (const WorkerCall &Call : std::exchange(Relay.Calls_, {}))
    ToFail.insert(Call.Id_);
  // Orders that the relay may have carried out keep waiting: a reply may still
  // come.
  const std::set<std::int64_t> Open = Relay.OpenIds_;
  for (const std::int64_t Id : Open) {
    const auto Call = OpenCalls_.find(Id);
    const bool IsPoll = Call != OpenCalls_.end() && Call->second.OnPoll_;
    if (IsPoll || ToFail.count(Id) > 0)
      fail(Id, relayFailure(Address, "the relay has failed"));
  }
}

std::optional<RelayedWorkers::OpenCall> RelayedWorkers::take(std::int64_t Id) {
  const auto Entry = OpenCalls_.find(Id);
  if (Entry == OpenCalls_.end())
    return std::nullopt;
  OpenCall Call = std::move(Entry->second);
  OpenCalls_.erase(Entry);
  Deadlines_.erase({Call.Deadline_, Id});
  RelayStates_[Call.Relay_].OpenIds_.erase(Id);
  return Call;
}

void RelayedWorkers::fail(std::int64_t Id, const Error &Failure) {
  finish(Id, WorkerCallReply{Id, Failure});
}

void RelayedWorkers::finish(std::int64_t Id, const WorkerCallReply &Reply) {
  const auto Call = take(Id);
  if (!Call)
    return;
  const auto *Failure = std::get_if<Error>(&Reply.Content_);
  // The worker may be reachable on another way.
  if (Call->OnPoll_ && !Failure)
    DirectCalls_.erase(Call->Worker_);
  if (Failure && Call->OnPoll_ && Failure->Reason_ != Reason::NotReady) {
    DirectCall &Direct = DirectCalls_[Call->Worker_];
    Direct.Until_ = now() + DirectTime * (1 << std::min(Direct.FailuresInRow_++,
                                                        MaxDirectDoublings));
  }
  if (Call->OnPoll_) {
    if (const auto *Poll = std::get_if<PollReply>(&Reply.Content_))
      return Call->OnPoll_(*Poll);
    return Call->OnPoll_(
        Failure ? *Failure
                : relayFailure(Call->Relay_, "reply to another call"));
  }
  if (const auto *Order = std::get_if<OrderReply>(&Reply.Content_))
    return Call->OnOrder_(*Order);
  Call->OnOrder_(Failure ? *Failure
                         : Error{Reason::AnswerTruncated,
                                 Effect::Unknown,
                                 "relay calls",
                                 Call->Relay_,
                                 "reply to another call",
                                 {}});
}

void RelayedWorkers::handleReplies(const std::string &Params,
                                   const RpcReply &Reply) {
  const auto Batch = decodeReplyBatch(Params);
  if (!Batch)
    return Reply(Batch.error());
  if (Closed_ || Batch.value().Epoch_ != Epoch_)
    return Reply(Error{Reason::NotOwner,
                       Effect::None,
                       "relay replies",
                       Batch.value().Relay_,
                       "replies to another leader",
                       {}});
  Reply(Json::Value(Json::objectValue));
  const auto Relay = RelayStates_.find(Batch.value().Relay_);
  if (Relay != RelayStates_.end()) {
    Relay->second.RepliesAt_ = AttentiveTime_;
    Relay->second.FailuresInRow_ = 0;
  }
  for (const WorkerCallReply &CallReply : Batch.value().Replies_) {
    finish(CallReply.Id_, CallReply);
    if (Closed_)
      return;
  }
}

void RelayedWorkers::endOverdueCalls() {
  std::set<std::string> Silent;
  while (!Closed_ && !Deadlines_.empty() &&
         Deadlines_.begin()->first <= AttentiveTime_) {
    const std::int64_t Id = Deadlines_.begin()->second;
    const std::string Relay = OpenCalls_.at(Id).Relay_;
    if (AttentiveTime_ > RelayStates_[Relay].RepliesAt_ + RepliesTimeout)
      Silent.insert(Relay);
    fail(Id, Error{Reason::Timeout,
                   Effect::Unknown,
                   "relay calls",
                   Relay,
                   "no reply through the relay",
                   {}});
  }
  for (const std::string &Relay : Silent)
    if (!Closed_ && RelayStates_[Relay].Answers_)
      abandon(Relay, now(), NoIds,
              Error{Reason::Timeout,
                    Effect::Unknown,
                    "relay calls",
                    Relay,
                    "passes on no replies",
                    {}});
}

void RelayedWorkers::sweep() {
  if (Closed_)
    return;
  AttentiveTime_ = AttentiveTime_ + std::min(now() - SweptAt_, SweepPeriod * 2);
  SweptAt_ = now();
  endOverdueCalls();
  for (auto &[Address, Relay] : RelayStates_) {
    const bool IsQuiet = now() > Relay.BatchSentAt_ + HeartbeatInterval &&
                         Relay.OpenBatches_ == 0;
    if (Relay.Listed_ && IsQuiet &&
        (Relay.Answers_ || now() > Relay.AvoidUntil_))
      scheduleBatch(Address, Millis{});
  }
  Ports_.Timers_.after(SweepPeriod,
                       [Self = shared_from_this()] { Self->sweep(); });
}

} // namespace damaskglade::cell
