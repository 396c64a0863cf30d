#include "ownership/assign.h"

#include <algorithm>

namespace damaskglade::ownership {

namespace {

bool hasLess(const ShardCounts::value_type &A,
             const ShardCounts::value_type &B) {
  return A.second < B.second;
}

} // namespace

std::map<std::string, std::string>
assignShards(const std::vector<std::string> &Shards, ShardCounts Counts) {
  std::map<std::string, std::string> Out;
  if (Counts.empty())
    return Out;
  for (const std::string &Shard : Shards) {
    const auto Least = std::min_element(Counts.begin(), Counts.end(), hasLess);
    Out[Shard] = Least->first;
    Least->second += 1;
  }
  return Out;
}

std::map<std::string, std::string>
movesFrom(const std::string &Node, const std::vector<std::string> &Owned,
          ShardCounts Counts) {
  std::map<std::string, std::string> Out;
  std::size_t Moved = 0;
  while (!Counts.empty()) {
    const auto Least = std::min_element(Counts.begin(), Counts.end(), hasLess);
    const auto Most = std::max_element(Counts.begin(), Counts.end(), hasLess);
    if (Most->second < Least->second + 2)
      break;
    if (Most->first == Node) {
      if (Moved == Owned.size())
        break;
      Out[Owned[Moved]] = Least->first;
      Moved += 1;
    }
    Most->second -= 1;
    Least->second += 1;
  }
  return Out;
}

} // namespace damaskglade::ownership
