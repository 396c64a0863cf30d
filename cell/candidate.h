#ifndef DAMASKGLADE_CELL_CANDIDATE_H
#define DAMASKGLADE_CELL_CANDIDATE_H

#include "core/clock.h"

#include <map>
#include <string>
#include <vector>

namespace damaskglade::cell {

/// State of another node, from its last ping.
struct PeerNode {
  Millis HeardAt_{};
  double Cpu_ = 0; ///< Processors that the node may use.

  friend bool operator==(const PeerNode &, const PeerNode &) = default;
};

/// Nodes by address.
using PeerNodes = std::map<std::string, PeerNode>;

/// Time that a node waits before it stands for election, counted from when it
/// began to suspect the leader. Strong nodes do not wait. StrongestCpu is the
/// CPU capacity of the strongest known node, zero if none is known.
Millis candidacyDelay(double OwnCpu, double StrongestCpu);

/// Highest CPU capacity of the nodes heard since the given time; zero if none.
double strongestCpu(const PeerNodes &Nodes, Millis HeardSince);

/// Address of a node heard since the given time that has clearly more CPU
/// capacity than this one, or empty.
std::string strongerNode(const PeerNodes &Nodes, double OwnCpu,
                         Millis HeardSince);

/// Addresses of the nodes heard since the given time, strongest first. Rotation
/// varies the order of equal nodes.
std::vector<std::string> nodesByStrength(const PeerNodes &Nodes,
                                         Millis HeardSince,
                                         unsigned long Rotation);

/// Address of the strongest node heard since the given time, or empty. Rotation
/// selects among equal nodes.
std::string strongestNode(const PeerNodes &Nodes, Millis HeardSince,
                          unsigned long Rotation);

} // namespace damaskglade::cell

#endif
