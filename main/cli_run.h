#ifndef DAMASKGLADE_MAIN_CLI_RUN_H
#define DAMASKGLADE_MAIN_CLI_RUN_H

#include "config/settings.h"
#include "main/cli_context.h"

namespace damaskglade::cli {

/// Builds the API for the servers of the command line.
using ApiFactory =
    std::function<std::unique_ptr<NodeApi>(std::vector<config::Endpoint>)>;

/// Runs one command. Arguments are those after the program name.
ExitCode runCli(const std::vector<std::string> &Arguments,
                const ApiFactory &MakeApi, std::ostream &Out,
                std::ostream &Err);

} // namespace damaskglade::cli

#endif
