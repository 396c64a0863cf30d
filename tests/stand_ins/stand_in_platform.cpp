// Stand-in for the platform: table service, object store and VM list, each on
// its own port of 127.0.0.1 and with its own fault switches.

#include "tests/stand_ins/http_server.h"
#include "tests/stand_ins/object_service.h"
#include "tests/stand_ins/stand_in_main.h"
#include "tests/stand_ins/table_service.h"
#include "tests/stand_ins/vm_list_service.h"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_int32(table_port, 9100, "port of the table service");
DEFINE_int32(objects_port, 9101, "port of the object store");
DEFINE_int32(vms_port, 9102, "port of the VM list");
DEFINE_int64(lag_ms, 0, "delay until a new VM list becomes visible");
DEFINE_uint64(seed, 1, "seed of the random faults");

using namespace damaskglade;
using namespace damaskglade::stand_ins;

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  blockStopSignals();
  TableService Table(FLAGS_seed);
  ObjectService Objects(FLAGS_seed + 1);
  VmListService Vms(FLAGS_seed + 2, Millis{FLAGS_lag_ms});
  const HttpServer TableServer(
      FLAGS_table_port,
      [&Table](const HttpRequest &Request) { return Table.handle(Request); });
  const HttpServer ObjectServer(FLAGS_objects_port,
                                [&Objects](const HttpRequest &Request) {
                                  return Objects.handle(Request);
                                });
  const HttpServer VmServer(FLAGS_vms_port, [&Vms](const HttpRequest &Request) {
    return Vms.handle(Request);
  });
  std::printf("table %s, objects %s, VM list %s\n",
              TableServer.address().c_str(), ObjectServer.address().c_str(),
              VmServer.address().c_str());
  std::fflush(stdout);
  runUntilStopped();
}
