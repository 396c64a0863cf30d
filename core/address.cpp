#include "core/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace damaskglade {

std::optional<HostPort> parseHostPort(const std::string &Address) {
  const std::string Scheme = "http://";
  const std::size_t Start =
      Address.rfind(Scheme, 0) == 0 ? Scheme.size() : std::size_t{0};
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos || Colon <= Start)
    return std::nullopt;
  int Port = 0;
  const char *const First = Address.data() + Colon + 1;
  const char *const Last = Address.data() + Address.size();
  const auto [End, Code] = std::from_chars(First, Last, Port);
  constexpr int MaxPort = 65535;
  if (Code != std::errc{} || End != Last || Port < 1 || Port > MaxPort)
    return std::nullopt;
  return HostPort{Address.substr(Start, Colon - Start), Port};
}

std::optional<HostPort> parseIpPort(const std::string &Address) {
  std::optional<HostPort> Parsed = parseHostPort(Address);
  in_addr Ip{};
  if (!Parsed || Address.rfind(Parsed->Host_, 0) != 0 ||
      Parsed->Host_.find('\0') != std::string::npos || // Ends the C string.
      inet_pton(AF_INET, Parsed->Host_.c_str(), &Ip) != 1)
    return std::nullopt;
  return Parsed;
}

} // namespace damaskglade
