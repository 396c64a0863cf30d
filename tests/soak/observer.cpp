#include "tests/soak/observer.h"

#include "dispatch/job.h"

#include <algorithm>

namespace damaskglade::soak {

namespace {

// Bound of the users' pages.
constexpr Millis CancelBound{3000};
// A task may be given up after so many crashes.
constexpr int CrashesToGiveUp = 2;
// And must be after so many crashes and further starts.
constexpr int MostCrashes = 3;
constexpr int MostStartsPastCrashes = 3;

} // namespace

bool Observer::calm(Millis Length) const {
  return Time_.monotonic() > DisturbedAt_ + ContactTime + Length;
}

void Observer::jobSent(const std::string &Id, const CallerJob &Job) {
  Jobs_.emplace(Id, Job);
}

void Observer::jobAccepted(const std::string &Id) {
  Jobs_[Id].Accepted_ = true;
}

void Observer::jobUnclear(const std::string &Id) { Jobs_[Id].Unclear_ = true; }

void Observer::cancelSent(const std::string &Id) {
  if (Jobs_[Id].CancelSentAt_ == Millis{})
    Jobs_[Id].CancelSentAt_ = Time_.monotonic();
}

void Observer::cancelAcked(const std::string &Id) {
  if (Jobs_[Id].CancelAckAt_ == Millis{})
    Jobs_[Id].CancelAckAt_ = Time_.monotonic();
}

bool Observer::allDone(const std::string &Id, std::size_t Step) const {
  const CallerJob &Job = Jobs_.at(Id);
  for (int Index = 0; Index < Job.Widths_[Step]; ++Index)
    if (Done_.count(dispatch::taskName(
            dispatch::TaskRef{Id, static_cast<int>(Step), Index})) == 0)
      return false;
  return true;
}

void Observer::jobShown(const std::string &Id, const std::string &State) {
  CallerJob &Job = Jobs_[Id];
  const bool Canceled = Job.CancelSentAt_ > Millis{};
  if (State.empty() && Job.Accepted_ && !Canceled)
    find("LOST: " + Id + " is accepted and said not to exist");
  const auto Crashes =
      Crashes_.find(dispatch::taskName(dispatch::TaskRef{Id, 0, 0}));
  if (State == "failed" && Crashes != Crashes_.end() &&
      Crashes->second >= CrashesToGiveUp)
    Job.Failed_ = true;
  else if (State == "failed" || (State == "cancelled" && !Canceled))
    find("LOST: " + Id + " is shown as " + State + " without cause");
  if (State != "complete")
    return;
  Job.Complete_ = true;
  for (std::size_t Step = 0; Step < Job.Widths_.size(); ++Step)
    if (!allDone(Id, Step))
      find("MIXED: " + Id + " is shown as complete and a task has not ended");
}

void Observer::started(const std::string &Worker, const std::string &Task,
                       const std::string &Payload, bool LateOrder) {
  ++Starts_;
  const auto Ref = dispatch::parseTaskName(Task);
  const auto Found = Ref ? Jobs_.find(Ref.value().Job_) : Jobs_.end();
  if (Found == Jobs_.end() || Found->second.Payload_ != Payload)
    return find("UNASKED: " + Task + " starts, nobody handed that in");
  Started_.insert(Found->first);
  LostAt_.erase(Task);
  if (Found->second.Deadly_)
    checkBudget(Task);
  const auto [At, Added] = RunsOn_.emplace(Task, Worker);
  if (!Added)
    find("TWICE: " + Task + " starts on " + Worker + " and runs on " +
         At->second);
  if (Done_.count(Task) > 0 && Noted_.count(Task) > 0)
    find("TWICE: " + Task + " starts after its end was noted");
  for (const int Earlier :
       Found->second.Dependencies_[static_cast<std::size_t>(Ref.value().Step_)])
    if (!allDone(Found->first, static_cast<std::size_t>(Earlier)))
      find("ORDER: " + Task + " starts before step " + std::to_string(Earlier) +
           " has ended");
  const Millis Acked = Found->second.CancelAckAt_;
  if (Acked > Millis{} && Time_.monotonic() > Acked + CancelBound && calm() &&
      !LateOrder)
    find("UNASKED: " + Task + " starts long after its job was canceled");
}

void Observer::gone(const std::string &Worker, const std::string &Task) {
  const auto Found = RunsOn_.find(Task);
  if (Found == RunsOn_.end() || Found->second != Worker)
    return;
  RunsOn_.erase(Found);
  if (Jobs_.at(Task.substr(0, Task.find('.'))).LongRunning_)
    LostAt_[Task] = Time_.monotonic();
}

void Observer::crashed(const std::string &Worker, const std::string &Task) {
  gone(Worker, Task);
  if (!Jobs_.at(Task.substr(0, Task.find('.'))).Deadly_)
    return;
  ++Crashes_[Task];
  DeadlyCrashAt_ = Time_.monotonic();
}

// Only starts in calm time count: others may come from a daemon that cannot
// know of the crashes.
void Observer::checkBudget(const std::string &Task) {
  const auto Crashes = Crashes_.find(Task);
  if (Crashes != Crashes_.end() && Crashes->second >= MostCrashes && calm() &&
      ++StartsPastCrashes_[Task] == MostStartsPastCrashes)
    find("BUDGET: " + Task + " starts again after " +
         std::to_string(Crashes->second) + " crashed workers");
}

void Observer::checkLongRunning() {
  if (DeadlyCrashAt_ > Millis{} &&
      Time_.monotonic() <=
          DeadlyCrashAt_ + DeadlyDownTime + ContactTime + RestartCalm)
    return;
  std::erase_if(LostAt_, [this](const auto &Entry) {
    const auto &[Task, Lost] = Entry;
    const CallerJob &Job = Jobs_.at(Task.substr(0, Task.find('.')));
    if (Job.CancelSentAt_ > Millis{})
      return true;
    if (!calm(RestartCalm) || Time_.monotonic() <= Lost + RestartBound)
      return false;
    find("LOST: " + Task + " is long-running and has not run for " +
         std::to_string((Time_.monotonic() - Lost).Value_) + " ms");
    return true;
  });
}

// The end of one member of a gang represents all.
void Observer::done(const std::string &Worker, const std::string &Task) {
  gone(Worker, Task);
  for (const std::string &Member : membersOf(Task))
    Done_.insert(Member);
}

std::vector<std::string> Observer::membersOf(const std::string &Task) const {
  dispatch::TaskRef Ref = dispatch::parseTaskName(Task).value();
  const auto Job = Jobs_.find(Ref.Job_);
  if (Job == Jobs_.end() || !Job->second.Gang_)
    return {Task};
  std::vector<std::string> Members;
  const int Width = Job->second.Widths_[static_cast<std::size_t>(Ref.Step_)];
  for (Ref.Index_ = 0; Ref.Index_ < Width; ++Ref.Index_)
    Members.push_back(dispatch::taskName(Ref));
  return Members;
}

bool Observer::isGangPresent(const std::string &Task) const {
  const std::vector<std::string> Members = membersOf(Task);
  return Done_.count(Task) > 0 ||
         std::all_of(Members.begin(), Members.end(),
                     [this](const std::string &Member) {
                       return RunsOn_.count(Member) > 0;
                     });
}

void Observer::noted(const std::string &Task) { Noted_.insert(Task); }

void Observer::usedRoom(const std::string &Worker, std::int64_t MilliCpus,
                        std::int64_t Capacity) {
  if (MilliCpus > Capacity)
    find("LIMIT: " + Worker + " runs " + std::to_string(MilliCpus) + " of " +
         std::to_string(Capacity));
}

void Observer::tasksTogether(const std::string &Worker, const std::string &Task,
                             int Count) {
  const int Most = Jobs_.at(Task.substr(0, Task.find('.'))).MaxPerWorker_;
  if (Most > 0 && Count > Most)
    find("APART: " + Worker + " runs " + std::to_string(Count) +
         " tasks of the step of " + Task + ", at most " + std::to_string(Most));
}

std::vector<std::string> Observer::openJobs() const {
  std::vector<std::string> Out;
  for (const auto &[Id, Job] : Jobs_)
    if (Job.Accepted_ && !Job.Complete_ && !Job.Failed_ &&
        Job.CancelSentAt_ == Millis{})
      Out.push_back(Id);
  return Out;
}

void Observer::finish() {
  for (const std::string &Id : openJobs())
    find("LOST: " + Id + " was accepted and has not ended");
  for (const auto &[Id, Job] : Jobs_)
    if (!Job.Accepted_ && !Job.Unclear_ && Started_.count(Id) > 0)
      find("REFUSED: " + Id + " ran, and every try was said not to run");
  for (const auto &[Task, Worker] : RunsOn_)
    find(std::string("UNASKED: ")
             .append(Task)
             .append(" still runs on ")
             .append(Worker));
}

} // namespace damaskglade::soak
