#ifndef DAMASKGLADE_CELL_CANDIDATE_H
#define DAMASKGLADE_CELL_CANDIDATE_H

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::cell {

/// What a node knows of another node from its last ping.
struct PeerNode {
  Millis HeardAt_{};
  /// Processors that the node may use, times their relative speed.
  double Cpu_ = 0;
  std::string Zone_;               ///< Its availability zone.
  std::int64_t ConfigVersion_ = 0; ///< Of the configuration in force there.

  friend bool operator==(const PeerNode &, const PeerNode &) = default;
};

/// Nodes by address.
using PeerNodes = std::map<std::string, PeerNode>;

/// When the last contact with a majority of the nodes, this one included, was
/// complete: a majority has been heard since then. Nodes heard after KnownSince
/// count, as well as those in Expected, heard or not. Zero if no majority has
/// been heard, Now if this node is alone.
Millis majorityHeardAt(const PeerNodes &Nodes,
                       const std::set<std::string> &Expected, Millis KnownSince,
                       Millis Now);

/// Time between the moment a node begins to suspect that the leader has failed
/// and its candidacy for leadership. Zero for nodes whose CPU capacity is close
/// to that of the strongest known node (zero: none is known), so that a node
/// with much capacity is elected.
Millis candidacyDelay(double OwnCpu, double StrongestCpu);

/// Highest CPU capacity of the nodes heard since the given time; zero if none.
double strongestCpu(const PeerNodes &Nodes, Millis HeardSince);

/// Address of a node heard since the given time that has clearly more CPU
/// capacity than this one, or empty. Rotation selects among nodes with the same
/// capacity.
std::string strongerNode(const PeerNodes &Nodes, double OwnCpu,
                         Millis HeardSince, unsigned long Rotation);

/// Addresses of the nodes heard since the given time, by falling CPU capacity.
/// Different values of Rotation give different orders of nodes with the same
/// capacity.
std::vector<std::string> nodesByStrength(const PeerNodes &Nodes,
                                         Millis HeardSince,
                                         unsigned long Rotation);

/// Address of the node with the highest CPU capacity heard since the given
/// time, or empty. Rotation selects among nodes with the same capacity.
std::string strongestNode(const PeerNodes &Nodes, Millis HeardSince,
                          unsigned long Rotation);

} // namespace damaskglade::cell

#endif
