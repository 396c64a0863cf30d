#ifndef DAMASKGLADE_TESTS_BENCH_SIMULATION_H
#define DAMASKGLADE_TESTS_BENCH_SIMULATION_H

#include "tests/bench/workload.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::bench {

/// One decision of a scheduler about a job.
struct Decision {
  enum class Kind {
    Start,
    Pause, ///< Preempted; queued again for the rest of its run time.
    Expire,
  };
  Kind Kind_ = Kind::Start;
  std::string Job_;
};

/// A scheduler under test. Time is virtual.
class Scheduler {
public:
  virtual ~Scheduler() = default;
  /// Returns false if the job is refused.
  virtual bool submit(const policy::QueuedJob &Job, Millis Now) = 0;
  virtual void finish(const std::string &Job, Millis ActualRunTime,
                      Millis Now) = 0;
  /// Returns the decisions in the order in which they were made.
  virtual std::vector<Decision> decide(Millis Now) = 0;
  /// Capacity allocated to running tasks.
  virtual Resources allocated() const = 0;
};

/// Outcome of one arrival.
struct Outcome {
  std::optional<Millis> StartTime_; ///< First start.
  std::optional<Millis> FinishTime_;
  bool Refused_ = false;
  bool Expired_ = false;
};

struct SimulationResult {
  std::vector<Outcome> Outcomes_; ///< By arrival.
  /// Mean allocated share of each resource after the warm-up, in the order
  /// processors, memory, accelerators, slots, connections.
  std::array<double, 5> Utilization_{};
  std::size_t Pauses_ = 0;
};

/// Simulates a scheduler on an arrival list up to the end of the drain time.
SimulationResult simulate(Scheduler &TestedScheduler, const Workload &Work,
                          const std::vector<Arrival> &Arrivals);

} // namespace damaskglade::bench

#endif
