// A leader that calls workers through a relay, over a network that loses,
// delays and repeats messages.

#include "cell/relay.h"
#include "cell/relayed_workers.h"
#include "tests/cell/fake_cell.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>

using namespace damaskglade;
using namespace damaskglade::cell;
using namespace damaskglade::fakes;

namespace {

constexpr const char *LeaderAddress = "leader";
constexpr const char *RelayAddress = "relay";
constexpr const char *Zone = "dock";
constexpr std::int64_t Epoch = 3;
constexpr Millis Second{1000};

/// Workers that count the calls and answer when told to.
class CountingWorkers : public TaskWorkers {
public:
  void start(const WorkerTarget &, const StartOrder &,
             OrderHandler Done) override {
    ++Starts_;
    answer(Done);
  }
  void stop(const WorkerTarget &, const std::string &, std::int64_t,
            OrderHandler Done) override {
    answer(Done);
  }
  void pace(const WorkerTarget &, const std::string &, std::int64_t, int,
            OrderHandler Done) override {
    answer(Done);
  }
  void poll(const WorkerTarget &, const PollRequest &,
            std::function<void(Result<PollReply>)> Done) override {
    ++Polls_;
    if (Failure_)
      return Done(*Failure_);
    PollReply Reply;
    Reply.Outcome_ = Outcome_;
    if (!Silent_)
      Done(Reply);
  }

  int Starts_ = 0;
  int Polls_ = 0;
  bool Silent_ = false;
  OrderOutcome Outcome_ = OrderOutcome::Done;
  std::optional<Error> Failure_;
  FakeLoop *Loop_ = nullptr;
  Millis Delay_{}; ///< Of replies to orders.

private:
  void answer(const OrderHandler &Done) const {
    if (Silent_)
      return;
    if (Loop_ && Delay_ > Millis{})
      Loop_->after(Delay_, [Done, Outcome = Outcome_] {
        Done(OrderReply{Outcome, Millis{1}});
      });
    else
      Done(OrderReply{Outcome_, Millis{1}});
  }
};

/// The clock of a relay, which differs from that of the leader.
class ShiftedClock : public Clock {
public:
  explicit ShiftedClock(const Clock &Base) : Base_(Base) {}
  Millis monotonic() const override { return Base_.monotonic() + Shift_; }
  Millis wall() const override { return Base_.wall(); }

  Millis Shift_{};

private:
  const Clock &Base_;
};

/// Delivers calls between the leader and the relay.
class TestNetwork : public WebClient {
public:
  explicit TestNetwork(FakeLoop &Loop) : Loop_(Loop) {}

  void call(const WebCall &Call, WebReplyHandler Done) override {
    const auto Finished = std::make_shared<bool>(false);
    const WebReplyHandler Finish = [Finished,
                                    Done](const Result<WebReply> &Reply) {
      if (!std::exchange(*Finished, true))
        Done(Reply);
    };
    Loop_.after(Call.Timeout_, [Finish] {
      Finish(Error{Reason::Timeout, Effect::Unknown, "peer", "", "", {}});
    });
    if (Refused_.count(Call.Address_) > 0)
      return Finish(
          Error{Reason::ConnectFailed, Effect::None, "peer", "", "", {}});
    for (int Copy = 0; Copy < Copies_; ++Copy)
      Loop_.after(Delay_, [this, Call, Finish] {
        if (Cut_.count(Call.Address_) > 0)
          return;
        WebRequest Request;
        Request.Target_ = Call.Target_;
        Request.Body_ = Call.Body_;
        deliver(Call.Address_, Request, Finish);
      });
  }

  std::map<std::string, RpcServer> Servers_;
  std::set<std::string> Refused_; ///< No process listens there.
  std::set<std::string> Cut_;     ///< Nothing arrives there.
  int Copies_ = 1;
  Millis Delay_{1};
  Millis ReplyDelay_{};
  /// The next connections break before the reply; the client then sends the
  /// call again, as the one in drivers/beast does. Each entry is the time that
  /// this takes.
  std::deque<Millis> BrokenConnections_;
  int Calls_ = 0; ///< That have arrived.

private:
  void deliver(const std::string &Address, const WebRequest &Request,
               const WebReplyHandler &Finish) {
    ++Calls_;
    std::optional<Millis> Break;
    if (!BrokenConnections_.empty()) {
      Break = BrokenConnections_.front();
      BrokenConnections_.pop_front();
    }
    Servers_[Address].handle(
        Request, [this, Finish, Break](const WebReply &Reply) {
          if (!Break)
            Loop_.after(ReplyDelay_, [Finish, Reply] { Finish(Reply); });
        });
    if (Break)
      Loop_.after(*Break, [this, Address, Request, Finish] {
        ++Calls_;
        Servers_[Address].handle(Request, [Finish](WebReply Reply) {
          Reply.Resent_ = true;
          Finish(std::move(Reply));
        });
      });
  }

  FakeLoop &Loop_;
};

class NoAdvisor : public Advisor {
public:
  void ask(const std::string &, const std::vector<std::string> &, Millis,
           std::function<void(Result<std::vector<AdvisedWorker>>)>) override {}
};

class NoRegistry : public WorkerRegistry {
public:
  void list(std::function<void(Result<RegistrySnapshot>)>) override {}
};

bool isTimeout(const std::optional<Result<OrderReply>> &Reply) {
  return Reply && !*Reply && Reply->error().Reason_ == Reason::Timeout &&
         Reply->error().Effect_ == Effect::Unknown;
}

template <typename T> bool wasNotMade(const std::optional<Result<T>> &Reply) {
  return Reply && !*Reply && Reply->error().Effect_ == Effect::None &&
         (Reply->error().Reason_ == Reason::NotReady ||
          Reply->error().Reason_ == Reason::StartExpired);
}

/// A leader and a relay with a worker each way.
class RelayPlay {
public:
  RelayPlay()
      : Network_(Loop_), Peers_(Network_), Store_(Loop_, StoreState_, "n"),
        RelayClock_(Loop_), LeaderPorts_(makePorts(Loop_, DirectWorkers_)),
        RelayPorts_(makePorts(RelayClock_, Workers_)),
        Relay_(std::make_shared<Relay>(RelayPorts_, RelayAddress, "first")),
        Leader_(makeLeader(Epoch)) {
    Network_.Servers_[RelayAddress].addBinary(
        "relay.calls",
        [this](const std::string &Params, const RpcReply &Reply) {
          Relay_->handleCalls(Params, Reply);
        });
    Network_.Servers_[LeaderAddress].addBinary(
        "relay.replies",
        [this](const std::string &Params, const RpcReply &Reply) {
          Leader_->handleReplies(Params, Reply);
        });
    Loop_.run(Second);
  }
  ~RelayPlay() { Leader_->close(); }

  std::shared_ptr<RelayedWorkers> makeLeader(std::int64_t LeaderEpoch) {
    auto Leader = std::make_shared<RelayedWorkers>(
        LeaderPorts_, LeaderAddress, LeaderEpoch,
        [this] { return MayActUntil_; }, [this] { ++StaleEpochs_; });
    Leader->setZones({{"w1", Zone}});
    Leader->setRelays({{Zone, {RelayAddress}}});
    return Leader;
  }

  void start() {
    Started_.reset();
    StartOrder Order;
    Order.Task_ = "0000000000000001.0.0.0";
    Order.Attempt_ = 1;
    Order.Payload_ = "payload";
    Leader_->start(target(), Order, [this](const Result<OrderReply> &Reply) {
      Started_ = Reply;
    });
  }

  /// Polls again at once whenever no poll was made, as the leader does.
  void keepPolling() {
    Leader_->poll(target(), PollRequest{},
                  [this](const Result<PollReply> &Reply) {
                    Polled_ = Reply;
                    if (wasNotMade(Polled_))
                      Loop_.after(Millis{}, [this] { keepPolling(); });
                  });
  }

  void poll() {
    Polled_.reset();
    Leader_->poll(target(), PollRequest{},
                  [this](const Result<PollReply> &Reply) { Polled_ = Reply; });
  }

  static WorkerTarget target() { return WorkerTarget{"w1", "w1", Epoch}; }

  FakeLoop Loop_;
  FakeStoreState StoreState_;
  CountingWorkers DirectWorkers_; ///< As called by the leader itself.
  CountingWorkers Workers_;       ///< As called by the relay.
  TestNetwork Network_;
  RpcClient Peers_;
  FakeStore Store_;
  NoAdvisor Advisor_;
  NoRegistry Registry_;
  NullEventLog Log_;
  NullMetrics Metrics_;
  Millis MayActUntil_{1000000};
  int StaleEpochs_ = 0;
  ShiftedClock RelayClock_;
  CellPorts LeaderPorts_;
  CellPorts RelayPorts_;
  std::shared_ptr<Relay> Relay_;
  std::shared_ptr<RelayedWorkers> Leader_;
  std::optional<Result<OrderReply>> Started_;
  std::optional<Result<PollReply>> Polled_;

private:
  CellPorts makePorts(const Clock &Time, TaskWorkers &Workers) {
    return CellPorts{Time,      Loop_,  Store_, Workers, Advisor_,
                     Registry_, Peers_, Log_,   Metrics_};
  }
};

WorkerCall makeStart(std::int64_t Id, const std::string &Payload) {
  StartOrder Order;
  Order.Task_ = "0000000000000001.0.0." + std::to_string(Id);
  Order.Attempt_ = 1001;
  Order.Payload_ = Payload;
  Order.LeaseEnd_ = Millis{9000};
  Order.Checkpoint_ = "saved";
  Order.Ticket_ = "ticket";
  return WorkerCall{Id, WorkerTarget{"w1", "10.0.0.1:1", Epoch, 1700000000000},
                    Order};
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayTests)

BOOST_AUTO_TEST_CASE(CallsAreMadeByTheRelay) {
  RelayPlay Play;
  Play.start();
  Play.poll();
  Play.Loop_.run(Millis{50});
  BOOST_TEST(Play.Workers_.Starts_ == 1);
  BOOST_TEST(Play.Workers_.Polls_ == 1);
  BOOST_TEST(Play.DirectWorkers_.Starts_ + Play.DirectWorkers_.Polls_ == 0);
  BOOST_TEST((Play.Started_ && *Play.Started_));
  BOOST_TEST((Play.Polled_ && *Play.Polled_));
}

// Guards against an order that goes out twice because its message did.
BOOST_AUTO_TEST_CASE(MessageThatArrivesTwiceIsCarriedOutOnce) {
  RelayPlay Play;
  Play.Network_.Copies_ = 2;
  Play.start();
  Play.Loop_.run(Second);
  BOOST_TEST(Play.Workers_.Starts_ == 1);
}

// Guards against a relay that was paused and acts for a leader that may have
// been replaced meanwhile.
BOOST_AUTO_TEST_CASE(DelayedCallsAreNotMade) {
  RelayPlay Play;
  Play.Network_.Delay_ = Millis{520};
  Play.start();
  Play.Loop_.run(Second * 2);
  BOOST_TEST(Play.Workers_.Starts_ == 0);
  BOOST_TEST(isTimeout(Play.Started_));
}

// The same for a leader whose last confirmation by the store is older.
BOOST_AUTO_TEST_CASE(CallsAreNotMadeAfterTheLeaderMayAct) {
  RelayPlay Play;
  Play.MayActUntil_ = Play.Loop_.monotonic() + Millis{100};
  Play.Network_.Delay_ = Millis{200};
  Play.start();
  Play.Loop_.run(Second * 2);
  BOOST_TEST(Play.Workers_.Starts_ == 0);
  BOOST_TEST(wasNotMade(Play.Started_));
}

// Guards against a relay that acts for a leader that has been replaced.
BOOST_AUTO_TEST_CASE(CallsOfAnEarlierLeaderAreRejected) {
  RelayPlay Play;
  const auto Later = Play.makeLeader(Epoch + 1);
  Play.Loop_.run(Millis{100});
  Play.start();
  Play.Loop_.run(Second);
  BOOST_TEST(Play.Workers_.Starts_ == 0);
  BOOST_TEST(wasNotMade(Play.Started_));
  BOOST_TEST(Play.StaleEpochs_ > 0);
  Later->close();
}

// Guards against calls that outlast their time because the relay has restarted
// with another clock.
BOOST_AUTO_TEST_CASE(CallsForAnEarlierProcessAreRejected) {
  RelayPlay Play;
  Play.Relay_ =
      std::make_shared<Relay>(Play.RelayPorts_, RelayAddress, "second");
  Play.start();
  Play.Loop_.run(Millis{50});
  BOOST_TEST(Play.Workers_.Starts_ == 0);
  BOOST_TEST(wasNotMade(Play.Started_));
  Play.Loop_.run(Second * 3);
  Play.start();
  Play.Loop_.run(Millis{50});
  BOOST_TEST(Play.Workers_.Starts_ == 1);
}

BOOST_AUTO_TEST_CASE(CallsAreRejectedOnceAWorkerKnowsALaterLeader) {
  RelayPlay Play;
  Play.Workers_.Outcome_ = OrderOutcome::Fenced;
  Play.start();
  Play.Loop_.run(Millis{50});
  BOOST_TEST_REQUIRE((Play.Started_ && *Play.Started_));
  BOOST_TEST((Play.Started_->value().Outcome_ == OrderOutcome::Fenced));
  Play.start();
  Play.Loop_.run(Millis{50});
  BOOST_TEST(Play.Workers_.Starts_ == 1);
  BOOST_TEST(Play.StaleEpochs_ == 1);
}

// Guards against an end of a task that is reported to the wrong leader.
BOOST_AUTO_TEST_CASE(RepliesToAnotherLeaderAreRejected) {
  RelayPlay Play;
  ReplyBatch Batch{RelayAddress, Epoch - 1, {}};
  Batch.Replies_.push_back(WorkerCallReply{1, OrderReply{}});
  std::optional<Result<Json::Value>> Answer;
  Play.Leader_->handleReplies(
      encodeReplyBatch(Batch),
      [&](Result<Json::Value> Reply) { Answer = std::move(Reply); });
  BOOST_TEST_REQUIRE((Answer && !*Answer));
  BOOST_TEST((Answer->error().Reason_ == Reason::NotOwner));
}

BOOST_AUTO_TEST_CASE(LostRepliesArePassedOnLater) {
  RelayPlay Play;
  Play.Network_.Cut_.insert(LeaderAddress);
  Play.poll();
  Play.Loop_.run(Millis{300});
  BOOST_TEST(!Play.Polled_.has_value());
  Play.Network_.Cut_.clear();
  Play.Loop_.run(Millis{700});
  BOOST_TEST((Play.Polled_ && *Play.Polled_));
}

// Guards against workers that count as unreachable because their relay is.
BOOST_AUTO_TEST_CASE(FailureOfARelayIsNoFailureOfItsWorkers) {
  RelayPlay Play;
  Play.Workers_.Silent_ = true;
  Play.start();
  Play.poll();
  Play.Loop_.run(Millis{50});
  Play.Network_.Refused_.insert(RelayAddress);
  Play.Loop_.run(Second);
  BOOST_TEST(wasNotMade(Play.Polled_));
  BOOST_TEST(isTimeout(Play.Started_));
  Play.start();
  Play.poll();
  BOOST_TEST(Play.DirectWorkers_.Starts_ == 1);
  BOOST_TEST(Play.DirectWorkers_.Polls_ == 1);
}

BOOST_AUTO_TEST_CASE(RelayThatIsBackIsUsedAgain) {
  RelayPlay Play;
  Play.Network_.Refused_.insert(RelayAddress);
  Play.Loop_.run(Second);
  Play.Network_.Refused_.clear();
  Play.Loop_.run(Second * 5);
  Play.poll();
  Play.Loop_.run(Millis{50});
  BOOST_TEST(Play.Workers_.Polls_ == 1);
}

// Guards against workers that stay unreachable because only their relay cannot
// reach them.
BOOST_AUTO_TEST_CASE(WorkerThatTheRelayDoesNotReachIsCalledDirectly) {
  RelayPlay Play;
  Play.Workers_.Failure_ =
      Error{Reason::Timeout, Effect::Unknown, "poll", "w1", "", {}};
  Play.poll();
  Play.Loop_.run(Millis{50});
  BOOST_TEST_REQUIRE((Play.Polled_ && !*Play.Polled_));
  BOOST_TEST((Play.Polled_->error().Reason_ == Reason::Timeout));
  Play.poll();
  BOOST_TEST(Play.DirectWorkers_.Polls_ == 1);
}

BOOST_AUTO_TEST_CASE(StoppingNodeTakesNoMoreCalls) {
  RelayPlay Play;
  Play.Relay_->close();
  Play.start();
  Play.Loop_.run(Millis{50});
  BOOST_TEST(Play.Workers_.Starts_ == 0);
  BOOST_TEST(wasNotMade(Play.Started_));
}

// Guards against a task that runs twice: the first copy of the message was
// carried out, so the rejection of the second does not show that the order was
// not.
BOOST_AUTO_TEST_CASE(RejectedSecondCopyLeavesTheOrderUncertain) {
  for (const bool Stops : {true, false}) {
    RelayPlay Play;
    Play.Loop_.run(Millis{50});
    Play.Workers_.Silent_ = true;
    Play.Network_.BrokenConnections_ = {Stops ? Millis{20} : Millis{520}};
    Play.start();
    Play.Loop_.run(Millis{10});
    BOOST_TEST_REQUIRE(Play.Workers_.Starts_ == 1);
    if (Stops)
      Play.Relay_->close();
    Play.Loop_.run(Second * 2);
    BOOST_TEST_REQUIRE((Play.Started_ && !*Play.Started_));
    BOOST_TEST((Play.Started_->error().Effect_ == Effect::Unknown));
  }
}

// Guards against a zone whose workers are not called any more, because the
// clock of its relay was read from a reply that a busy leader handled late.
BOOST_AUTO_TEST_CASE(ClockReadLateDoesNotStopTheCalls) {
  RelayPlay Play;
  Play.Leader_->close();
  Play.Network_.ReplyDelay_ = Millis{600};
  Play.Leader_ = Play.makeLeader(Epoch + 1);
  Play.Loop_.run(Millis{640});
  Play.Network_.ReplyDelay_ = Millis{};
  Play.keepPolling();
  Play.Loop_.run(Second * 5);
  BOOST_TEST((Play.Polled_ && *Play.Polled_));
  BOOST_TEST(Play.Workers_.Polls_ + Play.DirectWorkers_.Polls_ > 0);
}

// Guards against a relay that no longer recognizes late calls, or rejects all,
// because its machine has started again and its clock with it.
BOOST_AUTO_TEST_CASE(ClockOfARestartedRelayIsReadAnew) {
  for (const Millis Shift : {Millis{-50000}, Millis{50000}}) {
    RelayPlay Play;
    Play.RelayClock_.Shift_ = Shift;
    Play.Relay_ =
        std::make_shared<Relay>(Play.RelayPorts_, RelayAddress, "second");
    Play.keepPolling();
    Play.Loop_.run(Second * 3);
    BOOST_TEST((Play.Polled_ && *Play.Polled_));
    Play.Network_.Delay_ = Millis{520};
    Play.start();
    Play.Loop_.run(Second * 2);
    BOOST_TEST(Play.Workers_.Starts_ == 0);
  }
}

// Guards against a leader whose polls go round without end while it may not
// act: there is one message per round and relay.
BOOST_AUTO_TEST_CASE(PollsOfALeaderThatMayNotActMultiplyNoMessages) {
  RelayPlay Play;
  Play.MayActUntil_ = Play.Loop_.monotonic();
  Play.Loop_.run(Millis{50});
  const int CallsBefore = Play.Network_.Calls_;
  Play.keepPolling();
  Play.Loop_.run(Second * 2);
  // One each 150 ms, as after other failures, and one for each heartbeat.
  BOOST_TEST(Play.Network_.Calls_ - CallsBefore <= 30);
  BOOST_TEST(Play.Workers_.Polls_ + Play.DirectWorkers_.Polls_ > 0);
}

// Guards against an end that is reported to the wrong leader: the numbers of
// calls start anew with each leader.
BOOST_AUTO_TEST_CASE(ReplyToACallOfAnEarlierLeaderIsDropped) {
  RelayPlay Play;
  Play.Workers_.Loop_ = &Play.Loop_;
  Play.Workers_.Delay_ = Millis{200};
  Play.start();
  Play.Loop_.run(Millis{50});
  BOOST_TEST_REQUIRE(Play.Workers_.Starts_ == 1);
  Play.Leader_->close();
  Play.Leader_ = Play.makeLeader(Epoch + 1);
  Play.Loop_.run(Millis{50});
  // The call has the same number as the one before.
  Play.Workers_.Silent_ = true;
  Play.start();
  Play.Loop_.run(Second);
  BOOST_TEST(Play.Workers_.Starts_ == 2);
  BOOST_TEST(isTimeout(Play.Started_));
}

// Guards against a short silence of a relay that counts once for each batch
// that was on its way, so that the leader calls the workers itself for long.
BOOST_AUTO_TEST_CASE(OneSilenceOfARelayIsOneFailure) {
  RelayPlay Play;
  Play.Network_.Cut_.insert(RelayAddress);
  constexpr int Batches = 40;
  for (int Batch = 0; Batch < Batches; ++Batch) {
    Play.start();
    Play.Loop_.run(Millis{20});
  }
  Play.Network_.Cut_.clear();
  Play.Loop_.run(Millis{2500});
  Play.poll();
  Play.Loop_.run(Millis{50});
  BOOST_TEST(Play.Workers_.Polls_ == 1);
  BOOST_TEST(Play.DirectWorkers_.Polls_ == 0);
}

// Guards against a relay without a way to the workers that is used again and
// again while direct calls succeed.
BOOST_AUTO_TEST_CASE(RelayThatReachesNoWorkerIsNotUsed) {
  RelayPlay Play;
  Play.Workers_.Failure_ =
      Error{Reason::ConnectFailed, Effect::None, "poll", "w1", "", {}};
  constexpr int Seconds = 30;
  for (int Count = 0; Count < Seconds * 10; ++Count) {
    Play.poll();
    Play.Loop_.run(Millis{100});
  }
  BOOST_TEST(Play.Workers_.Polls_ <= 6);
}

BOOST_AUTO_TEST_CASE(BatchesAreTheSameAfterTransport) {
  CallBatch Calls;
  Calls.Leader_ = "10.0.0.9:1";
  Calls.Epoch_ = Epoch;
  Calls.Number_ = 17;
  Calls.Expiry_ = Millis{12345};
  Calls.Calls_ = {makeStart(1, "shared"), makeStart(2, "shared"),
                  makeStart(3, "")};
  const WorkerTarget Target = Calls.Calls_.front().Target_;
  Calls.Calls_.push_back(WorkerCall{4, Target, StopOrder{"task", 7}});
  Calls.Calls_.push_back(WorkerCall{5, Target, PaceOrder{"task", 7, 25}});
  Calls.Calls_.push_back(
      WorkerCall{6, Target, PollRequest{Millis{8000}, 12, Millis{1000}}});
  const auto DecodedCalls = decodeCallBatch(encodeCallBatch(Calls));
  BOOST_TEST_REQUIRE(DecodedCalls.has_value());
  BOOST_TEST((DecodedCalls.value() == Calls));

  ReplyBatch Replies{RelayAddress, Epoch, {}};
  PollReply Poll;
  Poll.Clock_ = Millis{77};
  Poll.ProcessStart_ = 1700000000000;
  Poll.Unbound_ = true;
  Poll.Running_ = {RunningEntry{"task", 7, "saved", 40, 2300}};
  Poll.Ended_ = {EndedTask{58, "other", 2, TaskEnd::GangAlone, ""}};
  Replies.Replies_ = {
      WorkerCallReply{1, OrderReply{OrderOutcome::BadTicket, Millis{5}}},
      WorkerCallReply{2, Poll},
      WorkerCallReply{3, Error{Reason::ConnectFailed,
                               Effect::None,
                               "start",
                               "10.0.0.1:1",
                               "refused",
                               {}}}};
  const auto DecodedReplies = decodeReplyBatch(encodeReplyBatch(Replies));
  BOOST_TEST_REQUIRE(DecodedReplies.has_value());
  BOOST_TEST((DecodedReplies.value() == Replies));
}

// Each cut and each changed byte of a batch is decoded or is an error.
BOOST_AUTO_TEST_CASE(MalformedBatchesAreErrors) {
  CallBatch Calls;
  Calls.Calls_ = {makeStart(1, "payload")};
  ReplyBatch Replies{RelayAddress, Epoch, {}};
  PollReply Poll;
  Poll.Running_ = {RunningEntry{"task", 7, "saved", 40, 2300}};
  Poll.Ended_ = {EndedTask{58, "other", 2, TaskEnd::Done, ""}};
  Replies.Replies_ = {WorkerCallReply{1, Poll}, WorkerCallReply{2, Error{}}};
  for (const std::string &Text :
       {encodeCallBatch(Calls), encodeReplyBatch(Replies)})
    for (std::size_t Size = 0; Size < Text.size(); ++Size) {
      const std::string Cut = Text.substr(0, Size);
      BOOST_TEST((!decodeCallBatch(Cut) && !decodeReplyBatch(Cut)));
      for (int Byte = 0; Byte < 256; ++Byte) {
        std::string Changed = Text;
        Changed[Size] = static_cast<char>(Byte);
        (void)decodeCallBatch(Changed).has_value();
        (void)decodeReplyBatch(Changed).has_value();
      }
    }
}

// The strongest nodes of each zone carry the calls to its workers.
BOOST_AUTO_TEST_CASE(StrongNodesOfEachZoneAreRelays) {
  const PeerNodes Nodes = {{"a", {Millis{100}, 0.5, "dock"}},
                           {"b", {Millis{100}, 0.5, "dock"}},
                           {"c", {Millis{10}, 1.0, "dock"}},
                           {"d", {Millis{100}, 0.12, "yard"}},
                           {"e", {Millis{100}, 0.3, "gate"}}};
  const std::map<std::string, std::size_t> Workers = {
      {"dock", 300}, {"yard", 100}, {"gate", 301}};
  const auto Choose = [&](std::size_t MinWorkers) {
    return chooseRelays(Nodes, Millis{50}, 0.5, MinWorkers, Workers);
  };
  const RelaysByZone Relays = Choose(400);
  BOOST_TEST(Relays.size() == 2U);
  BOOST_TEST(Relays.at("dock").size() == 1U);
  BOOST_TEST(Relays.at("dock").front() != "c");
  BOOST_TEST(Relays.at("gate").size() == 1U);
  BOOST_TEST(Choose(702).empty());
}

BOOST_AUTO_TEST_SUITE_END()
