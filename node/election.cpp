#include "node/election.h"

#include <xxhash.h>

namespace damaskglade::node {

std::string elect(const std::string &Subject,
                  const std::vector<std::string> &Candidates) {
  std::string Best;
  XXH64_hash_t BestHash = 0;
  for (const std::string &Candidate : Candidates) {
    std::string Text = Subject;
    Text += '/';
    Text += Candidate;
    const XXH64_hash_t Hash = XXH3_64bits(Text.data(), Text.size());
    if (Best.empty() || Hash > BestHash) {
      Best = Candidate;
      BestHash = Hash;
    }
  }
  return Best;
}

} // namespace damaskglade::node
