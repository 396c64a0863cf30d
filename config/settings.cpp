#include "config/settings.h"

namespace damaskglade::config {

const TeamSettings &CellSettings::forTeam(const std::string &Team) const {
  const auto Found = Teams_.find(Team);
  return Found == Teams_.end() ? TeamDefault_ : Found->second;
}

} // namespace damaskglade::config
