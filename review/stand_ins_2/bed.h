#ifndef DAMASKGLADE_REVIEW_STAND_INS_2_BED_H
#define DAMASKGLADE_REVIEW_STAND_INS_2_BED_H

#include "review/stand_ins_2/caller.h"
#include "review/stand_ins_2/ledger.h"
#include "review/stand_ins_2/store.h"
#include "review/stand_ins_2/worker.h"
#include "tests/process/launcher.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::review {

struct BedSettings {
  std::string RecordFile_;
  int Nodes_ = 3;
  std::vector<HostKind> Workers_; ///< Spread over three zones.
};

/// A step of a job as its requester describes it.
struct Step {
  int Count_ = 1;
  std::vector<int> After_;
  std::string Image_;
  bool Gang_ = false;
};

/// A job and what its requester has been told.
struct Job {
  std::string Id_;
  std::vector<Step> Steps_;
  TaskTraits Traits_;
  std::optional<Millis> AcceptedAt_;
  bool Refused_ = false;  ///< By 429 or 503.
  int LastStatus_ = 0;    ///< Of its submission.
  std::string State_;     ///< As shown last.
  int LastStateCode_ = 0; ///< HTTP status of the last GET.
};

/// A small installation on loopback: nodes of the product as the deploy file
/// starts them, and stand-ins for the store, the workers and the requesters.
class Bed {
public:
  explicit Bed(const BedSettings &Settings);
  ~Bed();
  Bed(const Bed &) = delete;
  Bed &operator=(const Bed &) = delete;

  Ledger &log() { return Ledger_; }
  Store &store() { return Store_; }
  Worker &worker(std::size_t Index) { return *Workers_[Index]; }
  std::size_t workers() const { return Workers_.size(); }
  std::size_t nodes() const { return Nodes_.size(); }
  process_tests::Process &node(std::size_t Index) {
    return *Nodes_[Index].Process_;
  }
  std::unique_ptr<Caller> connect(std::size_t Node);

  /// Runs until the condition holds. False after the timeout.
  bool runUntil(const std::function<bool()> &Condition, Millis Timeout);
  void runFor(Millis Time);
  /// Waits until all nodes report that they are ready.
  bool waitUntilReady(Millis Timeout);
  /// Writes the desired state anew, with or without the route of the queue.
  void changeConfig(int Version, bool WithRoute);
  /// Node that the leader row names, if there is one.
  std::optional<std::size_t> leader() const;

  /// Submits a job to the node; after no answer, 502 or 504 again to the next.
  Job &submit(std::size_t Node, const std::vector<Step> &Steps,
              const TaskTraits &Traits);
  /// Asks for the states of all jobs until they have ended.
  bool waitForEnds(Millis Timeout);
  /// Asks a node for the state of a job.
  void askState(std::size_t Node, Job &Asked);
  /// Asks a node how many jobs of the queue wait.
  void askPending(std::size_t Node, const std::function<void(int)> &Done);
  const std::vector<std::unique_ptr<Job>> &jobs() const { return Jobs_; }

private:
  struct Node {
    std::string Name_;
    int Ports_ = 0; ///< Callers, readiness, peers and metrics.
    std::string Settings_;
    std::unique_ptr<process_tests::Process> Process_;
    bool Ready_ = false;
  };

  void addNode(int Number);
  void start(Node &Each);
  void probe(std::size_t Index);
  void send(Job &Sent, std::size_t Node, int TriesLeft);
  static std::string describe(const Job &Described);

  boost::asio::io_context Loop_;
  const int FirstPort_;
  const std::string Folder_;
  Ledger Ledger_;
  Store Store_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::vector<Node> Nodes_;
  std::vector<std::unique_ptr<Job>> Jobs_;
  std::map<std::string, std::shared_ptr<Caller>> Callers_;
  int LastCaller_ = 0;
};

} // namespace damaskglade::review

#endif
