#ifndef DAMASKGLADE_DRIVERS_PLATFORM_VM_LIST_CLIENT_H
#define DAMASKGLADE_DRIVERS_PLATFORM_VM_LIST_CLIENT_H

#include "ports/vm_list.h"

#include <memory>
#include <string>

namespace damaskglade::drivers {

/// Client of the VM list at the given URL (Prometheus HTTP service discovery;
/// labels vm, zone, rack, role = node|worker, state = live|leaving). Errors:
/// connect_failed, timeout, answer_lost; internal if the list is malformed.
std::unique_ptr<VmList> makeVmListClient(const std::string &Url);

} // namespace damaskglade::drivers

#endif
