#ifndef DAMASKGLADE_TESTS_CELL_TAKEOVER_PLAY_H
#define DAMASKGLADE_TESTS_CELL_TAKEOVER_PLAY_H

#include "tests/cell/fake_cell.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::fakes {

/// Events happen at this many points in time, numbered from zero.
constexpr int PointCount = 8;

/// The job with the long-running tasks of a play.
inline std::string jobOfLongRunningTasks() { return jobId(1); }
constexpr int LongRunningTasks = 4;

enum class EventKind {
  KillLeader,         ///< Its node starts again later.
  StopLeader,         ///< A planned stop; the node starts again later.
  IsolateLeader,      ///< For a while.
  StoreRejects,       ///< For the leader, for a while; so are the next two.
  StoreTimesOut,      ///< No write takes effect.
  StoreLosesReplies,  ///< All writes take effect.
  CutWorkerOff,       ///< It runs on until its lease ends.
  CutWorkerOffForNow, ///< For a while.
  HealWorkers,        ///< All workers that are cut off.
  DrainWorker,
  EndWorker,               ///< The worker leaves with all its tasks.
  PauseLeader,             ///< For a while.
  KillRelay,               ///< Its node starts again later.
  StopRelay,               ///< A planned stop; the node starts again later.
  IsolateRelay,            ///< For a while; so are the next four.
  PauseRelay,              ///< Its process runs nothing.
  MuteRelay,               ///< Its calls to other nodes are lost.
  BlindRelay,              ///< It reaches no worker.
  MainPartRejects,         ///< The store rejects it for all nodes, for a while.
  SparePartRejects,        ///< The same for the spare part.
  RestartWorker,           ///< It loses power and starts again under its id.
  RestartWorkerTwice,      ///< The same once more, a moment after it is back.
  RestartWithLateReplies,  ///< Its last replies arrive after those of the next.
  RestartAfterLostReplies, ///< The replies to its last orders are lost.
  DelayStarts,             ///< A worker carries out starts late, for a while.
  /// A node other than the leader is paused for a while, with a submission that
  /// its caller cancels at another node.
  SubmitLate,
};

struct Event {
  int Point_ = 0;
  EventKind Kind_ = EventKind::KillLeader;
  std::string Worker_; ///< Empty if the event concerns no single worker.
};

/// Events in the order of their points.
using Schedule = std::vector<Event>;

/// For instance "2 cut-worker-off w1, 4 kill-leader".
std::string describe(const Schedule &Events);
/// Empty if the text does not describe a schedule.
std::optional<Schedule> parseSchedule(const std::string &Text);

/// Changes rows that the store is about to write.
using RowFault =
    std::function<void(const FakeStoreState &Store, RowTransaction &Written)>;

/// What a play has shown to be wrong; all empty if nothing is.
struct Violations {
  std::vector<std::string> ConcurrentRuns_;
  std::vector<std::string> StartedAfterAcknowledgement_;
  /// Polls that acknowledged ends which the process had not listed.
  int ForeignAcknowledgements_ = 0;
  std::vector<std::string> MissingTasks_;
  /// Tasks that run although the cancellation of their job was acknowledged.
  std::vector<std::string> CanceledRuns_;
  /// Accepted jobs of odd shapes that have not ended, with all workers there.
  std::vector<std::string> UnfinishedJobs_;
  /// Nodes without the newest configuration in the end, and those that have
  /// gone back to an older one.
  std::vector<std::string> StaleNodes_;

  bool repeatedRuns() const {
    return !ConcurrentRuns_.empty() || !StartedAfterAcknowledgement_.empty();
  }
  bool any() const {
    return repeatedRuns() || ForeignAcknowledgements_ > 0 ||
           !MissingTasks_.empty() || !CanceledRuns_.empty() ||
           !UnfinishedJobs_.empty() || !StaleNodes_.empty();
  }
};

std::string describe(const Violations &Found);

struct PlaySettings {
  /// The leader calls all workers through another node.
  bool WithRelays_ = false;
  /// The jobs are recorded in the spare part of the store.
  bool InSparePart_ = false;
  /// Jobs with a short task arrive all along.
  bool WithArrivals_ = false;
  /// Jobs with deep and wide graphs, gangs, a limit per worker, or much memory
  /// are submitted before the events.
  bool WithOddJobs_ = false;
};

/// Plays one schedule on a new cell with a job of long-running tasks and a
/// short one. The clock of the first worker is slow.
class TakeoverPlay {
public:
  explicit TakeoverPlay(const RowFault &Fault, PlaySettings Settings = {});
  Violations play(const Schedule &Events);

private:
  void apply(const Event &Happening);
  void applyToLeader(EventKind Kind, const std::string &Leader);
  void applyToRelay(EventKind Kind, const std::string &Relay);
  /// The node that the leader uses as its relay.
  std::string chooseRelay() const;
  void restart(const Event &Happening);
  void submitShortJobs();
  void submitOddJobs();
  void submitLate();
  void cancelLateJob(std::size_t Index, const std::string &Late);
  std::vector<std::string> canceledRuns() const;
  std::vector<std::string> unfinishedJobs();
  void setStoreMode(const std::string &Node, StoreMode Mode);
  void rejectPart(const std::string &Part);
  std::string chooseLeader() const;
  int usableWorkers() const;
  std::vector<std::string> missingTasks() const;

  using PendingAnswer =
      std::shared_ptr<std::optional<Result<cell::CallerAnswer>>>;
  struct LateJob {
    std::string Id_;
    std::vector<PendingAnswer> Cancellations_;
    bool isCanceled() const;
  };

  const PlaySettings Settings_;
  FakeCell Cell_;
  std::set<std::string> DisturbedNodes_; ///< Isolated or without the store.
  std::vector<LateJob> LateJobs_;
  std::map<std::string, PendingAnswer> OddJobs_; ///< Submissions by id.
  int LastJob_ = 2;
  bool JobsArrive_ = false;
};

} // namespace damaskglade::fakes

#endif
