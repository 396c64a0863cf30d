#ifndef DAMASKGLADE_DISPATCH_PLACEMENT_H
#define DAMASKGLADE_DISPATCH_PLACEMENT_H

#include "dispatch/fleet.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::dispatch {

/// A worker considered for one task, with the inputs of its placement cost.
struct Candidate {
  Worker *Worker_ = nullptr;
  int TasksOfStep_ =
      0; ///< Of the same step; counted only if the step limits it.
  bool HasServingRuns_ = false; ///< Runs a task with a latency target.
  int Fillers_ = 0;
  bool Slow_ = false;
  bool Suspect_ = false; ///< The last task on it failed.

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// Resources that a task of the step reserves on a worker.
Size reservedSize(const StepSpec &Step);

/// Whether the worker could run a task of the step when idle.
bool mayRunOn(const StepSpec &Step, const WorkerInfo &Info);

/// Whether one more task of the step fits into the free capacity.
bool fitsNow(const StepSpec &Step, const Candidate &Place);

/// Lower is better. Packs tasks tightly, keeps fillers away from tasks with a
/// latency target, and prefers the rack of the input data.
double placementCost(const StepSpec &Step, const Candidate &Place);

/// Index of the best candidate, or -1 if the task fits nowhere.
int bestCandidate(const StepSpec &Step, const std::vector<Candidate> &Places);

} // namespace damaskglade::dispatch

#endif
