#include "drivers/beast/event_loop.h"
#include "drivers/log/bounded_log.h"
#include "tests/stand_ins/relay.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace damaskglade;
using namespace damaskglade::drivers;

namespace {

// Below the ports of the process tests and the soak, which run beside it.
constexpr int Port = 11431;
constexpr const char *Address = "127.0.0.1:11431";

/// Runs the loop until the call is answered.
Result<WebReply> exchange(EventLoop &Loop, WebClient &Client, WebCall Call) {
  std::optional<Result<WebReply>> Out;
  Call.Address_ = Call.Address_.empty() ? Address : Call.Address_;
  Client.call(Call, [&](Result<WebReply> Reply) {
    Out.emplace(std::move(Reply));
    Loop.stop();
  });
  Loop.run();
  return *Out;
}

WebCall post(const std::string &Body) {
  WebCall Call;
  Call.Method_ = "POST";
  Call.Target_ = "/echo?x=1";
  Call.Body_ = Body;
  return Call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Beast)

// Guards against planning that goes before replies and calls that are ready.
BOOST_AUTO_TEST_CASE(IdleTaskRunsAfterWhatIsReady) {
  EventLoop Loop;
  std::string Order;
  Loop.whenIdle(Millis{5000}, [&] {
    Order += "i";
    Loop.stop();
  });
  for (int Count = 0; Count < 3; ++Count)
    Loop.after(Millis{}, [&] {
      Order += "r";
      Loop.after(Millis{}, [&] { Order += "r"; });
    });
  Loop.run();
  BOOST_TEST(Order == "rrrrrri");
}

// Guards against planning that never takes place in a busy event loop.
BOOST_AUTO_TEST_CASE(IdleTaskOfABusyLoopRunsOnceAtItsLimit) {
  EventLoop Loop;
  int Runs = 0;
  bool Busy = true;
  const std::function<void()> KeepBusy = [&] {
    if (Busy)
      Loop.after(Millis{}, KeepBusy);
  };
  KeepBusy();
  Loop.whenIdle(Millis{20}, [&] {
    ++Runs;
    Loop.after(Millis{40}, [&] { Busy = false; });
    Loop.after(Millis{80}, [&] { Loop.stop(); });
  });
  Loop.run();
  BOOST_TEST(Runs == 1);
}

BOOST_AUTO_TEST_CASE(RequestAndReplyArriveWhole) {
  EventLoop Loop;
  BOOST_TEST_REQUIRE(
      Loop.listen(Address, ListenerLimits{},
                  [](const WebRequest &Request, const WebReplier &Reply) {
                    WebReply Out;
                    Out.Status_ = 429;
                    Out.Body_ = Request.Method_ + ' ' + Request.Target_ + ' ' +
                                Request.Body_;
                    Out.RetryAfter_ = Millis{1500};
                    Reply(Out);
                  })
          .has_value());
  const auto Client = Loop.makeClient();
  const auto Reply = exchange(Loop, *Client, post("crates"));
  BOOST_TEST_REQUIRE(Reply.has_value());
  BOOST_TEST(Reply.value().Status_ == 429);
  BOOST_TEST(Reply.value().Body_ == "POST /echo?x=1 crates");
  BOOST_TEST(Reply.value().RetryAfter_.Value_ == 2000);
}

BOOST_AUTO_TEST_CASE(LargeBodyIsRefused) {
  EventLoop Loop;
  ListenerLimits Limits;
  Limits.BodyBytes_ = 10;
  BOOST_TEST_REQUIRE(
      Loop.listen(Address, Limits,
                  [](const WebRequest &, const WebReplier &Reply) {
                    Reply(WebReply{});
                  })
          .has_value());
  const auto Client = Loop.makeClient();
  const auto Reply = exchange(Loop, *Client, post(std::string(100, 'x')));
  BOOST_TEST_REQUIRE(Reply.has_value());
  BOOST_TEST(Reply.value().Status_ == 413);
}

// Guards against a refusal that is told as "may have run".
BOOST_AUTO_TEST_CASE(RefusedConnectionHasNoEffect) {
  EventLoop Loop;
  const auto Client = Loop.makeClient();
  const auto Reply = exchange(Loop, *Client, post("x"));
  BOOST_TEST_REQUIRE(!Reply.has_value());
  BOOST_TEST((Reply.error().Reason_ == Reason::ConnectFailed));
  BOOST_TEST((Reply.error().Effect_ == Effect::None));
}

// Guards against a silent peer that holds a caller for ever.
BOOST_AUTO_TEST_CASE(SilentPeerIsATimeoutWithUnknownEffect) {
  EventLoop Loop;
  std::vector<WebReplier> Kept;
  BOOST_TEST_REQUIRE(
      Loop.listen(Address, ListenerLimits{},
                  [&](const WebRequest &, const WebReplier &Reply) {
                    Kept.push_back(Reply);
                  })
          .has_value());
  const auto Client = Loop.makeClient();
  WebCall Call = post("x");
  Call.Timeout_ = Millis{50};
  const auto Reply = exchange(Loop, *Client, Call);
  BOOST_TEST_REQUIRE(!Reply.has_value());
  BOOST_TEST((Reply.error().Reason_ == Reason::Timeout));
  BOOST_TEST((Reply.error().Effect_ == Effect::Unknown));
  Kept.clear();
}

// Guards against calls that share a timer and wait for the timeout of a call
// that was made before, and against a client that is destroyed with open calls.
BOOST_AUTO_TEST_CASE(EachCallEndsAtItsOwnDeadline) {
  EventLoop Loop;
  std::vector<WebReplier> Kept;
  BOOST_TEST_REQUIRE(
      Loop.listen(Address, ListenerLimits{},
                  [&](const WebRequest &, const WebReplier &Reply) {
                    Kept.push_back(Reply);
                  })
          .has_value());
  auto Client = Loop.makeClient();
  std::vector<int> Ended;
  const auto CallWithTimeout = [&](int Timeout) {
    WebCall Call = post("x");
    Call.Address_ = Address;
    Call.Timeout_ = Millis{Timeout};
    Client->call(Call, [&Ended, &Loop, Timeout](const Result<WebReply> &Reply) {
      BOOST_TEST((!Reply && Reply.error().Reason_ == Reason::Timeout));
      Ended.push_back(Timeout);
      if (Ended.size() == 3)
        Loop.stop();
    });
  };
  for (const int Timeout : {100000, 120, 40, 80})
    CallWithTimeout(Timeout);
  Loop.run();
  const std::vector<int> Expected{40, 80, 120};
  BOOST_TEST(Ended == Expected, boost::test_tools::per_element());
  Client.reset();
  Kept.clear();
}

// Guards against callers that time out in the queue of new connections while
// each turn of the loop takes long.
BOOST_AUTO_TEST_CASE(WaitingConnectionsAreAcceptedTogether) {
  EventLoop Server;
  BOOST_TEST_REQUIRE(
      Server
          .listen(Address, ListenerLimits{},
                  [](const WebRequest &, const WebReplier &Reply) {
                    Reply(WebReply{});
                  })
          .has_value());
  constexpr int Callers = 50;
  std::atomic<int> Answered{0};
  std::atomic<int> Failed{0};
  std::thread Clients([&] {
    EventLoop Loop;
    const auto Client = Loop.makeClient();
    for (int Caller = 0; Caller < Callers; ++Caller) {
      WebCall Call = post("crates");
      Call.Address_ = Address;
      Call.Timeout_ = Millis{20000};
      Client->call(Call, [&](const Result<WebReply> &Reply) {
        Failed += Reply ? 0 : 1;
        if (++Answered == Callers)
          Loop.stop();
      });
    }
    Loop.run();
  });
  int Turns = 0;
  std::function<void()> CountTurn = [&] {
    constexpr Millis TurnLength{20};
    sleepFor(TurnLength);
    ++Turns;
    if (Answered == Callers)
      return Server.stop();
    Server.after(Millis{}, CountTurn);
  };
  Server.after(Millis{}, CountTurn);
  Server.run();
  Clients.join();
  BOOST_TEST(Failed == 0);
  BOOST_TEST(Turns < Callers / 2);
}

// Guards against a peer that counts as silent because this process was busy
// while the reply arrived.
BOOST_AUTO_TEST_CASE(LateLoopDoesNotEndCallsAtTheirDeadline) {
  EventLoop Server;
  BOOST_TEST_REQUIRE(
      Server
          .listen(Address, ListenerLimits{},
                  [](const WebRequest &, const WebReplier &Reply) {
                    Reply(WebReply{});
                  })
          .has_value());
  std::thread ServerThread([&] { Server.run(); });
  EventLoop Loop;
  const auto Client = Loop.makeClient();
  WebCall Call = post("crates");
  static constexpr Millis Timeout{100};
  Call.Timeout_ = Timeout;
  // Runs once the connection has been requested.
  Loop.after(Millis{}, [] { sleepFor(Timeout * 2); });
  const auto Reply = exchange(Loop, *Client, Call);
  Server.after(Millis{}, [&] { Server.stop(); });
  ServerThread.join();
  BOOST_TEST(Reply.has_value());
}

// Guards against an order that a process sends after it has been paused, on a
// new connection or again because its connection was closed meanwhile.
BOOST_AUTO_TEST_CASE(PausedProcessSendsNoOldCalls) {
  EventLoop Server;
  std::atomic<int> Requests{0};
  ListenerLimits Limits;
  Limits.Idle_ = Millis{30};
  BOOST_TEST_REQUIRE(
      Server
          .listen(Address, Limits,
                  [&Requests](const WebRequest &, const WebReplier &Reply) {
                    ++Requests;
                    Reply(WebReply{});
                  })
          .has_value());
  std::thread ServerThread([&] { Server.run(); });
  for (const bool Reuses : {false, true}) {
    EventLoop Loop;
    const auto Client = Loop.makeClient();
    WebCall Call = post("crates");
    Call.Address_ = Address;
    static constexpr Millis Timeout{50};
    if (Reuses)
      Client->call(Call, [](const Result<WebReply> &) {});
    Call.Timeout_ = Timeout;
    std::optional<Result<WebReply>> Outcome;
    // The server has closed the kept connection by then.
    Loop.after(Millis{200}, [&] {
      Client->call(Call, [&](Result<WebReply> Reply) {
        Outcome.emplace(std::move(Reply));
        Loop.stop();
      });
      Loop.after(Millis{}, [] { sleepFor(Timeout * 10); });
    });
    const int Before = Requests;
    Loop.run();
    BOOST_TEST(!Outcome->has_value());
    BOOST_TEST(Requests == Before + (Reuses ? 1 : 0));
  }
  Server.after(Millis{}, [&] { Server.stop(); });
  ServerThread.join();
}

// Guards against a rejection of the second copy of a call that is taken for a
// statement about the first one.
BOOST_AUTO_TEST_CASE(RepeatedCallIsMarkedInItsReply) {
  EventLoop Loop;
  ListenerLimits Limits;
  Limits.Idle_ = Millis{30};
  BOOST_TEST_REQUIRE(
      Loop.listen(Address, Limits,
                  [](const WebRequest &, const WebReplier &Reply) {
                    Reply(WebReply{});
                  })
          .has_value());
  const auto Client = Loop.makeClient();
  std::vector<bool> Resent;
  const auto Exchange = [&](const std::function<void()> &Next) {
    WebCall Call = post("x");
    Call.Address_ = Address;
    Client->call(Call, [&Resent, Next](const Result<WebReply> &Reply) {
      BOOST_TEST_REQUIRE(Reply.has_value());
      Resent.push_back(Reply.value().Resent_);
      Next();
    });
  };
  // The server closes the idle connection before the second call.
  Exchange([&] {
    Loop.after(Millis{200}, [&] { Exchange([&] { Loop.stop(); }); });
  });
  Loop.run();
  const std::vector<bool> Expected{false, true};
  BOOST_TEST(Resent == Expected, boost::test_tools::per_element());
}

namespace {

/// A server behind a link whose open connections can go silent.
class SilencedServer {
public:
  static constexpr const char *UnansweredBody = "unanswered";

  /// Requests are answered once this many of them wait.
  explicit SilencedServer(std::size_t RequestsTogether)
      : RequestsTogether_(RequestsTogether), Link_({{LinkName, 0, Port, {}}}) {
    BOOST_TEST_REQUIRE(
        Server_
            .listen(Address, ListenerLimits{},
                    [this](const WebRequest &Request, const WebReplier &Reply) {
                      answer(Request, Reply);
                    })
            .has_value());
    Thread_ = std::thread([this] { Server_.run(); });
  }
  ~SilencedServer() {
    Server_.after(Millis{}, [this] { Server_.stop(); });
    Thread_.join();
  }
  SilencedServer(const SilencedServer &) = delete;
  SilencedServer &operator=(const SilencedServer &) = delete;

  std::string address() {
    return "127.0.0.1:" + std::to_string(Link_.port(LinkName));
  }
  void silenceOpen() {
    Link_.silenceOpen(LinkName);
    // The link does so within a turn of its loop.
    constexpr Millis LinkTime{100};
    sleepFor(LinkTime);
    RequestsTogether_ = 1;
  }

private:
  static constexpr const char *LinkName = "server";

  void answer(const WebRequest &Request, const WebReplier &Reply) {
    if (Request.Body_ == UnansweredBody) {
      Unanswered_.push_back(Reply);
      return;
    }
    Waiting_.push_back(Reply);
    if (Waiting_.size() < RequestsTogether_)
      return;
    for (const WebReplier &Replier : std::exchange(Waiting_, {}))
      Replier(WebReply{});
  }

  EventLoop Server_;
  std::atomic<std::size_t> RequestsTogether_;
  std::vector<WebReplier> Waiting_;
  std::vector<WebReplier> Unanswered_;
  stand_ins::Relay Link_;
  std::thread Thread_;
};

/// A client whose event loop runs on a thread of its own.
class ClientThread {
public:
  ClientThread() {
    constexpr Millis LongerThanAnyTest{3600000};
    Loop_.after(LongerThanAnyTest, [] {});
    Thread_ = std::thread([this] { Loop_.run(); });
  }
  ~ClientThread() {
    Loop_.after(Millis{}, [this] { Loop_.stop(); });
    Thread_.join();
  }
  ClientThread(const ClientThread &) = delete;
  ClientThread &operator=(const ClientThread &) = delete;

  std::future<Result<WebReply>> call(const WebCall &Call) {
    const auto Outcome = std::make_shared<std::promise<Result<WebReply>>>();
    Loop_.after(Millis{}, [this, Call, Outcome] {
      Client_->call(Call, [Outcome](Result<WebReply> Reply) {
        Outcome->set_value(std::move(Reply));
      });
    });
    return Outcome->get_future();
  }

private:
  EventLoop Loop_;
  const std::unique_ptr<WebClient> Client_ = Loop_.makeClient();
  std::thread Thread_;
};

} // namespace

// Guards against a peer that stays out of use for one timeout for each
// connection to it that went silent without a reset.
BOOST_AUTO_TEST_CASE(SilentConnectionTimesOutASingleCall) {
  const std::vector<std::string> Groups = {"", "", "", "", "look", "look"};
  SilencedServer Server(Groups.size());
  ClientThread Client;
  WebCall Call = post("x");
  Call.Address_ = Server.address();
  constexpr Millis EnoughTime{10000};
  Call.Timeout_ = EnoughTime;
  const auto CallTogether = [&] {
    std::vector<std::future<Result<WebReply>>> Replies;
    for (const std::string &Group : Groups) {
      Call.ConnectionGroup_ = Group;
      Replies.push_back(Client.call(Call));
    }
    for (auto &Reply : Replies) {
      const auto Outcome = Reply.get();
      BOOST_TEST_REQUIRE(Outcome.has_value());
      BOOST_TEST(!Outcome.value().Resent_);
    }
  };
  CallTogether();
  Server.silenceOpen();
  Call.Timeout_ = Millis{200};
  const auto Silent = Client.call(Call).get();
  BOOST_TEST_REQUIRE(!Silent.has_value());
  BOOST_TEST((Silent.error().Reason_ == Reason::Timeout));
  BOOST_TEST(Silent.error().Message_.find("idle for") != std::string::npos);
  Call.Timeout_ = EnoughTime;
  CallTogether();
}

// Guards against a client that opens all connections anew after a slow call:
// those that have answered meanwhile are in order.
BOOST_AUTO_TEST_CASE(ConnectionThatAnswersMeanwhileIsKept) {
  SilencedServer Server(1);
  ClientThread Client;
  WebCall Fast = post("x");
  Fast.Address_ = Server.address();
  WebCall Slow = Fast;
  Slow.Body_ = SilencedServer::UnansweredBody;
  Slow.Timeout_ = Millis{500};
  auto SlowReply = Client.call(Slow);
  BOOST_TEST(Client.call(Fast).get().has_value());
  BOOST_TEST(!SlowReply.get().has_value());
  // A call on a new connection would be answered.
  Server.silenceOpen();
  Fast.Timeout_ = Millis{100};
  BOOST_TEST(!Client.call(Fast).get().has_value());
}

// Guards against a request that stays open for ever, and delays a planned stop,
// because its caller takes no reply.
BOOST_AUTO_TEST_CASE(ReplyThatIsNotTakenEndsTheConnection) {
  constexpr std::size_t ReplyBytes = std::size_t{64} * 1024 * 1024;
  EventLoop Loop;
  ListenerLimits Limits;
  Limits.Idle_ = Millis{200};
  BOOST_TEST_REQUIRE(
      Loop.listen(Address, Limits,
                  [](const WebRequest &, const WebReplier &Reply) {
                    Reply(WebReply{200, std::string(ReplyBytes, 'x')});
                  })
          .has_value());
  const int Caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Loop.after(Millis{}, [Caller] {
    sockaddr_in Server{};
    Server.sin_family = AF_INET;
    Server.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Server.sin_port = htons(Port);
    BOOST_TEST_REQUIRE(connect(Caller,
                               reinterpret_cast<const sockaddr *>(&Server),
                               sizeof(Server)) == 0);
    const std::string Request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    BOOST_TEST(send(Caller, Request.data(), Request.size(), MSG_NOSIGNAL) > 0);
  });
  std::size_t OpenBefore = 0;
  Loop.after(Millis{100}, [&] { OpenBefore = Loop.openRequests(); });
  Loop.after(Millis{2000}, [&] { Loop.stop(); });
  Loop.run();
  close(Caller);
  BOOST_TEST(OpenBefore == 1U);
  BOOST_TEST(Loop.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(BadAddressIsAnError) {
  EventLoop Loop;
  const auto Client = Loop.makeClient();
  WebCall Call = post("x");
  Call.Address_ = "not-an-address";
  BOOST_TEST(!exchange(Loop, *Client, Call).has_value());
  BOOST_TEST(!Loop.listen("x", ListenerLimits{}, {}).has_value());
}

// Guards against a planned stop that cuts a request in progress.
BOOST_AUTO_TEST_CASE(DrainFinishesOpenRequests) {
  EventLoop Loop;
  BOOST_TEST_REQUIRE(
      Loop.listen(Address, ListenerLimits{},
                  [&](const WebRequest &, const WebReplier &Reply) {
                    Loop.drain();
                    Loop.after(Millis{30}, [Reply] {
                      Reply(WebReply{200, "late"});
                    });
                  })
          .has_value());
  const auto Client = Loop.makeClient();
  const auto Reply = exchange(Loop, *Client, post("x"));
  BOOST_TEST_REQUIRE(Reply.has_value());
  BOOST_TEST(Reply.value().Body_ == "late");
}

namespace {

/// A log whose reader stalls until it is released.
class StalledLog : public EventLog {
public:
  explicit StalledLog(std::vector<std::string> &Lines) : Lines_(Lines) {}
  void write(const LogEvent &Event) override {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Released_.wait(Lock, [this] { return Open_; });
    Lines_.push_back(Event.Message_);
  }
  void release() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Open_ = true;
    Released_.notify_all();
  }

private:
  std::vector<std::string> &Lines_;
  std::mutex Mutex_;
  std::condition_variable Released_;
  bool Open_ = false;
};

} // namespace

// Guards against a decision that waits for the reader of the log, and against
// lines that are lost without a trace.
BOOST_AUTO_TEST_CASE(StalledReaderNeverBlocksAndLossIsTold) {
  std::vector<std::string> Lines;
  auto Target = std::make_unique<StalledLog>(Lines);
  StalledLog &Stalled = *Target;
  const ManualClock Time(Millis{5000});
  {
    const auto Log =
        makeBoundedLog(std::move(Target), Time, LogBudget{100, 20});
    for (int Each = 0; Each < 1000; ++Each)
      Log->write(LogEvent{LogLevel::Info, "line", "", "", ""});
    Stalled.release();
  }
  BOOST_TEST(Lines.size() <= 60U);
  BOOST_TEST(Lines.back().find("dropped_lines=") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
