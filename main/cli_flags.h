#ifndef DAMASKGLADE_MAIN_CLI_FLAGS_H
#define DAMASKGLADE_MAIN_CLI_FLAGS_H

#include "config/settings.h"
#include "core/job.h"
#include "main/cli_context.h"

#include <string>
#include <vector>

namespace damaskglade::cli {

/// Words and flags of a command line; the flag values are kept by gflags.
struct ParsedLine {
  std::vector<std::string> Words_;
  std::vector<std::string> Flags_; ///< Names of the flags that were given.
  bool Help_ = false;
  std::string Problem_; ///< What is wrong with the line; empty if nothing.
};

/// Reads the arguments after the program name.
ParsedLine parseLine(const std::vector<std::string> &Arguments);

/// "--name  description (default)" of a flag.
std::string describeFlag(const std::string &Name);

/// Values of the flags that all commands share. Errors: invalid_field.
Result<std::vector<config::Endpoint>> serversFromFlags();
Result<OutputFormat> outputFromFlags();
Millis timeoutFromFlags();

/// Values of the flags of single commands.
Result<JobSpec> jobFromFlags();
bool waitFromFlags();
std::int64_t basedOnFromFlags();

} // namespace damaskglade::cli

#endif
