#include "drivers/beast/event_loop.h"
#include "drivers/beast/stall_watch.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace damaskglade;
using namespace damaskglade::drivers;

BOOST_AUTO_TEST_SUITE(StallWatchTests)

// Guards against deadlines that are shortened on a loop which is only busy.
BOOST_AUTO_TEST_CASE(ShortDelayIsNoStall) {
  StallWatch Watch;
  BOOST_TEST(longestWait(Watch, Millis{90000}).Value_ == 0);
  BOOST_TEST(!recordCheck(Watch, Millis{90000}));
  const Millis Late =
      Millis{90000} + StallWatch::CheckPeriod + StallWatch::MinStall;
  BOOST_TEST(longestWait(Watch, Late - Millis{1}).Value_ == 0);
  BOOST_TEST(!recordCheck(Watch, Late - Millis{1}));
}

// Guards against a request that is read after a stall as if it were new.
BOOST_AUTO_TEST_CASE(RequestsMayHaveWaitedSinceTheStallBegan) {
  StallWatch Watch;
  recordCheck(Watch, Millis{1000});
  // Read before the check that is due.
  BOOST_TEST(longestWait(Watch, Millis{5000}).Value_ == 4000);
  BOOST_TEST(recordCheck(Watch, Millis{5000}));
  BOOST_TEST(!recordCheck(Watch, Millis{5100}));
  BOOST_TEST(longestWait(Watch, Millis{5150}).Value_ == 4150);
  endStall(Watch);
  BOOST_TEST(longestWait(Watch, Millis{5160}).Value_ == 0);
}

// Guards against a loop that does not tell its requests of a stall, or of one
// that is over.
BOOST_AUTO_TEST_CASE(RequestTellsHowLongItMayHaveWaited) {
  constexpr const char *Address = "127.0.0.1:11433";
  constexpr Millis Stall{1000};
  EventLoop Loop;
  std::vector<Millis> Waits;
  BOOST_TEST_REQUIRE(
      Loop.listen(Address, ListenerLimits{},
                  [&](const WebRequest &Request, const WebReplier &Reply) {
                    Waits.push_back(Request.Waited_);
                    Reply(WebReply{});
                  })
          .has_value());
  Loop.watchStalls();
  const auto Client = Loop.makeClient();
  WebCall Call;
  Call.Address_ = Address;
  Call.Method_ = "GET";
  Call.Target_ = "/";
  Call.Timeout_ = Stall * 4;
  Client->call(Call, [&](const Result<WebReply> &) {
    Client->call(Call, [](const Result<WebReply> &) {});
    sleepFor(Stall);
    Loop.after(StallWatch::CheckPeriod * 2, [&] {
      Client->call(Call, [&](const Result<WebReply> &) { Loop.stop(); });
    });
  });
  Loop.run();
  BOOST_TEST_REQUIRE(Waits.size() == 3U);
  BOOST_TEST(Waits[0].Value_ == 0);
  BOOST_TEST(Waits[1].Value_ >= Stall.Value_);
  BOOST_TEST(Waits[2].Value_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()
