#ifndef DAMASKGLADE_NODE_FLEET_H
#define DAMASKGLADE_NODE_FLEET_H

#include "core/thread.h"
#include "ports/vm_list.h"

#include <string>
#include <vector>

namespace damaskglade::node {

/// Last known answer of the VM list. Thread-safe.
class Fleet {
public:
  explicit Fleet(VmList &Source) : Source_(Source) {}

  /// Asks the VM list. On an error the last answer stays.
  Status refresh(Millis Timeout);
  std::vector<VmEntry> workersOf(const std::string &Shard) const;
  std::vector<std::string> workersOfZone(const std::string &Zone) const;
  bool isKnown() const;

private:
  VmList &Source_;
  mutable Mutex Mutex_;
  std::vector<VmEntry> Entries_;
  bool Known_ = false;
};

} // namespace damaskglade::node

#endif
