#ifndef DAMASKGLADE_CELL_CANDIDATE_H
#define DAMASKGLADE_CELL_CANDIDATE_H

#include "core/clock.h"

#include <map>
#include <string>
#include <vector>

namespace damaskglade::cell {

/// What the leader knows of another node.
struct PeerNode {
  Millis HeardAt_{};
  double Cpu_ = 0; ///< Processors that the node may use.

  friend bool operator==(const PeerNode &, const PeerNode &) = default;
};

/// By address.
using PeerNodes = std::map<std::string, PeerNode>;

/// How long a node waits before it stands for election, counted from when it
/// began to suspect the leader. Strong nodes do not wait. StrongestCpu is
/// that of the strongest known node, zero if none is known.
Millis candidacyDelay(double OwnCpu, double StrongestCpu);

/// Most processors of a node that was heard of since the time; zero if none.
double strongestCpu(const PeerNodes &Nodes, Millis HeardSince);

/// Address of a node that was heard of since the time and has clearly more
/// processors than this one, or empty.
std::string strongerNode(const PeerNodes &Nodes, double OwnCpu,
                         Millis HeardSince);

/// Addresses of the nodes that were heard of since the time, strong ones first.
/// The draw shuffles equal ones.
std::vector<std::string> byStrength(const PeerNodes &Nodes, Millis HeardSince,
                                    unsigned long Draw);

/// Address of the strongest node that was heard of since the time, or empty.
/// Among equal ones the draw picks.
std::string strongestNode(const PeerNodes &Nodes, Millis HeardSince,
                          unsigned long Draw);

} // namespace damaskglade::cell

#endif
