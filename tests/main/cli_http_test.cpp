#include "core/thread.h"
#include "main/cli_http.h"

#include <boost/test/unit_test.hpp>
#include <httplib.h>

using namespace damaskglade;
using namespace damaskglade::cli;

namespace {

constexpr Millis Wait{2000};

// A node that answers with its name, or closes the connection after it has
// read the request.
class StandIn {
public:
  explicit StandIn(const std::string &Name, bool Breaks = false) {
    const auto Answer = [this, Name, Breaks](const httplib::Request &,
                                             httplib::Response &Reply) {
      ++Calls_;
      if (!Breaks)
        return Reply.set_content("\"" + Name + "\"", "application/json");
      // A body that ends before its length breaks the answer off.
      Reply.set_content_provider(
          100, "application/json",
          [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    };
    Server_.Get("/v1/nodes", Answer);
    Server_.Post("/v1/jobs", Answer);
    Port_ = Server_.bind_to_any_port("127.0.0.1");
    Thread_ = Thread([this] { Server_.listen_after_bind(); });
    while (!Server_.is_running())
      sleepFor(Millis{1});
  }
  ~StandIn() { Server_.stop(); }
  StandIn(const StandIn &) = delete;
  StandIn &operator=(const StandIn &) = delete;

  config::Endpoint endpoint() const { return {"127.0.0.1", Port_}; }
  int calls() const { return Calls_; }

private:
  httplib::Server Server_;
  std::atomic<int> Calls_ = 0;
  int Port_ = 0;
  Thread Thread_;
};

// Nothing listens on the reserved port 1.
config::Endpoint closedPort() { return {"127.0.0.1", 1}; }

} // namespace

BOOST_AUTO_TEST_SUITE(CliHttp)

// Guards against a command that fails because one node is down.
BOOST_AUTO_TEST_CASE(NextNodeIsTriedAfterARefusedConnection) {
  const StandIn Second("second");
  const auto Api = makeHttpApi({closedPort(), Second.endpoint()});
  BOOST_TEST(Api->get("/v1/nodes", Wait).value().Body_ == "\"second\"");
  BOOST_TEST(Api->send("POST", "/v1/jobs", "{}", "application/json", Wait)
                 .value()
                 .Body_ == "\"second\"");
  const auto Closed = makeHttpApi({closedPort(), closedPort()});
  const auto Refused =
      Closed->send("POST", "/v1/jobs", "{}", "application/json", Wait);
  BOOST_TEST((Refused.error().Reason_ == Reason::ConnectFailed));
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
}

// Guards against a request that is sent again although it may have taken
// effect.
BOOST_AUTO_TEST_CASE(LostAnswerIsNotSentToAnotherNode) {
  const StandIn First("first", true);
  const StandIn Second("second");
  const auto Api = makeHttpApi({First.endpoint(), Second.endpoint()});
  const auto Sent =
      Api->send("POST", "/v1/jobs", "{}", "application/json", Wait);
  BOOST_REQUIRE(!Sent);
  BOOST_TEST((Sent.error().Effect_ == Effect::Unknown));
  BOOST_TEST(Second.calls() == 0);
  BOOST_TEST(Api->get("/v1/nodes", Wait).value().Body_ == "\"second\"");
  BOOST_TEST(First.calls() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
