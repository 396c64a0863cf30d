#ifndef DAMASKGLADE_REVIEW_STAND_INS_3_CASES_H
#define DAMASKGLADE_REVIEW_STAND_INS_3_CASES_H

#include "review/stand_ins_3/bed.h"

namespace damaskglade::review {

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Runs a case. Without Trouble it does the same but for the disruption.
using Case = Verdict (*)(Bed &Deployment, bool Trouble);

/// A job of many steps is handed in, of which each waits for the two before.
Verdict manySteps(Bed &Deployment, bool Trouble);
/// A job is handed in whose row is larger than the store accepts.
Verdict largeJob(Bed &Deployment, bool Trouble);
/// A gang is handed in that needs more room than all workers have together.
Verdict hopelessGang(Bed &Deployment, bool Trouble);
/// A job of a higher priority has many tasks, of which a worker may run one.
Verdict spreadJob(Bed &Deployment, bool Trouble);
/// A node freezes with a submission that it has not read, and the caller
/// cancels the job meanwhile at another node.
Verdict lateRequest(Bed &Deployment, bool Trouble);
/// Three workers crash, one after the other, shortly after each has started
/// the task of a job.
Verdict threeCrashes(Bed &Deployment, bool Trouble);

} // namespace damaskglade::review

#endif
