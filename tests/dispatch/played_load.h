#ifndef DAMASKGLADE_TESTS_DISPATCH_PLAYED_LOAD_H
#define DAMASKGLADE_TESTS_DISPATCH_PLAYED_LOAD_H

#include "dispatch/dispatcher.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace damaskglade::dispatch::testing {

/// Jobs of one queue as callers hand them in.
struct LoadClass {
  std::string Queue_;
  QueuePolicy Policy_;
  double JobsPerSecond_ = 0;
  int Steps_ = 1;
  int Width_ = 1; ///< Mean number of tasks of a step.
  std::int64_t MilliCpus_ = 1000;
  std::int64_t MemoryMib_ = 1000;
  Millis Length_{1000}; ///< Mean length of a task.
  double AllowedShare_ = 1.0;
  bool Lasting_ = false;
};

inline constexpr Millis StartTime{1000};

/// What callers of one queue got.
struct LoadOutcome {
  int Jobs_ = 0;
  int OnTime_ = 0;
  int Late_ = 0; ///< Within three times the objective.
};

struct LoadSettings {
  int Workers_ = 48;
  Size Capacity_{16000, 65536, 0};
  int AdviceNodes_ = 7; ///< Each asks one question at a time.
  unsigned Seed_ = 1;
  Millis ArrivalsEnd_{}; ///< From the start; zero: never.
  std::vector<LoadClass> Classes_;
};

/// Plays a load on a dispatcher in virtual time. Workers do at once what they
/// are told, and the advice service takes the time that the policy names.
class PlayedLoad {
public:
  explicit PlayedLoad(LoadSettings Settings);

  void run(Millis Time);
  const LoadOutcome &outcome(const std::string &Queue) const {
    return Outcomes_.at(Queue);
  }
  const Dispatcher &core() const { return Core_; }
  int starts() const { return Starts_; }
  int decisions() const { return Decisions_; }
  int waitingJobs() const { return static_cast<int>(Open_.size()); }

private:
  struct Running {
    RunningEntry Entry_;
    Millis StartedAt_{};
    Millis Length_{};
  };
  struct OpenJob {
    std::string Queue_;
    Millis ArrivedAt_{};
    Millis Objective_{};
  };

  void at(Millis Delay, std::function<void()> Task);
  void arrive(const LoadClass &Class);
  void submit(const LoadClass &Class);
  void wake();
  void decide();
  void carryOut(const StartAction &Action);
  void end(const std::string &Worker, const std::string &Task,
           std::int64_t Attempt, TaskEnd How);
  void ask(const AdviceQuestion &Question);
  void look(const std::string &Worker, std::vector<EndedTask> Ended);
  void noteEnds();
  double uniform() { return std::uniform_real_distribution<>()(Random_); }

  const LoadSettings Settings_;
  std::mt19937 Random_;
  Millis Now_{StartTime};
  Millis DecidedAt_{};
  Dispatcher Core_;
  std::uint64_t Sequence_ = 0;
  std::map<std::pair<Millis, std::uint64_t>, std::function<void()>> Events_;
  std::map<std::string, std::map<std::string, Running>> Workers_;
  std::map<std::string, std::int64_t> EndNumbers_;
  std::map<std::string, OpenJob> Open_;
  std::map<std::string, LoadOutcome> Outcomes_;
  std::vector<Millis> AdviceFreeAt_;
  int Jobs_ = 0;
  int Starts_ = 0;
  int Decisions_ = 0;
  bool WakePending_ = false;
};

/// The workload of the depot's site, for a number of workers: lookups, wide
/// batch work and lasting tasks that together ask for the given share of all
/// processors.
LoadSettings depotLoad(int Workers, double Share);

} // namespace damaskglade::dispatch::testing

#endif
