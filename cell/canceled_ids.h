#ifndef DAMASKGLADE_CELL_CANCELED_IDS_H
#define DAMASKGLADE_CELL_CANCELED_IDS_H

#include "core/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::cell {

/// Jobs that were canceled while the leader did not know them. Their submission
/// may still be under way, and has to be rejected when it arrives. Each has a
/// row in the store, named by its key.
class CanceledIds {
public:
  /// Later submissions are not rejected.
  static constexpr Millis Retention{60000};
  /// The oldest ones of a workspace give way to further ones.
  static constexpr std::size_t MaxPerWorkspace = 500;

  static std::string keyOf(const std::string &Id, const std::string &Workspace);
  bool contains(const std::string &Id, const std::string &Workspace) const;
  /// Adds a job. Returns the key of the one that gives way to it, if any.
  std::optional<std::string> add(const std::string &Id,
                                 const std::string &Workspace, Millis Now);
  /// Adds a job whose row has been loaded. Ignores keys that cannot be read.
  void restore(const std::string &Key, Millis Now);
  /// Removes the jobs whose time is over, and returns their keys.
  std::vector<std::string> removeExpired(Millis Now);

private:
  /// When each job was canceled, by workspace and id.
  std::map<std::string, std::map<std::string, Millis>> Times_;
};

} // namespace damaskglade::cell

#endif
