#include "node/election.h"

#include <xxhash.h>

namespace damaskglade::node {

std::string elect(const std::string &Subject,
                  const std::vector<std::string> &Candidates) {
  std::string Chosen;
  XXH64_hash_t HighestHash = 0;
  for (const std::string &Candidate : Candidates) {
    std::string HashKey = Subject;
    HashKey += '/';
    HashKey += Candidate;
    const XXH64_hash_t Hash = XXH3_64bits(HashKey.data(), HashKey.size());
    if (Chosen.empty() || Hash > HighestHash) {
      Chosen = Candidate;
      HighestHash = Hash;
    }
  }
  return Chosen;
}

} // namespace damaskglade::node
