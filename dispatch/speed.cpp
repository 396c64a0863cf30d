#include "dispatch/speed.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdio>

namespace damaskglade::dispatch {

namespace {

constexpr std::size_t MaxKinds = 32;
// Tasks of a step vary by 15 to 30%. With this many samples as the memory of
// the average, its error is about 2%.
constexpr double MaxWeight = 100;
// A factor is used from this many samples on.
constexpr double MinWeight = 10;
// Limit of the difference that one step may show; a factor of 2.7. Some tasks
// take seven times as long as the others for reasons of their own.
constexpr double MaxDifference = 1.0;
// Differences below 15% are taken for noise, so that workers of equal speed are
// treated alike; a factor in use is dropped only below 10%.
constexpr double UseThreshold = 0.15;
constexpr double DropThreshold = 0.10;
// A change of this size is reported.
constexpr double ReportThreshold = 0.2;
// Kinds that get no tasks for this long lose half of their difference, so that
// they are tried again.
constexpr Millis HalfLife{60000};

// The last task of a step decides when it ends. Of ten tasks that vary by 30%,
// the longest takes about 1.3 times the average. For urgent steps a margin for
// wrong estimates is added: in the simulated load it put 3% more of the lookups
// on time, and 3% fewer of the long checks.
constexpr double LongestTaskFactor = 1.3;
constexpr double LongestUrgentTaskFactor = 2.0;
// A cost of one corresponds to one free processor on the worker. An expected
// overrun by a tenth of the objective outweighs an idle worker of 16.
constexpr double OverrunCost = 160;
constexpr double MaxKindCost = 80;
// Cost of a fast worker for work that is not urgent, per unit of the logarithm.
// It decides among workers that are alike otherwise. In the simulated loads, 0
// and 3 made no clear difference.
constexpr double SpareFastCost = 1;

double median(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  if (Values.size() % 2 == 1)
    return *Middle;
  return (*Middle + *std::max_element(Values.begin(), Middle)) / 2;
}

void forgetOldSpeeds(WorkerSpeeds &Speeds, Millis Now) {
  for (KindSpeed &Kind : Speeds.Kinds_)
    if (Kind.Weight_ > 0 && Now >= Kind.UpdatedAt_ + HalfLife) {
      Kind.LogDuration_ /= 2;
      Kind.Weight_ /= 2;
      Kind.UpdatedAt_ = Now;
    }
}

} // namespace

int kindIndex(WorkerSpeeds &Speeds, const std::string &Name) {
  auto &Kinds = Speeds.Kinds_;
  const auto Found =
      std::find_if(Kinds.begin(), Kinds.end(),
                   [&](const KindSpeed &Kind) { return Kind.Name_ == Name; });
  if (Found != Kinds.end())
    return static_cast<int>(Found - Kinds.begin());
  if (Kinds.size() >= MaxKinds)
    return 0;
  KindSpeed Added;
  Added.Name_ = Name;
  Kinds.push_back(std::move(Added));
  return static_cast<int>(Kinds.size()) - 1;
}

// The tasks of a step that end first are the fast ones, so the kinds are only
// compared once all have ended.
void learnFromStep(WorkerSpeeds &Speeds,
                   const std::vector<SpeedSample> &Samples, Millis Now) {
  std::vector<std::vector<double>> ByKind(Speeds.Kinds_.size());
  for (const SpeedSample &Sample : Samples)
    ByKind[static_cast<std::size_t>(Sample.Kind_)].push_back(
        Sample.LogDuration_);
  const auto Count = static_cast<double>(Samples.size());
  // Duration of a task of the step on a worker of average speed.
  double Base = 0;
  std::vector<double> Medians(ByKind.size());
  for (std::size_t Kind = 0; Kind < ByKind.size(); ++Kind) {
    if (ByKind[Kind].empty())
      continue;
    Medians[Kind] = median(ByKind[Kind]);
    Base += (Medians[Kind] - Speeds.Kinds_[Kind].LogDuration_) *
            static_cast<double>(ByKind[Kind].size()) / Count;
  }
  for (std::size_t Kind = 0; Kind < ByKind.size(); ++Kind) {
    const auto Own = static_cast<double>(ByKind[Kind].size());
    if (Own == 0 || Own == Count)
      continue;
    KindSpeed &Speed = Speeds.Kinds_[Kind];
    // Limited by the number of samples of the kind and of the others.
    const double Weight = std::min(Own, Count - Own);
    Speed.Weight_ = std::min(Speed.Weight_ + Weight, MaxWeight);
    const double Difference =
        std::clamp(Medians[Kind] - Base - Speed.LogDuration_, -MaxDifference,
                   MaxDifference);
    Speed.LogDuration_ += std::min(Weight / Speed.Weight_, 1.0) * Difference;
    Speed.UpdatedAt_ = Now;
  }
}

std::vector<int> updateFactors(WorkerSpeeds &Speeds,
                               const std::vector<int> &Workers, Millis Now) {
  forgetOldSpeeds(Speeds, Now);
  // Estimates of durations hold for the average worker.
  double Sum = 0;
  double Count = 0;
  for (std::size_t Kind = 0; Kind < Speeds.Kinds_.size(); ++Kind) {
    const KindSpeed &Speed = Speeds.Kinds_[Kind];
    if (Speed.Weight_ < MinWeight || Kind >= Workers.size())
      continue;
    Sum += Workers[Kind] * std::exp(Speed.LogDuration_);
    Count += Workers[Kind];
  }
  const double LogAverage = Count > 0 ? std::log(Sum / Count) : 0.0;
  std::vector<int> Changed;
  Speeds.Differ_ = false;
  for (std::size_t Kind = 0; Kind < Speeds.Kinds_.size(); ++Kind) {
    KindSpeed &Speed = Speeds.Kinds_[Kind];
    const double Log =
        Speed.Weight_ < MinWeight ? 0.0 : Speed.LogDuration_ - LogAverage;
    const double Threshold = Speed.Factor_ == 1 ? UseThreshold : DropThreshold;
    Speed.Factor_ = std::abs(Log) > Threshold ? std::exp(Log) : 1.0;
    Speeds.Differ_ = Speeds.Differ_ || Speed.Factor_ != 1;
    if (std::abs(std::log(Speed.Factor_ / Speed.ReportedFactor_)) <
        ReportThreshold)
      continue;
    Speed.ReportedFactor_ = Speed.Factor_;
    Changed.push_back(static_cast<int>(Kind));
  }
  return Changed;
}

std::vector<double> kindCosts(const WorkerSpeeds &Speeds,
                              const KindCostInput &Input) {
  if (!Speeds.Differ_)
    return {};
  const auto Objective =
      static_cast<double>(std::max(Input.Objective_, Millis{1}).Value_);
  std::vector<double> Costs;
  Costs.reserve(Speeds.Kinds_.size());
  for (const KindSpeed &Kind : Speeds.Kinds_) {
    const double End =
        static_cast<double>((Input.Age_ + Input.Following_).Value_) +
        (Input.Urgent_ ? LongestUrgentTaskFactor : LongestTaskFactor) *
            Kind.Factor_ * static_cast<double>(Input.Estimate_.Value_);
    double Cost = OverrunCost * std::max(End - Objective, 0.0) / Objective;
    if (!Input.Urgent_)
      Cost -= SpareFastCost * std::log(Kind.Factor_);
    Costs.push_back(Cost);
  }
  // If the job is late on every kind, the difference still counts.
  const double Lowest = *std::min_element(Costs.begin(), Costs.end());
  for (double &Cost : Costs)
    Cost = std::min(Cost - Lowest, MaxKindCost);
  return Costs;
}

std::string describeSpeeds(const WorkerSpeeds &Speeds) {
  std::string Text;
  for (const KindSpeed &Kind : Speeds.Kinds_)
    if (Kind.Factor_ != 1) {
      char Factor[16];
      std::snprintf(Factor, sizeof Factor, "%.2f", Kind.Factor_);
      Text += " kind=" + Kind.Name_ + " duration_factor=" + Factor;
    }
  return Text;
}

} // namespace damaskglade::dispatch
