#ifndef DAMASKGLADE_MAIN_CLI_CONFIG_H
#define DAMASKGLADE_MAIN_CLI_CONFIG_H

#include "main/cli_context.h"

#include <cstdint>

namespace damaskglade::cli {

/// Checks a folder of INI files without a node and prints every problem.
ExitCode checkConfig(const Context &Ctx, const std::string &Folder);

/// Checks a folder and pushes it. BasedOn is the version that the operator has
/// seen, 0 if none.
ExitCode pushConfig(const Context &Ctx, const std::string &Folder,
                    std::int64_t BasedOn);
ExitCode showConfig(const Context &Ctx);
ExitCode showConfigHistory(const Context &Ctx);

/// Prints the reference table of all settings in Markdown.
ExitCode printSettings(const Context &Ctx);

} // namespace damaskglade::cli

#endif
