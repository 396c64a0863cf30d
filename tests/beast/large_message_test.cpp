// Messages of the largest size on event loops that have other work, too.

#include "drivers/beast/loop_thread.h"
#include "drivers/beast/transfer_progress.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace damaskglade;
using namespace damaskglade::drivers;

namespace {

// Below the ports of the process tests and the soak, which run beside it.
constexpr int Port = 11441;
constexpr const char *Address = "127.0.0.1:11441";
// The largest page of the store, and the largest transaction.
constexpr std::size_t MessageBytes = std::size_t{1024} * 1024;
constexpr int MaxTurns = MessageBytes / (std::size_t{16} * 1024);
constexpr Millis EnoughTime{60000};

/// Keeps a loop busy with turns that take some time, and counts them.
class BusyTurns {
public:
  explicit BusyTurns(EventLoop &Loop) : Loop_(Loop) {}
  void start() {
    Loop_.after(Millis{}, [this] {
      constexpr Millis TurnTime{2};
      sleepFor(TurnTime);
      ++Turns_;
      start();
    });
  }
  int count() const { return Turns_; }

private:
  EventLoop &Loop_;
  int Turns_ = 0;
};

/// Runs a loop on a thread until the end of the test.
class LoopOnThread {
public:
  explicit LoopOnThread(EventLoop &Loop)
      : Loop_(Loop), Thread_([&Loop] { Loop.run(); }) {}
  ~LoopOnThread() {
    Loop_.after(Millis{}, [this] { Loop_.stop(); });
    Thread_.join();
  }
  LoopOnThread(const LoopOnThread &) = delete;
  LoopOnThread &operator=(const LoopOnThread &) = delete;

private:
  EventLoop &Loop_;
  std::thread Thread_;
};

/// Answers each call with MessageBytes.
class LargeReplyServer {
public:
  LargeReplyServer() {
    BOOST_TEST_REQUIRE(
        Loop_
            .listen(Address, ListenerLimits{},
                    [](const WebRequest &, const WebReplier &Reply) {
                      Reply(WebReply{200, std::string(MessageBytes, 'x')});
                    })
            .has_value());
    Serving_.emplace(Loop_);
  }

private:
  EventLoop Loop_;
  std::optional<LoopOnThread> Serving_;
};

WebCall makeCall(const std::string &Body, Millis Timeout) {
  WebCall Call;
  Call.Address_ = Address;
  Call.Method_ = "POST";
  Call.Target_ = "/message";
  Call.Body_ = Body;
  Call.Timeout_ = Timeout;
  return Call;
}

Result<WebReply> exchange(EventLoop &Loop, const WebCall &Call) {
  const auto Client = Loop.makeClient();
  std::optional<Result<WebReply>> Outcome;
  Client->call(Call, [&](Result<WebReply> Reply) {
    Outcome.emplace(std::move(Reply));
    Loop.stop();
  });
  Loop.run();
  return std::move(*Outcome);
}

/// Announces a reply of MessageBytes to one call, and sends it in parts.
class PartServer {
public:
  /// After the last part it sends nothing more and keeps the connection.
  PartServer(std::size_t PartBytes, int Parts, Millis Pause)
      : Listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    constexpr int Yes = 1;
    setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
    sockaddr_in Own{};
    Own.sin_family = AF_INET;
    Own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Own.sin_port = htons(Port);
    BOOST_TEST_REQUIRE(bind(Listener_, reinterpret_cast<const sockaddr *>(&Own),
                            sizeof(Own)) == 0);
    BOOST_TEST_REQUIRE(listen(Listener_, 1) == 0);
    Thread_ = std::thread(
        [this, PartBytes, Parts, Pause] { serve(PartBytes, Parts, Pause); });
  }
  ~PartServer() {
    Thread_.join();
    close(Listener_);
  }
  PartServer(const PartServer &) = delete;
  PartServer &operator=(const PartServer &) = delete;

private:
  void serve(std::size_t PartBytes, int Parts, Millis Pause) const {
    const int Caller = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    char Request[4096];
    recv(Caller, Request, sizeof(Request), 0);
    std::string Part =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(MessageBytes) +
        "\r\n\r\n";
    for (int Count = 0; Count <= Parts; ++Count) {
      if (send(Caller, Part.data(), Part.size(), MSG_NOSIGNAL) < 0)
        break;
      Part.assign(PartBytes, 'x');
      sleepFor(Pause);
    }
    // Returns when the caller has closed the connection.
    recv(Caller, Request, sizeof(Request), 0);
    close(Caller);
  }

  const int Listener_;
  std::thread Thread_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LargeMessages)

// Guards against a configuration or a page of rows that a busy node receives in
// pieces of some hundred bytes, each of which waits for its other work.
BOOST_AUTO_TEST_CASE(LargeReplyTakesFewTurnsOfABusyLoop) {
  const LargeReplyServer Server;
  EventLoop Loop;
  BusyTurns Busy(Loop);
  Busy.start();
  const auto Reply = exchange(Loop, makeCall("", EnoughTime));
  BOOST_TEST_REQUIRE(Reply.has_value());
  BOOST_TEST(Reply.value().Body_.size() == MessageBytes);
  BOOST_TEST(Busy.count() <= MaxTurns);
}

// Guards against the same for what a node receives: batches of a relay, and
// the jobs of callers.
BOOST_AUTO_TEST_CASE(LargeRequestTakesFewTurnsOfABusyLoop) {
  EventLoop Server;
  BusyTurns Busy(Server);
  ListenerLimits Limits;
  Limits.BodyBytes_ = MessageBytes;
  BOOST_TEST_REQUIRE(
      Server
          .listen(Address, Limits,
                  [&](const WebRequest &Request, const WebReplier &Reply) {
                    BOOST_TEST(Request.Body_.size() == MessageBytes);
                    Reply(WebReply{200, std::to_string(Busy.count())});
                  })
          .has_value());
  Server.after(Millis{}, [&] { Busy.start(); });
  std::optional<Result<WebReply>> Reply;
  {
    const LoopOnThread Serving(Server);
    EventLoop Loop;
    Reply.emplace(
        exchange(Loop, makeCall(std::string(MessageBytes, 'x'), EnoughTime)));
  }
  BOOST_TEST_REQUIRE(Reply->has_value());
  BOOST_TEST(std::stoi(Reply->value().Body_) <= MaxTurns);
}

// Guards against a large reply that is cut by the timeout of its call while it
// keeps arriving, and is then read again from its first byte.
BOOST_AUTO_TEST_CASE(ReplyThatKeepsArrivingIsNotCut) {
  constexpr int Parts = 16;
  const PartServer Server(MessageBytes / Parts, Parts, Millis{50});
  EventLoop Loop;
  const auto Reply = exchange(Loop, makeCall("", Millis{200}));
  BOOST_TEST_REQUIRE(Reply.has_value());
  BOOST_TEST(Reply.value().Body_.size() == MessageBytes);
}

// Guards against a call that never ends because its peer stops in the middle of
// a reply, or sends a few bytes now and then.
BOOST_AUTO_TEST_CASE(ReplyThatStallsIsATimeout) {
  constexpr int Parts = 16;
  for (const std::size_t PartBytes : {MessageBytes / Parts, std::size_t{1}}) {
    const PartServer Server(PartBytes, Parts / 2, Millis{10});
    EventLoop Loop;
    const auto Reply = exchange(Loop, makeCall("", Millis{50}));
    BOOST_TEST_REQUIRE(!Reply.has_value());
    BOOST_TEST((Reply.error().Reason_ == Reason::Timeout));
    BOOST_TEST(Reply.error().Message_.find("bytes in") != std::string::npos);
  }
}

// Guards against a longer wait for a silent peer, which tells of its failure.
BOOST_AUTO_TEST_CASE(OnlyAMessageThatMovesExtendsItsCall) {
  const TransferProgress Sent{100, 100, 0, 0};
  BOOST_TEST(!keepsMoving(TransferProgress{100, 0, 0, 0}, Sent));
  BOOST_TEST(!keepsMoving(Sent, Sent));
  const TransferProgress PartlySent{8000, 1000, 0, 0};
  BOOST_TEST(keepsMoving(TransferProgress{8000, 0, 0, 0}, PartlySent));
  BOOST_TEST(!keepsMoving(PartlySent, PartlySent));
  const TransferProgress PartlyReceived{100, 100, 8000, 1000};
  BOOST_TEST(keepsMoving(Sent, PartlyReceived));
  BOOST_TEST(!keepsMoving(PartlyReceived, PartlyReceived));
  BOOST_TEST(
      !keepsMoving(PartlyReceived, TransferProgress{100, 100, 8000, 1999}));
}

// Guards against a configuration that waits for the event loop of a busy node
// before it has been received.
BOOST_AUTO_TEST_CASE(LoopThreadReceivesWhileAnotherLoopIsBlocked) {
  const LargeReplyServer Server;
  EventLoop Node;
  LoopThread Receiver;
  const auto Client = Receiver.loop().makeClient();
  std::atomic<bool> Received{false};
  bool HandedOver = false;
  Receiver.loop().after(Millis{}, [&] {
    Client->call(makeCall("", EnoughTime), [&](const Result<WebReply> &Reply) {
      BOOST_TEST(Reply.has_value());
      Received = true;
      Node.after(Millis{}, [&] {
        HandedOver = true;
        Node.stop();
      });
    });
  });
  Node.keepRunning();
  Node.after(Millis{}, [&] {
    Receiver.start();
    for (Millis Waited{}; !Received && Waited < EnoughTime;
         Waited = Waited + Millis{1})
      sleepFor(Millis{1});
    BOOST_TEST(Received.load());
  });
  Node.run();
  Receiver.stop();
  BOOST_TEST(HandedOver);
}

BOOST_AUTO_TEST_SUITE_END()
