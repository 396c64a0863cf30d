// Randomized soak of real daemons as separate processes: faults come from
// outside of them, and the promises are checked from what callers and workers
// see. Exits with 1 if a promise was broken.

#include "core/codec.h"
#include "tests/process/launcher.h"
#include "tests/soak/platform_server.h"
#include "tests/soak/worker_server.h"
#include "tests/stand_ins/relay.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <memory>

DEFINE_string(daemon, "", "path of damaskgladed");
DEFINE_uint32(seed, 1, "seed of the run");
DEFINE_int32(seconds, 20, "time with faults");
DEFINE_int32(nodes, 4, "daemons");
DEFINE_int32(workers, 12, "stand-in workers");
DEFINE_string(logs, "", "folder for logs; empty: a new temporary folder");

namespace damaskglade::soak {

namespace {

using process_tests::findFreePorts;
using process_tests::Process;
using stand_ins::LinkState;

constexpr const char *Host = "queue.example";
constexpr const char *Prefix = "/work/";
constexpr Millis FaultTime{2500};
constexpr Millis SettleTime{30000};
constexpr Millis PollPeriod{700};
constexpr Millis CallTimeout{3000};

std::string local(int Port) { return "127.0.0.1:" + std::to_string(Port); }

struct Node {
  std::string Name_;
  int Ports_ = 0; ///< Callers, readiness, peers, metrics.
  std::string Settings_;
  std::unique_ptr<Process> Process_;
  bool Down_ = false; ///< Killed or stopped by the soak; started again later.
  bool Paused_ = false;
};

class Soak {
public:
  Soak();
  int run();

private:
  void writeSettings(Node &Each, int StorePort, const std::string &Zone) const;
  void startNode(Node &Each);
  void restartEnded();
  void registerWorkers();
  void scheduleFault();
  void injectFault();
  void disturb(const std::string &What, std::function<void()> Begin,
               std::function<void()> End);
  void faultNode(Node &Each);
  void submitLater();
  void submit();
  void send(const std::string &Id, const std::string &Body, int TriesLeft);
  void poll(const std::string &Id);
  void cancel(const std::string &Id);
  void call(const std::string &Method, const std::string &Id,
            const std::string &Body, WebReplyHandler Done);
  void settle(Millis Until);
  bool faultsOver() const {
    return Time_.monotonic() > StartedAt_ + Millis{FLAGS_seconds * 1000};
  }
  std::size_t draw(std::size_t Below) { return Random_() % Below; }

  const SystemClock Time_;
  std::minstd_rand Random_{FLAGS_seed};
  drivers::EventLoop Loop_;
  Observer Watch_{Time_};
  PlatformServer Platform_{Loop_, Time_, FLAGS_seed};
  std::unique_ptr<WebClient> Callers_ = Loop_.makeClient();
  std::vector<std::unique_ptr<WorkerServer>> Workers_;
  std::vector<int> WorkerPorts_;
  std::unique_ptr<stand_ins::Relay> Relay_;
  std::vector<Node> Nodes_;
  std::string Folder_;
  std::map<std::string, int> Disturbances_;
  Millis StartedAt_{};
  int Jobs_ = 0;
  int Faults_ = 0;
};

Soak::Soak() {
  Folder_ =
      FLAGS_logs.empty() ? process_tests::makeTemporaryFolder() : FLAGS_logs;
  std::filesystem::create_directories(Folder_);
  constexpr int PortsOfNode = 4;
  const int First =
      findFreePorts(2 + FLAGS_workers + FLAGS_nodes * PortsOfNode);
  const int StorePort = First;
  const int AdvicePort = First + 1;
  int Next = First + 2;
  const Status Listening =
      Platform_.listen(local(StorePort), local(AdvicePort));
  if (!Listening) {
    std::fprintf(stderr, "soak: %s\n", describe(Listening.error()).c_str());
    std::exit(EXIT_FAILURE);
  }
  std::vector<stand_ins::Link> Links;
  for (int Number = 0; Number < FLAGS_workers; ++Number) {
    constexpr std::int64_t Capacity = 8000;
    const std::string Id = "w" + std::to_string(Number);
    Workers_.push_back(std::make_unique<WorkerServer>(Loop_, Time_, Watch_, Id,
                                                      Capacity, Random_()));
    if (!Workers_.back()->listen(local(Next)))
      std::exit(EXIT_FAILURE);
    Links.push_back(stand_ins::Link{Id, 0, Next++});
  }
  for (int Number = 0; Number < FLAGS_nodes; ++Number)
    Links.push_back(
        stand_ins::Link{"store" + std::to_string(Number), 0, StorePort});
  Relay_ = std::make_unique<stand_ins::Relay>(Links);
  for (int Number = 0; Number < FLAGS_nodes; ++Number) {
    Node Each;
    Each.Name_ = "n" + std::to_string(Number);
    Each.Ports_ = Next;
    Next += PortsOfNode;
    Each.Settings_ = Folder_ + "/" + Each.Name_ + ".ini";
    std::ofstream Out(Each.Settings_);
    Out << "[node]\nname = " << Each.Name_ << "\nzone = z" << Number % 2
        << "\ncallers = " << local(Each.Ports_)
        << "\nreadiness = " << local(Each.Ports_ + 1)
        << "\npeers = " << local(Each.Ports_ + 2)
        << "\nmetrics = " << local(Each.Ports_ + 3) << "\n[services]\nstore = "
        << local(Relay_->port("store" + std::to_string(Number)))
        << "\nadvice = " << local(AdvicePort)
        << "\n[limits]\ncpu_share = " << (Number == 0 ? 0.5 : 0.25) << "\n";
    Nodes_.push_back(std::move(Each));
  }
}

void Soak::startNode(Node &Each) {
  setenv("DAMASKGLADE_CONFIG", Each.Settings_.c_str(), 1);
  Each.Process_ = std::make_unique<Process>(
      FLAGS_daemon, std::vector<std::string>{"--cell"},
      Folder_ + "/" + Each.Name_ + ".log");
  Each.Down_ = false;
  Each.Paused_ = false;
}

// A daemon that ends is started again, as on the users' platform. One that
// ends by itself is a finding of its own.
void Soak::restartEnded() {
  for (Node &Each : Nodes_) {
    if (Each.Process_->isRunning())
      continue;
    if (!Each.Down_)
      std::printf("note: %s ended by itself, code %d\n", Each.Name_.c_str(),
                  Each.Process_->exitCode());
    startNode(Each);
  }
  constexpr Millis Period{500};
  Loop_.after(Period, [this] { restartEnded(); });
}

void Soak::registerWorkers() {
  for (const auto &Each : Workers_) {
    Json::Value Entry;
    Entry["service"] = "desk";
    Entry["addr"] = local(Relay_->port(Each->id()));
    Entry["zone"] = "z0";
    Entry["state"] = "ready";
    Entry["capacity"]["cpu"] = Json::Int64(Each->capacity());
    Entry["capacity"]["memMb"] = 64000;
    Entry["labels"].append("a");
    Platform_.put("servers", Each->id(), Entry);
  }
  Json::Value Config;
  Config["version"] = 1;
  Json::Value Route;
  Route["name"] = "queue";
  Route["host"] = Host;
  Route["pathPrefix"] = Prefix;
  Route["service"] = "desk";
  Route["maxAttempts"] = 1000; // Jobs do not fail by what is done to workers.
  Route["slackFactor"] = 1.5;
  Route["targetLatencyMs"] = 250;
  Route["hint"]["decisionMs"] = 20;
  Route["hint"]["intervalMs"] = 0;
  Route["hint"]["validMs"] = 2500;
  Config["routes"].append(Route);
  Platform_.put("op", "config", Config);
}

void Soak::scheduleFault() {
  constexpr std::size_t MostGap = 1500;
  Loop_.after(Millis{static_cast<std::int64_t>(200 + draw(MostGap))}, [this] {
    if (faultsOver())
      return;
    injectFault();
    scheduleFault();
  });
}

void Soak::disturb(const std::string &What, std::function<void()> Begin,
                   std::function<void()> End) {
  if (Disturbances_[What] > 0)
    return;
  ++Faults_;
  ++Disturbances_[What];
  std::printf("%6.2f s fault %s\n",
              static_cast<double>((Time_.monotonic() - StartedAt_).Value_) /
                  1000,
              What.c_str());
  Begin();
  const auto Length =
      Millis{static_cast<std::int64_t>(300 + draw(FaultTime.Value_))};
  Loop_.after(Length, [this, What, End = std::move(End)] {
    End();
    --Disturbances_[What];
  });
}

void Soak::faultNode(Node &Each) {
  switch (draw(4)) {
  case 0:
    return disturb(
        "kill " + Each.Name_,
        [&Each] {
          Each.Down_ = true;
          Each.Process_->kill();
        },
        [] {});
  case 1:
    return disturb(
        "stop " + Each.Name_,
        [&Each] {
          Each.Down_ = true;
          Each.Process_->signal(SIGTERM);
        },
        [] {});
  default:
    return disturb(
        "pause " + Each.Name_, [&Each] { Each.Process_->signal(SIGSTOP); },
        [&Each] { Each.Process_->signal(SIGCONT); });
  }
}

void Soak::injectFault() {
  static const std::vector<LinkState> Links = {
      LinkState::Cut, LinkState::Refuse, LinkState::Delayed, LinkState::OnlyIn,
      LinkState::OnlyOut};
  const auto FaultLink = [this](const std::string &Name) {
    const std::size_t Which = draw(Links.size());
    disturb(
        "link " + Name + " " + std::to_string(Which),
        [this, Name, Which] { Relay_->set(Name, Links[Which]); },
        [this, Name] { Relay_->set(Name, LinkState::Open); });
  };
  switch (draw(10)) {
  case 0:
  case 1:
  case 2:
    return faultNode(Nodes_[draw(Nodes_.size())]);
  case 3:
    return disturb(
        "kill all",
        [this] {
          for (Node &Each : Nodes_) {
            Each.Down_ = true;
            Each.Process_->kill();
          }
        },
        [] {});
  case 4:
  case 5: {
    const auto Fault = static_cast<StoreFault>(1 + draw(4));
    return disturb(
        "store " + std::to_string(static_cast<int>(Fault)),
        [this, Fault] { Platform_.setFault(Fault); },
        [this] { Platform_.setFault(StoreFault::None); });
  }
  case 6:
    return FaultLink("store" + std::to_string(draw(Nodes_.size())));
  case 7:
  case 8:
    return FaultLink(Workers_[draw(Workers_.size())]->id());
  default: {
    WorkerServer &Where = *Workers_[draw(Workers_.size())];
    if (draw(2) == 0)
      return disturb(
          "crash " + Where.id(), [&Where] { Where.crash(); }, [] {});
    return disturb(
        "late orders " + Where.id(), [&Where] { Where.setLateOrders(true); },
        [&Where] { Where.setLateOrders(false); });
  }
  }
}

void Soak::call(const std::string &Method, const std::string &Id,
                const std::string &Body, WebReplyHandler Done) {
  const Node &Where = Nodes_[draw(Nodes_.size())];
  WebCall Call;
  Call.Address_ = local(Where.Ports_);
  Call.Method_ = Method;
  Call.Target_ = Prefix + Id;
  Call.Headers_ = {{"Host", Host},
                   {"Deadline-Ms", std::to_string(CallTimeout.Value_)}};
  Call.Body_ = Body;
  Call.Timeout_ = CallTimeout;
  Callers_->call(Call, std::move(Done));
}

void Soak::submitLater() {
  constexpr std::size_t MostGap = 120;
  Loop_.after(Millis{static_cast<std::int64_t>(draw(MostGap))}, [this] {
    if (faultsOver())
      return;
    submit();
    submitLater();
  });
}

void Soak::submit() {
  constexpr std::size_t IdBytes = 17;
  char Id[IdBytes];
  std::snprintf(Id, sizeof Id, "%08x%08x", FLAGS_seed, ++Jobs_);
  CallerJob Job;
  Job.Payload_ = "payload " + std::to_string(draw(1000000));
  Job.MilliCpus_ = static_cast<std::int64_t>(500 + draw(2000));
  Json::Value Body;
  Body["spec"] = Job.Payload_;
  const std::size_t Steps = 1 + draw(3);
  for (std::size_t Number = 0; Number < Steps; ++Number) {
    Job.Widths_.push_back(static_cast<int>(1 + draw(5)));
    Json::Value Step;
    Step["count"] = Job.Widths_.back();
    Step["cpu"] = Json::Int64(Job.MilliCpus_);
    Step["memMb"] = 100;
    Step["estimateMs"] = 500;
    if (Number > 0)
      Step["after"].append(Json::Int(Number - 1));
    Body["phases"].append(Step);
  }
  Watch_.jobSent(Id, Job);
  constexpr int Tries = 5;
  send(Id, writeJson(Body), Tries);
}

void Soak::send(const std::string &Id, const std::string &Body, int TriesLeft) {
  call("POST", Id, Body,
       [this, Id, Body, TriesLeft](const Result<WebReply> &Reply) {
         constexpr int Ok = 200;
         constexpr int TooMany = 429;
         constexpr int Unavailable = 503;
         if (Reply && Reply.value().Status_ == Ok) {
           Watch_.jobAccepted(Id);
           poll(Id);
           if (draw(8) == 0)
             Loop_.after(Millis{static_cast<std::int64_t>(draw(800))},
                         [this, Id] { cancel(Id); });
           return;
         }
         const bool Refused = Reply && (Reply.value().Status_ == TooMany ||
                                        Reply.value().Status_ == Unavailable);
         if (!Refused && (Reply || Reply.error().Effect_ != Effect::None))
           Watch_.jobUnclear(Id);
         constexpr Millis RetryAfter{400};
         if (TriesLeft > 1)
           Loop_.after(RetryAfter, [this, Id, Body, TriesLeft] {
             send(Id, Body, TriesLeft - 1);
           });
       });
}

void Soak::poll(const std::string &Id) {
  call("GET", Id, "", [this, Id](const Result<WebReply> &Reply) {
    constexpr int Ok = 200;
    constexpr int Gone = 410;
    if (Reply && Reply.value().Status_ == Gone)
      Watch_.jobShown(Id, "");
    if (Reply && Reply.value().Status_ == Ok) {
      const auto Body = parseJson(Reply.value().Body_, "decode state");
      const std::string State =
          Body ? Body.value()["state"].asString() : "unreadable";
      Watch_.jobShown(Id, State);
      if (State == "complete" || State == "cancelled")
        return;
    }
    Loop_.after(PollPeriod, [this, Id] { poll(Id); });
  });
}

void Soak::cancel(const std::string &Id) {
  Watch_.cancelSent(Id);
  call("DELETE", Id, "", [this, Id](const Result<WebReply> &Reply) {
    constexpr int Ok = 200;
    constexpr int Gone = 410;
    if (Reply && (Reply.value().Status_ == Ok || Reply.value().Status_ == Gone))
      return Watch_.cancelAcked(Id);
    Loop_.after(PollPeriod, [this, Id] { cancel(Id); });
  });
}

// Waits until all work has ended, at most so long.
void Soak::settle(Millis Until) {
  constexpr Millis Period{200};
  constexpr Millis LastStops{1500};
  if (faultsOver() && Watch_.openJobs().empty() && Disturbances_.empty()) {
    Loop_.after(LastStops, [this] { Loop_.stop(); });
    return;
  }
  std::erase_if(Disturbances_,
                [](const auto &Each) { return Each.second == 0; });
  if (!Disturbances_.empty())
    Watch_.disturbed();
  if (Time_.monotonic() > Until) {
    Loop_.stop();
    return;
  }
  Loop_.after(Period, [this, Until] { settle(Until); });
}

int Soak::run() {
  StartedAt_ = Time_.monotonic();
  registerWorkers();
  for (Node &Each : Nodes_)
    startNode(Each);
  restartEnded();
  constexpr Millis Warmup{1500};
  Loop_.after(Warmup, [this] {
    submitLater();
    scheduleFault();
  });
  settle(StartedAt_ + Millis{FLAGS_seconds * 1000} + SettleTime);
  Loop_.run();
  Watch_.finish();
  for (const std::string &Each : Watch_.findings())
    std::printf("FOUND %s\n", Each.c_str());
  std::printf("seed %u: %d jobs, %d starts, %d faults, %zu findings, logs in "
              "%s\n",
              FLAGS_seed, Jobs_, Watch_.starts(), Faults_,
              Watch_.findings().size(), Folder_.c_str());
  return Watch_.findings().empty() && Watch_.starts() > 0 ? EXIT_SUCCESS
                                                          : EXIT_FAILURE;
}

} // namespace

} // namespace damaskglade::soak

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  gflags::SetUsageMessage("soak --daemon=PATH [--seed=N] [--seconds=N]");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  damaskglade::soak::Soak Run;
  return Run.run();
}
