// Processor time of a leader's decisions at several sizes of a site.

#include "tests/bench/report.h"
#include "tests/dispatch/played_load.h"

#include <cstdio>
#include <ctime>

namespace damaskglade::bench {

namespace {

using dispatch::testing::depotLoad;
using dispatch::testing::PlayedLoad;

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void measure(int Workers, double Share) {
  constexpr Millis WarmUp{5000};
  constexpr Millis Played{20000};
  constexpr double MillisPerSecond = 1000;
  constexpr double CoresOfALeader = 0.25;
  PlayedLoad Load(depotLoad(Workers, Share));
  Load.run(WarmUp);
  const int StartsBefore = Load.starts();
  const int DecisionsBefore = Load.decisions();
  const double Before = processorSeconds();
  Load.run(Played);
  const double Seconds = static_cast<double>(Played.Value_) / MillisPerSecond;
  const double Cores = (processorSeconds() - Before) / Seconds;
  const std::string Workload =
      std::to_string(Workers) + " workers, load " + std::to_string(Share);
  report(Measure{"leader decisions, cores", Workload, Cores, "cores",
                 std::nullopt, Target{CoresOfALeader, false}, 1});
  std::fprintf(stderr,
               "  starts/s %.0f decisions/s %.0f waiting %d"
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
  constexpr double Usual = 0.8;
  constexpr double Overload = 1.3;
  for (const int Workers : {48, 150, 350, 500})
    for (const double Share : {Usual, Overload})
      damaskglade::bench::measure(Workers, Share);
  return 0;
}
