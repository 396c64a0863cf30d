#include "policy/admission.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace damaskglade::policy {

namespace {

// Bounds the conversion of a quotient to an integer.
constexpr double LongestWait = 1e12;

} // namespace

Admission::Admission(AdmissionSettings Settings, const JobQueue &Queue,
                     const Shares &Accounts)
    : Settings_(Settings), Queue_(Queue), Accounts_(Accounts) {}

double Admission::workAt(const Rate &Measured, Millis Now) const {
  const double HalfLives =
      static_cast<double>((Now - Measured.Updated_).Value_) /
      static_cast<double>(Settings_.RateHalfLife_.Value_);
  return Measured.Work_ * std::exp2(-std::max(0.0, HalfLives));
}

void Admission::started(const QueuedJob &Job, Millis Now) {
  TeamRates &Rates = Rates_[static_cast<std::size_t>(Job.Class_)];
  if (Rates.size() >= Settings_.MaxTeams_ && !Rates.contains(Job.Team_))
    return;
  Rate &Measured = Rates[Job.Team_];
  Measured.Work_ =
      workAt(Measured, Now) +
      Accounts_.shareOf(totalSize(Job)) * static_cast<double>(Job.Run_.Value_);
  Measured.Updated_ = Now;
}

double Admission::serviceRate(TaskClass Class, const std::string &Team,
                              Millis Now) const {
  const TeamRates &Rates = Rates_[static_cast<std::size_t>(Class)];
  const auto Found = Rates.find(Team);
  if (Found == Rates.end())
    return 0.0;
  return workAt(Found->second, Now) * std::numbers::ln2 /
         static_cast<double>(Settings_.RateHalfLife_.Value_);
}

Millis Admission::expectedWait(TaskClass Class, const std::string &Team,
                               Urgency Level, Millis Now) const {
  const double Ahead = Queue_.workAhead(Class, Team, Level);
  if (Ahead <= 0.0)
    return Millis{};
  // A team that was idle has no measured rate, yet it is served at least at
  // its guaranteed minimum. The share that it holds is a rate too, and follows
  // the start of a wave of work sooner than the measured one.
  const double Rate = std::max({serviceRate(Class, Team, Now),
                                Accounts_.teamMinimum(Class, Team),
                                Accounts_.teamShare(Class, Team, Now)});
  const double Wait = Rate > 0.0 ? Ahead / Rate : LongestWait;
  return Millis{static_cast<std::int64_t>(std::min(Wait, LongestWait))};
}

Status Admission::admit(const QueuedJob &Job, Millis Now) const {
  if (Job.Deadline_ <= Millis{})
    return success();
  const Millis Wait = expectedWait(Job.Class_, Job.Team_, Job.Urgency_, Now);
  // Without a queue ahead the job may start at once; whether its declared run
  // time is right is then for the run itself to show.
  if (Wait == Millis{} || Now + Wait + Job.Run_ <= Job.Deadline_)
    return success();
  const Millis Excess = Now + Wait + Job.Run_ - Job.Deadline_;
  return Error{
      Reason::DeadlineUnreachable,
      Effect::None,
      "admit job",
      "",
      "The expected wait passes the deadline.",
      std::clamp(Excess, Settings_.MinRetryAfter_, Settings_.MaxRetryAfter_)};
}

} // namespace damaskglade::policy
