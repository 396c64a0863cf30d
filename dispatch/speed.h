#ifndef DAMASKGLADE_DISPATCH_SPEED_H
#define DAMASKGLADE_DISPATCH_SPEED_H

#include "core/clock.h"

#include <string>
#include <vector>

namespace damaskglade::dispatch {

/// Duration of a completed task of a step.
struct SpeedSample {
  int Kind_ = 0; ///< Index in WorkerSpeeds::Kinds_.
  double LogDuration_ = 0;

  friend bool operator==(const SpeedSample &, const SpeedSample &) = default;
};

/// What is known of the speed of a kind of worker.
struct KindSpeed {
  std::string Name_;
  /// Logarithm of the relative duration of tasks, and the number of samples
  /// that support it, older ones counting less.
  double LogDuration_ = 0;
  double Weight_ = 0;
  Millis UpdatedAt_{};
  /// Duration of tasks relative to the average of the fleet, as placement uses
  /// it. Exactly 1 while the difference is within the error of the estimate.
  double Factor_ = 1;
  double ReportedFactor_ = 1; ///< As last returned by updateFactors().
  /// Moving average of the duration ratios of its workers, see
  /// recordDurationRatio(); zero until a task has completed.
  double TypicalRatio_ = 0;

  friend bool operator==(const KindSpeed &, const KindSpeed &) = default;
};

/// The kinds of workers; the first one stands for workers whose kind is not
/// tracked.
struct WorkerSpeeds {
  std::vector<KindSpeed> Kinds_{KindSpeed{}};
  bool Differ_ = false; ///< Some factor is not 1.

  friend bool operator==(const WorkerSpeeds &, const WorkerSpeeds &) = default;
};

/// Index of the kind, which is added if it is new. The number of tracked kinds
/// is bounded.
int kindIndex(WorkerSpeeds &Speeds, const std::string &Name);

/// Learns from the tasks of a completed step. Only durations within a step are
/// compared, since estimates of different steps are not comparable.
void learnFromStep(WorkerSpeeds &Speeds,
                   const std::vector<SpeedSample> &Samples, Millis Now);

/// Calculates the factors that placement uses; Workers is the number of workers
/// by kind. Returns the kinds whose factor has changed noticeably since it was
/// last returned.
std::vector<int> updateFactors(WorkerSpeeds &Speeds,
                               const std::vector<int> &Workers, Millis Now);

/// Inputs of kindCosts().
struct KindCostInput {
  bool Urgent_ = false;
  Millis Age_{};       ///< Time since the job arrived.
  Millis Estimate_{};  ///< Estimated run time of a task of the step.
  Millis Following_{}; ///< Estimated run time of the steps that follow.
  Millis Objective_{}; ///< Time from arrival within which the job is on time.

  friend bool operator==(const KindCostInput &,
                         const KindCostInput &) = default;
};

/// Cost of placing a task on each kind of worker, to be added to
/// placementCost(); zero for the best one. Empty if the speeds do not differ.
std::vector<double> kindCosts(const WorkerSpeeds &Speeds,
                              const KindCostInput &Input);

/// The factors other than 1, as " kind=NAME duration_factor=FACTOR" of each.
std::string describeSpeeds(const WorkerSpeeds &Speeds);

} // namespace damaskglade::dispatch

#endif
