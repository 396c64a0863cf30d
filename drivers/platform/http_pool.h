#ifndef DAMASKGLADE_DRIVERS_PLATFORM_HTTP_POOL_H
#define DAMASKGLADE_DRIVERS_PLATFORM_HTTP_POOL_H

#include "core/error.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace damaskglade::drivers {

/// "http://ip:port/path" taken apart.
struct HttpUrl {
  std::string Address_; ///< "ip:port"; the port defaults to 80.
  std::string Path_;    ///< Without a trailing slash; empty for the root.

  friend bool operator==(const HttpUrl &, const HttpUrl &) = default;
};

HttpUrl splitUrl(const std::string &Url);

struct HttpCall {
  std::string Method_;
  std::string Path_;
  std::string Body_;
  std::string ContentType_;
  std::vector<std::pair<std::string, std::string>> Headers_;
};

struct HttpReply {
  int Status_ = 0;
  std::string Body_;
};

/// HTTP client with kept-alive connections by address. Thread-safe; each
/// connection serves one call at a time.
class HttpPool {
public:
  HttpPool();
  ~HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;

  /// Returns any complete reply, whatever its status. Errors: connect_failed
  /// with Effect::None if nothing was sent; timeout and answer_lost with
  /// Effect::Unknown.
  Result<HttpReply> call(const std::string &Address, const HttpCall &Request,
                         Millis Timeout, const std::string &Step);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace damaskglade::drivers

#endif
