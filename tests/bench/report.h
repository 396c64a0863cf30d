#ifndef DAMASKGLADE_TESTS_BENCH_REPORT_H
#define DAMASKGLADE_TESTS_BENCH_REPORT_H

#include <cstdint>
#include <optional>
#include <string>

namespace damaskglade::bench {

/// Bound that the design page sets on a measured value.
struct Target {
  double Bound_ = 0.0;
  bool AtLeast_ = false; ///< Otherwise at most.
};

struct Measure {
  std::string Measure_;
  std::string Workload_;
  double Value_ = 0.0;
  std::string Unit_;
  std::optional<double> Baseline_; ///< Naive scheduler, same run.
  std::optional<Target> Target_;
  std::uint64_t Seed_ = 0;
};

/// Prints one JSON object on stdout and one table row on stderr.
void report(const Measure &Result);

} // namespace damaskglade::bench

#endif
