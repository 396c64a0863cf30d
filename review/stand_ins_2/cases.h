#ifndef DAMASKGLADE_REVIEW_STAND_INS_2_CASES_H
#define DAMASKGLADE_REVIEW_STAND_INS_2_CASES_H

#include <string>

namespace damaskglade::review {

/// Exit codes of a case.
enum class Outcome { Held = 0, Broken = 1, NotRun = 2 };

struct CaseSettings {
  std::string RecordFile_;
  bool Trouble_ = true; ///< Without, the disruption is left out.
};

/// A worker loses power for a second and starts again under its id.
Outcome playPowerLoss(const CaseSettings &Settings);
/// Another writer puts an entry of a service that is not named under the id of
/// a worker.
Outcome playForeignEntry(const CaseSettings &Settings);
/// The leader freezes for four seconds and wakes again.
Outcome playFreeze(const CaseSettings &Settings);
/// A job of which a row exceeds the limit of the store.
Outcome playLargeJob(const CaseSettings &Settings);
/// A worker rejects all starts while the others have no room.
Outcome playUnhealthyWorker(const CaseSettings &Settings);
/// A worker loses power three times, each time soon after a gang has started.
Outcome playFlakyWorker(const CaseSettings &Settings);
/// A route is removed while its jobs run, and the leader is stopped as planned.
Outcome playRemovedRoute(const CaseSettings &Settings);
/// A worker starts again as another kind.
Outcome playOtherKind(const CaseSettings &Settings);

} // namespace damaskglade::review

#endif
