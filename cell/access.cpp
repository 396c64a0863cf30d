#include "cell/access.h"

namespace damaskglade::cell {

namespace {

// Taken off both limits, for clocks that differ in speed and for the time from
// the arrival of a request to the decision.
constexpr Millis Margin{300};

} // namespace

// The age counts up to the decision. A request that was sent before it is
// younger, so one that is admitted was sent before a revocation that the node
// does not know can have taken effect.
AccessDecision decideAccess(const QueueRoute &Route, const std::string &Key,
                            const CellConfig &Config, Millis Age,
                            const AccessSettings &Settings) {
  if (!Config.KeysRequired_ || Route.Public_)
    return AccessDecision{};
  const auto Workspace = Config.WorkspaceOfKey_.find(Key);
  if (Workspace == Config.WorkspaceOfKey_.end())
    return AccessDecision{Age < Settings.ConfigApply_ - Margin
                              ? Access::UnknownKey
                              : Access::Undecided,
                          ""};
  if (Settings.StrictRevocation_ && Age >= Settings.Revocation_ - Margin)
    return AccessDecision{Access::Undecided, ""};
  return AccessDecision{Access::Admitted, Workspace->second};
}

} // namespace damaskglade::cell
