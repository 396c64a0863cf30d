#ifndef DAMASKGLADE_CELL_LEADER_H
#define DAMASKGLADE_CELL_LEADER_H

#include "cell/advice_balancer.h"
#include "cell/canceled_ids.h"
#include "cell/context.h"
#include "cell/loop_delay.h"
#include "cell/recorder.h"
#include "cell/relayed_workers.h"
#include "cell/work_meter.h"
#include "dispatch/dispatcher.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace damaskglade::cell {

// The leader sends each worker status polls. The reply lists the running tasks
// and the ends of tasks (completed, failed, stopped and so on), each end until
// the leader has acknowledged it. The leader does so in a later poll, once the
// end is recorded in the store.

/// Delay before the next poll of a worker with ends that are not recorded yet,
/// given the number of such workers.
Millis unrecordedEndsPollDelay(std::size_t Workers);

/// Longest time from the start of a planning pass to the start of the next one,
/// given the duration of the first. Answers the load of a leader with too
/// little processor time: while other work waits, planning may take a quarter
/// of it, or half if passes are slow, so that leases are renewed and callers
/// are answered however many steps wait. The next pass starts earlier if
/// nothing else waits.
Millis decisionInterval(Millis LastPassDuration);

/// Limit of the starts of the next planning pass, given that of the last one,
/// whether it was reached, and the duration of the pass. Answers the load of a
/// burst: each pass ranks all steps and workers anew, so larger ones start more
/// in the same time, but replies and callers wait for their end.
std::size_t nextStartLimit(std::size_t LastLimit, bool WasReached,
                           Millis LastPassDuration);

/// Schedules the jobs of a cell during one epoch, that is, between two
/// elections. Loads all rows from the store, then polls the workers and sends
/// them orders until another node is elected.
class Leader : public std::enable_shared_from_this<Leader> {
public:
  Leader(const CellPorts &Ports, const CellSettings &Settings,
         LeaderRecord Record, std::function<void()> OnLeadershipLost);
  ~Leader() { Workers_->close(); }
  Leader(const Leader &) = delete;
  Leader &operator=(const Leader &) = delete;

  void start();
  /// Stops sending orders. Callbacks that are called later do nothing.
  void stop();
  /// Stops and tells the next leader, by way of the store, for which workers it
  /// has to wait. Calls back when the store has answered.
  void resign(const std::function<void()> &Done);
  bool active() const { return Loaded_ && !Stopped_; }
  const LeaderRecord &leaderRecord() const { return LeaderRecord_; }
  /// Takes over the policies of queues and workspaces.
  void setConfig(const CellConfig &Config);
  /// Sets the live nodes other than this one.
  void setNodes(const std::vector<std::string> &Addresses) {
    AdviceBalancer_.setNodes(Addresses);
    Dispatcher_.setAdviceServerCount(Addresses.size() + 1);
  }
  /// Sets the time of the last contact with a majority of the known nodes.
  void setMajorityHeardAt(Millis HeardAt) { MajorityHeardAt_ = HeardAt; }
  /// Chooses relays among the nodes that were heard since the given time.
  void chooseRelays(const PeerNodes &Nodes, Millis HeardSince);
  /// Takes replies of workers from a relay.
  void handleRelayReplies(const std::string &Params, const RpcReply &Reply) {
    const WorkMeter::Scope Replies(WorkMeter_, Work::Replies);
    Workers_->handleReplies(Params, Reply);
  }
  /// Whether another node should lead because this one cannot write to the
  /// store.
  bool shouldHandOver() const;

  // Callers' requests, which any node forwards to the leader. Errors: not_ready
  // while the rows are being loaded. To a workspace, jobs of others do not
  // exist; an empty one is that of a request without a key.
  void submit(const dispatch::JobSpec &Spec, const RpcReply &Reply);
  void state(const std::string &Id, const std::string &Workspace,
             const RpcReply &Reply);
  void cancel(const std::string &Id, const std::string &Workspace,
              const RpcReply &Reply);
  void countPendingJobs(const std::string &Queue, const RpcReply &Reply) const;

private:
  /// Polling state of one worker.
  struct PollState {
    bool LongPollOpen_ = false;  ///< The regular poll is in flight.
    bool ProbeOpen_ = false;     ///< An extra poll without wait is in flight.
    bool PollScheduled_ = false; ///< The regular poll will be sent.
    /// Highest sequence number of an ended task in the worker's poll replies.
    std::int64_t LastListedEnd_ = 0;
    /// Ended tasks of the worker are recorded up to this sequence number.
    std::int64_t LastRecordedEnd_ = 0;
    std::int64_t WorkerStart_ = 0; ///< Start time of the worker process.
    int FailuresInRow_ = 0;
    /// The next poll has no wait, since it is not known whether the worker is
    /// still reached.
    bool ReplyWantedSoon_ = false;
  };

  /// A query for a job that this leader does not know.
  struct UnknownJobQuery {
    Millis AskedAt_{};
    std::string Id_;
    std::string Workspace_;
    RpcReply Reply_;
  };

  Millis now() const { return Ports_.Clock_.monotonic(); }
  const dispatch::JobRun *findJob(const std::string &Id,
                                  const std::string &Workspace) const;
  /// Answers queries for unknown jobs once the leadership has been confirmed
  /// since they were made.
  void answerUnknownJobQueries();
  void cancelUnknownJob(const std::string &Id, const std::string &Workspace,
                        const RpcReply &Reply);
  /// A reply to a cancellation. stop() sends an error unless it was called.
  RpcReply replyToCancel(const RpcReply &Reply);
  void removeExpiredCancels();
  /// Until when this node may give orders, as far as it knows.
  Millis mayActUntil() const;
  bool mayIssueOrders() const { return now() < mayActUntil(); }
  void loadParts();
  /// Writes the leader row of a spare partition, then loads its rows.
  void claimPart(const std::string &Part);
  void writeClaim(const std::string &Part, std::int64_t Version);
  void retryClaim(const std::string &Part, const Error &Failure);
  void loadSparePart(const std::string &Part, std::int64_t LeaderRowVersion);
  void loadTable(RowRange Range);
  void loadPage(const RowRange &Range, const RowPage &Page, Millis SentAt);
  void loadJobRow(const RowRange &Range, const StoredRow &Row);
  void loadWorkerRow(const StoredRow &Row, const StoreClockReading &Reading);
  void loadResignation(const StoredRow &Row, const StoreClockReading &Reading);
  void finishLoad();
  void tick();
  void recordLoopDelay(Millis Delay);
  void readRegistry();
  void locateWorkers();
  /// Returns the ids of the entries.
  std::set<std::string>
  reportUnusableEntries(const std::map<std::string, Error> &UnusableEntries);
  void confirmLeadership();
  void recordWorkerChanges();
  void recordResignation(const std::function<void()> &Done);
  void closeLeaseRows();
  void handleWorkerOpened(const std::string &Id);
  void pollWorkers();
  /// Polls the worker soon, in turn with others.
  void pollInTurn(const std::string &Id);
  void schedulePollTurn();
  void pollNextWorkers();
  void pollWorker(const std::string &Worker, bool Probe);
  void handlePollReply(const std::string &Worker, bool Probe, Millis SentAt,
                       const Result<PollReply> &Reply);
  /// Records the ends that a worker lists, and lets it forget them then.
  void recordEnds(const std::string &Worker, const PollReply &Reply);
  void schedulePoll(const std::string &Worker, Millis Delay);
  /// Plans soon, but not before the event loop has had its time.
  void scheduleDecision();
  void decideWhenIdle();
  void decide();
  void sendOrders(const dispatch::Actions &Actions);
  void logDecisions();
  /// Counts a planning pass that has just ended.
  void countPass(const dispatch::Actions &Actions);
  /// Logs what the leader has done since the last call.
  void logLoad();
  void loseLeadership();

  const CellPorts Ports_;
  const CellSettings Settings_;
  const LeaderRecord LeaderRecord_;
  const std::function<void()> OnLeadershipLost_;
  dispatch::Dispatcher Dispatcher_;
  Recorder Recorder_;
  const std::shared_ptr<RelayedWorkers> Workers_;
  std::map<std::string, std::size_t> WorkersByZone_; ///< Numbers of workers.
  AdviceBalancer AdviceBalancer_;
  std::map<std::string, PollState> PollStates_;
  WorkMeter WorkMeter_;
  PassCounts PassCounts_; ///< Since the last log line.
  Millis LoadLoggedAt_{};
  std::deque<std::string> WorkersToPoll_; ///< See pollNextWorkers().
  std::set<std::string> WorkersWithUnrecordedEnds_;
  std::set<std::string> UnusableEntries_; ///< In the latest registry snapshot.
  LoopDelay LoopDelay_;
  std::map<std::string, dispatch::JobSpec> LoadedSpecs_;
  std::map<std::string, dispatch::JobProgress> LoadedProgress_;
  std::unordered_map<std::string, std::string> LoadedParts_; ///< By job.
  std::vector<dispatch::TaskRange> LoadedWaitingTasks_;
  int TablesLeftToLoad_ = 0;
  /// Rows per page when loading, reduced after a timeout. 200 job rows are
  /// 0.7 MB, which take 0.6 s on the slowest link.
  int LoadPageRows_ = 200;
  /// Submitters that wait until their job is recorded, by job.
  std::map<std::string, std::vector<RpcReply>> PendingSubmissions_;
  /// Callers whose cancellation is not recorded yet.
  std::map<std::uint64_t, RpcReply> PendingCancels_;
  std::uint64_t LastCancel_ = 0;
  CanceledIds CanceledIds_;
  std::deque<UnknownJobQuery> UnknownJobQueries_; ///< The oldest one first.
  Millis MajorityHeardAt_{}; ///< Last contact with a majority of the nodes.
  Millis ConfirmSentAt_{};
  Millis LastDecisionAt_{};
  Millis LastDecisionDuration_{};
  std::size_t StartLimit_ = dispatch::Dispatcher::MaxStartsPerPass;
  Millis RegistryReadAt_{};
  Millis EndedJobsRemovedAt_{};
  bool RegistryReadOpen_ = false;
  int OpenConfirmReads_ = 0; ///< Reads of the leader row in flight.
  bool DecisionScheduled_ = false;
  bool PollTurnScheduled_ = false;
  bool Loaded_ = false;
  bool Stopped_ = false;
};

} // namespace damaskglade::cell

#endif
