#ifndef DAMASKGLADE_DRIVERS_HTTP_ADDRESS_H
#define DAMASKGLADE_DRIVERS_HTTP_ADDRESS_H

#include <optional>
#include <string>

namespace damaskglade::drivers {

struct HostPort {
  std::string Host_;
  int Port_ = 0;

  friend bool operator==(const HostPort &, const HostPort &) = default;
};

/// Splits "ip:port", with or without "http://" before it.
std::optional<HostPort> parseHostPort(const std::string &Address);

} // namespace damaskglade::drivers

#endif
