#include "cell/candidate.h"

#include <algorithm>

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

std::vector<std::string> byStrength(const PeerNodes &Nodes, Millis HeardSince,
                                    unsigned long Draw) {
  std::vector<std::string> Out;
  for (const auto &[Address, Node] : Nodes)
    if (Node.HeardAt_ >= HeardSince)
      Out.push_back(Address);
  if (!Out.empty())
    std::rotate(Out.begin(),
                Out.begin() + static_cast<std::ptrdiff_t>(Draw % Out.size()),
                Out.end());
  std::stable_sort(Out.begin(), Out.end(),
                   [&](const std::string &A, const std::string &B) {
                     return Nodes.at(A).Cpu_ > Nodes.at(B).Cpu_;
                   });
  return Out;
}

std::string strongestNode(const PeerNodes &Nodes, Millis HeardSince,
                          unsigned long Draw) {
  const auto Order = byStrength(Nodes, HeardSince, Draw);
  return Order.empty() ? "" : Order.front();
}

std::string strongerNode(const PeerNodes &Nodes, double OwnCpu,
                         Millis HeardSince) {
  const std::string Best = strongestNode(Nodes, HeardSince, 0);
  const bool Stronger =
      !Best.empty() && Nodes.at(Best).Cpu_ > OwnCpu * StrongerFactor;
  return Stronger ? Best : "";
}

} // namespace damaskglade::cell
