#include "ownership/assign.h"

#include <algorithm>

namespace damaskglade::ownership {

namespace {

bool hasFewerShards(const ShardCounts::value_type &A,
                    const ShardCounts::value_type &B) {
  return A.second < B.second;
}

} // namespace

std::map<std::string, std::string>
assignShards(const std::vector<std::string> &Shards, ShardCounts Counts) {
  std::map<std::string, std::string> Assignment;
  if (Counts.empty())
    return Assignment;
  for (const std::string &Shard : Shards) {
    const auto LeastLoaded =
        std::min_element(Counts.begin(), Counts.end(), hasFewerShards);
    Assignment[Shard] = LeastLoaded->first;
    LeastLoaded->second += 1;
  }
  return Assignment;
}

std::map<std::string, std::string>
planMoves(const std::string &Node, const std::vector<std::string> &Owned,
          ShardCounts Counts) {
  std::map<std::string, std::string> Moves;
  std::size_t Moved = 0;
  while (!Counts.empty()) {
    const auto LeastLoaded =
        std::min_element(Counts.begin(), Counts.end(), hasFewerShards);
    const auto MostLoaded =
        std::max_element(Counts.begin(), Counts.end(), hasFewerShards);
    if (MostLoaded->second < LeastLoaded->second + 2)
      break;
    if (MostLoaded->first == Node) {
      if (Moved == Owned.size())
        break;
      Moves[Owned[Moved]] = LeastLoaded->first;
      Moved += 1;
    }
    MostLoaded->second -= 1;
    LeastLoaded->second += 1;
  }
  return Moves;
}

} // namespace damaskglade::ownership
