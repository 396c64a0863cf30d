#include "tests/soak/key_watch.h"

#include "tests/soak/soak.h"

namespace damaskglade::soak {

void KeyWatch::answered(const std::string &Node, const std::string &Key,
                        int Status, Millis SentAt) {
  constexpr int Ok = 200;
  constexpr int Unauthorized = 401;
  ++(Status == Ok ? Served_ : Rejected_);
  if (Status == Ok && Key == UnknownKey)
    Findings_.push_back("ROUTE " + Node + " serves a key that never existed");
  if (Status == Unauthorized && Key == StableKey)
    Findings_.push_back("CONFIG " + Node + " does not know a key that all " +
                        "versions have");
  const auto Revoked = RevokedAt_.find(Key);
  if (Status == Ok && Revoked != RevokedAt_.end() &&
      SentAt > Revoked->second + Revocation)
    Findings_.push_back("CONFIG " + Node + " serves the key " + Key +
                        ", revoked ms before: " +
                        std::to_string((SentAt - Revoked->second).Value_));
}

} // namespace damaskglade::soak
