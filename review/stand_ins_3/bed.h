#ifndef DAMASKGLADE_REVIEW_STAND_INS_3_BED_H
#define DAMASKGLADE_REVIEW_STAND_INS_3_BED_H

#include "review/stand_ins_3/record.h"

#include <json/value.h>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace damaskglade::review {

/// Reply to a call of the case; the status is zero if none came.
struct Answer {
  int Status_ = 0;
  std::string Body_;
  Millis Took_{};

  friend bool operator==(const Answer &, const Answer &) = default;
};

/// A line of the record that a worker has written.
struct WorkerLine {
  Millis At_{};
  std::string Worker_;
  std::string What_; ///< start, stop, end, noted or is.
  std::string Task_;
  std::string Rest_;

  friend bool operator==(const WorkerLine &, const WorkerLine &) = default;
};

/// A deployment of three nodes on loopback addresses, with a store and workers
/// that are processes of their own. The destructor ends all of them.
class Bed {
public:
  /// Folder is that of the case; the record is written there. Program is the
  /// program of the stand-ins.
  Bed(const std::string &Folder, std::string Program);
  ~Bed();
  Bed(const Bed &) = delete;
  Bed &operator=(const Bed &) = delete;

  static constexpr int NodeCount = 3;

  /// Starts the store, the workers and the nodes, and waits until all nodes are
  /// ready. False if they are not in time.
  bool start(int Workers);
  /// Kills a worker, and starts it again under its id and address.
  void crashWorker(const std::string &Id, Millis DownTime);
  /// Number of the node that leads, from its log; below zero if none is known.
  int leader() const;
  void signalNode(int Node, int Number);
  /// Writes a row in a table of the operator or of the workers.
  void putRow(const std::string &Table, const std::string &Key,
              const Json::Value &Value);
  /// Writes a configuration in which the route Desk has this name.
  void writeConfig(int Version, const std::string &Route, int Priority = 0);

  /// The route of most cases, and one of priority 1.
  static constexpr const char *Desk = "/desk/";
  static constexpr const char *Middle = "/middle/";
  /// Calls a node as a caller of a route does. Waits for three seconds.
  Answer call(int Node, const std::string &Method, const std::string &Id,
              const std::string &Body = "", const std::string &Prefix = Desk);
  /// The state of a job, asked at one node after the other; empty if no node
  /// tells it.
  std::string stateOf(const std::string &Id);
  std::vector<WorkerLine> workerLines() const;
  const Record &log() const { return Log_; }
  static void sleep(Millis Time);
  static Millis now() { return SystemClock().monotonic(); }

private:
  struct Node {
    std::string Settings_;
    std::string Output_;
    std::string Callers_;
    std::string Readiness_;
    pid_t Process_ = 0;
  };
  struct WorkerProcess {
    std::string Address_;
    std::string Zone_;
    pid_t Process_ = 0;
  };

  pid_t spawn(const std::vector<std::string> &Command,
              const std::string &Output, const std::string &Settings) const;
  void startWorker(const std::string &Id);
  void startNode(int Number);
  void writeSettings(int Number);
  Answer post(const std::string &Address, const std::string &Path,
              const Json::Value &Body) const;

  const std::string Record_;
  const std::string Program_;
  const Record Log_;
  std::string Folder_; ///< Temporary.
  std::string Store_;
  std::vector<Node> Nodes_;
  std::map<std::string, WorkerProcess> Workers_;
  pid_t StoreProcess_ = 0;
};

} // namespace damaskglade::review

#endif
