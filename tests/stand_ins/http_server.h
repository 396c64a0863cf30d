#ifndef DAMASKGLADE_TESTS_STAND_INS_HTTP_SERVER_H
#define DAMASKGLADE_TESTS_STAND_INS_HTTP_SERVER_H

#include "core/clock.h"

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace damaskglade::stand_ins {

struct HttpRequest {
  std::string Method_;
  std::string Path_;
  std::string Target_; ///< Header X-Amz-Target.
  std::string Body_;
};

struct HttpResponse {
  int Status_ = 200;
  std::string Body_;
  std::string ContentType_ = "application/json";
  bool Drop_ = false;     ///< Ends the connection without a body.
  bool Truncate_ = false; ///< Ends the connection after half of the body.
};

HttpResponse jsonResponse(int Status, const Json::Value &Body);

using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// HTTP server on 127.0.0.1. The handler runs on several threads at once.
class HttpServer {
public:
  /// Port 0 takes any free port. Ends the process if the port is taken. The
  /// destructor waits for requests in progress, and up to KeepAlive for idle
  /// connections.
  HttpServer(int Port, HttpHandler Handler, Millis KeepAlive = Millis{5000});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  int port() const;
  /// "127.0.0.1:port".
  std::string address() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace damaskglade::stand_ins

#endif
