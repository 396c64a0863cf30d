// Learning and use of the speeds of the kinds of workers.

#include "dispatch/dispatcher.h"

#include <cmath>
#include <cstdio>

namespace damaskglade::dispatch {

namespace {

constexpr Millis UpdateInterval{1000};
// A start that was confirmed later than this may have begun long before.
constexpr Millis MaxStartDelay{250};

} // namespace

void Dispatcher::classify(Worker &W) {
  W.Kind_ =
      kindIndex(Speeds_, W.Info_.Labels_.empty() ? std::string()
                                                 : W.Info_.Labels_.front());
  W.Pool_ = poolIndex(W.Info_);
}

double Dispatcher::penaltyOn(const StepSpec &Step, const Worker &W) const {
  return Step.Rack_.empty() || hasLabel(W.Info_, Step.Rack_)
             ? 1.0
             : Limits_.RemotePenalty_;
}

void Dispatcher::recordTaskDuration(Worker &W, const StepSpec &Step,
                                    const Run &Attempt, Millis Now) {
  // Skips tasks whose duration says little about the worker: fillers depend on
  // idle processors, gang members wait for each other, and a task resumed from
  // a checkpoint does only part of its work.
  if (Step.Filler_ || Step.Gang_ || Step.Checkpointing_ ||
      Step.Estimate_ <= Millis{} || Attempt.StartedAt_ == Millis{})
    return;
  constexpr double SmoothingFactor = 0.02;
  KindSpeed &Kind = Speeds_.Kinds_[static_cast<std::size_t>(W.Kind_)];
  const double Ratio = static_cast<double>((Now - Attempt.StartedAt_).Value_) /
                       static_cast<double>(Step.Estimate_.Value_) /
                       (Kind.Factor_ * penaltyOn(Step, W));
  for (double *Typical : {&TypicalDurationRatio_, &Kind.TypicalRatio_})
    *Typical += *Typical == 0 ? Ratio : SmoothingFactor * (Ratio - *Typical);
  recordDurationRatio(W, Ratio, Now);
}

// Excludes runs whose duration says little about the kind of the worker: those
// that did only part of the work or were seen only in part, those whose length
// depends on others, and those on workers that may be faulty.
void Dispatcher::recordSpeedSample(const Worker &W, StepRun &State,
                                   const StepSpec &Step, const Run &Attempt,
                                   Millis Now) {
  const Millis Duration = Now - Attempt.StartedAt_;
  // A kind that is always slower is not faulty, so a worker is compared with
  // others of its kind.
  const double TypicalRatio =
      Speeds_.Kinds_[static_cast<std::size_t>(W.Kind_)].TypicalRatio_;
  if (Step.Filler_ || Step.Gang_ || Step.LongRunning_ || !Attempt.WholeTask_ ||
      Attempt.StartedAt_ == Millis{} ||
      Attempt.StartedAt_ > Attempt.OrderedAt_ + MaxStartDelay ||
      Duration <= Millis{} || isSuspect(W, Now) || isSlow(W, TypicalRatio, Now))
    return;
  State.SpeedSamples_.push_back(SpeedSample{
      W.Kind_,
      std::log(static_cast<double>(Duration.Value_) / penaltyOn(Step, W))});
}

void Dispatcher::learnSpeeds(StepRun &State, Millis Now) {
  learnFromStep(Speeds_, State.SpeedSamples_, Now);
  State.SpeedSamples_ = {};
}

void Dispatcher::updateSpeeds(Millis Now) {
  if (Now < SpeedsUpdatedAt_ + UpdateInterval)
    return;
  SpeedsUpdatedAt_ = Now;
  std::vector<int> Workers(Speeds_.Kinds_.size());
  for (const Worker *W : WorkersById_)
    if (acceptsWork(*W, Now))
      ++Workers[static_cast<std::size_t>(W->Kind_)];
  for (const int Kind : updateFactors(Speeds_, Workers, Now)) {
    const KindSpeed &Speed = Speeds_.Kinds_[static_cast<std::size_t>(Kind)];
    char Factor[16];
    std::snprintf(Factor, sizeof Factor, "%.2f", Speed.Factor_);
    log("", "speed", Speed.Name_,
        "kind of worker has another speed, duration_factor=" +
            std::string(Factor));
  }
}

std::vector<double> Dispatcher::costsByKind(const RankedStep &Ranked,
                                            Millis Now) const {
  const JobRun &Job = *Ranked.Job_;
  const auto StepIndex = static_cast<std::size_t>(Ranked.Step_);
  const StepSpec &Spec = Job.Spec_.Steps_[StepIndex];
  // Fillers take what is idle, and long-running tasks do not end.
  if (!Speeds_.Differ_ || !Limits_.UseSpeeds_ || Spec.Filler_ ||
      Spec.LongRunning_)
    return {};
  KindCostInput Input;
  Input.Urgent_ = Ranked.Policy_->Priority_ == 0;
  Input.Age_ = Now - Job.ArrivedAt_;
  Input.Estimate_ = Spec.Estimate_;
  Input.Following_ = followingPath(Job.Spec_, Ranked.Step_);
  Input.Objective_ =
      Millis{std::llround(Ranked.Policy_->SlackFactor_ *
                          static_cast<double>(Job.CriticalPath_.Value_))} +
      Ranked.Policy_->Target_;
  return kindCosts(Speeds_, Input);
}

} // namespace damaskglade::dispatch
