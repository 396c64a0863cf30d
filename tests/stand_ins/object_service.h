#ifndef DAMASKGLADE_TESTS_STAND_INS_OBJECT_SERVICE_H
#define DAMASKGLADE_TESTS_STAND_INS_OBJECT_SERVICE_H

#include "core/thread.h"
#include "tests/stand_ins/fault_panel.h"
#include "tests/stand_ins/http_server.h"

#include <cstdint>
#include <map>
#include <string>

namespace damaskglade::stand_ins {

/// Object store with S3 path-style PUT and GET. Objects live in memory.
class ObjectService {
public:
  explicit ObjectService(std::uint64_t Seed) : Panel_(Seed) {}

  HttpResponse handle(const HttpRequest &Request);
  FaultPanel &panel() { return Panel_; }

private:
  HttpResponse serve(const HttpRequest &Request);
  HttpResponse dump();

  FaultPanel Panel_;
  Mutex Mutex_;
  std::map<std::string, std::string> Objects_; ///< By "/bucket/name".
};

} // namespace damaskglade::stand_ins

#endif
