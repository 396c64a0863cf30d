#ifndef DAMASKGLADE_REVIEW_HTTP_H
#define DAMASKGLADE_REVIEW_HTTP_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace damaskglade::review {

/// Milliseconds on the steady clock since the program started.
std::int64_t nowMs();
void sleepMs(std::int64_t Time);

struct HttpRequest {
  std::string Method_;
  std::string Target_;
  std::map<std::string, std::string> Headers_; ///< Names in lower case.
  std::string Body_;
};

struct HttpReply {
  int Status_ = 0; ///< Zero: no reply.
  std::string Body_;
};

/// Gives no reply if it returns nothing.
using HttpHandler = std::function<std::optional<HttpReply>(HttpRequest)>;

/// HTTP/1.1 server on a loopback address, with a thread per connection. Its
/// open connections can fail as those of a machine or of a link do.
class HttpServer {
public:
  explicit HttpServer(HttpHandler Handler);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  int port() const { return Port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }
  /// Open connections go silent for good: what arrives on them is lost. New
  /// ones work.
  std::size_t silenceOpen();
  /// The machine loses power. Nothing that has arrived is answered.
  void powerOff();
  /// The machine is back. It resets connections from before when data arrives
  /// on them.
  void powerOn();

private:
  enum class LinkState { Open, Silent, Forgotten };
  struct Link {
    int Socket_ = -1;
    std::atomic<LinkState> State_{LinkState::Open};
    std::atomic<bool> Ended_{false};
  };

  void accept();
  void serve(const std::shared_ptr<Link> &Served);
  std::size_t setState(LinkState State);

  const HttpHandler Handler_;
  int Listener_ = -1;
  int Port_ = 0;
  std::atomic<bool> HasPower_{true};
  std::mutex Lock_;
  std::list<std::shared_ptr<Link>> Links_;
};

/// Sends a request on a connection of its own. Status zero if there is no
/// complete reply in time.
HttpReply httpCall(int Port, const std::string &Method,
                   const std::string &Target, const std::string &Host,
                   const std::string &Body, std::int64_t TimeoutMs);

/// A free port of the loopback address.
int findFreePort();

} // namespace damaskglade::review

#endif
