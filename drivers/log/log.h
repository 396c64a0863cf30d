#ifndef DAMASKGLADE_DRIVERS_LOG_LOG_H
#define DAMASKGLADE_DRIVERS_LOG_LOG_H

#include "ports/event_log.h"

#include <memory>
#include <string>

namespace damaskglade::drivers {

/// Log on standard error through easylogging++. Each line carries node and
/// availability zone. Level is one of debug, info, warning, error.
std::unique_ptr<EventLog> makeEventLog(const std::string &Node,
                                       const std::string &Zone,
                                       const std::string &Level);

} // namespace damaskglade::drivers

#endif
