#ifndef DAMASKGLADE_CELL_ACCESS_H
#define DAMASKGLADE_CELL_ACCESS_H

#include "ports/cell_sources.h"

namespace damaskglade::cell {

/// How soon changes of API keys have to take effect.
struct AccessSettings {
  /// No node may serve a key that was revoked more than Revocation_ ago, not
  /// even one that has lost contact.
  bool StrictRevocation_ = false;
  Millis Revocation_{5000};
  /// A node in contact knows a new key after this time.
  Millis ConfigApply_{3000};

  friend bool operator==(const AccessSettings &,
                         const AccessSettings &) = default;
};

enum class Access {
  Admitted,
  UnknownKey,
  /// The configuration is too old to tell whether the key is valid.
  Undecided,
};

struct AccessDecision {
  Access Access_ = Access::Admitted;
  std::string Workspace_; ///< Of the key; empty if no key is needed.

  friend bool operator==(const AccessDecision &,
                         const AccessDecision &) = default;
};

/// Decides whether a request with this key may use the route. Age is the time
/// since the configuration was known to be the newest one.
AccessDecision decideAccess(const QueueRoute &Route, const std::string &Key,
                            const CellConfig &Config, Millis Age,
                            const AccessSettings &Settings);

} // namespace damaskglade::cell

#endif
