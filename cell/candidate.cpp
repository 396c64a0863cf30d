#include "cell/candidate.h"

#include <algorithm>
#include <functional>

namespace damaskglade::cell {

namespace {

// Delay of the candidacy of nodes with little CPU capacity. The others need
// about 300 ms to poll the nodes and to write the leader row; weak nodes that
// compete with them during that time only add load.
constexpr Millis WeakNodeDelay{900};
// CPU capacity assumed for the strongest node while no other node is known.
// Leading a cell with 48 workers takes a third of it.
constexpr double DefaultStrongestCpu = 0.25;
// Nodes with at least this share of the highest CPU capacity do not delay their
// candidacy.
constexpr double EqualCpuRatio = 0.8;
// The leader hands over to a node with more than this many times its own CPU
// capacity.
constexpr double StrongerCpuRatio = 1.5;

} // namespace

// A node that was heard long ago may have elected another leader since. So the
// contact is as old as the ping that completed the majority.
Millis majorityHeardAt(const PeerNodes &Nodes,
                       const std::set<std::string> &Expected, Millis KnownSince,
                       Millis Now) {
  std::vector<Millis> HeardTimes;
  for (const auto &[Address, Node] : Nodes)
    if (Node.HeardAt_ > KnownSince)
      HeardTimes.push_back(Node.HeardAt_);
  std::size_t KnownNodes = 1 + HeardTimes.size();
  for (const std::string &Address : Expected) {
    const auto Node = Nodes.find(Address);
    KnownNodes += Node == Nodes.end() || Node->second.HeardAt_ <= KnownSince;
  }
  const std::size_t OthersNeeded = KnownNodes / 2;
  if (OthersNeeded == 0)
    return Now;
  if (HeardTimes.size() < OthersNeeded)
    return Millis{};
  const auto Completing =
      HeardTimes.begin() + static_cast<std::ptrdiff_t>(OthersNeeded - 1);
  std::nth_element(HeardTimes.begin(), Completing, HeardTimes.end(),
                   std::greater<>());
  return *Completing;
}

Millis candidacyDelay(double OwnCpu, double StrongestCpu) {
  const double ReferenceCpu =
      StrongestCpu > 0 ? StrongestCpu : DefaultStrongestCpu;
  return OwnCpu >= ReferenceCpu * EqualCpuRatio ? Millis{} : WeakNodeDelay;
}

double strongestCpu(const PeerNodes &Nodes, Millis HeardSince) {
  double MaxCpu = 0;
  for (const auto &[Address, Node] : Nodes)
    if (Node.HeardAt_ >= HeardSince)
      MaxCpu = std::max(MaxCpu, Node.Cpu_);
  return MaxCpu;
}

std::vector<std::string> nodesByStrength(const PeerNodes &Nodes,
                                         Millis HeardSince,
                                         unsigned long Rotation) {
  std::vector<std::string> Addresses;
  for (const auto &[Address, Node] : Nodes)
    if (Node.HeardAt_ >= HeardSince)
      Addresses.push_back(Address);
  if (!Addresses.empty())
    std::rotate(Addresses.begin(),
                Addresses.begin() +
                    static_cast<std::ptrdiff_t>(Rotation % Addresses.size()),
                Addresses.end());
  std::stable_sort(Addresses.begin(), Addresses.end(),
                   [&](const std::string &A, const std::string &B) {
                     return Nodes.at(A).Cpu_ > Nodes.at(B).Cpu_;
                   });
  return Addresses;
}

std::string strongestNode(const PeerNodes &Nodes, Millis HeardSince,
                          unsigned long Rotation) {
  const auto Addresses = nodesByStrength(Nodes, HeardSince, Rotation);
  return Addresses.empty() ? "" : Addresses.front();
}

std::string strongerNode(const PeerNodes &Nodes, double OwnCpu,
                         Millis HeardSince, unsigned long Rotation) {
  const std::string Strongest = strongestNode(Nodes, HeardSince, Rotation);
  const bool IsStronger = !Strongest.empty() &&
                          Nodes.at(Strongest).Cpu_ > OwnCpu * StrongerCpuRatio;
  return IsStronger ? Strongest : "";
}

} // namespace damaskglade::cell
