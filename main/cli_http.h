#ifndef DAMASKGLADE_MAIN_CLI_HTTP_H
#define DAMASKGLADE_MAIN_CLI_HTTP_H

#include "config/settings.h"
#include "main/cli_context.h"

namespace damaskglade::cli {

/// API over HTTP; tries the servers in the given order.
std::unique_ptr<NodeApi> makeHttpApi(std::vector<config::Endpoint> Servers);

} // namespace damaskglade::cli

#endif
