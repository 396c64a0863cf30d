// Messages of the largest size on event loops that have other work, too.

#include "drivers/beast/event_loop.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

using namespace damaskglade;
using namespace damaskglade::drivers;

namespace {

// Below the ports of the process tests and the soak, which run beside it.
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

} // namespace

BOOST_AUTO_TEST_SUITE(LargeMessages)

// Guards against a configuration or a page of rows that a busy node receives in
// pieces of some hundred bytes, each of which waits for its other work.
BOOST_AUTO_TEST_CASE(LargeReplyTakesFewTurnsOfABusyLoop) {
  EventLoop Server;
  BOOST_TEST_REQUIRE(
      Server
          .listen(Address, ListenerLimits{},
                  [](const WebRequest &, const WebReplier &Reply) {
                    Reply(WebReply{200, std::string(MessageBytes, 'x')});
                  })
          .has_value());
  const LoopOnThread Serving(Server);
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

BOOST_AUTO_TEST_SUITE_END()
