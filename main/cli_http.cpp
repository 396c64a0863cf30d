#include "main/cli_http.h"

#include <algorithm>
#include <httplib.h>
#include <optional>
#include <utility>

namespace damaskglade::cli {

namespace {

// A node that does not accept a connection in this time is passed over.
constexpr Millis MaxConnect{2000};
constexpr std::int64_t MicrosPerMilli = 1000;
constexpr std::int64_t MillisPerSecond = 1000;

void setTimeouts(httplib::Client &Client, Millis Timeout) {
  const Millis Connect = std::min(Timeout, MaxConnect);
  Client.set_connection_timeout(Connect.Value_ / MillisPerSecond,
                                Connect.Value_ % MillisPerSecond *
                                    MicrosPerMilli);
  Client.set_read_timeout(Timeout.Value_ / MillisPerSecond,
                          Timeout.Value_ % MillisPerSecond * MicrosPerMilli);
  Client.set_write_timeout(Timeout.Value_ / MillisPerSecond,
                           Timeout.Value_ % MillisPerSecond * MicrosPerMilli);
}

// True if the request was certainly not sent.
bool notSent(httplib::Error Failure) {
  return Failure == httplib::Error::Connection ||
         Failure == httplib::Error::ConnectionTimeout;
}

class HttpApi : public NodeApi {
public:
  explicit HttpApi(std::vector<config::Endpoint> Servers)
      : Servers_(std::move(Servers)) {}

  Result<ApiReply> get(const std::string &Path, Millis Timeout) override {
    return onEach([&](httplib::Client &Client) { return Client.Get(Path); },
                  true, Timeout);
  }

  Result<ApiReply> send(const std::string &Method, const std::string &Path,
                        const std::string &Body, const std::string &ContentType,
                        Millis Timeout) override {
    return onEach(
        [&](httplib::Client &Client) {
          return Method == "PUT" ? Client.Put(Path, Body, ContentType)
                                 : Client.Post(Path, Body, ContentType);
        },
        false, Timeout);
  }

private:
  using Call = std::function<httplib::Result(httplib::Client &)>;

  Result<ApiReply> onEach(const Call &Request, bool Repeatable,
                          Millis Timeout) {
    std::string Failures;
    for (const config::Endpoint &Server : Servers_) {
      httplib::Client Client(Server.Ip_, static_cast<int>(Server.Port_));
      setTimeouts(Client, Timeout);
      const httplib::Result Reply = Request(Client);
      if (Reply)
        return ApiReply{Reply->status, Reply->body};
      const std::string Cause = httplib::to_string(Reply.error());
      if (!Repeatable && !notSent(Reply.error()))
        return Error{Reason::AnswerLost, Effect::Unknown, "call node",
                     Server.text(), "no answer: " + Cause};
      Failures += (Failures.empty() ? "" : "; ") + Server.text() + ": " + Cause;
    }
    return Error{Reason::ConnectFailed, Effect::None, "call node", "",
                 "cannot reach any node: " + Failures};
  }

  const std::vector<config::Endpoint> Servers_;
};

} // namespace

std::unique_ptr<NodeApi> makeHttpApi(std::vector<config::Endpoint> Servers) {
  return std::make_unique<HttpApi>(std::move(Servers));
}

} // namespace damaskglade::cli
