#ifndef DAMASKGLADE_DRIVERS_HTTP_HTTP_SERVER_H
#define DAMASKGLADE_DRIVERS_HTTP_HTTP_SERVER_H

#include "ports/http.h"

#include <cstddef>
#include <memory>

namespace damaskglade::drivers {

/// Listener on cpp-httplib. Bodies above MaxBodyBytes get a 413.
std::unique_ptr<HttpServer> makeHttpServer(std::size_t MaxBodyBytes,
                                           std::size_t MaxConnections);

} // namespace damaskglade::drivers

#endif
