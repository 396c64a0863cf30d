#ifndef DAMASKGLADE_DRIVERS_BEAST_WEB_CLIENT_H
#define DAMASKGLADE_DRIVERS_BEAST_WEB_CLIENT_H

#include "ports/async_http.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace damaskglade::drivers {

std::unique_ptr<WebClient> makeWebClient(boost::asio::io_context &Loop,
                                         WebTransferHandler OnTransfer);

} // namespace damaskglade::drivers

#endif
