// Stand-in for one or more workers, each on its own port of 127.0.0.1.

#include "core/thread.h"
#include "drivers/platform/http_pool.h"
#include "tests/stand_ins/http_server.h"
#include "tests/stand_ins/stand_in_main.h"
#include "tests/stand_ins/timer_queue.h"
#include "tests/stand_ins/worker_service.h"

#include <cstdio>
#include <deque>
#include <gflags/gflags.h>
#include <list>

DEFINE_string(id, "w", "id of the worker; with --count, <id>-<index>");
DEFINE_string(zone, "", "availability zone, for the start message only");
DEFINE_string(rack, "", "rack, for the start message only");
DEFINE_int32(port, 9200, "port of the first worker");
DEFINE_int32(count, 1, "number of workers, on consecutive ports");
DEFINE_int64(milli_cpus, 16000, "capacity in thousandths of a core");
DEFINE_int64(memory_mib, 65536, "capacity in MiB");
DEFINE_int64(accelerators, 0, "accelerators");
DEFINE_int64(slots, 8, "slots");
DEFINE_int64(connections, 64, "connections");
DEFINE_int64(clock_offset_ms, 0, "added to the wall clock");
DEFINE_int64(usage_lag_ms, 1000, "age of the reported usage");

using namespace damaskglade;
using namespace damaskglade::stand_ins;

namespace {

/// Pushes completion reports on threads of its own: a node that does not
/// answer must not hold up the tasks of a worker.
class Reporter {
public:
  Reporter() {
    constexpr int ThreadCount = 8;
    for (int Index = 0; Index < ThreadCount; ++Index)
      Threads_.emplace_back([this] { run(); });
  }

  void add(const std::string &Url, const std::string &Body) {
    const MutexLock Held(Mutex_);
    // A report that is left out here is repeated in lease replies.
    constexpr std::size_t MaxWaiting = 10000;
    if (Reports_.size() < MaxWaiting)
      Reports_.emplace_back(Url, Body);
    Changed_.notifyOne();
  }

private:
  [[noreturn]] void run() {
    constexpr Millis Forever{60000};
    constexpr Millis Timeout{1000};
    while (true) {
      std::pair<std::string, std::string> Next;
      {
        const MutexLock Held(Mutex_);
        while (Reports_.empty())
          Changed_.waitFor(Mutex_, Forever);
        Next = std::move(Reports_.front());
        Reports_.pop_front();
      }
      const drivers::HttpUrl Url = drivers::splitUrl(Next.first);
      const drivers::HttpCall Call{
          "POST", Url.Path_, Next.second, "application/json", {}};
      static_cast<void>(Pool_.call(Url.Address_, Call, Timeout, "report"));
    }
  }

  drivers::HttpPool Pool_;
  Mutex Mutex_;
  Condition Changed_;
  std::deque<std::pair<std::string, std::string>> Reports_;
  std::list<Thread> Threads_;
};

std::string idOf(int Index) {
  return FLAGS_count == 1 ? FLAGS_id : FLAGS_id + "-" + std::to_string(Index);
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  blockStopSignals();
  TimerQueue Timers;
  Reporter Reports;
  std::list<WorkerService> Workers;
  std::list<HttpServer> Servers;
  for (int Index = 0; Index < FLAGS_count; ++Index) {
    const WorkerOptions Options{
        idOf(Index),
        Resources{FLAGS_milli_cpus, FLAGS_memory_mib, FLAGS_accelerators,
                  FLAGS_slots, FLAGS_connections},
        Millis{FLAGS_clock_offset_ms}, Millis{FLAGS_usage_lag_ms}};
    WorkerService &Worker = Workers.emplace_back(
        Options, Timers,
        [&Reports](const std::string &Url, const std::string &Body) {
          Reports.add(Url, Body);
        });
    Servers.emplace_back(FLAGS_port + Index,
                         [&Worker](const HttpRequest &Request) {
                           return Worker.handle(Request);
                         });
  }
  std::printf("%d workers from port %d, zone \"%s\", rack \"%s\"\n",
              FLAGS_count, FLAGS_port, FLAGS_zone.c_str(), FLAGS_rack.c_str());
  std::fflush(stdout);
  runUntilStopped();
}
