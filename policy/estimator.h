#ifndef DAMASKGLADE_POLICY_ESTIMATOR_H
#define DAMASKGLADE_POLICY_ESTIMATOR_H

#include "core/job.h"

#include <array>
#include <string>
#include <unordered_map>

namespace damaskglade::policy {

struct EstimatorSettings {
  /// Weight of a new observation, once there are enough of them.
  double Gain_ = 0.05;
  /// Ratios outside 1/MaxRatio_ to MaxRatio_ are cut off.
  double MaxRatio_ = 4.0;
  /// Teams remembered for each class; others use the ratio of their class.
  std::size_t MaxTeams_ = 1024;
};

/// What was measured of one finished task. A zero amount was not measured.
struct Observation {
  TaskClass Class_ = TaskClass::Batch;
  std::string Team_;
  Resources DeclaredSize_;
  Resources RealSize_;
  Millis DeclaredRun_{};
  Millis RealRun_{};

  friend bool operator==(const Observation &, const Observation &) = default;
};

/// Real over declared amounts. Accelerators, slots and connections are exact.
struct Ratios {
  double MilliCpus_ = 1.0;
  double MemoryMib_ = 1.0;
  double Run_ = 1.0;

  friend bool operator==(const Ratios &, const Ratios &) = default;
};

/// Learned ratios of real to declared size and run time by team and class. For
/// planning only: limits count what was reserved or reported. Not thread-safe:
/// the caller holds a lock.
class Estimator {
public:
  explicit Estimator(EstimatorSettings Settings) : Settings_(Settings) {}

  void observe(const Observation &Seen);
  Ratios ratios(TaskClass Class, const std::string &Team) const;
  Resources plannedSize(const JobSpec &Spec) const;
  Millis plannedRun(const JobSpec &Spec) const;

private:
  /// Average logarithm of a ratio: errors of 4 and of 1/4 cancel out.
  struct LogRatio {
    double Mean_ = 0.0;
    double Count_ = 0.0;
    void add(double Ratio, const EstimatorSettings &Settings);
    double value() const;
  };
  struct Learned {
    LogRatio MilliCpus_;
    LogRatio MemoryMib_;
    LogRatio Run_;
    void add(const Observation &Seen, const EstimatorSettings &Settings);
    Ratios ratios() const;
  };
  struct ClassEntry {
    Learned All_;
    std::unordered_map<std::string, Learned> Teams_;
  };

  EstimatorSettings Settings_;
  std::array<ClassEntry, TaskClassCount> Classes_;
};

} // namespace damaskglade::policy

#endif
