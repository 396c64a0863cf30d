#include "dispatch/placement.h"

#include <algorithm>

namespace damaskglade::dispatch {

Size reservedSize(const StepSpec &Step) {
  Size Booked = Step.Size_;
  if (Step.Filler_)
    Booked.MilliCpus_ = 0;
  return Booked;
}

bool mayRunOn(const StepSpec &Step, const WorkerInfo &Info) {
  const auto HasLabel = [&](const std::string &Label) {
    return std::find(Info.Labels_.begin(), Info.Labels_.end(), Label) !=
           Info.Labels_.end();
  };
  if (!Step.Label_.empty() && !HasLabel(Step.Label_))
    return false;
  return fits(reservedSize(Step), Info.Capacity_);
}

bool fitsNow(const StepSpec &Step, const Candidate &Place) {
  if (Step.MaxPerWorker_ > 0 && Place.TasksOfStep_ >= Step.MaxPerWorker_)
    return false;
  return fits(reservedSize(Step), freeCapacity(*Place.Worker_));
}

double placementCost(const StepSpec &Step, const Candidate &Place) {
  constexpr double MilliCpusPerCpu = 1000.0;
  // Costs are in units of one free processor.
  constexpr double OtherRackCost = 40.0;
  constexpr double FillerBesideServingCost = 60.0;
  constexpr double FillerBesideFillerCost = 8.0;
  constexpr double SlowWorkerCost = 100.0;
  constexpr double SuspectWorkerCost = 50.0;
  const WorkerInfo &Info = Place.Worker_->Info_;
  const double FreeCpus =
      static_cast<double>(freeCapacity(*Place.Worker_).MilliCpus_) /
      MilliCpusPerCpu;
  double Cost = FreeCpus;
  if (!Step.Rack_.empty() && std::find(Info.Labels_.begin(), Info.Labels_.end(),
                                       Step.Rack_) == Info.Labels_.end())
    Cost += OtherRackCost;
  if (Step.Filler_) {
    // A filler uses idle processors, so more of them are better.
    Cost = FillerBesideFillerCost * Place.Fillers_ - FreeCpus;
    if (Place.HasServingRuns_)
      Cost += FillerBesideServingCost;
  }
  if (Place.Slow_)
    Cost += SlowWorkerCost;
  if (Place.Suspect_)
    Cost += SuspectWorkerCost;
  // Fillers raise the latency of tasks beside them.
  if (Step.TargetLatency_ > Millis{})
    Cost += FillerBesideServingCost * Place.Fillers_;
  return Cost;
}

int bestCandidate(const StepSpec &Step, const std::vector<Candidate> &Places) {
  int Best = -1;
  double BestCost = 0;
  for (std::size_t Index = 0; Index < Places.size(); ++Index) {
    if (!fitsNow(Step, Places[Index]))
      continue;
    const double Cost = placementCost(Step, Places[Index]);
    if (Best >= 0 && Cost >= BestCost)
      continue;
    Best = static_cast<int>(Index);
    BestCost = Cost;
  }
  return Best;
}

} // namespace damaskglade::dispatch
