#ifndef DAMASKGLADE_CONFIG_VERSION_STORE_H
#define DAMASKGLADE_CONFIG_VERSION_STORE_H

#include "core/clock.h"
#include "core/error.h"
#include "ports/object_store.h"
#include "ports/table_store.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::config {

constexpr const char *ConfigKind = "config";
constexpr const char *ConfigPointerId = "current";
/// One row a version, id "<version, 12 digits>".
constexpr const char *ConfigHistoryKind = "config_history";

/// A pushed version. Its number is the version of the pointer's row.
struct VersionInfo {
  std::int64_t Version_ = 0;
  std::string Hash_;          ///< Of the body, XXH3-128 in hex.
  std::int64_t Previous_ = 0; ///< Version that it was based on.
  std::string PreviousHash_;  ///< Empty for the first version.
  Millis Pushed_{};           ///< Wall time.
  std::string PushId_;        ///< Unique to the push.

  friend bool operator==(const VersionInfo &, const VersionInfo &) = default;
};

/// Versions of the cell's configuration: bodies in the object store, pointer
/// and history in the table. Safe to call from several threads.
class VersionStore {
public:
  /// Writer is the id of this node.
  VersionStore(TableStore &Table, ObjectStore &Objects, const Clock &Time,
               std::string Writer);

  /// Makes a text the next version. BasedOn is the version that the operator
  /// has seen, 0 if none. Errors: invalid_field with every problem of the
  /// text; version_moved if BasedOn is not the current version;
  /// object_store_unavailable; table_unavailable, with Effect::Unknown if the
  /// push may take effect.
  Result<VersionInfo> push(const std::string &Text, std::int64_t BasedOn,
                           Millis Timeout);

  /// Pushes the content of an earlier version. Errors: as push; not_found.
  Result<VersionInfo> rollback(std::int64_t Version, std::int64_t BasedOn,
                               Millis Timeout);

  /// The version in the table; nothing if none has been pushed.
  Result<std::optional<VersionInfo>> current(Millis Timeout);

  /// The body of a version. Errors: answer_truncated if it does not match.
  Result<std::string> body(const std::string &Hash, Millis Timeout);

  /// The latest versions, newest first, at most Limit.
  Result<std::vector<VersionInfo>> history(std::size_t Limit, Millis Timeout);

private:
  Status decide(const VersionInfo &Next, const std::vector<TableWrite> &Writes,
                Millis Deadline);
  Result<bool> isOurs(const VersionInfo &Next, Millis Deadline);
  Result<std::optional<VersionInfo>> readHistory(std::int64_t Version,
                                                 Millis Deadline);
  Millis callTimeout(Millis Deadline) const;
  Error moved(std::int64_t BasedOn, Millis Deadline);

  TableStore &Table_;
  ObjectStore &Objects_;
  const Clock &Time_;
  const std::string Writer_;
  std::atomic<std::int64_t> Pushes_ = 0;
};

} // namespace damaskglade::config

#endif
