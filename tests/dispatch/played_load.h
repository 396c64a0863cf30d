#ifndef DAMASKGLADE_TESTS_DISPATCH_PLAYED_LOAD_H
#define DAMASKGLADE_TESTS_DISPATCH_PLAYED_LOAD_H

#include "dispatch/dispatcher.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace damaskglade::dispatch::testing {

/// Jobs that callers submit to one queue, with a Poisson arrival process.
struct LoadClass {
  std::string Queue_;
  QueuePolicy Policy_;
  double JobsPerSecond_ = 0;
  int Steps_ = 1;
  int Width_ = 1; ///< Mean number of tasks per step.
  std::int64_t MilliCpus_ = 1000;
  std::int64_t MemoryMib_ = 1000;
  Millis Length_{1000};       ///< Mean run time of a task.
  double AllowedShare_ = 1.0; ///< Share of workers that advice allows.
  bool LongRunning_ = false;
};

inline constexpr Millis StartTime{1000};

/// Job counts of one queue.
struct LoadOutcome {
  int Jobs_ = 0;
  int OnTime_ = 0; ///< Ended within the objective.
  int Late_ = 0;   ///< Ended later, within three times the objective.
};

struct LoadSettings {
  int Workers_ = 48;
  Size Capacity_{16000, 65536, 0};
  int AdviceNodes_ = 7; ///< Each handles one question at a time.
  unsigned Seed_ = 1;
  Millis ArrivalsEnd_{}; ///< Time after StartTime; zero: arrivals never end.
  std::vector<LoadClass> Classes_;
};

/// Runs a load against a dispatcher in virtual time. Workers execute orders
/// 1 ms after they are given, and the advice service takes the time that the
/// queue's policy specifies.
class PlayedLoad {
public:
  explicit PlayedLoad(LoadSettings Settings);

  void run(Millis Duration);
  const LoadOutcome &outcome(const std::string &Queue) const {
    return Outcomes_.at(Queue);
  }
  const Dispatcher &dispatcher() const { return Dispatcher_; }
  int starts() const { return StartCount_; }
  int decisions() const { return DecisionCount_; }
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
  std::uint64_t Sequence_ = 0;
  std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> Events_;
  std::map<std::string, std::map<std::string, RunningTask>> RunningTasks_;
  std::map<std::string, std::int64_t> LastEndNumbers_;
  std::map<std::string, OpenJob> OpenJobs_;
  std::map<std::string, LoadOutcome> Outcomes_;
  std::vector<Millis> AdviceFreeAt_;
  int JobCount_ = 0;
  int StartCount_ = 0;
  int DecisionCount_ = 0;
  bool DecisionPending_ = false;
};

/// Workload of the depot site for a number of workers: lookups and wide batch
/// jobs that together request the given share of all processors.
LoadSettings depotLoad(int Workers, double Share);

} // namespace damaskglade::dispatch::testing

#endif
