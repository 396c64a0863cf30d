#ifndef DAMASKGLADE_CONFIG_VALUES_H
#define DAMASKGLADE_CONFIG_VALUES_H

#include "config/registry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::config {

/// The whole number that the text consists of, or nothing.
std::optional<std::int64_t> parseWholeNumber(const std::string &Text);

std::optional<Endpoint> parseEndpoint(const std::string &Text);

/// The parts between commas without surrounding blanks; none if Text is blank.
std::vector<std::string> splitList(const std::string &Text);

bool isName(const std::string &Text);

/// What is wrong with a text as a value of the type; empty if nothing.
std::string checkText(ValueType Type, const std::string &Text);

std::optional<LogLevel> logLevelFromName(const std::string &Name);

} // namespace damaskglade::config

#endif
