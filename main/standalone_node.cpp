#include "main/standalone_node.h"

#include "config/folder.h"
#include "drivers/http/http_server.h"
#include "drivers/log/log.h"
#include "drivers/metrics/metrics.h"
#include "drivers/peer/peer_client.h"
#include "drivers/peer/peer_server.h"
#include "drivers/platform/object_client.h"
#include "drivers/platform/table_client.h"
#include "drivers/platform/vm_list_client.h"
#include "drivers/platform/worker_client.h"
#include "node/node.h"

#include <csignal>
#include <cstdio>
#include <malloc.h>
#include <pthread.h>

namespace damaskglade {

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr std::size_t MaxBodyBytes = std::size_t{1024} * 1024;
// Callers that wait hold a connection, and each connection has a thread.
constexpr std::size_t MaxConnections = 600;

// Blocks the signals in all threads, so that sigwait() gets them. A broken
// connection is reported by the write that fails, not by a signal.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

const char *levelName(config::LogLevel Level) {
  switch (Level) {
  case config::LogLevel::Debug:
    return "debug";
  case config::LogLevel::Info:
    return "info";
  case config::LogLevel::Warning:
    return "warning";
  case config::LogLevel::Error:
    return "error";
  }
  return "info";
}

node::NodeOptions makeOptions(const config::ProcessSettings &Settings) {
  node::NodeOptions Options;
  Options.Identity_ = node::NodeIdentity{Settings.NodeId_, Settings.Zone_,
                                         Settings.Listen_.text()};
  Options.Store_.Writer_ = Settings.NodeId_;
  return Options;
}

HttpReply answer(const HttpRequest &Request, node::Node &Node,
                 drivers::PeerServer &Peers,
                 const drivers::PrometheusMetrics &Metrics) {
  constexpr int Ok = 200;
  if (Request.Path_ == "/rpc" && Request.Method_ == "POST")
    return HttpReply{Ok, Peers.answer(Request.Body_)};
  if (Request.Path_ == "/metrics" && Request.Method_ == "GET")
    return HttpReply{Ok, Metrics.render(), "text/plain; version=0.0.4"};
  return Node.handle(Request);
}

int run(const config::ProcessSettings &Settings) {
  const sigset_t Signals = blockSignals();
  // Each arena keeps freed memory of its own; with one for each of several
  // hundred threads the process would pass its limit of 64 MB.
  constexpr int MaxArenas = 2;
  mallopt(M_ARENA_MAX, MaxArenas);

  const SystemClock Time;
  drivers::PrometheusMetrics Metrics(Settings.NodeId_, Settings.Zone_);
  const auto Log = drivers::makeEventLog(Settings.NodeId_, Settings.Zone_,
                                         levelName(Settings.LogLevel_));
  const auto Workers = drivers::makeWorkerClient();
  const auto PeerCalls = drivers::makePeerClient(Settings.NodeId_);
  const auto Table = drivers::makeTableClient(Settings.TableUrl_);
  const auto Objects = drivers::makeObjectClient(Settings.ObjectsUrl_);
  const auto Vms = drivers::makeVmListClient(Settings.VmListUrl_);
  node::Services Ports{Time, Metrics, *Log, *Workers, *PeerCalls};
  node::Node Node(makeOptions(Settings), Ports, *Table, *Objects, *Vms);
  drivers::PeerServer Peers(node::PeerApi::methods(),
                            [&Node](const std::string &From,
                                    const std::string &Method,
                                    const Json::Value &Message) {
                              return Node.handlePeer(From, Method, Message);
                            });

  const auto Listener = drivers::makeHttpServer(MaxBodyBytes, MaxConnections);
  const Status Started =
      Listener->start(Settings.Listen_.text(), [&](const HttpRequest &Request) {
        return answer(Request, Node, Peers, Metrics);
      });
  if (!Started) {
    Log->write(failureEvent(Started.error(), ""));
    return ExitFailed;
  }
  Node.start();
  Log->write(LogEvent{LogLevel::Info, "listening", "", "start",
                      Settings.Listen_.text()});

  int Signal = 0;
  sigwait(&Signals, &Signal);
  Log->write(LogEvent{LogLevel::Info, "shutting down", "", "stop", ""});
  Node.stop();
  Listener->stop();
  return ExitOk;
}

} // namespace

int runStandaloneNode(const std::string &Path) {
  const config::CheckedProcess Checked = config::loadProcess(Path);
  for (const config::Problem &Each : Checked.Problems_)
    std::fprintf(stderr, "%s\n", config::describe(Each).c_str());
  if (!Checked.Settings_)
    return ExitUsage;
  return run(Checked.Settings_.value());
}

} // namespace damaskglade
