#ifndef DAMASKGLADE_MAIN_CLI_NODES_H
#define DAMASKGLADE_MAIN_CLI_NODES_H

#include "main/cli_context.h"

namespace damaskglade::cli {

ExitCode listNodes(const Context &Ctx);
ExitCode listWorkers(const Context &Ctx);

/// Action is "drain", "undrain" or "quarantine".
ExitCode controlWorker(const Context &Ctx, const std::string &Worker,
                       const std::string &Action);

} // namespace damaskglade::cli

#endif
