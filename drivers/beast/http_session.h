#ifndef DAMASKGLADE_DRIVERS_BEAST_HTTP_SESSION_H
#define DAMASKGLADE_DRIVERS_BEAST_HTTP_SESSION_H

#include "drivers/beast/event_loop.h"
#include "drivers/beast/stall_watch.h"

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
  SessionLimits Limits_;
  StallWatch Stalls_;       ///< In the time of BootClock.
  std::size_t Guarded_ = 0; ///< Open sessions of guarded listeners.
  std::size_t Bytes_ = 0;   ///< Held by these.
  std::function<void(const std::string &)> OnRejected_;
};

/// Serves requests on an accepted connection until it closes.
void serveConnection(boost::asio::ip::tcp::socket Socket,
                     const ListenerLimits &Limits, const WebHandler &Handler,
                     const std::shared_ptr<SessionRegistry> &Registry);

/// Closes the session that chooseSession() names, other than the given one.
/// Returns false if there is none.
bool closeOneSession(SessionRegistry &Registry, bool HoldsBytes,
                     const std::string &Reason,
                     const HttpSession *Except = nullptr);

/// Closes all sessions that wait for a request.
void closeIdleSessions(SessionRegistry &Registry);

} // namespace damaskglade::drivers

#endif
