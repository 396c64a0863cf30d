#ifndef DAMASKGLADE_DRIVERS_BEAST_HTTP_SESSION_H
#define DAMASKGLADE_DRIVERS_BEAST_HTTP_SESSION_H

#include "drivers/beast/event_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace damaskglade::drivers {

class HttpSession;

/// Sessions of a process and what they have in common.
struct SessionRegistry {
  std::set<HttpSession *> Sessions_;
  std::size_t OpenRequests_ = 0;
  bool Draining_ = false;
};

/// Serves requests on an accepted connection until it closes.
void serveConnection(boost::asio::ip::tcp::socket Socket,
                     const ListenerLimits &Limits, const WebHandler &Handler,
                     const std::shared_ptr<SessionRegistry> &Registry);

/// Closes all sessions that wait for a request.
void closeIdleSessions(SessionRegistry &Registry);

} // namespace damaskglade::drivers

#endif
