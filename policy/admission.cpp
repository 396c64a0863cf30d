#include "policy/admission.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace damaskglade::policy {

namespace {

// Upper limit of the expected wait, so that its conversion to an integer cannot
// overflow.
constexpr double MaxWaitMs = 1e12;

} // namespace

Admission::Admission(AdmissionSettings Settings, const JobQueue &Queue,
                     const Shares &FairShares)
    : Settings_(Settings), Queue_(Queue), Shares_(FairShares) {}

double Admission::decayedWork(const Rate &TeamRate, Millis Now) const {
  const double HalfLives =
      static_cast<double>((Now - TeamRate.LastUpdate_).Value_) /
      static_cast<double>(Settings_.RateHalfLife_.Value_);
  return TeamRate.Work_ * std::exp2(-std::max(0.0, HalfLives));
}

void Admission::started(const QueuedJob &Job, Millis Now) {
  TeamRates &Rates = Rates_[static_cast<std::size_t>(Job.Class_)];
  if (Rates.size() >= Settings_.MaxTeams_ && !Rates.contains(Job.Team_))
    return;
  Rate &TeamRate = Rates[Job.Team_];
  TeamRate.Work_ =
      decayedWork(TeamRate, Now) +
      Shares_.shareOf(totalSize(Job)) * static_cast<double>(Job.Run_.Value_);
  TeamRate.LastUpdate_ = Now;
}

double Admission::serviceRate(TaskClass Class, const std::string &Team,
                              Millis Now) const {
  const TeamRates &Rates = Rates_[static_cast<std::size_t>(Class)];
  const auto RateIt = Rates.find(Team);
  if (RateIt == Rates.end())
    return 0.0;
  // At a steady rate, the decaying sum settles at rate * half-life / ln 2.
  return decayedWork(RateIt->second, Now) * std::numbers::ln2 /
         static_cast<double>(Settings_.RateHalfLife_.Value_);
}

Millis Admission::expectedWait(TaskClass Class, const std::string &Team,
                               Urgency Level, Millis Now) const {
  const double WorkAhead = Queue_.workAhead(Class, Team, Level);
  if (WorkAhead <= 0.0)
    return Millis{};
  // A team that was idle has no measured rate but is served at least at its
  // guaranteed minimum. Work is measured as fleet share times milliseconds, so
  // a service rate (work per millisecond) is a share of the fleet, and the
  // share that the team uses now can be compared with the other two rates. It
  // rises sooner than the measured rate when a burst of work starts.
  const double Rate =
      std::max({serviceRate(Class, Team, Now), Shares_.teamMinimum(Class, Team),
                Shares_.teamShare(Class, Team, Now)});
  const double Wait = Rate > 0.0 ? WorkAhead / Rate : MaxWaitMs;
  return Millis{static_cast<std::int64_t>(std::min(Wait, MaxWaitMs))};
}

Status Admission::admit(const QueuedJob &Job, Millis Now) const {
  if (Job.Deadline_ <= Millis{})
    return success();
  const Millis Wait = expectedWait(Job.Class_, Job.Team_, Job.Urgency_, Now);
  // With no work ahead the job can start immediately. It is then accepted even
  // if its planned run time exceeds the deadline, because that is an estimate.
  if (Wait == Millis{} || Now + Wait + Job.Run_ <= Job.Deadline_)
    return success();
  const Millis Excess = Now + Wait + Job.Run_ - Job.Deadline_;
  return Error{
      Reason::DeadlineUnreachable,
      Effect::None,
      "admit job",
      "",
      "The job is expected to finish after its deadline.",
      std::clamp(Excess, Settings_.MinRetryAfter_, Settings_.MaxRetryAfter_)};
}

} // namespace damaskglade::policy
