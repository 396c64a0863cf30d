#ifndef DAMASKGLADE_MAIN_CLI_OUTPUT_H
#define DAMASKGLADE_MAIN_CLI_OUTPUT_H

#include "main/cli_context.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace damaskglade::cli {

/// Text of a value: strings without quotes, others as JSON on one line.
std::string textOf(const Json::Value &Value);

/// String member, or empty if it is missing or no string.
std::string memberText(const Json::Value &Value, const std::string &Name);

/// Prints an object as "name  value" lines, a list of objects as a table with
/// a column for each member, or either as JSON on one line.
void printValue(const Context &Ctx, const Json::Value &Value);

/// Prints a failure and returns its exit code.
ExitCode printError(const Context &Ctx, const Error &Failure);

/// The JSON value of a successful reply; prints the error otherwise and sets
/// Code.
std::optional<Json::Value>
readReply(const Context &Ctx, const Result<ApiReply> &Reply, ExitCode &Code);

/// Prints a successful reply or the error. Returns the exit code.
ExitCode printReply(const Context &Ctx, const Result<ApiReply> &Reply);

/// Percent-encodes a part of a path.
std::string encodePath(const std::string &Part);

} // namespace damaskglade::cli

#endif
