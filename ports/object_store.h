#ifndef DAMASKGLADE_PORTS_OBJECT_STORE_H
#define DAMASKGLADE_PORTS_OBJECT_STORE_H

#include "core/error.h"

#include <string>

namespace damaskglade {

/// The platform's object store. Objects are named by content hash, so
/// writes are idempotent. Errors: object_store_unavailable, not_found.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  virtual Status put(const std::string &Name, const std::string &Body,
                     Millis Timeout) = 0;
  virtual Result<std::string> get(const std::string &Name, Millis Timeout) = 0;
};

} // namespace damaskglade

#endif
