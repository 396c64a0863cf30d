#ifndef DAMASKGLADE_TESTS_BENCH_REPORT_H
#define DAMASKGLADE_TESTS_BENCH_REPORT_H

#include <cstdint>
#include <optional>
#include <string>

namespace damaskglade::bench {

/// Bound on a measured value, as set in the design document.
struct Target {
  double Bound_ = 0.0;
  bool AtLeast_ = false; ///< Lower bound; otherwise an upper bound.
};

struct Measure {
  std::string Measure_;
  std::string Workload_;
  double Value_ = 0.0;
  std::string Unit_;
  std::optional<double> Baseline_; ///< Baseline scheduler, same arrivals.
  std::optional<Target> Target_;
  std::uint64_t Seed_ = 0;
};

/// Prints one JSON object to stdout and one table row to stderr.
void report(const Measure &Result);

} // namespace damaskglade::bench

#endif
