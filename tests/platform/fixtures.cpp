#include "tests/platform/fixtures.h"

namespace damaskglade::tests {

std::string closedAddress() {
  const stand_ins::HttpServer Closed(0, [](const stand_ins::HttpRequest &) {
    return stand_ins::HttpResponse{};
  });
  return Closed.address();
}

} // namespace damaskglade::tests
