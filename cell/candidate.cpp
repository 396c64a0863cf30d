#include "cell/candidate.h"

#include <algorithm>
#include <vector>

namespace damaskglade::cell {

namespace {

// Strong nodes need about 300 ms to poll the others and write the row. Weak
// ones that join in would only add to the load of that moment.
constexpr Millis WeakNodeDelay{900};
// Leading a site with 48 workers takes a third of this; nodes that know no
// other node compare themselves with it.
constexpr double EnoughCpu = 0.25;
// Nodes count as equally strong above this share.
constexpr double EqualShare = 0.8;
constexpr double StrongerFactor = 1.5;

} // namespace

Millis candidacyDelay(double OwnCpu, double StrongestCpu) {
  const double Wanted = StrongestCpu > 0 ? StrongestCpu : EnoughCpu;
  return OwnCpu >= Wanted * EqualShare ? Millis{} : WeakNodeDelay;
}

double strongestCpu(const PeerNodes &Nodes, Millis HeardSince) {
  double Most = 0;
  for (const auto &[Address, Node] : Nodes)
    if (Node.HeardAt_ >= HeardSince)
      Most = std::max(Most, Node.Cpu_);
  return Most;
}

std::string strongestNode(const PeerNodes &Nodes, Millis HeardSince,
                          std::size_t Draw) {
  const double Most = strongestCpu(Nodes, HeardSince);
  std::vector<std::string> Best;
  for (const auto &[Address, Node] : Nodes)
    if (Node.HeardAt_ >= HeardSince && Node.Cpu_ >= Most * EqualShare)
      Best.push_back(Address);
  return Best.empty() ? "" : Best[Draw % Best.size()];
}

std::string strongerNode(const PeerNodes &Nodes, double OwnCpu,
                         Millis HeardSince) {
  const std::string Best = strongestNode(Nodes, HeardSince, 0);
  const bool Stronger =
      !Best.empty() && Nodes.at(Best).Cpu_ > OwnCpu * StrongerFactor;
  return Stronger ? Best : "";
}

} // namespace damaskglade::cell
