#ifndef DAMASKGLADE_DRIVERS_HTTP_CLIENT_POOL_H
#define DAMASKGLADE_DRIVERS_HTTP_CLIENT_POOL_H

#include "core/error.h"
#include "ports/http.h"

#include <memory>
#include <string>

namespace damaskglade::drivers {

/// Keeps HTTP connections alive and lends one to each call. Thread-safe.
class ClientPool {
public:
  ClientPool();
  ~ClientPool();
  ClientPool(const ClientPool &) = delete;
  ClientPool &operator=(const ClientPool &) = delete;

  /// Sends one request to "ip:port" and returns the reply of any status.
  /// Errors: connect_failed with Effect::None if nothing was sent; timeout or
  /// answer_lost with Effect::Unknown afterwards.
  Result<HttpReply> send(const std::string &Address, const HttpRequest &Request,
                         const std::string &Step, Millis Timeout);

private:
  struct Connections;
  std::unique_ptr<Connections> Connections_;
};

} // namespace damaskglade::drivers

#endif
