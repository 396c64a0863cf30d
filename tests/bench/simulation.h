#ifndef DAMASKGLADE_TESTS_BENCH_SIMULATION_H
#define DAMASKGLADE_TESTS_BENCH_SIMULATION_H

#include "tests/bench/workload.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::bench {

/// One decision of a scheduler.
struct Decision {
  enum class Kind {
    Start,
    Pause, ///< The job is queued again for the rest of its run.
    Expire,
  };
  Kind Kind_ = Kind::Start;
  std::string Job_;
};

/// A scheduler under test. Time is virtual.
class Scheduler {
public:
  virtual ~Scheduler() = default;
  /// False if the job is refused.
  virtual bool submit(const policy::QueuedJob &Job, Millis Now) = 0;
  virtual void finish(const std::string &Job, Millis RealRun, Millis Now) = 0;
  /// Decisions in the order in which they were made.
  virtual std::vector<Decision> decide(Millis Now) = 0;
  /// Capacity that running tasks hold.
  virtual Resources held() const = 0;
};

/// How one arrival ended.
struct Outcome {
  std::optional<Millis> Started_; ///< First start.
  std::optional<Millis> Finished_;
  bool Refused_ = false;
  bool Expired_ = false;
};

struct SimulationResult {
  std::vector<Outcome> Outcomes_; ///< By arrival.
  /// Mean share of each resource held after the warm-up, in the order
  /// processors, memory, accelerators, slots, connections.
  std::array<double, 5> Held_{};
  std::size_t Pauses_ = 0;
};

/// Runs an arrival list through a scheduler, up to the end of the drain time.
SimulationResult simulate(Scheduler &Tested, const Workload &Work,
                          const std::vector<Arrival> &Arrivals);

} // namespace damaskglade::bench

#endif
