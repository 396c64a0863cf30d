#ifndef DAMASKGLADE_TESTS_DISPATCH_PLAYED_LOAD_H
#define DAMASKGLADE_TESTS_DISPATCH_PLAYED_LOAD_H

#include "dispatch/dispatcher.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace damaskglade::dispatch::testing {

/// Describes the jobs that arrive at one queue, at random times (as a Poisson
/// process).
struct LoadClass {
  std::string Queue_;
  QueuePolicy Policy_;
  double JobsPerSecond_ = 0;
  int Steps_ = 1;
  int Width_ = 1; ///< Mean number of tasks per step.
  std::int64_t MilliCpus_ = 1000;
  std::int64_t MemoryMib_ = 1000;
  Millis Length_{1000};       ///< Mean run time of a task.
  double RackShare_ = 0;      ///< Share of the jobs that prefer the rack "r0".
  double AllowedShare_ = 1.0; ///< Share of workers that advice allows.
  bool LongRunning_ = false;
  bool Gang_ = false;
  int MaxPerWorker_ = 0; ///< Tasks of a step on one worker; zero: no limit.
  std::string Workspace_;
  /// Between these times after StartTime, so many times the jobs arrive.
  double FloodFactor_ = 1;
  Millis FloodStart_{};
  Millis FloodEnd_{};
};

inline constexpr Millis StartTime{1000};

/// Job counts of one queue. On time and late are measured from the arrival.
struct LoadOutcome {
  int Jobs_ = 0;     ///< Submitted jobs.
  int Rejected_ = 0; ///< Those that were over share while the fleet was full.
  int OnTime_ = 0;   ///< Ended within the objective.
  int Late_ = 0;     ///< Ended later, within three times the objective.
  int Starts_ = 0;   ///< Started tasks.
  /// Longest time from the arrival of a job to the start of one of its tasks.
  Millis LongestWait_{};
};

struct LoadSettings {
  int Workers_ = 48;
  Size Capacity_{16000, 65536, 0};
  /// Servers of the simulated advice service; each handles one request at a
  /// time.
  int AdviceServerCount_ = 7;
  unsigned Seed_ = 1;
  /// Time after StartTime at which jobs stop arriving; zero: they never stop.
  Millis ArrivalsEnd_{};
  /// Minimum time between two planning passes.
  Millis PassInterval_{5};
  DispatchLimits Limits_;
  /// Kinds of workers, which take turns: label and duration of tasks relative
  /// to the usual one.
  std::vector<std::pair<std::string, double>> Kinds_{{"a", 1.0}};
  /// Share of the tasks that take seven times as long.
  double LongTaskShare_ = 0;
  /// Factor by which tasks take longer outside the rack that they prefer.
  double RackPenalty_ = 1;
  bool RequireRack_ = false; ///< Tasks run in the rack that they prefer only.
  /// When jobs prefer a rack, after StartTime.
  Millis RackFrom_{};
  Millis RackUntil_{};
  std::vector<LoadClass> Classes_;
  WorkspacePolicies Workspaces_;
};

/// Simulates workers, an advice service and arriving jobs around a dispatcher,
/// in virtual time. Workers execute orders after 1 ms, and an advice request
/// takes the time that the queue's policy specifies.
class PlayedLoad {
public:
  explicit PlayedLoad(LoadSettings Settings);

  /// Advances the virtual time by the given duration.
  void run(Millis Duration);
  const LoadOutcome &outcome(const std::string &Queue) const {
    return Outcomes_.at(Queue);
  }
  const Dispatcher &dispatcher() const { return Dispatcher_; }
  /// Number of start orders executed.
  int starts() const { return StartCount_; }
  /// The executed start orders: worker and task of each.
  const std::string &placements() const { return Placements_; }
  /// Number of planning passes.
  int decisions() const { return DecisionCount_; }
  /// Number of jobs that have not ended, long-running ones excepted.
  int waitingJobs() const { return static_cast<int>(OpenJobs_.size()); }

private:
  struct RunningTask {
    RunningEntry Entry_;
    Millis StartedAt_{};
    Millis Length_{};
  };
  struct OpenJob {
    std::string Queue_;
    Millis ArrivedAt_{};
    Millis Objective_{};
  };

  void schedule(Millis Delay, std::function<void()> Callback);
  void scheduleArrival(const LoadClass &Class);
  void submit(const LoadClass &Class);
  void scheduleDecision();
  void decide();
  void executeStart(const StartAction &Action);
  void endTask(const std::string &Worker, const std::string &Task,
               std::int64_t Attempt, TaskEnd End);
  void answerQuestion(const AdviceQuestion &Question);
  void pollWorker(const std::string &Worker, std::vector<EndedTask> Ended);
  void recordEndedJobs();
  double uniform() { return std::uniform_real_distribution<>()(Random_); }

  const LoadSettings Settings_;
  std::mt19937 Random_;
  Millis Now_{StartTime};
  Millis LastDecisionAt_{};
  Dispatcher Dispatcher_;
  std::uint64_t EventNumber_ = 0;
  /// Events by time; those of the same time run in the order of scheduling.
  std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> Events_;
  std::map<std::string, std::map<std::string, RunningTask>> RunningTasks_;
  std::map<std::string, std::int64_t> LastEndNumbers_;
  std::map<std::string, double> DurationFactors_; ///< By worker.
  std::map<std::string, OpenJob> OpenJobs_;
  std::map<std::string, LoadOutcome> Outcomes_;
  /// When each server of the advice service has answered all its requests.
  std::vector<Millis> AdviceServersFreeAt_;
  int JobCount_ = 0;
  int StartCount_ = 0;
  std::string Placements_;
  int DecisionCount_ = 0;
  bool DecisionPending_ = false;
};

/// A load of short urgent lookups and of batch jobs with many tasks per step.
/// Together they request the given share of the processors of all workers;
/// above 1 the workers are overloaded.
LoadSettings depotLoad(int Workers, double Share);

} // namespace damaskglade::dispatch::testing

#endif
