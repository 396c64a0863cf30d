#ifndef DAMASKGLADE_REVIEW_CELL_H
#define DAMASKGLADE_REVIEW_CELL_H

#include "review/stand_ins/worker.h"

#include <sys/types.h>

namespace damaskglade::review {

/// A small deployment: nodes as processes of their own, with the command of the
/// deploy file, and stand-ins for the platform and for the workers.
class Cell {
public:
  /// Daemon: the program of the deploy file. Folder: for settings and logs.
  Cell(Record &Log, std::string Daemon, std::string Folder);
  Cell(const Cell &) = delete;
  Cell &operator=(const Cell &) = delete;

  /// Adds workers with these labels.
  void addWorkers(const std::vector<std::string> &Labels);
  void startNodes(int Count);
  /// Waits until a job has been served. False if none is.
  bool warmUp();

  /// Hands a job in, again after a while if it is not accepted. Steps is the
  /// JSON text of the steps. False if it is not accepted in time.
  bool submit(const std::string &Id, const std::string &Spec,
              const std::string &Steps, std::int64_t TimeoutMs);
  /// The state that a node shows; empty if it gives none.
  std::string state(const std::string &Id);
  /// Waits until the job is shown as complete.
  bool waitComplete(const std::string &Id, std::int64_t TimeoutMs);
  /// Kills the node that leads, and starts it again after the time.
  bool killLeader(std::int64_t DownMs);
  /// Whether all nodes still run.
  bool nodesRun();
  void stopNodes();

  Record &log() { return Log_; }
  Store &store() { return Store_; }
  TaskHistory &history() { return History_; }
  Worker &worker(std::size_t Index) { return *Workers_[Index]; }
  std::size_t workers() const { return Workers_.size(); }

private:
  struct Node {
    std::string Name_;
    int CallerPort_ = 0;
    std::string Peers_;
    std::string Settings_;
    pid_t Process_ = -1;
  };

  void start(Node &Started);
  HttpReply call(const std::string &Method, const std::string &Id,
                 const std::string &Body);

  Record &Log_;
  const std::string Daemon_;
  const std::string Folder_;
  Store Store_;
  TaskHistory History_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::vector<Node> Nodes_;
  std::size_t NextNode_ = 0;
};

} // namespace damaskglade::review

#endif
