#ifndef DAMASKGLADE_PORTS_ASYNC_HTTP_H
#define DAMASKGLADE_PORTS_ASYNC_HTTP_H

#include "core/error.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace damaskglade {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request as received. Header names are in lower case.
struct WebRequest {
  std::string Method_;
  std::string Target_; ///< Path and query as sent.
  std::map<std::string, std::string> Headers_;
  std::string Body_;
  /// How long it may have waited before it was read, because the process was
  /// stopped or its event loop did not run; normally zero.
  Millis Waited_{};

  friend bool operator==(const WebRequest &, const WebRequest &) = default;
};

struct WebReply {
  int Status_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
  Millis RetryAfter_{}; ///< Sent as Retry-After if above zero.
  /// Set by clients: the call was sent again after its connection had been
  /// lost, so an earlier copy of it may have had an effect.
  bool Resent_ = false;
  /// Set by clients: the connection that has carried the call, if it stays
  /// open; zero otherwise. See WebClient::setPeer().
  std::uint64_t Connection_ = 0;

  friend bool operator==(const WebReply &, const WebReply &) = default;
};

/// Sends the reply to one request; called once, from any callback.
using WebReplier = std::function<void(WebReply)>;
using WebHandler = std::function<void(WebRequest, WebReplier)>;

/// A request to another process.
struct WebCall {
  std::string Address_; ///< "ip:port"
  std::string Method_;
  std::string Target_;
  HttpHeaders Headers_;
  std::string Body_;
  /// From the call until the whole reply is received. A large message that
  /// keeps moving may take some times longer.
  Millis Timeout_{1000};
  /// Calls of different groups never share a connection, so that a long poll
  /// does not delay a short call.
  std::string ConnectionGroup_;
  /// If not empty, only an open connection to this peer may carry the call,
  /// which is sent once then. See WebClient::setPeer().
  std::string Peer_;
  /// The call is sent on a connection of its own, which stays open after it.
  bool NeedsNewConnection_ = false;

  friend bool operator==(const WebCall &, const WebCall &) = default;
};

using WebReplyHandler = std::function<void(Result<WebReply>)>;

/// How a large reply was received.
struct WebTransfer {
  std::string Step_; ///< Method and path of the call.
  std::string Peer_;
  std::size_t Bytes_ = 0; ///< Received, with the header.
  int Reads_ = 0;         ///< Each took a turn of the event loop.
  Millis Duration_{};     ///< From the first part to the last one.
  bool Complete_ = false;

  friend bool operator==(const WebTransfer &, const WebTransfer &) = default;
};

/// Receives the transfers of a client, those of small replies left out.
using WebTransferHandler = std::function<void(const WebTransfer &)>;

/// HTTP client over kept-alive connections. Callbacks run on the event loop.
class WebClient {
public:
  virtual ~WebClient() = default;
  /// Errors: connect_failed with no effect, also if no connection to the wanted
  /// peer is open; timeout and answer_lost with unknown effect.
  virtual void call(const WebCall &Call, WebReplyHandler Done) = 0;
  /// Tells which process has sent a reply on a connection. A connection ends
  /// with the process at its other end, so later calls on it reach that process
  /// or none. Connections to other peers at the address are closed.
  virtual void setPeer(const std::string & /*Address*/,
                       std::uint64_t /*Connection*/,
                       const std::string & /*Peer*/) {}
};

/// Runs callbacks later on the event loop.
class TimerService {
public:
  virtual ~TimerService() = default;
  virtual void after(Millis Delay, std::function<void()> Task) = 0;
  /// Runs the task as soon as nothing else is ready to run, at the latest after
  /// the limit. For work that pays to be put off while others wait.
  virtual void whenIdle(Millis Limit, std::function<void()> Task) = 0;
};

} // namespace damaskglade

#endif
