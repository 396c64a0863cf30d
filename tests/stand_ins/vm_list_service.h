#ifndef DAMASKGLADE_TESTS_STAND_INS_VM_LIST_SERVICE_H
#define DAMASKGLADE_TESTS_STAND_INS_VM_LIST_SERVICE_H

#include "core/clock.h"
#include "core/thread.h"
#include "tests/stand_ins/fault_panel.h"
#include "tests/stand_ins/http_server.h"

#include <cstdint>
#include <deque>
#include <json/value.h>
#include <string>

namespace damaskglade::stand_ins {

/// VM list in the format of Prometheus HTTP service discovery. POST /_vms
/// replaces the list: {"vms":[{id, zone, rack, address, role, state}]} or the
/// bare array. GET /_dump gives the list without lag.
class VmListService {
public:
  /// The first list is visible at once, later ones after the lag.
  VmListService(std::uint64_t Seed, Millis Lag) : Panel_(Seed), Lag_(Lag) {}

  HttpResponse handle(const HttpRequest &Request);
  FaultPanel &panel() { return Panel_; }

private:
  struct Version {
    Millis Visible_;
    Json::Value Groups_;
  };

  HttpResponse replace(const std::string &Body);
  HttpResponse visible();
  HttpResponse dump();

  FaultPanel Panel_;
  Millis Lag_;
  SystemClock Clock_;
  Mutex Mutex_;
  std::deque<Version> Versions_;
};

} // namespace damaskglade::stand_ins

#endif
