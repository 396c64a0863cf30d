#ifndef DAMASKGLADE_CELL_LEADER_H
#define DAMASKGLADE_CELL_LEADER_H

#include "cell/advice_balancer.h"
#include "cell/context.h"
#include "cell/recorder.h"
#include "dispatch/dispatcher.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace damaskglade::cell {

/// Delay before the next poll of a worker that has unrecorded ends, given the
/// number of such workers. A worker lists the ends of its tasks until the
/// leader has acknowledged them.
Millis unrecordedEndsPollDelay(std::size_t Workers);

/// Schedules the jobs of a cell for one epoch. Loads all rows, contacts the
/// workers, and runs until a later epoch begins.
class Leader : public std::enable_shared_from_this<Leader> {
public:
  Leader(const CellPorts &Ports, const CellSettings &Settings, LeaderView View,
         std::function<void()> OnLeadershipLost);

  void start();
  /// Stops sending orders. Pending callbacks do nothing.
  void stop();
  bool active() const { return Loaded_ && !Stopped_; }
  const LeaderView &view() const { return View_; }
  void setConfig(const CellConfig &Config);
  /// Sets the live nodes, and whether they are a majority.
  void setNodes(const std::vector<std::string> &Addresses, bool Majority) {
    Advice_.setNodes(Addresses);
    if (Majority)
      MajorityHeardAt_ = now();
  }
  /// Whether another node should lead because this one cannot write.
  bool shouldHandOver() const;

  // Calls forwarded by nodes. Errors: not_ready while loading.
  void submit(const dispatch::JobSpec &Spec, const RpcReply &Reply);
  void state(const std::string &Id, const RpcReply &Reply) const;
  void cancel(const std::string &Id, const RpcReply &Reply);
  void pending(const std::string &Queue, const RpcReply &Reply) const;

private:
  /// Polling state of one worker.
  struct PollState {
    bool LongPollOpen_ = false;
    bool ProbeOpen_ = false; ///< An extra poll is in flight.
    bool PollScheduled_ = false;
    std::int64_t LastListedEnd_ = 0; ///< Number of the last listed end.
    std::int64_t LastRecordedEnd_ = 0;
    std::int64_t WorkerStart_ = 0; ///< Start time of the worker process.
    int FailuresInRow_ = 0;
  };

  Millis now() const { return Ports_.Clock_.monotonic(); }
  bool mayIssueOrders() const;
  void loadTable(const std::string &Table, const std::string &From);
  void loadPage(const std::string &Table, const RowPage &Page);
  void finishLoad();
  void tick();
  void readRegistry();
  void confirmLeadership();
  void recordWorkerChanges();
  void pollWorkers();
  void pollWorker(const std::string &Worker, bool Probe);
  void handlePollReply(const std::string &Worker, bool Probe, Millis SentAt,
                       const Result<PollReply> &Reply);
  void schedulePoll(const std::string &Worker, Millis Delay);
  void scheduleDecision();
  void decide();
  void sendOrders(const dispatch::Actions &Actions);
  void logDecisions();
  void loseLeadership();

  const CellPorts Ports_;
  const CellSettings Settings_;
  const LeaderView View_;
  const std::function<void()> OnLeadershipLost_;
  dispatch::Dispatcher Dispatcher_;
  Recorder Recorder_;
  AdviceBalancer Advice_;
  std::map<std::string, PollState> PollStates_;
  std::set<std::string> WorkersWithUnrecordedEnds_;
  std::map<std::string, dispatch::JobSpec> LoadedSpecs_;
  std::map<std::string, dispatch::JobProgress> LoadedProgress_;
  int TablesToLoad_ = 0;
  /// Page size: 200 rows of jobs are 0.7 MB, or 0.6 s on the slowest link.
  int LoadPageRows_ = 200;
  std::map<std::string, std::vector<RpcReply>> Submitting_;
  Millis MajorityHeardAt_{};
  Millis ConfirmSentAt_{};
  Millis DecidedAt_{};
  Millis RegistryReadAt_{};
  Millis EndedJobsRemovedAt_{};
  bool RegistryReadOpen_ = false;
  int OpenConfirmations_ = 0;
  bool DecisionScheduled_ = false;
  bool Loaded_ = false;
  bool Stopped_ = false;
};

} // namespace damaskglade::cell

#endif
