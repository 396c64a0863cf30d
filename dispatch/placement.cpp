#include "dispatch/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damaskglade::dispatch {

namespace {

bool hasLabelFor(const StepSpec &Step, const WorkerInfo &Info) {
  return Step.Label_.empty() || hasLabel(Info, Step.Label_);
}

} // namespace

bool mayRunOn(const StepSpec &Step, const WorkerInfo &Info) {
  return hasLabelFor(Step, Info) && fits(reservedSize(Step), Info.Capacity_);
}

bool mightRunOn(const StepSpec &Step, const Worker &W) {
  return hasLabelFor(Step, W.Info_) &&
         fits(reservedSize(Step), W.LargestCapacity_);
}

int slotsIn(const Size &Capacity, const StepSpec &Step, int MaxTasks) {
  const Size Need = reservedSize(Step);
  std::int64_t Slots = MaxTasks;
  const auto Limit = [&Slots](std::int64_t Needed, std::int64_t Available) {
    if (Needed > 0)
      Slots = std::min(Slots, Available / Needed);
  };
  Limit(Need.MilliCpus_, Capacity.MilliCpus_);
  Limit(Need.MemoryMib_, Capacity.MemoryMib_);
  Limit(Need.Accelerators_, Capacity.Accelerators_);
  return static_cast<int>(std::max<std::int64_t>(Slots, 0));
}

bool fitsNow(const StepSpec &Step, const Candidate &CandidateWorker) {
  if (Step.MaxPerWorker_ > 0 &&
      CandidateWorker.TasksOfStep_ >= Step.MaxPerWorker_)
    return false;
  return fitsInto(reservedSize(Step), freeCapacity(*CandidateWorker.Worker_) -
                                          CandidateWorker.Reserved_);
}

double placementCost(const StepSpec &Step, const Candidate &CandidateWorker) {
  constexpr double MilliCpusPerCpu = 1000.0;
  // A cost of one corresponds to one free processor on the worker.
  constexpr double OtherRackCost = 40.0;
  constexpr double FillerBesideServingCost = 60.0;
  constexpr double FillerBesideFillerCost = 8.0;
  constexpr double SlowWorkerCost = 100.0;
  constexpr double SuspectWorkerCost = 50.0;
  const WorkerInfo &Info = CandidateWorker.Worker_->Info_;
  const double FreeCpus =
      static_cast<double>(freeCapacity(*CandidateWorker.Worker_).MilliCpus_) /
      MilliCpusPerCpu;
  double Cost = FreeCpus + CandidateWorker.KindCost_;
  if (!Step.Rack_.empty() && !hasLabel(Info, Step.Rack_))
    Cost += OtherRackCost;
  if (Step.Filler_) {
    // A filler runs on idle processors, so workers with more of them cost less.
    Cost = FillerBesideFillerCost * CandidateWorker.Fillers_ - FreeCpus;
    if (CandidateWorker.HasServingRuns_)
      Cost += FillerBesideServingCost;
  }
  if (CandidateWorker.Slow_)
    Cost += SlowWorkerCost;
  if (CandidateWorker.Suspect_)
    Cost += SuspectWorkerCost;
  // Fillers raise the latency of tasks on the same worker.
  if (Step.TargetLatency_ > Millis{})
    Cost += FillerBesideServingCost * CandidateWorker.Fillers_;
  return Cost;
}

double CandidateCosts::costOf(const Candidate &CandidateWorker) const {
  return fitsNow(Step_, CandidateWorker)
             ? placementCost(Step_, CandidateWorker)
             : std::numeric_limits<double>::infinity();
}

int CandidateCosts::best() {
  if (Costs_.empty()) {
    Costs_.reserve(Candidates_.size());
    for (const Candidate &CandidateWorker : Candidates_)
      Costs_.push_back(costOf(CandidateWorker));
  }
  const auto Lowest = std::min_element(Costs_.begin(), Costs_.end());
  if (Lowest == Costs_.end() || std::isinf(*Lowest))
    return -1;
  return static_cast<int>(Lowest - Costs_.begin());
}

int bestCandidate(const StepSpec &Step,
                  const std::vector<Candidate> &Candidates) {
  return CandidateCosts(Step, Candidates).best();
}

void CandidateCosts::update(std::size_t Index) {
  if (!Costs_.empty())
    Costs_[Index] = costOf(Candidates_[Index]);
}

} // namespace damaskglade::dispatch
