#include "drivers/platform/http_pool.h"
#include "tests/platform/fixtures.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace damaskglade;
using namespace damaskglade::tests;

namespace {

/// Server that accepts one connection and sends a reply byte by byte.
class SlowServer {
public:
  SlowServer() {
    Socket_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    BOOST_REQUIRE(bind(Socket_, reinterpret_cast<sockaddr *>(&Address), Size) ==
                  0);
    BOOST_REQUIRE(listen(Socket_, 1) == 0);
    getsockname(Socket_, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port_ = ntohs(Address.sin_port);
    Thread_ = Thread([this] { serve(); });
  }
  ~SlowServer() {
    Thread_.join();
    close(Socket_);
  }
  SlowServer(const SlowServer &) = delete;
  SlowServer &operator=(const SlowServer &) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }

private:
  void serve() const {
    const int Client = accept(Socket_, nullptr, nullptr);
    const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
    send(Client, Head.data(), Head.size(), MSG_NOSIGNAL);
    for (int Sent = 0; Sent < 100; ++Sent) {
      if (send(Client, "x", 1, MSG_NOSIGNAL) != 1)
        break;
      sleepFor(Millis{50});
    }
    close(Client);
  }

  int Socket_ = -1;
  int Port_ = 0;
  Thread Thread_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpPool)

// Guards against a reply that trickles in and so outlasts the timeout, which
// the HTTP library applies to each read on its own.
BOOST_AUTO_TEST_CASE(TricklingReplyTimesOut) {
  const SlowServer Server;
  drivers::HttpPool Pool;
  const SystemClock Clock;
  const Millis Start = Clock.monotonic();
  const auto Reply =
      Pool.call(Server.address(), drivers::HttpCall{"GET", "/", "", "", {}},
                Millis{300}, "read");
  BOOST_REQUIRE(!Reply);
  BOOST_TEST((Reply.error().Reason_ == Reason::Timeout));
  BOOST_TEST((Reply.error().Effect_ == Effect::Unknown));
  BOOST_TEST((Clock.monotonic() - Start).Value_ < 2000);
}

BOOST_AUTO_TEST_CASE(UrlsAreTakenApart) {
  using drivers::HttpUrl;
  using drivers::splitUrl;
  BOOST_TEST(
      (splitUrl("http://1.2.3.4:5/a/b/") == HttpUrl{"1.2.3.4:5", "/a/b"}));
  BOOST_TEST((splitUrl("http://1.2.3.4") == HttpUrl{"1.2.3.4:80", ""}));
  BOOST_TEST((splitUrl("1.2.3.4:5") == HttpUrl{"1.2.3.4:5", ""}));
}

// Guards against the use of a connection that the server has closed: the
// failure would look like a lost answer.
BOOST_AUTO_TEST_CASE(RestartedServerIsReached) {
  const auto Echo = [](const stand_ins::HttpRequest &Request) {
    return stand_ins::HttpResponse{200, Request.Body_};
  };
  auto First = std::make_unique<stand_ins::HttpServer>(0, Echo, Millis{1000});
  const int Port = First->port();
  const std::string Address = First->address();
  drivers::HttpPool Pool;
  const drivers::HttpCall Call{"POST", "/", "ping", "text/plain", {}};
  BOOST_REQUIRE(Pool.call(Address, Call, CallTimeout, "ping"));
  First.reset();
  const auto Refused = Pool.call(Address, Call, CallTimeout, "ping");
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().Effect_ == Effect::None));
  const stand_ins::HttpServer Second(Port, Echo, Millis{1000});
  const auto Again = Pool.call(Address, Call, CallTimeout, "ping");
  BOOST_REQUIRE(Again);
  BOOST_TEST(Again.value().Body_ == "ping");
}

BOOST_AUTO_TEST_SUITE_END()
