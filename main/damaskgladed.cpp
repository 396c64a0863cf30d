#include "main/cell_node.h"
#ifdef DAMASKGLADE_STANDALONE
#include "main/standalone_node.h"
#endif

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(config, "", "INI file with the settings of this node");
DEFINE_bool(cell, false,
            "run a node on the users' platform, which names its settings file");

int main(int Argc, char **Argv) {
  constexpr int ExitUsage = 2;
  gflags::SetUsageMessage("damaskgladed --config=FILE.ini | --cell");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_cell)
    return damaskglade::runCellNode();
#ifdef DAMASKGLADE_STANDALONE
  if (!FLAGS_config.empty())
    return damaskglade::runStandaloneNode(FLAGS_config);
  std::fputs("damaskgladed: --config or --cell is missing\n", stderr);
#else
  std::fputs("damaskgladed: --cell is missing\n", stderr);
#endif
  return ExitUsage;
}
