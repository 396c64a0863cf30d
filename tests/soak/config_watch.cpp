#include "tests/soak/config_watch.h"

#include <algorithm>

namespace damaskglade::soak {

void ConfigWatch::written(std::int64_t Number, std::set<std::string> Routes,
                          Millis Now) {
  Versions_[Number] = Version{std::move(Routes), Now};
}

void ConfigWatch::restarted(const std::string &Name, Millis Now) {
  Nodes_[Name] = Node{0, Now, Now};
}

std::int64_t ConfigWatch::leastInTime(const Node &Each, Millis SentAt) const {
  std::int64_t Least = 0;
  for (const auto &[Number, Written] : Versions_)
    if (SentAt > std::max(Written.WrittenAt_, Each.ExcusedUntil_) + ApplyLimit)
      Least = Number;
  return Least;
}

void ConfigWatch::answered(const std::string &Name, const std::string &Route,
                           bool IsThere, Millis SentAt) {
  Node &Each = Nodes_[Name];
  if (SentAt < Each.RestartedAt_)
    return;
  ++Answers_;
  const auto LeastThatFits = [&](std::int64_t From) {
    const auto Found = std::find_if(
        Versions_.lower_bound(From), Versions_.end(), [&](const auto &Entry) {
          return (Entry.second.Routes_.count(Route) > 0) == IsThere;
        });
    return Found == Versions_.end() ? 0 : Found->first;
  };
  const auto Report = [&](std::int64_t Version, const char *Why) {
    Findings_.push_back(
        "CONFIG " + Name + " answers " + (IsThere ? "with " : "without ") +
        Route + ", as before version " + std::to_string(Version) + ", " + Why);
  };
  const std::int64_t Had = Each.LeastVersion_;
  const std::int64_t Due = leastInTime(Each, SentAt);
  if (LeastThatFits(Had) == 0)
    return Report(Had, "which it had");
  Each.LeastVersion_ = LeastThatFits(Had);
  if (LeastThatFits(std::max(Had, Due)) == 0)
    Report(Due, "which is overdue");
}

} // namespace damaskglade::soak
