// Starts one daemon with low limits beside stand-ins of the platform, lets
// misbehaving clients connect to it, and checks that it lives, stays within its
// limits and serves an ordinary request afterwards. Exits with 1 if not.

#include "core/codec.h"
#include "drivers/beast/loop_thread.h"
#include "tests/overload/cases.h"
#include "tests/process/launcher.h"
#include "tests/soak/platform_server.h"
#include "tests/soak/worker_server.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>

DEFINE_string(daemon, "", "path of damaskgladed");
DEFINE_string(case, "", "name of the test case");

namespace damaskglade::overload {

namespace {

// Limits in the settings of the daemon, which are the bounds of the checks.
constexpr long MemoryMb = 64;
constexpr long MaxDescriptors = 300;
constexpr Millis PlayLimit{8000};
// Longer than any time that the daemon gives a client.
constexpr Millis AnswerLimit{45000};
constexpr Millis RetryPeriod{100};
constexpr int Ok = 200;
constexpr int Gone = 410; // A job that does not exist.

enum Port { Store, Advice, Worker, Callers, Readiness, Peers, Metrics, Count };

std::string local(int Port) { return "127.0.0.1:" + std::to_string(Port); }

std::string writeSettings(const std::string &Folder, int FirstPort) {
  std::string Path = Folder + "/node.ini";
  std::ofstream Out(Path);
  Out << "[node]\nname = n0\nzone = z0\ncallers = "
      << local(FirstPort + Callers)
      << "\nreadiness = " << local(FirstPort + Readiness)
      << "\npeers = " << local(FirstPort + Peers)
      << "\nmetrics = " << local(FirstPort + Metrics)
      << "\n[services]\nstore = " << local(FirstPort + Store)
      << "\nadvice = " << local(FirstPort + Advice)
      << "\n[limits]\nmemory_mb = " << MemoryMb
      << "\nmax_descriptors = " << MaxDescriptors << "\n";
  return Path;
}

Json::Value makeConfig() {
  Json::Value Route;
  Route["name"] = "queue";
  Route["host"] = Host;
  Route["pathPrefix"] = JobPath;
  Route["service"] = "desk";
  Route["targetLatencyMs"] = 250;
  Route["hint"]["decisionMs"] = Json::Int64(soak::AdviceTime.Value_);
  Route["hint"]["intervalMs"] = 0;
  Route["hint"]["validMs"] = 2500;
  Json::Value Config;
  Config["version"] = 1;
  Config["routes"].append(Route);
  return Config;
}

Json::Value makeWorkerEntry(int Port) {
  Json::Value Entry;
  Entry["service"] = "desk";
  Entry["addr"] = local(Port);
  Entry["zone"] = "z0";
  Entry["state"] = "ready";
  Entry["capacity"]["cpu"] = 8000;
  Entry["capacity"]["memMb"] = 64000;
  Entry["labels"].append("a");
  return Entry;
}

/// What the kernel tells about a process.
struct Usage {
  long PeakMemoryKb_ = 0; ///< VmHWM.
  long Descriptors_ = 0;
};

Usage readUsage(pid_t Process) {
  Usage Out;
  const std::string Folder = "/proc/" + std::to_string(Process);
  std::ifstream Status(Folder + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.rfind("VmHWM:", 0) == 0)
      Out.PeakMemoryKb_ = std::atol(Line.c_str() + sizeof("VmHWM:"));
  std::error_code Ignored;
  for (const auto &Each :
       std::filesystem::directory_iterator(Folder + "/fd", Ignored)) {
    static_cast<void>(Each);
    ++Out.Descriptors_;
  }
  return Out;
}

/// Repeats a request until it is answered with the status.
bool isAnswered(int Port, const std::string &Text, int Status) {
  const SystemClock Time;
  const Millis End = Time.monotonic() + AnswerLimit;
  while (Time.monotonic() < End) {
    if (request(Port, Text) == Status)
      return true;
    sleepFor(RetryPeriod);
  }
  return false;
}

bool isServing(int FirstPort, const std::string &JobId) {
  const std::string Job =
      R"({"spec":"x","phases":[{"count":1,"cpu":100,"memMb":10,)"
      R"("estimateMs":100}]})";
  const int CallerPort = FirstPort + Callers;
  const std::string Path = JobPath + JobId;
  bool Serving = true;
  const auto Check = [&Serving](const char *What, bool Answered) {
    if (!Answered)
      std::printf("FOUND no answer to %s\n", What);
    Serving &= Answered;
  };
  Check("an ordinary request",
        isAnswered(CallerPort, makeRequest("GET", "/work/none", ""), Gone));
  Check("a readiness check",
        isAnswered(FirstPort + Readiness, makeRequest("GET", "/", ""), Ok));
  Check("a job", isAnswered(CallerPort, makeRequest("POST", Path, Job), Ok));
  return Serving;
}

bool run(const std::string &Daemon, const std::string &Case) {
  const std::string Folder = process_tests::makeTemporaryFolder();
  const int FirstPort = process_tests::findFreePorts(Count);
  const SystemClock Time;
  soak::Observer Observer(Time);
  drivers::LoopThread Thread;
  soak::PlatformServer Platform(Thread.loop(), Time, 1);
  constexpr std::int64_t Capacity = 8000;
  soak::WorkerServer WorkerStandIn(Thread.loop(), Time, Observer, "w0",
                                   Capacity, 1);
  if (!Platform.listen({local(FirstPort + Store)},
                       {local(FirstPort + Advice)}) ||
      !WorkerStandIn.listen(local(FirstPort + Worker))) {
    std::printf("FOUND a stand-in cannot listen\n");
    return false;
  }
  Platform.put("servers", "w0", makeWorkerEntry(FirstPort + Worker));
  Platform.put("op", "config", makeConfig());
  Thread.start();
  setenv("DAMASKGLADE_CONFIG", writeSettings(Folder, FirstPort).c_str(), 1);
  process_tests::Process Node(Daemon, {"--cell"}, Folder + "/n0.log");
  bool Passed = isServing(FirstPort, "b000000000000000");
  const Usage Before = readUsage(Node.id());

  long MostDescriptors = 0;
  Clients All;
  if (Passed)
    All.play(makeClients(Case, FirstPort + Callers, FirstPort + Readiness),
             PlayLimit, [&] {
               MostDescriptors =
                   std::max(MostDescriptors, readUsage(Node.id()).Descriptors_);
             });
  Passed = Passed && isServing(FirstPort, "a000000000000000");
  const Usage After = readUsage(Node.id());
  MostDescriptors = std::max(MostDescriptors, After.Descriptors_);
  std::printf("%s: VmHWM %ld kB before, %ld kB after (bound %ld), descriptors "
              "%ld before, %ld at most (bound %ld), %d clients have sent all, "
              "%d disconnected, log %s\n",
              Case.c_str(), Before.PeakMemoryKb_, After.PeakMemoryKb_,
              MemoryMb * 1024, Before.Descriptors_, MostDescriptors,
              MaxDescriptors, All.sent(), All.closed(), Folder.c_str());
  if (!Node.isRunning()) {
    std::printf("FOUND the daemon has ended, code %d\n", Node.exitCode());
    Passed = false;
  }
  if (After.PeakMemoryKb_ > MemoryMb * 1024) {
    std::printf("FOUND too much memory\n");
    Passed = false;
  }
  if (MostDescriptors > MaxDescriptors) {
    std::printf("FOUND too many descriptors\n");
    Passed = false;
  }
  Node.kill();
  Thread.stop();
  return Passed;
}

} // namespace

} // namespace damaskglade::overload

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  gflags::SetUsageMessage("overload --daemon=PATH --case=NAME");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  if (damaskglade::overload::makeClients(FLAGS_case, 0, 0).empty()) {
    std::fprintf(stderr, "overload: unknown case \"%s\"\n", FLAGS_case.c_str());
    return EXIT_FAILURE;
  }
  return damaskglade::overload::run(FLAGS_daemon, FLAGS_case) ? EXIT_SUCCESS
                                                              : EXIT_FAILURE;
}
