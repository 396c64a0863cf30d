#ifndef DAMASKGLADE_PORTS_HTTP_H
#define DAMASKGLADE_PORTS_HTTP_H

#include "core/error.h"

#include <functional>
#include <map>
#include <string>

namespace damaskglade {

struct HttpRequest {
  std::string Method_;
  std::string Path_;
  std::map<std::string, std::string> Query_;
  std::string Body_;

  friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

struct HttpReply {
  int Status_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
  Millis RetryAfter_{}; ///< Sent as Retry-After if above zero.

  friend bool operator==(const HttpReply &, const HttpReply &) = default;
};

/// Handles one request; called concurrently from several threads.
using HttpHandler = std::function<HttpReply(const HttpRequest &)>;

/// HTTP server of a node. Each connection has its own thread.
class HttpServer {
public:
  virtual ~HttpServer() = default;
  /// Listens on "ip:port". Errors: connect_failed if the port is taken.
  virtual Status start(const std::string &Listen, HttpHandler Handler) = 0;
  /// Stops accepting connections, finishes requests in progress, then returns.
  virtual void stop() = 0;
};

} // namespace damaskglade

#endif
