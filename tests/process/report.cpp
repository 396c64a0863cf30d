#include "tests/process/report.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace damaskglade::process_tests {

namespace {

bool isDouble(const Violation &Found) {
  return Found.Kind_ == ViolationKind::FinishedTwice ||
         Found.Kind_ == ViolationKind::RanTwice ||
         Found.Kind_ == ViolationKind::Overlap;
}

} // namespace

Summary summarize(const std::vector<JobResult> &Jobs,
                  const std::vector<Violation> &Found, FaultWindow Window) {
  Summary Out;
  std::size_t OnTime = 0;
  for (const JobResult &Job : Jobs) {
    if (Job.Spec_.Class_ == TaskClass::Service)
      continue;
    ++Out.Requests_;
    if (Job.Final_ && Job.State_ == JobState::Finished)
      ++Out.Finished_;
    else if (Job.Final_ && Job.State_ == JobState::NotRun)
      ++Out.Refused_;
    else if (Job.Final_ && Job.State_ == JobState::Unknown)
      ++Out.Unknown_;
    if (Job.Submitted_ >= Window.Start_ && !Job.OnTime_)
      Out.Recovery_ = std::max(Out.Recovery_, Job.Submitted_ - Window.Start_);
    if (Job.Submitted_ < Window.Start_ || Job.Submitted_ >= Window.End_)
      continue;
    ++Out.DuringFault_;
    OnTime += Job.OnTime_ ? 1U : 0U;
  }
  if (Out.DuringFault_ > 0)
    Out.OnTimeInFault_ =
        static_cast<double>(OnTime) / static_cast<double>(Out.DuringFault_);
  for (const Violation &Each : Found) {
    ++Out.Violations_;
    Out.Losses_ += Each.Kind_ == ViolationKind::Lost ? 1U : 0U;
    Out.Doubles_ += isDouble(Each) ? 1U : 0U;
  }
  return Out;
}

std::string describe(const std::string &Scenario, std::uint64_t Seed,
                     const Summary &Figures) {
  std::ostringstream Out;
  Out << "scenario " << Scenario << ", seed " << Seed << ": "
      << Figures.Requests_ << " requests, " << Figures.Finished_
      << " finished, " << Figures.Refused_ << " refused, " << Figures.Unknown_
      << " unknown, " << Figures.Losses_ << " losses, " << Figures.Doubles_
      << " doubles, " << Figures.Violations_ << " violations; recovered after "
      << Figures.Recovery_.Value_ << " ms, " << std::fixed
      << std::setprecision(1) << Figures.OnTimeInFault_ * 100.0
      << "% on time of " << Figures.DuringFault_ << " during the fault";
  return Out.str();
}

std::string describeFailures(const std::vector<JobResult> &Jobs) {
  std::map<std::string, int> Counts;
  for (const JobResult &Job : Jobs) {
    if (Job.Spec_.Class_ == TaskClass::Service ||
        (Job.Final_ && Job.State_ == JobState::Finished))
      continue;
    std::string Kind(taskClassName(Job.Spec_.Class_));
    Kind += Job.Accepted_ ? " accepted " : " not accepted ";
    Kind += jobStateName(Job.State_);
    Kind += " ";
    Kind += reasonName(Job.Reason_);
    ++Counts[Kind];
  }
  std::ostringstream Out;
  Out << "without an answer:";
  for (const auto &[Kind, Count] : Counts)
    Out << " " << Count << " " << Kind << ";";
  return Out.str();
}

std::string traceOf(const Violation &Found, const std::vector<JobResult> &Jobs,
                    const std::vector<WorkerLog> &Logs) {
  const std::string Job = Found.Subject_.substr(0, Found.Subject_.find('.'));
  std::ostringstream Out;
  Out << violationName(Found.Kind_) << " " << Found.Subject_ << ": "
      << Found.Detail_ << "\n";
  for (const JobResult &Each : Jobs)
    if (Each.Id_ == Job)
      Out << "  caller: key " << Each.Spec_.Key_ << ", class "
          << taskClassName(Each.Spec_.Class_) << ", idempotent "
          << Each.Spec_.Idempotent_ << ", submitted " << Each.Submitted_.Value_
          << ", accepted " << Each.Accepted_ << ", ambiguous "
          << Each.Ambiguous_ << ", final " << Each.Final_ << ", state "
          << jobStateName(Each.State_) << ", reason "
          << reasonName(Each.Reason_) << ", ended " << Each.Ended_.Value_
          << "\n";
  for (const WorkerLog &Log : Logs)
    for (const LogEntry &Entry : Log.Entries_)
      if (Entry.Job_ == Job)
        Out << "  " << Log.Worker_ << ": " << Entry.Time_.Value_ << " "
            << Entry.Event_ << " " << Entry.Attempt_ << " epoch "
            << Entry.Epoch_ << " " << Entry.Detail_ << "\n";
  return Out.str();
}

} // namespace damaskglade::process_tests
