#include "policy/estimator.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::policy {

namespace {

// The average starts as if this many tasks had used exactly what they declared,
// so that a single unusual task does not determine the estimate.
constexpr double PriorCount = 2.0;

std::int64_t scaled(std::int64_t Declared, double Ratio) {
  if (Declared <= 0)
    return Declared;
  return std::max<std::int64_t>(
      1, std::llround(static_cast<double>(Declared) * Ratio));
}

bool isMeasured(std::int64_t Declared, std::int64_t Actual) {
  return Declared > 0 && Actual > 0;
}

double ratioOf(std::int64_t Declared, std::int64_t Actual) {
  return static_cast<double>(Actual) / static_cast<double>(Declared);
}

} // namespace

void Estimator::LogRatio::add(double Ratio, const EstimatorSettings &Settings) {
  const double ClampedRatio =
      std::clamp(Ratio, 1.0 / Settings.MaxRatio_, Settings.MaxRatio_);
  Count_ += 1.0;
  // An arithmetic mean at first, then an exponential moving average that
  // follows changes.
  const double Gain = std::max(Settings.Gain_, 1.0 / (Count_ + PriorCount));
  Mean_ += Gain * (std::log(ClampedRatio) - Mean_);
}

double Estimator::LogRatio::value() const { return std::exp(Mean_); }

void Estimator::LearnedRatios::add(const Observation &Observed,
                                   const EstimatorSettings &Settings) {
  const Resources &Declared = Observed.DeclaredSize_;
  const Resources &Actual = Observed.ActualSize_;
  if (isMeasured(Declared.MilliCpus_, Actual.MilliCpus_))
    MilliCpus_.add(ratioOf(Declared.MilliCpus_, Actual.MilliCpus_), Settings);
  if (isMeasured(Declared.MemoryMib_, Actual.MemoryMib_))
    MemoryMib_.add(ratioOf(Declared.MemoryMib_, Actual.MemoryMib_), Settings);
  if (isMeasured(Observed.DeclaredRunTime_.Value_,
                 Observed.ActualRunTime_.Value_))
    RunTime_.add(ratioOf(Observed.DeclaredRunTime_.Value_,
                         Observed.ActualRunTime_.Value_),
                 Settings);
}

Ratios Estimator::LearnedRatios::ratios() const {
  return Ratios{MilliCpus_.value(), MemoryMib_.value(), RunTime_.value()};
}

void Estimator::observe(const Observation &Observed) {
  ClassEntry &Entry = Classes_[static_cast<std::size_t>(Observed.Class_)];
  Entry.Overall_.add(Observed, Settings_);
  auto Team = Entry.Teams_.find(Observed.Team_);
  if (Team == Entry.Teams_.end()) {
    if (Entry.Teams_.size() >= Settings_.MaxTeams_)
      return;
    Team = Entry.Teams_.emplace(Observed.Team_, LearnedRatios{}).first;
  }
  Team->second.add(Observed, Settings_);
}

Ratios Estimator::ratios(TaskClass Class, const std::string &Team) const {
  const ClassEntry &Entry = Classes_[static_cast<std::size_t>(Class)];
  const auto Found = Entry.Teams_.find(Team);
  return Found == Entry.Teams_.end() ? Entry.Overall_.ratios()
                                     : Found->second.ratios();
}

Resources Estimator::plannedSize(const JobSpec &Spec) const {
  const Ratios TaskRatios = ratios(Spec.Class_, Spec.Team_);
  Resources Planned = Spec.Size_;
  Planned.MilliCpus_ = scaled(Planned.MilliCpus_, TaskRatios.MilliCpus_);
  Planned.MemoryMib_ = scaled(Planned.MemoryMib_, TaskRatios.MemoryMib_);
  return Planned;
}

Millis Estimator::plannedRun(const JobSpec &Spec) const {
  return Millis{scaled(Spec.Run_.Value_, ratios(Spec.Class_, Spec.Team_).Run_)};
}

} // namespace damaskglade::policy
