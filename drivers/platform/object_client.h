#ifndef DAMASKGLADE_DRIVERS_PLATFORM_OBJECT_CLIENT_H
#define DAMASKGLADE_DRIVERS_PLATFORM_OBJECT_CLIENT_H

#include "ports/object_store.h"

#include <memory>
#include <string>

namespace damaskglade::drivers {

/// Client of an S3 bucket addressed by path: "http://ip:port/bucket". Without
/// a path the bucket is "damaskglade".
std::unique_ptr<ObjectStore> makeObjectClient(const std::string &Url);

} // namespace damaskglade::drivers

#endif
