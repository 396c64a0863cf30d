#ifndef DAMASKGLADE_PORTS_VM_LIST_H
#define DAMASKGLADE_PORTS_VM_LIST_H

#include "core/error.h"
#include "core/worker.h"

#include <vector>

namespace damaskglade {

/// The platform's list of live and leaving VMs. It may be out of date.
class VmList {
public:
  virtual ~VmList() = default;
  virtual Result<std::vector<VmEntry>> list(Millis Timeout) = 0;
};

} // namespace damaskglade

#endif
