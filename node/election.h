#ifndef DAMASKGLADE_NODE_ELECTION_H
#define DAMASKGLADE_NODE_ELECTION_H

#include <string>
#include <vector>

namespace damaskglade::node {

/// The candidate with the highest rendezvous hash for a subject. All callers
/// with the same candidates choose the same one, and a change of the candidates
/// affects few subjects. Empty if there is no candidate.
std::string elect(const std::string &Subject,
                  const std::vector<std::string> &Candidates);

} // namespace damaskglade::node

#endif
