#ifndef DAMASKGLADE_TESTS_CELL_FAKE_CELL_H
#define DAMASKGLADE_TESTS_CELL_FAKE_CELL_H

#include "cell/config_follower.h"
#include "cell/gateway.h"
#include "cell/member.h"
#include "tests/cell/fake_processor.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::fakes {

/// Event loop in virtual time. Tasks due at the same time run in the order in
/// which they were added.
class FakeLoop : public TimerService, public Clock {
public:
  void after(Millis Delay, std::function<void()> Task) override {
    Tasks_.emplace(std::make_pair(Now_ + Delay, ++LastSequence_),
                   std::move(Task));
  }
  void whenIdle(Millis, std::function<void()> Task) override {
    after(Millis{}, std::move(Task));
  }
  Millis monotonic() const override { return Now_; }
  Millis wall() const override { return Now_; }
  void run(Millis Time);
  /// Runs until the condition holds. Returns false if it does not hold in time.
  bool runUntil(Millis Time, const std::function<bool()> &Done);

private:
  Millis Now_{100000};
  std::uint64_t LastSequence_ = 0;
  std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> Tasks_;
};

/// How the store handles the calls of a node.
enum class StoreMode {
  Healthy,
  Rejects,     ///< Calls have no effect and return an error.
  TimesOut,    ///< Calls have no effect and time out.
  LosesReplies ///< Writes take effect but time out.
};

/// Rows of the store that all nodes share, and its behavior in a test.
struct FakeStoreState {
  std::map<RowName, StoredRow> Rows_;
  std::int64_t Version_ = 0;
  std::map<std::string, StoreMode> StoreModes_; ///< By node.
  /// Parts for which all calls are rejected, whichever node makes them.
  std::set<std::string> RejectedParts_;
  int Writes_ = 0;
  Millis Delay_{5};            ///< Delay of all replies.
  Millis ClockOffset_{-40000}; ///< From the clock of the nodes to the store's.
  /// Replies to transactions that were not applied omit absent rows.
  bool OmitsAbsentRows_ = false;
  /// Rows per page at most. Pages are small, so that tests read tables of
  /// several pages.
  std::size_t PageRows_ = 3;
  int MaxPageRows_ = 0; ///< Reads of larger pages time out; zero: no limit.
  /// Nodes whose reads of the jobs table time out.
  std::set<std::string> NodesWithoutJobReads_;
  /// All configurations that operators have written, by rising version.
  std::vector<SharedConfig> Configs_;
  /// Nodes for which the store has lost its history since their last read.
  std::set<std::string> NodesWithLostHistory_;

  /// Changes what a transaction writes although the reply reports it as
  /// applied; for tests that have to notice wrong rows.
  std::function<void(RowTransaction &)> ChangeWrites_;

  TransactionOutcome apply(const RowTransaction &Transaction);
  /// Whether the transaction names a row of a rejected part.
  bool rejects(const RowTransaction &Transaction) const;

private:
  void write(const RowTransaction &Transaction);
};

class FakeStore : public RowStore {
public:
  FakeStore(FakeLoop &Loop, FakeStoreState &State, std::string Node)
      : Loop_(Loop), StoreState_(State), Node_(std::move(Node)) {}
  void transact(const RowTransaction &Transaction,
                std::function<void(Result<TransactionOutcome>)> Done) override;
  void read(const RowRange &Range,
            std::function<void(Result<RowPage>)> Done) override;
  void follow(const std::string &, std::int64_t, Millis,
              std::function<void(Result<RowPage>)>) override {}
  /// Ignores all further calls. Calls in flight are still carried out.
  void disconnect() { Disconnected_ = true; }

private:
  FakeLoop &Loop_;
  FakeStoreState &StoreState_;
  const std::string Node_;
  bool Disconnected_ = false;
};

/// Reads the configurations of the store for one node.
class FakeConfigs : public ConfigSource {
public:
  FakeConfigs(FakeLoop &Loop, FakeStoreState &State, FakeProcessor &Processor,
              std::string Node)
      : Loop_(Loop), StoreState_(State), Processor_(Processor),
        Node_(std::move(Node)) {}
  void next(std::function<void(Result<ConfigRead>)> Done) override;
  Result<SharedConfig> decode(const std::string &Text) const override;
  /// Ignores all further calls.
  void disconnect() { Disconnected_ = true; }

private:
  void poll(Millis Until, const std::function<void(Result<ConfigRead>)> &Done);
  /// Receives a configuration in parts; each waits for its turn.
  void receive(int Parts, const std::function<void()> &Done);

  FakeLoop &Loop_;
  FakeStoreState &StoreState_;
  FakeProcessor &Processor_;
  const std::string Node_;
  std::int64_t LastVersion_ = 0;
  bool Disconnected_ = false;
};

/// State of a simulated worker. Like real workers it rejects orders of an older
/// epoch and of ended attempts, ends its tasks when its lease expires, cuts
/// long leases, and lists ended tasks until the leader has acknowledged them. A
/// new process under its id knows nothing of the one before.
struct FakeWorkerState {
  dispatch::WorkerInfo Info_;
  std::int64_t HighestEpoch_ = 0; ///< Of the orders received.
  std::int64_t ProcessStart_ = 1; ///< Start time of the worker process.
  Millis LeaseEnd_{};             ///< On the worker's clock.
  std::int64_t ClockRatePerMille_ = 1000;
  bool Reachable_ = true;
  bool Refuses_ = false; ///< The process has ended: connections are refused.
  /// No call reaches it and it answers none. It stays registered.
  bool CutOff_ = false;
  /// A proxy keeps the connections of its callers when the process ends, and
  /// passes what arrives on them to the next one.
  bool IsBehindProxy_ = false;
  bool LosesPollReplies_ = false;  ///< Polls take effect but time out.
  bool LosesStartReplies_ = false; ///< Starts take effect but time out.
  bool LosesStopReplies_ = false;  ///< Stops take effect but time out.
  Millis RepliesHeldUntil_{};      ///< Replies arrive at this time at least.
  /// If not zero, starts get no reply and are carried out so much later, by the
  /// process that runs then.
  Millis StartDelay_{};
  std::map<std::string, std::int64_t> Running_; ///< Attempt by task.
  /// Last stopped or ended attempt of each task.
  std::map<std::string, std::int64_t> HighestAttempt_;
  std::vector<EndedTask> Ended_;
  std::int64_t LastEndNumber_ = 0;

  Millis ClockStart_{}; ///< When the worker's clock was zero.
  /// When it starts again, if its host is down. Calls that are under way reach
  /// the new process then.
  Millis BackAt_{};

  /// The worker's clock at a time of the loop.
  Millis clock(Millis Now) const {
    constexpr std::int64_t Thousand = 1000;
    return Millis{(Now - ClockStart_).Value_ * ClockRatePerMille_ / Thousand};
  }
  /// Extends the leases, by the longest one at most.
  void extendLeases(Millis End, Millis Now);
  /// Whether a call is meant for this process or for any.
  bool isMeant(const WorkerTarget &Target) const {
    return IsBehindProxy_ || Target.ProcessStart_ == 0 ||
           Target.ProcessStart_ == ProcessStart_;
  }
};

/// All workers, and the events that the tests check.
struct FakeFleet {
  std::map<std::string, FakeWorkerState> Workers_;
  /// Workers whose entry in the registry was overwritten by another process.
  std::set<std::string> UnusableEntries_;
  std::map<std::string, int> Starts_; ///< Number of starts by task.
  /// Tasks that were started while they were already running on a worker.
  std::vector<std::string> ConcurrentRuns_;
  /// Tasks whose successful end a leader has acknowledged.
  std::set<std::string> AcknowledgedTasks_;
  /// Tasks that were started after such an acknowledgement.
  std::vector<std::string> StartedAfterAcknowledgement_;
  /// Polls that acknowledged ends which the process had not listed.
  int ForeignAcknowledgements_ = 0;

  /// Whether any worker runs the task.
  bool isRunning(const std::string &Task, Millis Now) const;
};

/// Sends the orders and polls of one node to the simulated workers.
class FakeWorkerClient : public TaskWorkers {
public:
  FakeWorkerClient(FakeLoop &Loop, FakeFleet &Fleet,
                   std::function<bool(const std::string &)> IsReachable)
      : Loop_(Loop), Fleet_(Fleet), IsReachable_(std::move(IsReachable)) {}
  void start(const WorkerTarget &Worker, const StartOrder &Order,
             OrderHandler Done) override;
  void stop(const WorkerTarget &Worker, const std::string &Task,
            std::int64_t Attempt, OrderHandler Done) override;
  void pace(const WorkerTarget &, const std::string &, std::int64_t, int,
            OrderHandler Done) override {
    Done(OrderReply{});
  }
  void poll(const WorkerTarget &Worker, const PollRequest &Request,
            std::function<void(Result<PollReply>)> Done) override;

private:
  struct OpenPoll {
    std::string Worker_;
    std::int64_t ProcessStart_ = 0;
    Millis Deadline_{};
    std::function<void(Result<PollReply>)> Done_;
  };

  FakeWorkerState *findReachable(const WorkerTarget &Worker);
  OrderReply carryOut(FakeWorkerState &Target, const WorkerTarget &Worker,
                      const StartOrder &Order);
  /// Makes a call later if the host of the worker is up again before the
  /// timeout.
  bool isDelayed(const WorkerTarget &Worker, Millis Timeout,
                 const std::function<void()> &Call);
  /// Reports that the worker was not reached. Wait is added to the timeout.
  template <typename Handler>
  void fail(const std::string &Id, const std::string &Step, const Handler &Done,
            Millis Wait = Millis{});
  void end(FakeWorkerState &Worker, const std::string &Task, TaskEnd Cause);
  /// Passes on what the worker has replied, at once or when it arrives.
  template <typename Handler, typename Reply>
  void deliver(const FakeWorkerState &Worker, const Handler &Done,
               const Reply &Written);
  void sendPollReply(const std::shared_ptr<const OpenPoll> &Poll);

  FakeLoop &Loop_;
  FakeFleet &Fleet_;
  const std::function<bool(const std::string &)> IsReachable_;
};

/// Nodes of a cell with a shared store and fleet. Each can be killed, or
/// isolated from peers, workers and store.
class FakeCell {
public:
  /// Leaders use relays if there are at least RelayMinWorkers.
  FakeCell(int Nodes, int Workers,
           std::size_t RelayMinWorkers = cell::CellSettings{}.RelayMinWorkers_);
  ~FakeCell();

  void startNode(const std::string &Name);
  void killNode(const std::string &Name);
  /// Isolates a node: it reaches nothing, and nothing reaches it.
  void setIsolated(const std::string &Name, bool Isolated);
  /// Cuts nodes and workers off from all others and from the store. They still
  /// reach each other. Calls across the cut are refused at once.
  void cutZone(const std::set<std::string> &Members);
  void healZone();
  /// Whether the calls that a node makes to other nodes are lost. It still
  /// answers theirs.
  void setMuted(const std::string &Name, bool Muted);
  /// Whether a node reaches no worker.
  void setBlind(const std::string &Name, bool Blind);
  /// Runs nothing on a node for a while, as if its process were stopped.
  void pauseNode(const std::string &Name, Millis Time);
  /// Writes a configuration with these queues beside the usual one. Returns its
  /// version.
  std::int64_t changeConfig(const std::vector<std::string> &Queues = {});
  /// Version of the configuration by which a node handles requests.
  std::int64_t configVersion(const std::string &Name) const;
  /// Gateway::configAge() of a node.
  std::optional<Millis> configAge(const std::string &Name) const;
  /// From now on messages of other nodes to this one are delivered late, by
  /// deliverHeldBack().
  void holdBack(const std::string &Name);
  void deliverHeldBack();
  std::vector<std::string> nodes() const;
  /// Name of the active leader; empty if there is none or more than one.
  std::string leader() const;
  std::vector<std::string> leaders() const;
  cell::Member &member(const std::string &Name);
  FakeProcessor &processor(const std::string &Name);
  /// Sets the share of a core that each node may use.
  void setSpeed(double Cores);

  /// Sends a caller's request to a node. The answer is stored in the result.
  std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
  call(const std::string &Node, const cell::CallerRequest &Request);
  /// Submits a job with this number of tasks to a node.
  std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
  submit(const std::string &Node, const std::string &Id, int Tasks,
         Millis Duration);
  /// The same for a job whose tasks run until it is canceled.
  std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
  submitLongRunning(const std::string &Node, const std::string &Id, int Tasks);
  /// The same for a job with these steps, whose tasks take the given time.
  std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>
  submitSteps(const std::string &Node, const std::string &Id,
              const std::vector<dispatch::StepSpec> &Steps, Millis Duration);
  /// Marks a worker as draining; it goes on running its tasks.
  void drainWorker(const std::string &Id);
  /// The host of a worker loses power; after the time given, the worker starts
  /// again under its id and at its address. Its registry entry is that of the
  /// process before until then, and for EntryDelay longer.
  void restartWorker(const std::string &Id, Millis DownTime,
                     Millis EntryDelay = Millis{});
  /// Ends a worker and all its tasks, and removes it from the registry.
  void removeWorker(const std::string &Id);
  /// Queries the state of a job at a node; runs the loop until it is answered.
  std::optional<dispatch::JobState> state(const std::string &Node,
                                          const std::string &Id);

  FakeLoop Loop_;
  FakeStoreState StoreState_;
  FakeFleet Fleet_;
  /// CPU capacity of the nodes that do not have the default, from their start
  /// on.
  std::map<std::string, double> NodeCpus_;
  /// Nodes that have replaced a configuration by an older one.
  std::vector<std::string> ConfigRegressions_;

private:
  struct Node;
  class PeerHttp;
  const std::size_t RelayMinWorkers_;
  std::map<std::string, std::unique_ptr<Node>> Nodes_;
  std::vector<std::unique_ptr<Node>> KilledNodes_;
  /// Whether a zone is cut off that only one of both belongs to.
  bool isAcrossCut(const std::string &One, const std::string &Other) const {
    return CutZone_.count(One) != CutZone_.count(Other);
  }
  std::set<std::string> IsolatedNodes_;
  std::set<std::string> CutZone_; ///< Nodes and workers; empty: no cut.
  std::set<std::string> MutedNodes_;
  std::set<std::string> BlindNodes_;
  std::set<std::string> HeldBackNodes_;
  std::vector<std::function<void()>> HeldBackMessages_;
};

/// A job id with 16 digits.
std::string jobId(int Number);

} // namespace damaskglade::fakes

#endif
