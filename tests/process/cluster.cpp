#include "tests/process/cluster.h"

#include "core/codec.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <set>

namespace damaskglade::process_tests {

namespace {

using stand_ins::Link;
using stand_ins::LinkState;
using stand_ins::Rewrite;

constexpr Millis CallTimeout{3000};
constexpr Millis PollInterval{50};
constexpr int PlatformPorts = 3;
const std::vector<std::string> PlatformParts = {"table", "objects", "vms"};

std::string local(int Port) { return "127.0.0.1:" + std::to_string(Port); }

std::string platformLink(const std::string &Zone, const std::string &Part) {
  return Zone + ">" + Part;
}

std::string peerLink(const std::string &FromZone, const std::string &Node) {
  return FromZone + ">" + Node;
}

} // namespace

Cluster::Cluster(ClusterOptions Options)
    : Options_(std::move(Options)), Folder_(makeTemporaryFolder()) {
  layOutPorts();
  makeLinks();
}

Cluster::~Cluster() = default;

void Cluster::layOutPorts() {
  const auto Zones = static_cast<int>(Options_.Zones_.size());
  // Each node has a spare one that can replace it.
  const int NodeCount = 2 * Zones * Options_.NodesPerZone_;
  const int WorkerCount =
      Zones * Options_.RacksPerZone_ * Options_.WorkersPerRack_;
  const int LinkCount = Zones * PlatformPorts + Zones * NodeCount;
  int Port = findFreePorts(PlatformPorts + NodeCount + WorkerCount + LinkCount);
  TablePort_ = Port;
  Port += PlatformPorts;
  for (int Round = 0; Round < 2; ++Round)
    for (const std::string &Zone : Options_.Zones_)
      for (int Index = 0; Index < Options_.NodesPerZone_; ++Index)
        Nodes_.push_back(NodeSlot{"node-" + std::to_string(Nodes_.size() + 1),
                                  Zone, Port++, std::nullopt});
  UsedNodes_ = Nodes_.size() / 2;
  for (const std::string &Zone : Options_.Zones_)
    for (int Rack = 0; Rack < Options_.RacksPerZone_; ++Rack)
      for (int Index = 0; Index < Options_.WorkersPerRack_; ++Index) {
        const std::string Name =
            Zone + "-" +
            std::to_string(Rack * Options_.WorkersPerRack_ + Index);
        Workers_.push_back(WorkerSlot{
            Name, Zone, "rack-" + std::to_string(Rack), Port++, false});
      }
  NextLinkPort_ = Port;
}

void Cluster::makeLinks() {
  std::vector<Link> Links;
  for (const std::string &Zone : Options_.Zones_) {
    std::vector<Rewrite> Rewrites;
    for (const NodeSlot &Node : Nodes_) {
      if (Node.Zone_ == Zone)
        continue;
      const int Port = NextLinkPort_++;
      Links.push_back(Link{peerLink(Zone, Node.Id_), Port, Node.Port_, {}});
      // Quotes and backslashes end the address in JSON texts.
      Rewrites.push_back(Rewrite{local(Node.Port_), local(Port)});
    }
    int Target = TablePort_;
    for (const std::string &Part : PlatformParts)
      Links.push_back(
          Link{platformLink(Zone, Part), NextLinkPort_++, Target++, Rewrites});
  }
  Relay_ = std::make_unique<stand_ins::Relay>(Links);
}

std::string Cluster::logFile(const std::string &Name) const {
  return Folder_ + "/" + Name + ".log";
}

std::string Cluster::writeConfig(const NodeSlot &Node) {
  std::string Path = Folder_ + "/" + Node.Id_ + ".ini";
  std::ofstream File(Path);
  File << "[node]\nid = " << Node.Id_ << "\nzone = " << Node.Zone_
       << "\nregion = selangor\nlisten = " << Node.address()
       << "\n[platform]\n";
  for (const std::string &Part : PlatformParts) {
    const std::string Key = Part == "vms" ? "vm_list" : Part;
    File << Key << "_url = http://"
         << local(Relay_->port(platformLink(Node.Zone_, Part))) << "\n";
  }
  return Path;
}

bool Cluster::start(Millis Timeout) {
  const Millis End = Clock_.monotonic() + Timeout;
  const auto PortFlag = [](const char *Name, int Port) {
    return std::string(Name) + "=" + std::to_string(Port);
  };
  StandIns_.emplace_back(
      DAMASKGLADE_STAND_IN_PLATFORM,
      std::vector<std::string>{PortFlag("--table_port", TablePort_),
                               PortFlag("--objects_port", TablePort_ + 1),
                               PortFlag("--vms_port", TablePort_ + 2),
                               "--lag_ms=" +
                                   std::to_string(Options_.VmLag_.Value_)},
      logFile("platform"));
  const int PerZone = Options_.RacksPerZone_ * Options_.WorkersPerRack_;
  for (std::size_t First = 0; First < Workers_.size();
       First += static_cast<std::size_t>(PerZone))
    StandIns_.emplace_back(
        DAMASKGLADE_STAND_IN_WORKER,
        std::vector<std::string>{"--id=" + Workers_[First].Zone_,
                                 "--zone=" + Workers_[First].Zone_,
                                 PortFlag("--port", Workers_[First].Port_),
                                 PortFlag("--count", PerZone)},
        logFile("workers-" + Workers_[First].Zone_));
  for (std::size_t Index = 0; Index < UsedNodes_; ++Index)
    startNode(Nodes_[Index]);
  while (post(local(TablePort_ + 2), "/_fault", "{}").empty())
    if (Clock_.monotonic() > End)
      return false;
  publishVms();
  for (std::size_t Index = 0; Index < UsedNodes_; ++Index)
    if (!waitUntilReady(Nodes_[Index], End - Clock_.monotonic()))
      return false;
  // Until a node is listed in its zone, a majority can't outvote one that dies.
  while (!allWorkersReached() || !listsComplete()) {
    if (Clock_.monotonic() > End)
      return false;
    sleepFor(PollInterval);
  }
  return true;
}

void Cluster::startNode(NodeSlot &Node) {
  Node.Process_.emplace(
      DAMASKGLADE_DAEMON,
      std::vector<std::string>{"--config=" + writeConfig(Node)},
      logFile(Node.Id_));
  Entries_.add(Node.Zone_, Node.address());
}

NodeSlot &Cluster::addReplacement(const std::string &Zone) {
  for (std::size_t Index = Nodes_.size() / 2; Index < Nodes_.size(); ++Index)
    if (Nodes_[Index].Zone_ == Zone && !Nodes_[Index].Process_)
      return Nodes_[Index];
  std::abort();
}

bool Cluster::isReady(const NodeSlot &Node) {
  constexpr int HttpOk = 200;
  const auto Reply = Pool_.call(Node.address(),
                                drivers::HttpCall{"GET", "/readyz", "", "", {}},
                                CallTimeout, "readiness");
  return Reply && Reply.value().Status_ == HttpOk;
}

bool Cluster::waitUntilReady(NodeSlot &Node, Millis Timeout) {
  const Millis End = Clock_.monotonic() + Timeout;
  while (!isReady(Node)) {
    if (Clock_.monotonic() > End || !Node.Process_->isRunning())
      return false;
    sleepFor(PollInterval);
  }
  return true;
}

void Cluster::publishVms() {
  Json::Value List(Json::arrayValue);
  const auto Add = [&List](const std::string &Id, const std::string &Zone,
                           const std::string &Rack, const std::string &Address,
                           const char *Role, bool Leaving) {
    Json::Value Entry;
    Entry["id"] = Id;
    Entry["zone"] = Zone;
    Entry["rack"] = Rack;
    Entry["address"] = Address;
    Entry["role"] = Role;
    Entry["state"] = Leaving ? "leaving" : "live";
    List.append(Entry);
  };
  for (NodeSlot &Node : Nodes_)
    if (Node.Process_ && Node.Process_->isRunning())
      Add(Node.Id_, Node.Zone_, "", Node.address(), "node", false);
  for (const WorkerSlot &Worker : Workers_)
    Add(Worker.Id_, Worker.Zone_, Worker.Rack_, Worker.address(), "worker",
        Worker.Leaving_);
  post(local(TablePort_ + 2), "/_vms", writeJson(List));
}

void Cluster::cutFromPlatform(const std::string &Zone, bool Cut) {
  for (const std::string &Part : PlatformParts)
    Relay_->set(platformLink(Zone, Part),
                Cut ? LinkState::Cut : LinkState::Open);
}

void Cluster::cutFromZones(const std::string &Zone, bool Cut) {
  const LinkState State = Cut ? LinkState::Cut : LinkState::Open;
  for (const NodeSlot &Node : Nodes_)
    for (const std::string &From : Options_.Zones_)
      if (From != Node.Zone_ && (From == Zone || Node.Zone_ == Zone))
        Relay_->set(peerLink(From, Node.Id_), State);
}

void Cluster::setTableFault(const std::string &Json) {
  post(local(TablePort_), "/_fault", Json);
}

void Cluster::setWorkerFault(const WorkerSlot &Worker,
                             const std::string &Json) {
  post(Worker.address(), "/_fault", Json);
}

std::string Cluster::post(const std::string &Address, const std::string &Path,
                          const std::string &Body) {
  const auto Reply = Pool_.call(
      Address, drivers::HttpCall{"POST", Path, Body, "application/json", {}},
      CallTimeout, "control");
  return Reply ? Reply.value().Body_ : std::string();
}

Json::Value Cluster::get(const std::string &Address, const std::string &Path) {
  const auto Reply =
      Pool_.call(Address, drivers::HttpCall{"GET", Path, "", "", {}},
                 CallTimeout, "query");
  const auto Body = Reply ? parseJson(Reply.value().Body_, "query")
                          : Result<Json::Value>(Reply.error());
  return Body ? Body.value() : Json::Value(Json::objectValue);
}

bool Cluster::allWorkersReached() {
  std::set<std::string> Reached;
  for (NodeSlot &Node : Nodes_) {
    if (!Node.Process_)
      continue;
    const Json::Value Listed = get(Node.address(), "/v1/workers?local=1");
    for (const Json::Value &Worker : Listed["workers"])
      if (Worker["reachable"].asBool())
        Reached.insert(Worker["id"].asString());
  }
  return Reached.size() == Workers_.size();
}

bool Cluster::listsComplete() {
  std::map<std::string, std::set<std::string>> Listed;
  const Json::Value Dump = get(local(TablePort_), "/_dump");
  for (const Json::Value &Row : Dump["rows"]) {
    if (Row["pk"]["S"].asString() != "list")
      continue;
    const auto Body = parseJson(Row["body"]["S"].asString(), "zone list");
    if (!Body)
      continue;
    for (const Json::Value &Node : Body.value()["nodes"])
      Listed[Row["sk"]["S"].asString()].insert(Node.asString());
  }
  return std::all_of(Nodes_.begin(), Nodes_.end(), [&](NodeSlot &Node) {
    return !Node.Process_ || Listed[Node.Zone_].count(Node.Id_) != 0;
  });
}

std::vector<std::pair<std::string, std::string>>
Cluster::owners(const std::string &Zone) {
  std::vector<std::pair<std::string, std::string>> Out;
  const std::string Address = Entries_.next(Zone);
  const Json::Value Listed = get(Address, "/v1/nodes");
  for (const Json::Value &Shard : Listed["shards"])
    Out.emplace_back(Shard["id"].asString(), Shard["owner"].asString());
  return Out;
}

std::vector<WorkerLog> Cluster::workerLogs() {
  std::vector<WorkerLog> Logs;
  Logs.reserve(Workers_.size());
  for (const WorkerSlot &Worker : Workers_)
    Logs.push_back(decodeWorkerLog(get(Worker.address(), "/_log")));
  return Logs;
}

} // namespace damaskglade::process_tests
