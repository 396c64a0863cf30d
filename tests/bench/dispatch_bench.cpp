// Measures the processor time of a leader's decisions at several site sizes.

#include "tests/bench/report.h"
#include "tests/dispatch/played_load.h"

#include <cstdio>
#include <ctime>

namespace damaskglade::bench {

namespace {

using dispatch::testing::depotLoad;
using dispatch::testing::PlayedLoad;

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void measure(int Workers, double LoadShare) {
  constexpr Millis WarmUp{5000};
  constexpr Millis MeasuredTime{20000};
  constexpr double MillisPerSecond = 1000;
  constexpr double MaxLeaderCores = 0.25;
  PlayedLoad Load(depotLoad(Workers, LoadShare));
  Load.run(WarmUp);
  const int StartsBefore = Load.starts();
  const int DecisionsBefore = Load.decisions();
  const double SecondsBefore = cpuSeconds();
  Load.run(MeasuredTime);
  const double Seconds =
      static_cast<double>(MeasuredTime.Value_) / MillisPerSecond;
  const double Cores = (cpuSeconds() - SecondsBefore) / Seconds;
  const std::string Workload =
      std::to_string(Workers) + " workers, load " + std::to_string(LoadShare);
  report(Measure{"leader decisions, cores", Workload, Cores, "cores",
                 std::nullopt, Target{MaxLeaderCores, false}, 1});
  std::fprintf(stderr,
               "  starts/s %.0f decisions/s %.0f open jobs %d"
               " lookups on time %d of %d, batch %d of %d\n",
               (Load.starts() - StartsBefore) / Seconds,
               (Load.decisions() - DecisionsBefore) / Seconds,
               Load.waitingJobs(), Load.outcome("lookup").OnTime_,
               Load.outcome("lookup").Jobs_, Load.outcome("batch").OnTime_,
               Load.outcome("batch").Jobs_);
}

} // namespace

} // namespace damaskglade::bench

int main() {
  constexpr double NormalLoad = 0.8;
  constexpr double Overload = 1.3;
  for (const int Workers : {48, 150, 350, 500, 1100})
    for (const double LoadShare : {NormalLoad, Overload})
      damaskglade::bench::measure(Workers, LoadShare);
  return 0;
}
