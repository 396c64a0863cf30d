#include "config/values.h"

#include "core/address.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace damaskglade::config {

namespace {

constexpr std::size_t MaxNameBytes = 63;
constexpr std::int64_t MaxPort = 65535;

std::string trimmed(const std::string &Text) {
  const auto First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

bool isUrl(const std::string &Text) {
  const auto HasHost = [&Text](std::string_view Scheme) {
    return Text.starts_with(Scheme) && Text.size() > Scheme.size() &&
           Text.find_first_of(" \t") == std::string::npos;
  };
  return HasHost("http://") || HasHost("https://");
}

} // namespace

std::optional<std::int64_t> parseWholeNumber(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

std::optional<Endpoint> parseEndpoint(const std::string &Text) {
  const auto Address = parseIpPort(Text);
  if (!Address)
    return std::nullopt;
  return Endpoint{Address->Host_, Address->Port_};
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  if (trimmed(Text).empty())
    return Parts;
  std::size_t Begin = 0;
  while (true) {
    const auto Comma = Text.find(',', Begin);
    Parts.push_back(trimmed(Text.substr(Begin, Comma - Begin)));
    if (Comma == std::string::npos)
      return Parts;
    Begin = Comma + 1;
  }
}

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Each) {
           return std::isalnum(Each) != 0 || Each == '-' || Each == '_' ||
                  Each == '.';
         });
}

std::optional<LogLevel> logLevelFromName(const std::string &Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "info")
    return LogLevel::Info;
  if (Name == "warning")
    return LogLevel::Warning;
  if (Name == "error")
    return LogLevel::Error;
  return std::nullopt;
}

std::string checkText(ValueType Type, const std::string &Text) {
  switch (Type) {
  case ValueType::WholeNumber:
    return parseWholeNumber(Text) ? "" : "must be a whole number";
  case ValueType::Name:
    return isName(Text) ? ""
                        : "must be 1 to 63 letters, digits, \"-\", \"_\" or "
                          "\".\"";
  case ValueType::Address:
    return parseEndpoint(Text) ? ""
                               : "must be an IPv4 number and port, ip:port";
  case ValueType::AddressList: {
    for (const std::string &Part : splitList(Text))
      if (!parseEndpoint(Part))
        return "must be a comma list of ip:port; \"" + Part + "\" is not one";
    return "";
  }
  case ValueType::Url:
    return isUrl(Text) ? "" : "must be a URL that begins with http(s)://";
  case ValueType::LogLevelName:
    return logLevelFromName(Text)
               ? ""
               : "must be one of debug, info, warning, error";
  }
  return "has an unknown type";
}

} // namespace damaskglade::config
