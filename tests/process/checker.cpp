#include "tests/process/checker.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <set>

namespace damaskglade::process_tests {

namespace {

constexpr Millis Never{std::numeric_limits<std::int64_t>::max()};

/// One attempt as a worker saw it.
struct Run {
  std::string Attempt_;
  std::string Worker_;
  Millis Start_{};
  Millis End_ = Never;
  bool Finished_ = false;
};

/// Runs by task ("<job>.<member>").
using Runs = std::map<std::string, std::vector<Run>>;

/// "<job>.<member>" of an attempt id "<job>.<member>.<number>".
std::string taskOf(const std::string &Attempt) {
  return Attempt.substr(0, Attempt.rfind('.'));
}

bool isEnd(const std::string &Event) {
  return Event == "finished" || Event == "lapsed" || Event == "stopped";
}

Runs collectRuns(const std::vector<WorkerLog> &Logs) {
  Runs Out;
  for (const WorkerLog &Log : Logs)
    for (const LogEntry &Entry : Log.Entries_) {
      std::vector<Run> &Task = Out[taskOf(Entry.Attempt_)];
      if (Entry.Event_ == "started") {
        Task.push_back(
            Run{Entry.Attempt_, Log.Worker_, Entry.Time_, Never, false});
        continue;
      }
      if (!isEnd(Entry.Event_))
        continue;
      for (Run &Known : Task)
        if (Known.Attempt_ == Entry.Attempt_ && Known.Worker_ == Log.Worker_ &&
            Known.End_ == Never) {
          Known.End_ = Entry.Time_;
          Known.Finished_ = Entry.Event_ == "finished";
          break;
        }
    }
  return Out;
}

void checkWorker(const WorkerLog &Log, std::vector<Violation> &Out) {
  std::map<std::string, Resources> Held;
  std::int64_t HighestEpoch = 0;
  for (const LogEntry &Entry : Log.Entries_) {
    if (Entry.Event_ == "over_limit")
      Out.push_back(Violation{ViolationKind::OverLimit, Log.Worker_,
                              Entry.Attempt_ + " exceeds " + Entry.Detail_});
    if (Entry.Event_ == "started" && Entry.Epoch_ < HighestEpoch)
      Out.push_back(
          Violation{ViolationKind::LowerEpoch, Log.Worker_, Entry.Attempt_});
    HighestEpoch = std::max(
        HighestEpoch, Entry.Event_ == "started" ? Entry.Epoch_ : HighestEpoch);
    if (isEnd(Entry.Event_) || Entry.Event_ == "checkpointed")
      Held.erase(Entry.Attempt_);
    if (Entry.Event_ != "started" && Entry.Event_ != "resumed")
      continue;
    Held[Entry.Attempt_] = Entry.Size_;
    Resources Sum;
    for (const auto &[Attempt, Size] : Held)
      Sum = Sum + Size;
    const std::string_view Shortage = firstShortage(Sum, Log.Capacity_);
    if (!Shortage.empty())
      Out.push_back(Violation{ViolationKind::OverLimit, Log.Worker_,
                              "sum of " + std::string(Shortage) + " with " +
                                  Entry.Attempt_});
  }
}

void checkOverlap(const std::string &Task, std::vector<Run> Tries,
                  std::vector<Violation> &Out) {
  std::sort(Tries.begin(), Tries.end(),
            [](const Run &A, const Run &B) { return A.Start_ < B.Start_; });
  Millis LastEnd{};
  std::string Last;
  for (const Run &Try : Tries) {
    if (!Last.empty() && Try.Start_ < LastEnd)
      Out.push_back(
          Violation{ViolationKind::Overlap, Task,
                    Last + " and " + Try.Attempt_ + " on " + Try.Worker_});
    if (Try.End_ >= LastEnd) {
      LastEnd = Try.End_;
      Last = Try.Attempt_ + " on " + Try.Worker_;
    }
  }
}

/// The answer with the caller's job id: a worker echoes the name by which the
/// node knows the job.
std::string answeredText(const std::string &Body) {
  const std::size_t Colon = Body.find(':');
  return Colon == std::string::npos
             ? Body
             : callersJob(Body.substr(0, Colon)) + Body.substr(Colon);
}

void checkAnswers(const JobResult &Job, std::vector<Violation> &Out) {
  const std::string Expected = Job.Id_ + ":" + Job.Spec_.Payload_;
  if (Job.Answers_.size() != static_cast<std::size_t>(Job.Spec_.Tasks_))
    Out.push_back(Violation{ViolationKind::WrongAnswer, Job.Id_,
                            std::to_string(Job.Answers_.size()) +
                                " answers for " +
                                std::to_string(Job.Spec_.Tasks_) + " tasks"});
  for (const Answer &Reply : Job.Answers_) {
    if (!Reply.Ok_)
      Out.push_back(Violation{ViolationKind::Lost, Job.Id_,
                              "failed with \"" + Reply.Body_ + "\""});
    else if (!isWhole(Reply) || answeredText(Reply.Body_) != Expected)
      Out.push_back(Violation{ViolationKind::WrongAnswer, Job.Id_,
                              "\"" + Reply.Body_ + "\""});
  }
}

void checkOutcome(const JobResult &Job, bool Started,
                  std::vector<Violation> &Out) {
  const bool EndsAlone = Job.Spec_.Class_ != TaskClass::Service;
  if (!Job.Final_) {
    if (Job.Accepted_ && EndsAlone)
      Out.push_back(
          Violation{ViolationKind::Lost, Job.Id_, "no outcome was reported"});
    return;
  }
  if (Job.State_ == JobState::Finished)
    checkAnswers(Job, Out);
  if (Job.Accepted_ && EndsAlone &&
      Job.Ended_ - Job.Submitted_ > MaxOutcomeTime)
    Out.push_back(Violation{
        ViolationKind::Late, Job.Id_,
        "ended after " + std::to_string((Job.Ended_ - Job.Submitted_).Value_) +
            " ms"});
  // After a submission without a reply, "not run" speaks of the repeat only.
  if (Job.State_ == JobState::NotRun && Started && !Job.Ambiguous_)
    Out.push_back(Violation{ViolationKind::NotRunButRan, Job.Id_,
                            std::string(reasonName(Job.Reason_))});
  const bool Refusable = !Job.Accepted_ || Job.Reason_ == Reason::Canceled;
  if (Job.State_ == JobState::NotRun && !Refusable)
    Out.push_back(Violation{ViolationKind::Lost, Job.Id_,
                            "accepted, then not run: " +
                                std::string(reasonName(Job.Reason_))});
  if (Job.State_ == JobState::Unknown && Job.Spec_.Idempotent_ &&
      Job.Accepted_ && isDurable(Job.Spec_))
    Out.push_back(Violation{ViolationKind::Lost, Job.Id_,
                            "unknown outcome of an idempotent job"});
}

void checkJob(const JobResult &Job, const Runs &All,
              std::vector<Violation> &Out) {
  bool Started = false;
  for (std::int64_t Member = 0; Member < Job.Spec_.Tasks_; ++Member) {
    const std::string Task = Job.Id_ + "." + std::to_string(Member);
    const auto Found = All.find(Task);
    const std::vector<Run> Tries =
        Found == All.end() ? std::vector<Run>() : Found->second;
    Started = Started || !Tries.empty();
    const auto Finished =
        std::count_if(Tries.begin(), Tries.end(),
                      [](const Run &Try) { return Try.Finished_; });
    const std::string Counted = std::to_string(Tries.size()) + " starts, " +
                                std::to_string(Finished) + " finishes";
    if (Job.Final_ && Job.State_ == JobState::Finished && Finished == 0)
      Out.push_back(Violation{ViolationKind::WrongAnswer, Task,
                              "reported as finished, but did not"});
    if (!Job.Spec_.Idempotent_ && Tries.size() > 1)
      Out.push_back(Violation{ViolationKind::RanTwice, Task, Counted});
    if (!isDurable(Job.Spec_))
      continue;
    if (Finished > 1)
      Out.push_back(Violation{ViolationKind::FinishedTwice, Task, Counted});
    checkOverlap(Task, Tries, Out);
  }
  checkOutcome(Job, Started, Out);
}

} // namespace

const char *violationName(ViolationKind Kind) {
  constexpr std::array<const char *, 10> Names = {"lost",
                                                  "late",
                                                  "finished_twice",
                                                  "ran_twice",
                                                  "not_run_but_ran",
                                                  "overlap",
                                                  "over_limit",
                                                  "wrong_answer",
                                                  "lower_epoch",
                                                  "unknown_job"};
  return Names.at(static_cast<std::size_t>(Kind));
}

std::vector<Violation> checkRun(const std::vector<JobResult> &Jobs,
                                const std::vector<WorkerLog> &Logs) {
  std::vector<Violation> Out;
  std::set<std::string> Submitted;
  const Runs All = collectRuns(Logs);
  for (const JobResult &Job : Jobs) {
    Submitted.insert(Job.Id_);
    checkJob(Job, All, Out);
  }
  for (const WorkerLog &Log : Logs) {
    checkWorker(Log, Out);
    for (const LogEntry &Entry : Log.Entries_)
      if (Entry.Event_ == "started" && Submitted.count(Entry.Job_) == 0)
        Out.push_back(
            Violation{ViolationKind::UnknownJob, Entry.Job_, Log.Worker_});
  }
  return Out;
}

std::vector<LogEntry> startsAfter(const WorkerLog &Log, Millis Time) {
  std::vector<LogEntry> Out;
  for (const LogEntry &Entry : Log.Entries_)
    if (Entry.Time_ > Time &&
        (Entry.Event_ == "started" || Entry.Event_ == "refused"))
      Out.push_back(Entry);
  return Out;
}

} // namespace damaskglade::process_tests
