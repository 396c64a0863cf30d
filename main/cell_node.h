#ifndef DAMASKGLADE_MAIN_CELL_NODE_H
#define DAMASKGLADE_MAIN_CELL_NODE_H

namespace damaskglade {

/// Runs a node of a cell on the users' platform until SIGTERM. Settings come
/// from the file that the environment names. Returns the exit code.
int runCellNode();

} // namespace damaskglade

#endif
