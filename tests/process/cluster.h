#ifndef DAMASKGLADE_TESTS_PROCESS_CLUSTER_H
#define DAMASKGLADE_TESTS_PROCESS_CLUSTER_H

#include "drivers/platform/http_pool.h"
#include "tests/process/caller.h"
#include "tests/process/launcher.h"
#include "tests/process/run_record.h"
#include "tests/stand_ins/relay.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::process_tests {

struct ClusterOptions {
  std::vector<std::string> Zones_ = {"klang-dock", "klang-tunnel", "shah-alam"};
  int NodesPerZone_ = 3;
  int RacksPerZone_ = 3;
  int WorkersPerRack_ = 2;
  Millis VmLag_{10000};
};

/// A node of the cluster, running or not yet.
struct NodeSlot {
  std::string Id_;
  std::string Zone_;
  int Port_ = 0;
  std::optional<Process> Process_;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }
};

struct WorkerSlot {
  std::string Id_;
  std::string Zone_;
  std::string Rack_;
  int Port_ = 0;
  bool Leaving_ = false;

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }
};

/// A cell of stand-ins and daemons on loopback. Nodes reach the platform and
/// the nodes of other zones through links that can be cut; nodes of one zone,
/// workers and callers are connected directly.
class Cluster {
public:
  explicit Cluster(ClusterOptions Options);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Starts all processes and waits until every node is ready and every
  /// worker is reached. Returns false after the timeout.
  bool start(Millis Timeout);

  const std::vector<std::string> &zones() const { return Options_.Zones_; }
  EntryNodes &entries() { return Entries_; }
  std::vector<NodeSlot> &nodes() { return Nodes_; }
  std::vector<WorkerSlot> &workers() { return Workers_; }
  const std::string &folder() const { return Folder_; }

  void startNode(NodeSlot &Node);
  /// A node that replaces another one in its zone; not yet started.
  NodeSlot &addReplacement(const std::string &Zone);
  bool isReady(const NodeSlot &Node);
  bool waitUntilReady(NodeSlot &Node, Millis Timeout);
  /// Publishes the running nodes and all workers in the VM list.
  void publishVms();

  /// Cuts or restores all links between a zone and the platform.
  void cutFromPlatform(const std::string &Zone, bool Cut);
  /// Cuts or restores all links between a zone and the other zones.
  void cutFromZones(const std::string &Zone, bool Cut);
  void setTableFault(const std::string &Json);
  void setWorkerFault(const WorkerSlot &Worker, const std::string &Json);

  /// Shards and their owners as a running node of the zone reports them.
  std::vector<std::pair<std::string, std::string>>
  owners(const std::string &Zone);
  std::vector<WorkerLog> workerLogs();
  Json::Value get(const std::string &Address, const std::string &Path);

private:
  void layOutPorts();
  void makeLinks();
  std::string writeConfig(const NodeSlot &Node);
  std::string post(const std::string &Address, const std::string &Path,
                   const std::string &Body);
  bool allWorkersReached();
  /// True if the list of each zone names all its running nodes.
  bool listsComplete();
  std::string logFile(const std::string &Name) const;

  const ClusterOptions Options_;
  const std::string Folder_;
  drivers::HttpPool Pool_;
  SystemClock Clock_;
  EntryNodes Entries_;
  std::vector<NodeSlot> Nodes_; ///< First all nodes, then spare ones.
  std::vector<WorkerSlot> Workers_;
  std::size_t UsedNodes_ = 0;
  int TablePort_ = 0;
  int NextLinkPort_ = 0;
  std::unique_ptr<stand_ins::Relay> Relay_;
  std::vector<Process> StandIns_;
};

} // namespace damaskglade::process_tests

#endif
