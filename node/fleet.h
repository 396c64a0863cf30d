#ifndef DAMASKGLADE_NODE_FLEET_H
#define DAMASKGLADE_NODE_FLEET_H

#include "core/thread.h"
#include "ports/vm_list.h"

#include <string>
#include <vector>

namespace damaskglade::node {

/// Cache of the VM list, shared by all parts of a node so that the list is
/// fetched only once. Thread-safe.
class Fleet : public VmList {
public:
  Fleet(VmList &Source, const Clock &Time) : Source_(Source), Time_(Time) {}

  /// The cached list if it is less than one second old, else a fresh one.
  Result<std::vector<VmEntry>> list(Millis Timeout) override;

  /// Fetches the list. On an error the cached list is kept.
  Status refresh(Millis Timeout);
  std::vector<VmEntry> workersOfShard(const std::string &Shard) const;
  std::vector<std::string> workersOfZone(const std::string &Zone) const;
  /// True once the list has been fetched.
  bool hasList() const;

private:
  VmList &Source_;
  const Clock &Time_;
  mutable Mutex Mutex_;
  std::vector<VmEntry> Entries_;
  bool HasList_ = false;
  Millis FetchedAt_; ///< Monotonic start of the last successful fetch.
};

} // namespace damaskglade::node

#endif
