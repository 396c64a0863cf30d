#include "cell/canceled_ids.h"

#include "core/job.h"
#include "dispatch/job.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// Ids have none of these, so the rest of a key is the workspace.
constexpr char Separator = '/';

// The store takes keys of at most 200 bytes, and rejects each transaction with
// a longer one.
std::string shortName(const std::string &Workspace) {
  constexpr std::size_t MaxBytes = 100;
  return Workspace.size() <= MaxBytes ? Workspace : digestOf(Workspace);
}

} // namespace

std::string CanceledIds::keyOf(const std::string &Id,
                               const std::string &Workspace) {
  return Id + Separator + shortName(Workspace);
}

bool CanceledIds::contains(const std::string &Id,
                           const std::string &Workspace) const {
  const auto Entry = Times_.find(shortName(Workspace));
  return Entry != Times_.end() && Entry->second.count(Id) > 0;
}

std::optional<std::string> CanceledIds::add(const std::string &Id,
                                            const std::string &Workspace,
                                            Millis Now) {
  std::map<std::string, Millis> &Times = Times_[shortName(Workspace)];
  Times[Id] = Now;
  if (Times.size() <= MaxPerWorkspace)
    return std::nullopt;
  const auto Oldest = std::min_element(
      Times.begin(), Times.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  std::string Key = keyOf(Oldest->first, Workspace);
  Times.erase(Oldest);
  return Key;
}

// How old the row is is not known, so its time starts anew.
void CanceledIds::restore(const std::string &Key, Millis Now) {
  const std::size_t IdEnd = Key.find(Separator);
  if (IdEnd == std::string::npos || !dispatch::isJobId(Key.substr(0, IdEnd)))
    return;
  Times_[Key.substr(IdEnd + 1)][Key.substr(0, IdEnd)] = Now;
}

std::vector<std::string> CanceledIds::removeExpired(Millis Now) {
  std::vector<std::string> Keys;
  for (auto Entry = Times_.begin(); Entry != Times_.end();) {
    auto &[Workspace, Times] = *Entry;
    for (auto Job = Times.begin(); Job != Times.end();) {
      if (Now < Job->second + Retention) {
        ++Job;
        continue;
      }
      Keys.push_back(keyOf(Job->first, Workspace));
      Job = Times.erase(Job);
    }
    Entry = Times.empty() ? Times_.erase(Entry) : std::next(Entry);
  }
  return Keys;
}

} // namespace damaskglade::cell
