#ifndef DAMASKGLADE_CELL_WORK_METER_H
#define DAMASKGLADE_CELL_WORK_METER_H

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <string>

namespace damaskglade::cell {

/// What a leader spends its processor time on.
enum class Work {
  Other,     ///< Connections, the store, and calls of other nodes.
  Planning,  ///< Planning passes, without what they send.
  Orders,    ///< Sending the orders and questions of passes.
  Recording, ///< Collecting the changes of passes for the store.
  Replies,   ///< Replies of workers, polls that follow at once included.
  Callers,   ///< Requests for jobs.
};
inline constexpr std::size_t WorkKinds = 6;

/// Processor time by kind of work, in microseconds.
using WorkTimes = std::array<std::int64_t, WorkKinds>;

/// Measures the processor time of the calling thread by kind of work.
class WorkMeter {
public:
  explicit WorkMeter(const Clock &ProcessorClock)
      : Clock_(ProcessorClock), ReadAt_(ProcessorClock.processorMicros()) {}

  /// Times since the last call.
  WorkTimes take();

  /// Measures a kind of work until the end of the scope. Work of another kind
  /// inside it counts as such only.
  class Scope {
  public:
    Scope(WorkMeter &Meter, Work Kind)
        : Meter_(Meter), Outer_(Meter.begin(Kind)) {}
    ~Scope() { Meter_.begin(Outer_); }
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    WorkMeter &Meter_;
    const Work Outer_;
  };

private:
  /// Returns the kind of work up to now.
  Work begin(Work Kind);
  void charge();

  const Clock &Clock_;
  Work Current_ = Work::Other;
  std::int64_t ReadAt_ = 0;
  WorkTimes Times_{};
};

/// What the planning passes of some time have done.
struct PassCounts {
  int Passes_ = 0;
  int FullPasses_ = 0; ///< Ended by a limit while steps were left.
  std::size_t Starts_ = 0;
  std::size_t Questions_ = 0;
  Millis Elapsed_{}; ///< Of all passes, by the monotonic clock.
  Millis Longest_{};
  Millis LongestDelay_{}; ///< Of timers.

  friend bool operator==(const PassCounts &, const PassCounts &) = default;
};

/// "passes=3 full=1 ... planning_us=1200 ...", for the log.
std::string describeLoad(const PassCounts &Counts, const WorkTimes &Times);

} // namespace damaskglade::cell

#endif
