// Calls that are meant for one process of a worker, over connections that end
// with it.

#include "core/codec.h"
#include "drivers/beast/event_loop.h"
#include "platform/workers.h"
#include "tests/stand_ins/relay.h"

#include <arpa/inet.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <future>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace damaskglade;
using namespace damaskglade::platform;

namespace {

constexpr int Port = 11437;
const std::string Address = "127.0.0.1:" + std::to_string(Port);
constexpr std::int64_t FirstProcess = 1700000000001;
constexpr std::int64_t SecondProcess = 1700000000002;
constexpr std::int64_t ThirdProcess = 1700000000003;

WorkerTarget targetOf(std::int64_t Process, const std::string &At = Address) {
  return WorkerTarget{"i-1", At, 7, Process};
}

const StartOrder Order{"j.0.0.0", 2, "spec", Millis{99}, "", ""};
const PollRequest Renewal{Millis{9000}, 5, Millis{}};

/// What the clock of the process says at any time.
std::int64_t clockOf(std::int64_t Process) { return Process % 100; }

constexpr Millis LongIdle{20000};

/// A worker that closes the connections of its former process when it starts
/// again, and records what it is asked. Its event loop also runs the client.
class RestartingWorker {
public:
  explicit RestartingWorker(Millis Idle = IdleLimit)
      : Http_(Loop_.makeClient()) {
    drivers::ListenerLimits Limits;
    Limits.Idle_ = Idle;
    BOOST_TEST_REQUIRE(
        Loop_
            .listen(Address, Limits,
                    [this](const WebRequest &Request, const WebReplier &Reply) {
                      answer(Request, Reply);
                    })
            .has_value());
    Workers_ = makeTaskWorkers(*Http_);
    Loop_.keepRunning();
    Thread_ = std::thread([this] { Loop_.run(); });
  }
  ~RestartingWorker() {
    Loop_.after(Millis{}, [this] { Loop_.stop(); });
    Thread_.join();
  }
  RestartingWorker(const RestartingWorker &) = delete;
  RestartingWorker &operator=(const RestartingWorker &) = delete;

  /// The process ends, and with it all connections.
  void restart(std::int64_t Process) {
    onLoop<bool>([this, Process](const auto &Done) {
      Process_ = Process;
      Loop_.after(IdleLimit * 4, [Done] { Done(true); });
    });
  }

  /// The process ends, and its connections are left to the path.
  void replaceProcess(std::int64_t Process) {
    onLoop<bool>([this, Process](const auto &Done) {
      Process_ = Process;
      Done(true);
    });
  }

  /// Starts again once it has answered a poll.
  void restartAfterPoll(std::int64_t Process) {
    onLoop<bool>([this, Process](const auto &Done) {
      NextProcess_ = Process;
      Done(true);
    });
  }

  Result<OrderReply> start(std::int64_t Process) {
    return onLoop<Result<OrderReply>>([this, Process](const auto &Done) {
      Workers_->start(targetOf(Process, CalledAt_), Order, Done);
    });
  }

  Result<PollReply> poll(std::int64_t Process) {
    return onLoop<Result<PollReply>>([this, Process](const auto &Done) {
      Workers_->poll(targetOf(Process, CalledAt_),
                     Process == 0 ? PollRequest{} : Renewal, Done);
    });
  }

  int Starts_ = 0;
  std::vector<Json::Value> Polls_;
  std::string CalledAt_ = Address;

private:
  static constexpr Millis IdleLimit{300};

  /// Runs a task on the event loop and waits until it calls back.
  template <typename Outcome, typename Task> Outcome onLoop(Task Begin) {
    std::promise<Outcome> Ended;
    Loop_.after(Millis{}, [&Ended, Begin] {
      Begin([&Ended](Outcome Value) { Ended.set_value(std::move(Value)); });
    });
    return Ended.get_future().get();
  }

  void answer(const WebRequest &Request, const WebReplier &Reply) {
    const Json::Value Body = parseJson(Request.Body_, "test").value();
    Json::Value Out;
    Out["clockMs"] = Json::Int64(clockOf(Process_));
    if (Request.Target_ == "/api/hold") {
      Polls_.push_back(Body);
      Out["born"] = Json::Int64(Process_);
      Out["running"] = Json::arrayValue;
      Out["finished"] = Json::arrayValue;
    } else {
      ++Starts_;
    }
    Reply(WebReply{200, writeJson(Out)});
    if (Request.Target_ == "/api/hold" && NextProcess_ != 0)
      Process_ = std::exchange(NextProcess_, 0);
  }

  drivers::EventLoop Loop_;
  std::unique_ptr<WebClient> Http_;
  std::unique_ptr<TaskWorkers> Workers_;
  std::int64_t Process_ = FirstProcess;
  std::int64_t NextProcess_ = 0;
  std::thread Thread_;
};

/// A listener that accepts nothing and whose queue of new connections is full.
class FullQueue {
public:
  FullQueue() : Listener_(openSocket()) {
    sockaddr_in Address = loopback(0);
    BOOST_TEST_REQUIRE(bind(Listener_, reinterpret_cast<sockaddr *>(&Address),
                            sizeof(Address)) == 0);
    BOOST_TEST_REQUIRE(listen(Listener_, 0) == 0);
    socklen_t Size = sizeof(Address);
    getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port_ = ntohs(Address.sin_port);
    constexpr int Fillers = 4;
    for (int Count = 0; Count < Fillers; ++Count) {
      Fillers_.push_back(openSocket());
      (void)connect(Fillers_.back(), reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address));
    }
  }
  ~FullQueue() {
    for (const int Each : Fillers_)
      close(Each);
    close(Listener_);
  }
  FullQueue(const FullQueue &) = delete;
  FullQueue &operator=(const FullQueue &) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }

  /// Accepts connections for longer than a lost opening packet takes, and
  /// returns what arrives on them.
  std::string receiveAll() {
    std::string Received;
    std::vector<int> Accepted;
    constexpr int Rounds = 25;
    for (int Round = 0; Round < Rounds; ++Round) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      for (int Each = accept4(Listener_, nullptr, nullptr, SOCK_NONBLOCK);
           Each >= 0;
           Each = accept4(Listener_, nullptr, nullptr, SOCK_NONBLOCK))
        Accepted.push_back(Each);
      std::array<char, 4096> Chunk{};
      for (const int Each : Accepted)
        if (const ssize_t Size = recv(Each, Chunk.data(), Chunk.size(), 0);
            Size > 0)
          Received.append(Chunk.data(), static_cast<std::size_t>(Size));
    }
    BOOST_TEST(!Accepted.empty());
    for (const int Each : Accepted)
      close(Each);
    return Received;
  }

private:
  static int openSocket() {
    return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  }
  static sockaddr_in loopback(std::uint16_t Port) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Port);
    return Address;
  }

  const int Listener_;
  int Port_ = 0;
  std::vector<int> Fillers_;
};

/// A path to a worker through a relay.
class RelayedPath {
public:
  explicit RelayedPath(RestartingWorker &Worker,
                       std::vector<stand_ins::Rewrite> Rewrites = {})
      : Relay_({stand_ins::Link{Name, 0, Port, std::move(Rewrites)}}) {
    Worker.CalledAt_ = "127.0.0.1:" + std::to_string(Relay_.port(Name));
  }

  void set(stand_ins::LinkState State) {
    Relay_.set(Name, State);
    settle();
  }
  void closeOpen() {
    Relay_.closeOpen(Name);
    settle();
  }
  void redialOpen() {
    Relay_.redialOpen(Name);
    settle();
  }
  /// Waits until changes have taken effect and held bytes have gone on.
  static void settle() {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }

private:
  static constexpr const char *Name = "worker";
  stand_ins::Relay Relay_;
};

/// Answers calls with the queued outcomes.
class QueuedHttp : public WebClient {
public:
  void call(const WebCall &Call, WebReplyHandler Done) override {
    Calls_.push_back(Call);
    BOOST_TEST_REQUIRE(!Outcomes_.empty());
    const Result<WebReply> Outcome = Outcomes_.front();
    Outcomes_.pop_front();
    Done(Outcome);
  }

  std::deque<Result<WebReply>> Outcomes_;
  std::vector<WebCall> Calls_;
};

Result<OrderReply> startOver(QueuedHttp &Http) {
  std::optional<Result<OrderReply>> Out;
  makeTaskWorkers(Http)->start(
      targetOf(FirstProcess), Order,
      [&](const Result<OrderReply> &Reply) { Out.emplace(Reply); });
  return *Out;
}

Error failure(Reason Why, Effect Of) {
  return Error{Why, Of, "call", "", "", {}};
}

WebReply listOf(std::int64_t Process) {
  return WebReply{200, R"({"clockMs":1,"running":[],"finished":[],"born":)" +
                           std::to_string(Process) + "}"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerProcesses)

// Guards against a start that the next process of a worker carries out, and
// against a poll that renews its leases or makes it forget its ends.
BOOST_AUTO_TEST_CASE(CallsReachTheProcessTheyAreMeantForOrNone) {
  RestartingWorker Worker;
  BOOST_TEST(Worker.poll(0).value().ProcessStart_ == FirstProcess);
  const auto Started = Worker.start(FirstProcess);
  BOOST_TEST_REQUIRE(Started.has_value());
  BOOST_TEST((Started.value().Outcome_ == OrderOutcome::Done));
  BOOST_TEST(Worker.poll(FirstProcess).value().ProcessStart_ == FirstProcess);
  BOOST_TEST(Worker.Polls_.back()["deadlineMs"].asInt64() == 9000);
  BOOST_TEST(Worker.Polls_.back()["lastSeen"].asInt64() == 5);
  Worker.restart(SecondProcess);
  // The first order finds the connection closed, which may be its own fault.
  const auto Lost = Worker.start(FirstProcess);
  BOOST_TEST_REQUIRE(!Lost.has_value());
  BOOST_TEST((Lost.error().Effect_ == Effect::Unknown));
  const auto Late = Worker.start(FirstProcess);
  BOOST_TEST_REQUIRE(Late.has_value());
  BOOST_TEST((Late.value().Outcome_ == OrderOutcome::Restarted));
  BOOST_TEST(Worker.Starts_ == 1);
  BOOST_TEST(Worker.poll(FirstProcess).value().ProcessStart_ == SecondProcess);
  BOOST_TEST(!Worker.Polls_.back().isMember("deadlineMs"));
  BOOST_TEST(Worker.Polls_.back()["lastSeen"].asInt64() == 0);
}

// Guards against orders that go on to the next process after a poll has shown
// it: a proxy has kept the connections to the process before.
BOOST_AUTO_TEST_CASE(ProxiedConnectionsAreGivenUpOnceAnotherProcessAnswers) {
  RestartingWorker Worker(LongIdle);
  RelayedPath Path(Worker);
  BOOST_TEST(Worker.poll(0).value().ProcessStart_ == FirstProcess);
  Worker.replaceProcess(SecondProcess);
  Path.redialOpen();
  // Only its clock tells which process has taken the first order.
  const auto Taken = Worker.start(FirstProcess);
  BOOST_TEST_REQUIRE(Taken.has_value());
  BOOST_TEST(Taken.value().Clock_.Value_ == clockOf(SecondProcess));
  const auto Shown = Worker.poll(FirstProcess);
  BOOST_TEST(Shown.value().ProcessStart_ == SecondProcess);
  BOOST_TEST(Shown.value().Unbound_);
  const auto Next = Worker.start(FirstProcess);
  BOOST_TEST_REQUIRE(Next.has_value());
  BOOST_TEST((Next.value().Outcome_ == OrderOutcome::Restarted));
  BOOST_TEST(Worker.Starts_ == 1);
}

// Guards against a lease that is counted as that of a known process although
// the worker closes each connection after its reply, and starts again between
// the check of its process and the order.
BOOST_AUTO_TEST_CASE(WorkerThatKeepsNoConnectionTellsThatCallsAreUnbound) {
  RestartingWorker Worker(LongIdle);
  const RelayedPath Path(Worker, {{"HTTP/1.1 ", "HTTP/1.0 "}});
  const auto First = Worker.poll(0);
  BOOST_TEST(First.value().ProcessStart_ == FirstProcess);
  BOOST_TEST(First.value().Unbound_);
  Worker.restartAfterPoll(SecondProcess);
  const auto Taken = Worker.start(FirstProcess);
  BOOST_TEST_REQUIRE(Taken.has_value());
  BOOST_TEST(Taken.value().Clock_.Value_ == clockOf(SecondProcess));
  const auto Late = Worker.start(FirstProcess);
  BOOST_TEST_REQUIRE(Late.has_value());
  BOOST_TEST((Late.value().Outcome_ == OrderOutcome::Restarted));
  BOOST_TEST(Worker.Starts_ == 1);
  Worker.CalledAt_ = Address;
  BOOST_TEST(!Worker.poll(0).value().Unbound_);
}

// Guards against starts and renewals that reach the next process because the
// path accepts connections at once and delivers what they carry later.
BOOST_AUTO_TEST_CASE(CallsDeliveredLateAreOnlyChecks) {
  RestartingWorker Worker(LongIdle);
  RelayedPath Path(Worker);
  BOOST_TEST(Worker.poll(0).has_value());
  Path.set(stand_ins::LinkState::Cut);
  BOOST_TEST((Worker.start(FirstProcess).error().Effect_ == Effect::Unknown));
  BOOST_TEST((Worker.start(FirstProcess).error().Effect_ == Effect::None));
  BOOST_TEST(!Worker.poll(FirstProcess).has_value());
  Worker.replaceProcess(SecondProcess);
  Path.closeOpen();
  Path.set(stand_ins::LinkState::Open);
  Path.settle();
  BOOST_TEST(Worker.poll(FirstProcess).value().ProcessStart_ == SecondProcess);
  BOOST_TEST(Worker.Starts_ == 0);
  BOOST_TEST(Worker.Polls_.size() > 2U);
  for (const Json::Value &Poll : Worker.Polls_) {
    BOOST_TEST(!Poll.isMember("deadlineMs"));
    BOOST_TEST(Poll["lastSeen"].asInt64() == 0);
  }
}

// Guards against a start that is sent after its timeout because the queue of
// new connections was full: the system opens the connection a second later.
BOOST_AUTO_TEST_CASE(StartOnAConnectionThatOpensTooLateIsNotSent) {
  RestartingWorker Worker(LongIdle);
  FullQueue Queue;
  Worker.CalledAt_ = Queue.address();
  const auto Failed = Worker.start(0);
  BOOST_TEST_REQUIRE(!Failed.has_value());
  BOOST_TEST((Failed.error().Reason_ == Reason::Timeout));
  BOOST_TEST((Failed.error().Effect_ == Effect::None));
  BOOST_TEST(Queue.receiveAll() == "");
}

// Guards against orders for a process whose replies were lost before it ended,
// and for one that has ended before it was heard.
BOOST_AUTO_TEST_CASE(OrdersAfterLostRepliesReachNoLaterProcess) {
  RestartingWorker Worker(LongIdle);
  RelayedPath Path(Worker);
  BOOST_TEST(Worker.poll(0).has_value());
  Path.set(stand_ins::LinkState::OnlyOut);
  BOOST_TEST((Worker.start(FirstProcess).error().Effect_ == Effect::Unknown));
  BOOST_TEST(Worker.Starts_ == 1);
  Worker.replaceProcess(SecondProcess);
  Path.closeOpen();
  BOOST_TEST(!Worker.start(FirstProcess).has_value());
  Worker.replaceProcess(ThirdProcess);
  Path.closeOpen();
  Path.set(stand_ins::LinkState::Open);
  const auto Late = Worker.start(FirstProcess);
  BOOST_TEST_REQUIRE(Late.has_value());
  BOOST_TEST((Late.value().Outcome_ == OrderOutcome::Restarted));
  BOOST_TEST(Worker.Starts_ == 1);
  const auto Shown = Worker.poll(FirstProcess);
  BOOST_TEST(Shown.value().ProcessStart_ == ThirdProcess);
  BOOST_TEST(!Shown.value().Unbound_);
}

// Guards against orders that fail because the worker has closed an idle
// connection, and against a poll before each order.
BOOST_AUTO_TEST_CASE(ClosedConnectionToTheSameProcessIsReplaced) {
  RestartingWorker Worker;
  BOOST_TEST(Worker.poll(0).has_value());
  Worker.restart(FirstProcess);
  for (int Times = 0; Times < 3; ++Times) {
    const auto Reply = Worker.start(FirstProcess);
    BOOST_TEST_REQUIRE(Reply.has_value());
    BOOST_TEST((Reply.value().Outcome_ == OrderOutcome::Done));
  }
  BOOST_TEST(Worker.Starts_ == 3);
  BOOST_TEST(Worker.Polls_.size() == 2U);
}

// Guards against orders that a worker never gets because it closes each
// connection after its reply.
BOOST_AUTO_TEST_CASE(WorkerThatKeepsNoConnectionOpenIsCalled) {
  QueuedHttp Http;
  const Error NoConnection = failure(Reason::ConnectFailed, Effect::None);
  Http.Outcomes_ = {NoConnection, listOf(FirstProcess), NoConnection,
                    WebReply{200, R"({"clockMs":1})"}};
  const auto Reply = startOver(Http);
  BOOST_TEST_REQUIRE(Reply.has_value());
  BOOST_TEST((Reply.value().Outcome_ == OrderOutcome::Done));
  BOOST_TEST(!Http.Calls_[2].Peer_.empty());
  BOOST_TEST(Http.Calls_[3].Peer_.empty());
}

// Guards against a task that waits for an order that was not sent, and against
// one that is taken as not sent although a copy was.
BOOST_AUTO_TEST_CASE(FailedCheckTellsWhetherTheOrderWasSent) {
  const Error Silent = failure(Reason::Timeout, Effect::Unknown);
  QueuedHttp Http;
  Http.Outcomes_ = {failure(Reason::ConnectFailed, Effect::None), Silent};
  const auto NotSent = startOver(Http);
  BOOST_TEST_REQUIRE(!NotSent.has_value());
  BOOST_TEST((NotSent.error().Effect_ == Effect::None));
  Http.Outcomes_ = {failure(Reason::AnswerLost, Effect::Unknown), Silent};
  const auto Sent = startOver(Http);
  BOOST_TEST_REQUIRE(!Sent.has_value());
  BOOST_TEST((Sent.error().Effect_ == Effect::Unknown));
  Http.Outcomes_ = {failure(Reason::AnswerLost, Effect::Unknown),
                    listOf(FirstProcess),
                    WebReply{409, R"({"clockMs":1,"reason":"old"})"}};
  const auto Repeated = startOver(Http);
  BOOST_TEST_REQUIRE(!Repeated.has_value());
  BOOST_TEST((Repeated.error().Effect_ == Effect::Unknown));
  // A third copy could reach another process.
  Http.Outcomes_ = {failure(Reason::AnswerLost, Effect::Unknown),
                    listOf(FirstProcess),
                    failure(Reason::AnswerLost, Effect::Unknown)};
  const auto LostTwice = startOver(Http);
  BOOST_TEST_REQUIRE(!LostTwice.has_value());
  BOOST_TEST((LostTwice.error().Effect_ == Effect::Unknown));
  // The order may have ended the process that it was meant for.
  Http.Outcomes_ = {failure(Reason::AnswerLost, Effect::Unknown),
                    listOf(SecondProcess)};
  const auto Crashed = startOver(Http);
  BOOST_TEST_REQUIRE(!Crashed.has_value());
  BOOST_TEST((Crashed.error().Effect_ == Effect::Unknown));
  Http.Outcomes_ = {failure(Reason::ConnectFailed, Effect::None),
                    listOf(SecondProcess)};
  const auto Restarted = startOver(Http);
  BOOST_TEST_REQUIRE(Restarted.has_value());
  BOOST_TEST((Restarted.value().Outcome_ == OrderOutcome::Restarted));
}

BOOST_AUTO_TEST_SUITE_END()
