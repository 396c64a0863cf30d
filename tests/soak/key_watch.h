#ifndef DAMASKGLADE_TESTS_SOAK_KEY_WATCH_H
#define DAMASKGLADE_TESTS_SOAK_KEY_WATCH_H

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskglade::soak {

/// Checks how nodes answer requests with API keys. The bound for revoked keys
/// holds for every node, whatever is done to it.
class KeyWatch {
public:
  /// Setting of the daemons.
  static constexpr Millis Revocation{5000};

  /// A version without the key was acknowledged.
  void revoked(const std::string &Key, Millis Now) { RevokedAt_[Key] = Now; }
  /// A node has answered a request that was sent at SentAt.
  void answered(const std::string &Node, const std::string &Key, int Status,
                Millis SentAt);
  const std::vector<std::string> &findings() const { return Findings_; }
  /// Requests with valid, and with other keys, that were answered.
  std::int64_t served() const { return Served_; }
  std::int64_t rejected() const { return Rejected_; }

private:
  std::map<std::string, Millis> RevokedAt_;
  std::vector<std::string> Findings_;
  std::int64_t Served_ = 0;
  std::int64_t Rejected_ = 0;
};

} // namespace damaskglade::soak

#endif
