#ifndef DAMASKGLADE_MAIN_STANDALONE_NODE_H
#define DAMASKGLADE_MAIN_STANDALONE_NODE_H

#include <string>

namespace damaskglade {

/// Runs a node with the product's own services until SIGTERM. Returns the exit
/// code; bad settings are told on standard error.
int runStandaloneNode(const std::string &Path);

} // namespace damaskglade

#endif
