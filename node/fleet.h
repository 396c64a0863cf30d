#ifndef DAMASKGLADE_NODE_FLEET_H
#define DAMASKGLADE_NODE_FLEET_H

#include "core/thread.h"
#include "ports/vm_list.h"

#include <string>
#include <vector>

namespace damaskglade::node {

/// Last known answer of the VM list, shared by all parts of a node so that the
/// list is fetched once. Thread-safe.
class Fleet : public VmList {
public:
  Fleet(VmList &Source, const Clock &Time) : Source_(Source), Time_(Time) {}

  /// The last answer if it is less than a second old, else a new one.
  Result<std::vector<VmEntry>> list(Millis Timeout) override;

  /// Asks the VM list. On an error the last answer stays.
  Status refresh(Millis Timeout);
  std::vector<VmEntry> workersOf(const std::string &Shard) const;
  std::vector<std::string> workersOfZone(const std::string &Zone) const;
  bool isKnown() const;

private:
  VmList &Source_;
  const Clock &Time_;
  mutable Mutex Mutex_;
  std::vector<VmEntry> Entries_;
  bool Known_ = false;
  Millis Fetched_; ///< Monotonic start of the last successful fetch.
};

} // namespace damaskglade::node

#endif
