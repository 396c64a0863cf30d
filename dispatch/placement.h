#ifndef DAMASKGLADE_DISPATCH_PLACEMENT_H
#define DAMASKGLADE_DISPATCH_PLACEMENT_H

#include "dispatch/fleet.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::dispatch {

/// A worker on which a task might be placed, with the inputs of
/// placementCost().
struct Candidate {
  Worker *Worker_ = nullptr;
  /// Tasks of the same step on the worker; zero if the step has no limit per
  /// worker.
  int TasksOfStep_ = 0;
  bool HasServingRuns_ = false; ///< Runs a task with a latency target.
  int Fillers_ = 0;             ///< Number of filler runs on the worker.
  bool Slow_ = false;           ///< See isSlow().
  bool Suspect_ = false; ///< The latest task on the worker failed; isSuspect().

  double KindCost_ = 0; ///< See kindCosts().
  Size Reserved_{};     ///< Free capacity that is reserved for a gang.

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// Resources that a task of the step reserves on a worker. Fillers reserve no
/// processors.
inline Size reservedSize(const StepSpec &Step) {
  return Size{Step.Filler_ ? 0 : Step.Size_.MilliCpus_, Step.Size_.MemoryMib_,
              Step.Size_.Accelerators_};
}

/// Whether the worker has the label that the step requires and could hold one
/// of its tasks if nothing else ran there.
bool mayRunOn(const StepSpec &Step, const WorkerInfo &Info);
/// The same for the largest capacity that the worker has had.
bool mightRunOn(const StepSpec &Step, const Worker &W);

/// How many tasks of the step fit into the capacity, at most MaxTasks.
int slotsIn(const Size &Capacity, const StepSpec &Step, int MaxTasks);

/// Whether one more task of the step fits into the worker's free capacity and
/// the step's limit per worker.
bool fitsNow(const StepSpec &Step, const Candidate &CandidateWorker);

/// Cost of placing a task of the step on the worker; lower is better. Prefers
/// workers with little free capacity and those in the rack of the input data,
/// and keeps fillers away from tasks with a latency target.
double placementCost(const StepSpec &Step, const Candidate &CandidateWorker);

/// Finds the candidate for one task of a step after another. A placed task
/// changes the cost of its worker only, so the others are calculated once.
class CandidateCosts {
public:
  /// Both have to outlive the object.
  CandidateCosts(const StepSpec &Step, const std::vector<Candidate> &Candidates)
      : Step_(Step), Candidates_(Candidates) {}

  /// Index of the candidate with the lowest cost, or -1 if the task fits
  /// nowhere.
  int best();
  /// Called when the candidate or its worker has changed.
  void update(std::size_t Index);
  /// The same for any number of candidates.
  void updateAll() { Costs_.clear(); }

private:
  /// Infinite if the task does not fit.
  double costOf(const Candidate &CandidateWorker) const;

  const StepSpec &Step_;
  const std::vector<Candidate> &Candidates_;
  std::vector<double> Costs_; ///< By candidate; empty until they are needed.
};

/// The best candidate for a single task.
int bestCandidate(const StepSpec &Step,
                  const std::vector<Candidate> &Candidates);

} // namespace damaskglade::dispatch

#endif
