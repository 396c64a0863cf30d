#ifndef DAMASKGLADE_CORE_ADDRESS_H
#define DAMASKGLADE_CORE_ADDRESS_H

#include <optional>
#include <string>

namespace damaskglade {

struct HostPort {
  std::string Host_;
  int Port_ = 0; ///< 1 to 65535.

  friend bool operator==(const HostPort &, const HostPort &) = default;
};

/// Splits "host:port", with or without "http://" before it. Empty unless the
/// port is a whole number in range.
std::optional<HostPort> parseHostPort(const std::string &Address);

/// The same for an IPv4 number and a port, without "http://".
std::optional<HostPort> parseIpPort(const std::string &Address);

} // namespace damaskglade

#endif
