#include "review/stand_ins_2/bed.h"

#include "core/codec.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace damaskglade::review {

namespace {

constexpr int PortsPerNode = 4;
constexpr int MaxPorts = 60;
constexpr int Ok = 200;
constexpr int TooMany = 429;
constexpr int Unavailable = 503;
constexpr int BadGateway = 502;
constexpr int GatewayTimeout = 504;
constexpr Millis Deadline{3000};
constexpr const char *Daemon = "target/main/damaskgladed";
constexpr const char *Template = "deploy/node.ini.template";

std::string address(int Port) { return "127.0.0.1:" + std::to_string(Port); }

std::string zoneOf(int Number) { return "zone-" + std::to_string(Number % 3); }

/// Fills in the placeholders {{NAME}} of a settings template.
std::string fillIn(std::string Text,
                   const std::map<std::string, std::string> &Values) {
  for (auto At = Text.find("{{"); At != std::string::npos;
       At = Text.find("{{", At)) {
    const auto End = Text.find("}}", At);
    const auto Value = Values.find(Text.substr(At + 2, End - At - 2));
    Text.replace(At, End + 2 - At, Value == Values.end() ? "" : Value->second);
  }
  return Text;
}

std::string readFile(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

} // namespace

Bed::Bed(const BedSettings &Settings)
    : FirstPort_(process_tests::findFreePorts(MaxPorts)),
      Folder_(process_tests::makeTemporaryFolder()),
      Ledger_(Settings.RecordFile_), Store_(Loop_, FirstPort_) {
  changeConfig(1, true);
  int Port = FirstPort_ + 1 + Settings.Nodes_ * PortsPerNode;
  for (std::size_t Index = 0; Index < Settings.Workers_.size(); ++Index)
    Workers_.push_back(std::make_unique<Worker>(
        Loop_, Store_, Ledger_, "w-" + std::to_string(Index), Port++,
        zoneOf(static_cast<int>(Index)), Settings.Workers_[Index]));
  for (int Number = 0; Number < Settings.Nodes_; ++Number)
    addNode(Number);
}

Bed::~Bed() {
  Callers_.clear();
  Nodes_.clear();
  std::error_code Ignored;
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(Folder_, Ignored);
}

void Bed::changeConfig(int Version, bool WithRoute) {
  Json::Value Config;
  Config["version"] = Version;
  Config["routes"] = Json::arrayValue;
  for (const std::string Name : {"tags", "idle"}) {
    if (Name == "tags" && !WithRoute)
      continue;
    Json::Value Route;
    Route["name"] = Name;
    Route["host"] = QueueHost;
    Route["pathPrefix"] = Name == "tags" ? QueuePrefix : "/idle/";
    Route["kind"] = "non_idempotent";
    Route["timeoutMs"] = Json::Int64(Deadline.Value_);
    Route["targetLatencyMs"] = 250;
    Route["priority"] = 0;
    Route["service"] = "depot-desk";
    Route["maxAttempts"] = 2;
    Route["slackFactor"] = 1.5;
    Config["routes"].append(Route);
  }
  Json::Value Service;
  Service["name"] = "depot-desk";
  Service["healthPath"] = "/healthz";
  Service["maxConns"] = 64;
  Service["preconditions"] = false;
  Config["services"].append(Service);
  Config["limits"] = Json::objectValue;
  Store_.put("op", "config", Config);
  Ledger_.write("the operator writes version " + std::to_string(Version) +
                (WithRoute ? "" : ", without the route of the queue"));
}

void Bed::addNode(int Number) {
  Node Each;
  Each.Name_ = "node-" + std::to_string(Number);
  Each.Ports_ = FirstPort_ + 1 + Number * PortsPerNode;
  Each.Settings_ = Folder_ + "/" + Each.Name_ + ".ini";
  const std::map<std::string, std::string> Values{
      {"nodeName", Each.Name_},
      {"zone", zoneOf(Number)},
      {"listen.frontend", address(Each.Ports_)},
      {"listen.readiness", address(Each.Ports_ + 1)},
      {"ip", "127.0.0.1"},
      {"portRange.0", std::to_string(Each.Ports_ + 2)},
      {"portRange.1", std::to_string(Each.Ports_ + 3)},
      {"platform.addr", address(FirstPort_)},
      {"hint", ""},
      {"limits.cpuShare", "0.25"},
      {"limits.cores", "1"},
      {"bounds.holdMaxMs", "10000"},
      {"bounds.gangTimeoutMs", "3000"},
      {"bounds.status_s", "120"},
      {"bounds.graceS", "6"}};
  std::ofstream(Each.Settings_) << fillIn(readFile(Template), Values);
  Nodes_.push_back(std::move(Each));
  start(Nodes_.back());
}

void Bed::start(Node &Each) {
  setenv("DAMASKGLADE_CONFIG", Each.Settings_.c_str(), 1);
  Each.Process_ = std::make_unique<process_tests::Process>(
      Daemon, std::vector<std::string>{"--cell"},
      Folder_ + "/" + Each.Name_ + ".log");
  Ledger_.write(Each.Name_ + " starts");
}

std::unique_ptr<Caller> Bed::connect(std::size_t Node) {
  return std::make_unique<Caller>(Loop_, Nodes_[Node].Ports_);
}

bool Bed::runUntil(const std::function<bool()> &Condition, Millis Timeout) {
  const Millis Start = Ledger_.now();
  while (!Condition()) {
    if (Ledger_.now() > Start + Timeout)
      return false;
    constexpr std::chrono::milliseconds Turn{5};
    Loop_.run_one_for(Turn);
    Loop_.poll();
  }
  return true;
}

void Bed::runFor(Millis Time) {
  runUntil([] { return false; }, Time);
}

void Bed::probe(std::size_t Index) {
  const auto Each = std::make_shared<Caller>(Loop_, Nodes_[Index].Ports_ + 1);
  Each->send("GET", "/api/readyz", "", Millis{500},
             [this, Index, Each](const Answer &Got) {
               Nodes_[Index].Ready_ = Got.Status_ == Ok;
             });
}

bool Bed::waitUntilReady(Millis Timeout) {
  const Millis Start = Ledger_.now();
  while (Ledger_.now() < Start + Timeout) {
    for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
      probe(Index);
    runFor(Millis{300});
    bool Ready = true;
    for (const Node &Each : Nodes_)
      Ready = Ready && Each.Ready_;
    if (Ready)
      return true;
  }
  return false;
}

std::optional<std::size_t> Bed::leader() const {
  const std::string Row = Store_.text("cell", "main", "leader");
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    if (Row.find('"' + Nodes_[Index].Name_ + '"') != std::string::npos)
      return Index;
  return std::nullopt;
}

std::string Bed::describe(const Job &Described) {
  Json::Value Body;
  Body["spec"] = encodeTraits(Described.Traits_);
  for (const Step &Each : Described.Steps_) {
    Json::Value Phase;
    Phase["count"] = Each.Count_;
    Phase["cpu"] = Json::Int64(Described.Traits_.MilliCpus_);
    Phase["memMb"] = 64;
    Phase["estimateMs"] = Json::Int64(Described.Traits_.Length_.Value_);
    if (!Described.Traits_.Label_.empty())
      Phase["constraints"] = Described.Traits_.Label_;
    if (!Each.Image_.empty())
      Phase["image"] = Each.Image_;
    if (Each.Gang_)
      Phase["gang"] = true;
    for (const int Earlier : Each.After_)
      Phase["after"].append(Earlier);
    Body["phases"].append(Phase);
  }
  return writeJson(Body);
}

Job &Bed::submit(std::size_t Node, const std::vector<Step> &Steps,
                 const TaskTraits &Traits) {
  constexpr std::size_t IdSize = 17;
  char Id[IdSize];
  std::snprintf(Id, sizeof(Id), "%016zx", Jobs_.size() + 1);
  Jobs_.push_back(std::make_unique<Job>());
  Job &Sent = *Jobs_.back();
  Sent.Id_ = Id;
  Sent.Steps_ = Steps;
  Sent.Traits_ = Traits;
  constexpr int MaxRetries = 4;
  send(Sent, Node, MaxRetries);
  return Sent;
}

void Bed::send(Job &Sent, std::size_t Node, int TriesLeft) {
  const auto Each = std::make_shared<Caller>(Loop_, Nodes_[Node].Ports_);
  Ledger_.write("requester submits job " + Sent.Id_ + " to " +
                Nodes_[Node].Name_);
  Each->send("POST", QueuePrefix + Sent.Id_, describe(Sent), Deadline,
             [this, &Sent, Node, TriesLeft, Each](const Answer &Got) {
               Sent.LastStatus_ = Got.Status_;
               Ledger_.write("requester gets " + std::to_string(Got.Status_) +
                             " for the submission of job " + Sent.Id_);
               if (Got.Status_ == Ok)
                 Sent.AcceptedAt_ = Ledger_.now();
               Sent.Refused_ =
                   Got.Status_ == TooMany || Got.Status_ == Unavailable;
               const bool Again = Got.Status_ == 0 ||
                                  Got.Status_ == BadGateway ||
                                  Got.Status_ == GatewayTimeout;
               if (Again && TriesLeft > 0)
                 send(Sent, (Node + 1) % Nodes_.size(), TriesLeft - 1);
             });
}

void Bed::askState(std::size_t Node, Job &Asked) {
  const auto Each = std::make_shared<Caller>(Loop_, Nodes_[Node].Ports_);
  Each->send("GET", QueuePrefix + Asked.Id_, "", Deadline,
             [this, &Asked, Each](const Answer &Got) {
               Asked.LastStateCode_ = Got.Status_;
               const auto Body = parseJson(Got.Body_, "state");
               const std::string State = Got.Status_ == Ok && Body
                                             ? Body.value()["state"].asString()
                                             : std::to_string(Got.Status_);
               if (State != Asked.State_)
                 Ledger_.write("requester is shown job " + Asked.Id_ + " as " +
                               State);
               Asked.State_ = State;
             });
}

void Bed::askPending(std::size_t Node, const std::function<void(int)> &Done) {
  const auto Each = std::make_shared<Caller>(Loop_, Nodes_[Node].Ports_);
  Each->send("GET", QueuePrefix, "", Deadline, [Done, Each](const Answer &Got) {
    const auto Body = parseJson(Got.Body_, "pending");
    if (Got.Status_ == Ok && Body && Body.value()["pending"].isInt())
      Done(Body.value()["pending"].asInt());
  });
}

bool Bed::waitForEnds(Millis Timeout) {
  const auto HasEnded = [](const Job &Each) {
    return Each.Refused_ || Each.State_ == "complete" ||
           Each.State_ == "failed" || Each.State_ == "cancelled";
  };
  const Millis Start = Ledger_.now();
  std::size_t Node = 0;
  while (Ledger_.now() < Start + Timeout) {
    bool AllEnded = true;
    for (const auto &Each : Jobs_) {
      if (HasEnded(*Each))
        continue;
      AllEnded = false;
      askState(Node++ % Nodes_.size(), *Each);
    }
    if (AllEnded)
      return true;
    runFor(Millis{250});
  }
  return false;
}

} // namespace damaskglade::review
