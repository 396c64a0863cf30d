#include "main/cell_node.h"

#include "cell/config_follower.h"
#include "cell/gateway.h"
#include "cell/member.h"
#include "core/boot_clock.h"
#include "drivers/beast/loop_thread.h"
#include "drivers/log/bounded_log.h"
#include "drivers/log/log.h"
#include "drivers/metrics/metrics.h"
#include "platform/callers.h"
#include "platform/settings.h"
#include "platform/store.h"
#include "platform/workers.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>

namespace damaskglade {

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr int Ok = 200;
constexpr int Unavailable = 503;
// The balancer needs two failed checks, a second apart, to turn away.
constexpr Millis LeaveRotation{2300};
constexpr Millis DrainPoll{50};
constexpr Millis StopMargin{700};

class CellNode {
public:
  explicit CellNode(cell::CellSettings Settings)
      : Settings_(std::move(Settings)),
        Metrics_(Settings_.Node_, Settings_.Zone_),
        Log_(drivers::makeBoundedLog(drivers::makeEventLog(Settings_.Node_,
                                                           Settings_.Zone_,
                                                           Settings_.LogLevel_),
                                     Clock_, drivers::LogBudget{})),
        Http_(Loop_.makeClient(
            [this](const WebTransfer &Transfer) { reportTransfer(Transfer); })),
        Store_(platform::makeRowStore(*Http_, Settings_.StoreAddress_)),
        ConfigHttp_(ConfigThread_.loop().makeClient(
            [this](const WebTransfer &Transfer) { reportTransfer(Transfer); })),
        ConfigStore_(
            platform::makeRowStore(*ConfigHttp_, Settings_.StoreAddress_)),
        Configs_(platform::makeConfigSource(*ConfigStore_)),
        Registry_(platform::makeWorkerRegistry(*Store_)),
        Workers_(platform::makeTaskWorkers(*Http_)),
        Advisor_(platform::makeAdvisor(*Http_, Settings_.AdviceAddress_)),
        Peers_(*Http_), Ports_{Clock_,    Loop_,     *Store_,
                               *Workers_, *Advisor_, *Registry_,
                               Peers_,    *Log_,     Metrics_},
        Member_(std::make_shared<cell::Member>(Ports_, Settings_)),
        Gateway_(Ports_, Member_, Settings_.Access_, AgeClock_),
        ConfigPeers_(*ConfigHttp_),
        Config_(
            cell::ConfigPorts{AgeClock_, ConfigThread_.loop(), *Configs_,
                              ConfigPeers_, *Log_, Metrics_},
            Settings_.PeerListen_,
            [this](const SharedConfig &Config) {
              Loop_.after(Millis{},
                          [this, Config, ReceivedAt = Clock_.monotonic()] {
                            applyConfig(Config, ReceivedAt);
                          });
            },
            // The event loop runs tasks in order, so this arrives after the
            // version that is confirmed.
            [this](Millis ConfirmedAt) {
              Loop_.after(Millis{}, [this, ConfirmedAt] {
                Gateway_.setConfirmed(ConfirmedAt);
              });
            }) {}

  int run() {
    Member_->addMethods(Rpc_);
    connectConfig();
    const Status Listening = listen();
    if (!Listening) {
      Log_->write(failureEvent(Listening.error(), ""));
      return ExitFailed;
    }
    Loop_.onSignal([this](int Number) { handleSignal(Number); });
    Loop_.watchStalls();
    cell::logEvent(Ports_, LogLevel::Info, "", "start", Settings_.CallerListen_,
                   "listening");
    Member_->start();
    ConfigThread_.loop().after(Millis{}, [this] { Config_.start(); });
    ConfigThread_.start();
    Loop_.run();
    ConfigThread_.stop();
    cell::logEvent(Ports_, LogLevel::Info, "", "stop", "", "stopped");
    return ExitOk;
  }

private:
  Status listen() {
    Loop_.limitSessions(
        drivers::deriveSessionLimits(Settings_.MemoryMb_,
                                     Settings_.MaxDescriptors_),
        [this](const std::string &Reason) { reportRejection(Reason); });
    drivers::ListenerLimits Callers;
    Callers.Guarded_ = true;
    BOOST_OUTCOME_TRYV(Loop_.listen(
        Settings_.CallerListen_, Callers,
        [this](const WebRequest &Request, const WebReplier &Reply) {
          platform::handleCallerRequest(Gateway_, Request, Reply);
        }));
    drivers::ListenerLimits Checks = Callers;
    constexpr std::size_t MaxCheckBody = 4096;
    constexpr std::size_t ReservedForChecks = 16;
    Checks.BodyBytes_ = MaxCheckBody;
    Checks.ReservedSessions_ = ReservedForChecks;
    BOOST_OUTCOME_TRYV(
        Loop_.listen(Settings_.ReadinessListen_, Checks,
                     [this](const WebRequest &, const WebReplier &Reply) {
                       const bool Ready = !Stopping_ && Member_->ready();
                       Reply(WebReply{Ready ? Ok : Unavailable, ""});
                     }));
    drivers::ListenerLimits Nodes;
    constexpr std::size_t MaxPeerBody = std::size_t{1024} * 1024;
    Nodes.BodyBytes_ = MaxPeerBody;
    BOOST_OUTCOME_TRYV(Loop_.listen(
        Settings_.PeerListen_, Nodes,
        [this](const WebRequest &Request, const WebReplier &Reply) {
          Rpc_.handle(Request, Reply);
        }));
    if (Settings_.MetricsListen_.empty())
      return success();
    return Loop_.listen(Settings_.MetricsListen_, drivers::ListenerLimits{},
                        [this](const WebRequest &, const WebReplier &Reply) {
                          onConfigThread([this, Reply] {
                            Config_.reportAge();
                            Loop_.after(Millis{}, [this, Reply] {
                              Reply(WebReply{Ok, Metrics_.render(),
                                             "text/plain; version=0.0.4"});
                            });
                          });
                        });
  }

  void reportRejection(const std::string &Reason) {
    Metrics_.count("http_rejected_" + Reason, 1.0);
    cell::logEvent(Ports_, LogLevel::Info, "", "http_limit", "",
                   "request rejected or session closed, reason=" + Reason);
  }

  void onConfigThread(std::function<void()> Task) {
    ConfigThread_.loop().after(Millis{}, std::move(Task));
  }

  // The follower has a thread of its own: however much other work the event
  // loop has, a new configuration waits for one turn of it only.
  void connectConfig() {
    cell::ConfigHints Hints;
    Hints.OnNewerVersion_ = [this](std::int64_t Version,
                                   const std::string &Holder) {
      onConfigThread(
          [this, Version, Holder] { Config_.noteVersion(Version, Holder); });
    };
    Hints.OnNodes_ = [this](std::vector<std::string> Nodes) {
      onConfigThread([this, Nodes = std::move(Nodes)]() mutable {
        Config_.setNodes(std::move(Nodes));
      });
    };
    if (Settings_.Access_.StrictRevocation_)
      tellConfigAge(Hints);
    Member_->setConfigHints(std::move(Hints));
    Rpc_.add("config.get", [this](const Json::Value &Params,
                                  const cell::RpcReply &Reply) {
      onConfigThread([this, Params, Reply] {
        Config_.serve(Params, [this, Reply](const Result<Json::Value> &Out) {
          Loop_.after(Millis{}, [Reply, Out] { Reply(Out); });
        });
      });
    });
  }

  // Nodes that the store turns away learn from the leader that their keys are
  // current.
  void tellConfigAge(cell::ConfigHints &Hints) {
    Hints.Age_ = [this] { return Gateway_.configAge(); };
    Hints.Now_ = [this] { return AgeClock_.monotonic(); };
    Hints.OnConfirmed_ = [this](std::int64_t Version, Millis ConfirmedAt) {
      onConfigThread([this, Version, ConfirmedAt] {
        Config_.noteConfirmation(Version, ConfirmedAt);
      });
    };
  }

  void applyConfig(const SharedConfig &Config, Millis ReceivedAt) {
    constexpr double MillisPerSecond = 1000;
    const Millis Waited = Clock_.monotonic() - ReceivedAt;
    Gateway_.setConfig(Config);
    Member_->setConfig(Config);
    Metrics_.gauge("config_version", static_cast<double>(Config->Version_));
    Metrics_.observe("config_apply_seconds",
                     static_cast<double>(Waited.Value_) / MillisPerSecond);
    cell::logEvent(Ports_, LogLevel::Info, "", "configuration", "",
                   "in force, version=" + std::to_string(Config->Version_) +
                       " waited_ms=" + std::to_string(Waited.Value_));
  }

  // Tells which calls take long because of the size of their replies.
  void reportTransfer(const WebTransfer &Transfer) {
    constexpr double MillisPerSecond = 1000;
    constexpr double BytesPerKib = 1024;
    constexpr std::size_t LoggedBytes = std::size_t{128} * 1024;
    Metrics_.observe("transfer_seconds",
                     static_cast<double>(Transfer.Duration_.Value_) /
                         MillisPerSecond);
    Metrics_.observe("transfer_kib",
                     static_cast<double>(Transfer.Bytes_) / BytesPerKib);
    Metrics_.observe("transfer_reads", Transfer.Reads_);
    if (Transfer.Complete_ && Transfer.Bytes_ < LoggedBytes)
      return;
    cell::logEvent(Ports_, LogLevel::Info, "", "transfer", Transfer.Peer_,
                   Transfer.Step_ +
                       (Transfer.Complete_ ? " complete" : " failed") +
                       ", bytes=" + std::to_string(Transfer.Bytes_) +
                       " reads=" + std::to_string(Transfer.Reads_) +
                       " ms=" + std::to_string(Transfer.Duration_.Value_));
  }

  void handleSignal(int Number) {
    if (Number == SIGHUP) {
      cell::logEvent(Ports_, LogLevel::Info, "", "reload", "",
                     "settings are read at the start only");
      return;
    }
    if (Stopping_)
      return;
    Stopping_ = true;
    StopBy_ = Clock_.monotonic() + Settings_.StopGrace_ - StopMargin;
    cell::logEvent(Ports_, LogLevel::Info, "", "stop", "",
                   "leaving the rotation");
    Member_->resign([this] {
      Loop_.after(LeaveRotation, [this] {
        Loop_.drain();
        waitForRequests();
      });
    });
  }

  void waitForRequests() {
    if (Loop_.openRequests() == 0 || Clock_.monotonic() > StopBy_) {
      Loop_.stop();
      return;
    }
    Loop_.after(DrainPoll, [this] { waitForRequests(); });
  }

  const cell::CellSettings Settings_;
  const SystemClock Clock_;
  const BootClock AgeClock_;
  drivers::EventLoop Loop_;
  drivers::LoopThread ConfigThread_;
  drivers::PrometheusMetrics Metrics_;
  const std::unique_ptr<EventLog> Log_;
  const std::unique_ptr<WebClient> Http_;
  const std::unique_ptr<RowStore> Store_;
  // Used on the thread of the configuration only.
  const std::unique_ptr<WebClient> ConfigHttp_;
  const std::unique_ptr<RowStore> ConfigStore_;
  const std::unique_ptr<ConfigSource> Configs_;
  const std::unique_ptr<WorkerRegistry> Registry_;
  const std::unique_ptr<TaskWorkers> Workers_;
  const std::unique_ptr<Advisor> Advisor_;
  cell::RpcClient Peers_;
  const cell::CellPorts Ports_;
  const std::shared_ptr<cell::Member> Member_;
  cell::Gateway Gateway_;
  cell::RpcClient ConfigPeers_;
  cell::ConfigFollower Config_; ///< On the thread of the configuration.
  cell::RpcServer Rpc_;
  Millis StopBy_{};
  bool Stopping_ = false;
};

} // namespace

int runCellNode() {
  std::signal(SIGPIPE, SIG_IGN);
  const char *Path = std::getenv(platform::SettingsVariable);
  if (!Path) {
    std::fprintf(stderr, "damaskgladed: %s is not set\n",
                 platform::SettingsVariable);
    return ExitUsage;
  }
  const auto Settings = platform::loadSettings(Path);
  if (!Settings) {
    std::fprintf(stderr, "damaskgladed: %s\n",
                 describe(Settings.error()).c_str());
    return ExitUsage;
  }
  if (Settings.value().MemoryMb_ > 0) {
    // The default threshold grows up to 32 MB with freed blocks. Bodies would
    // then come from the heap, which keeps freed memory between others.
    constexpr int MmapThreshold = 64 * 1024;
    constexpr int MaxArenas = 2;
    mallopt(M_MMAP_THRESHOLD, MmapThreshold);
    mallopt(M_TRIM_THRESHOLD, MmapThreshold);
    mallopt(M_ARENA_MAX, MaxArenas);
  }
  CellNode Node(Settings.value());
  return Node.run();
}

} // namespace damaskglade
