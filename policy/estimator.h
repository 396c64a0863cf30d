#ifndef DAMASKGLADE_POLICY_ESTIMATOR_H
#define DAMASKGLADE_POLICY_ESTIMATOR_H

#include "core/job.h"

#include <array>
#include <string>
#include <unordered_map>

namespace damaskglade::policy {

struct EstimatorSettings {
  /// Weight of a new observation in the moving average. The first few weigh
  /// more.
  double Gain_ = 0.05;
  /// Ratios are clamped to the range from 1/MaxRatio_ to MaxRatio_.
  double MaxRatio_ = 4.0;
  /// Teams tracked for each class; others use the ratios of their class.
  std::size_t MaxTeams_ = 1024;
};

/// Measurements of one finished task. An amount of zero was not measured.
struct Observation {
  TaskClass Class_ = TaskClass::Batch;
  std::string Team_;
  Resources DeclaredSize_;
  Resources ActualSize_;
  Millis DeclaredRunTime_{};
  Millis ActualRunTime_{};

  friend bool operator==(const Observation &, const Observation &) = default;
};

/// Actual divided by declared amounts. Accelerators, slots and connections have
/// no ratio: their declared amounts are exact.
struct Ratios {
  double MilliCpus_ = 1.0;
  double MemoryMib_ = 1.0;
  double Run_ = 1.0;

  friend bool operator==(const Ratios &, const Ratios &) = default;
};

/// Learns the ratios of actual to declared size and run time by team and class.
/// The estimates serve planning only; limits are checked against reserved or
/// reported amounts. Not thread-safe: the caller must hold a lock.
class Estimator {
public:
  explicit Estimator(EstimatorSettings Settings) : Settings_(Settings) {}

  void observe(const Observation &Observed);
  Ratios ratios(TaskClass Class, const std::string &Team) const;
  Resources plannedSize(const JobSpec &Spec) const;
  Millis plannedRun(const JobSpec &Spec) const;

private:
  /// Mean logarithm of a ratio, so that ratios of 4 and 1/4 cancel out.
  struct LogRatio {
    double Mean_ = 0.0;
    double Count_ = 0.0;
    void add(double Ratio, const EstimatorSettings &Settings);
    double value() const;
  };
  struct LearnedRatios {
    LogRatio MilliCpus_;
    LogRatio MemoryMib_;
    LogRatio RunTime_;
    void add(const Observation &Observed, const EstimatorSettings &Settings);
    Ratios ratios() const;
  };
  struct ClassEntry {
    LearnedRatios Overall_;
    std::unordered_map<std::string, LearnedRatios> Teams_;
  };

  EstimatorSettings Settings_;
  std::array<ClassEntry, TaskClassCount> Classes_;
};

} // namespace damaskglade::policy

#endif
