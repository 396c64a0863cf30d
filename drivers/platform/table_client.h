#ifndef DAMASKGLADE_DRIVERS_PLATFORM_TABLE_CLIENT_H
#define DAMASKGLADE_DRIVERS_PLATFORM_TABLE_CLIENT_H

#include "ports/table_store.h"

#include <memory>
#include <string>

namespace damaskglade::drivers {

/// Client of the table service at "http://ip:port" (DynamoDB JSON 1.0), table
/// "damaskglade". Errors: see TableStore; invalid_field and internal with
/// Effect::None if the service rejects the request as malformed.
std::unique_ptr<TableStore> makeTableClient(const std::string &Url);

} // namespace damaskglade::drivers

#endif
