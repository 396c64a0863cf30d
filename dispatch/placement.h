#ifndef DAMASKGLADE_DISPATCH_PLACEMENT_H
#define DAMASKGLADE_DISPATCH_PLACEMENT_H

#include "dispatch/fleet.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::dispatch {

/// What placement has to know about a worker for one task.
struct Candidate {
  Worker *Worker_ = nullptr;
  int TasksOfStep_ = 0; ///< Of the same step, counted if the step limits it.
  bool HasServingRuns_ = false; ///< Runs a task with a latency target.
  int Fillers_ = 0;
  bool Slow_ = false;
  bool Suspect_ = false; ///< The last task there failed.

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// Size that a task takes from a worker's room.
Size reservedSize(const StepSpec &Step);

/// Whether the step may run on the worker at all, whatever runs there.
bool mayRunOn(const StepSpec &Step, const WorkerInfo &Info);

/// Whether one more task of the step fits now.
bool fitsNow(const StepSpec &Step, const Candidate &Place);

/// Lower is better. Packs tasks tightly; keeps fillers away from tasks with a
/// latency target; prefers the rack of the data.
double placementCost(const StepSpec &Step, const Candidate &Place);

/// Index of the best candidate, or -1 if the task fits nowhere.
int bestCandidate(const StepSpec &Step, const std::vector<Candidate> &Places);

} // namespace damaskglade::dispatch

#endif
