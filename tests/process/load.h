#ifndef DAMASKGLADE_TESTS_PROCESS_LOAD_H
#define DAMASKGLADE_TESTS_PROCESS_LOAD_H

#include "core/thread.h"
#include "tests/process/caller.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace damaskglade::process_tests {

struct LoadOptions {
  std::vector<std::string> Zones_;
  double Rate_ = 30.0; ///< Requests a second, all zones.
  std::uint64_t Seed_ = 1;
  Patience Patience_;
};

/// Open-loop load of mixed classes: requests arrive at random times, whether
/// or not earlier ones were answered, and lateness counts from the arrival.
class Load {
public:
  Load(LoadOptions Options, EntryNodes &Nodes);
  ~Load();
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  /// Ends the arrivals, waits for all outcomes and returns them.
  std::vector<JobResult> finish();

private:
  struct Arrival {
    JobSpec Spec_;
    std::string Zone_;
    Millis Time_{};
    Millis OnTime_{};
  };

  Arrival draw(std::mt19937_64 &Random, std::size_t Number) const;
  void arrive();
  void serve();

  const LoadOptions Options_;
  drivers::HttpPool Pool_;
  Caller Caller_;
  SystemClock Clock_;
  Mutex Mutex_;
  Condition Changed_;
  std::deque<Arrival> Waiting_;
  std::vector<JobResult> Results_;
  bool Stopping_ = false;
  std::vector<Thread> Servers_;
  Thread Arrivals_;
};

} // namespace damaskglade::process_tests

#endif
