#include "policy/estimator.h"

#include <algorithm>
#include <cmath>

namespace damaskglade::policy {

namespace {

// Observations with ratio 1 that the declared value counts for, so that a
// single odd run does not decide the plan.
constexpr double PriorCount = 2.0;

std::int64_t planned(std::int64_t Declared, double Ratio) {
  if (Declared <= 0)
    return Declared;
  return std::max<std::int64_t>(
      1, std::llround(static_cast<double>(Declared) * Ratio));
}

bool isMeasured(std::int64_t Declared, std::int64_t Real) {
  return Declared > 0 && Real > 0;
}

double ratioOf(std::int64_t Declared, std::int64_t Real) {
  return static_cast<double>(Real) / static_cast<double>(Declared);
}

} // namespace

void Estimator::LogRatio::add(double Ratio, const EstimatorSettings &Settings) {
  const double Limited =
      std::clamp(Ratio, 1.0 / Settings.MaxRatio_, Settings.MaxRatio_);
  Count_ += 1.0;
  // A plain mean at first, then an exponential one that follows changes.
  const double Gain = std::max(Settings.Gain_, 1.0 / (Count_ + PriorCount));
  Mean_ += Gain * (std::log(Limited) - Mean_);
}

double Estimator::LogRatio::value() const { return std::exp(Mean_); }

void Estimator::Learned::add(const Observation &Seen,
                             const EstimatorSettings &Settings) {
  const Resources &Declared = Seen.DeclaredSize_;
  const Resources &Real = Seen.RealSize_;
  if (isMeasured(Declared.MilliCpus_, Real.MilliCpus_))
    MilliCpus_.add(ratioOf(Declared.MilliCpus_, Real.MilliCpus_), Settings);
  if (isMeasured(Declared.MemoryMib_, Real.MemoryMib_))
    MemoryMib_.add(ratioOf(Declared.MemoryMib_, Real.MemoryMib_), Settings);
  if (isMeasured(Seen.DeclaredRun_.Value_, Seen.RealRun_.Value_))
    Run_.add(ratioOf(Seen.DeclaredRun_.Value_, Seen.RealRun_.Value_), Settings);
}

Ratios Estimator::Learned::ratios() const {
  return Ratios{MilliCpus_.value(), MemoryMib_.value(), Run_.value()};
}

void Estimator::observe(const Observation &Seen) {
  ClassEntry &Entry = Classes_[static_cast<std::size_t>(Seen.Class_)];
  Entry.All_.add(Seen, Settings_);
  auto Team = Entry.Teams_.find(Seen.Team_);
  if (Team == Entry.Teams_.end()) {
    if (Entry.Teams_.size() >= Settings_.MaxTeams_)
      return;
    Team = Entry.Teams_.emplace(Seen.Team_, Learned{}).first;
  }
  Team->second.add(Seen, Settings_);
}

Ratios Estimator::ratios(TaskClass Class, const std::string &Team) const {
  const ClassEntry &Entry = Classes_[static_cast<std::size_t>(Class)];
  const auto Found = Entry.Teams_.find(Team);
  return Found == Entry.Teams_.end() ? Entry.All_.ratios()
                                     : Found->second.ratios();
}

Resources Estimator::plannedSize(const JobSpec &Spec) const {
  const Ratios Learned = ratios(Spec.Class_, Spec.Team_);
  Resources Planned = Spec.Size_;
  Planned.MilliCpus_ = planned(Planned.MilliCpus_, Learned.MilliCpus_);
  Planned.MemoryMib_ = planned(Planned.MemoryMib_, Learned.MemoryMib_);
  return Planned;
}

Millis Estimator::plannedRun(const JobSpec &Spec) const {
  return Millis{
      planned(Spec.Run_.Value_, ratios(Spec.Class_, Spec.Team_).Run_)};
}

} // namespace damaskglade::policy
