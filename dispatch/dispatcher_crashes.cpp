#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// A reservation for a start outlasts the starts before it by this time, in
// which the next planning pass takes place.
constexpr Millis ReservationMargin{500};
// A task is started apart from tasks of other jobs after this many crashes.
constexpr std::size_t SuspectCrashes = 2;
// A job fails after this many crashes at the start of one of its tasks, the
// last of them while the worker started nothing else.
constexpr std::size_t MaxCrashes = 3;
// A worker that has crashed is not used as a witness for this time if others
// are free.
constexpr Millis UnsteadyTime{10000};
// A verdict does not wait longer for workers that are polled at once. Polls
// time out after 700 ms.
constexpr Millis LongestVerdict{1000};

/// What has become of a group of workers.
struct LossCount {
  int Lost_ = 0;
  int Living_ = 0;
  int Unheard_ = 0;
};

/// A group is lost with at least MinLost_ workers, more than PerLiving_ for
/// each that lives.
struct LossShare {
  int MinLost_ = 1;
  int PerLiving_ = 1;
};

/// Empty while it depends on workers that have not been heard since.
std::optional<bool> isMostlyLost(const LossCount &Count,
                                 const LossShare &Share) {
  const auto IsLost = [&](int Lost, int Living) {
    return Lost >= Share.MinLost_ && Lost > Living * Share.PerLiving_;
  };
  const bool AtMost = IsLost(Count.Lost_ + Count.Unheard_, Count.Living_);
  const bool AtLeast = IsLost(Count.Lost_, Count.Living_ + Count.Unheard_);
  if (AtMost != AtLeast)
    return std::nullopt;
  return AtLeast;
}

} // namespace

bool Dispatcher::isCrashSuspect(const TaskState &Task) {
  return Task.CrashedAttempts_.size() >= SuspectCrashes;
}

const Run &Dispatcher::runOf(const TaskRef &Ref) const {
  return *findJob(Ref.Job_)
              ->Steps_[static_cast<std::size_t>(Ref.Step_)]
              .Tasks_[static_cast<std::size_t>(Ref.Index_)]
              .Run_;
}

// Whether a run was starting when the worker answered last.
bool Dispatcher::isStartingAt(const Worker &W, const Run &Attempt) {
  return W.ClockReadAt_ < Attempt.OrderedAt_ + StartingTime;
}

// An order without a reply may have been sent to a process that had ended,
// which shows only when a long poll returns.
bool Dispatcher::mayHaveBegun(const Worker &W, const Run &Attempt) {
  return Attempt.StartedAt_ > Millis{} || wasAliveAt(W, Attempt.OrderedAt_);
}

// The runs that may have caused a crash of the worker now. The last reply of
// the worker is the latest time at which it is known to have been alive. A run
// that was started apart is the only cause, unless another job's task has been
// ordered since.
std::vector<Dispatcher::StartingRun>
Dispatcher::startingRuns(const Worker &W) const {
  std::vector<StartingRun> Runs;
  std::vector<StartingRun> RunsApart;
  for (const TaskRef &Ref : W.Tasks_) {
    const Run &Attempt = runOf(Ref);
    // What was ordered from an earlier process has not ended this one.
    if (!isStartingAt(W, Attempt) || Attempt.Process_ != W.ProcessStart_)
      continue;
    Runs.push_back(StartingRun{Ref, Attempt.Attempt_, false});
    if (Attempt.Apart_ && mayHaveBegun(W, Attempt))
      RunsApart.push_back(StartingRun{Ref, Attempt.Attempt_, true});
  }
  if (RunsApart.empty())
    return Runs;
  const TaskRef &Apart = RunsApart.front().Task_;
  const bool OtherOrderedSince =
      std::any_of(W.Tasks_.begin(), W.Tasks_.end(), [&](const TaskRef &Ref) {
        return Ref.Job_ != Apart.Job_ && isStartingAt(W, runOf(Ref)) &&
               runOf(Ref).OrderedAt_ >= runOf(Apart).OrderedAt_;
      });
  return OtherOrderedSince ? Runs : RunsApart;
}

void Dispatcher::logDoubtfulStarts(const Worker &W) {
  for (const TaskRef &Ref : W.Tasks_) {
    const Run &Attempt = runOf(Ref);
    if (isStartingAt(W, Attempt) && !mayHaveBegun(W, Attempt))
      log(Ref.Job_, taskName(Ref), W.Info_.Id_,
          "start may not have begun, process=" +
              std::to_string(W.ProcessStart_) + " ordered_from=" +
              std::to_string(Attempt.Process_) + " silent_before_ms=" +
              std::to_string((Attempt.OrderedAt_ - W.ClockReadAt_).Value_));
  }
}

void Dispatcher::dropCrashedRuns(
    Worker &W, const std::string &Cause,
    const std::function<bool(const TaskRef &, const Run &)> &Keep, Millis Now) {
  logDoubtfulStarts(W);
  const std::vector<StartingRun> Starting = startingRuns(W);
  // A worker that has been replaced says so in each reply.
  if (W.LastCrash_.HeardAt_ != W.ClockReadAt_ ||
      W.LastCrash_.SeenAt_ == Millis{})
    W.LastCrash_ = CrashSpan{W.ClockReadAt_, Now, startsSomething(W)};
  const CrashSpan Crash = W.LastCrash_;
  dropLostRuns(W, Cause, Keep, Now);
  handleCrash(W, Crash, Starting);
}

void Dispatcher::handleCrash(const Worker &W, const CrashSpan &Crash,
                             const std::vector<StartingRun> &Runs) {
  const std::size_t OpenBefore = OpenVerdicts_.size();
  for (const auto &[Ref, Attempt, Apart] : Runs) {
    JobRun *Job = job(Ref.Job_);
    const TaskState *Task = task(Ref);
    // An unanswered start is kept after a restart, since the new process may
    // carry it out. The old process may have crashed under it all the same.
    const bool StillRuns = Task && Task->Run_ &&
                           Task->Run_->Attempt_ == Attempt &&
                           Task->Run_->StartedAt_ > Millis{};
    if (!Job || !Task || Task->Done_ || StillRuns || isTerminal(Job->State_))
      continue;
    auto &Crashes = attemptCounter(*Job, Ref).CrashedAttempts_;
    if (std::find(Crashes.begin(), Crashes.end(), Attempt) != Crashes.end())
      continue;
    Crashes.push_back(Attempt);
    ++Job->Crashes_;
    markChanged(Ref.Job_);
    log(Ref.Job_, taskName(Ref), W.Info_.Id_,
        "worker crashed at the start, crashes=" +
            std::to_string(Crashes.size()) +
            " beside=" + std::to_string(Runs.size() - 1) +
            " apart=" + std::to_string(Apart));
    if (Apart && Crashes.size() >= MaxCrashes)
      OpenVerdicts_.push_back(OpenVerdict{
          Ref, Attempt, W.Info_.Id_, W.Info_.Zone_, W.Info_.Service_, Crash});
  }
  if (OpenVerdicts_.size() > OpenBefore)
    settleVerdicts(Crash.SeenAt_);
}

StartKind Dispatcher::startsSomething(const Worker &W) const {
  StartKind Kind = StartKind::Nothing;
  for (const TaskRef &Ref : W.Tasks_)
    if (const Run &Attempt = runOf(Ref); isStartingAt(W, Attempt))
      Kind = std::max(Kind, Attempt.Apart_ ? StartKind::Apart : StartKind::Any);
  return Kind;
}

// A task can crash only the worker that starts it. So it is not the cause if
// most of the workers that were starting nothing have ended, or gone silent,
// with that one, or nearly all of those in its zone. Workers that were starting
// another suspect may have ended by that.
std::optional<bool> Dispatcher::isCommonCrash(const OpenVerdict &Open,
                                              Millis Now) const {
  LossCount Idle;
  LossCount InZone;
  const CrashSpan &Crash = Open.Crash_;
  for (const Worker *Entry : WorkersById_) {
    const Worker &W = *Entry;
    if (W.Info_.Id_ == Open.Worker_)
      continue;
    const bool HasEnded = W.LastCrash_.HeardAt_ < Crash.SeenAt_ &&
                          Crash.HeardAt_ < W.LastCrash_.SeenAt_;
    const bool IsReachable = W.Reachability_ == Reachability::Reachable;
    const bool IsSilent =
        !IsReachable && W.Registered_ && W.UnreachableSince_ > Crash.HeardAt_;
    const bool IsInZone =
        W.Info_.Zone_ == Open.Zone_ && W.Info_.Service_ == Open.Service_;
    if (HasEnded || IsSilent) {
      const StartKind Kind =
          HasEnded ? W.LastCrash_.Starting_ : startsSomething(W);
      Idle.Lost_ += Kind == StartKind::Nothing ? 1 : 0;
      InZone.Lost_ += IsInZone && Kind != StartKind::Apart ? 1 : 0;
      continue;
    }
    if (!IsReachable)
      continue;
    const bool IsHeard = W.ClockReadAt_ >= Crash.SeenAt_;
    if (!IsHeard && Now >= Crash.SeenAt_ + LongestVerdict)
      continue;
    (IsHeard ? Idle.Living_ : Idle.Unheard_) += 1;
    (IsHeard ? InZone.Living_ : InZone.Unheard_) += IsInZone ? 1 : 0;
  }
  constexpr LossShare MostOfFleet{2, 1};
  constexpr LossShare NearlyAllOfZone{3, 4};
  const std::optional<bool> OfFleet = isMostlyLost(Idle, MostOfFleet);
  const std::optional<bool> OfZone = isMostlyLost(InZone, NearlyAllOfZone);
  if ((OfFleet && *OfFleet) || (OfZone && *OfZone))
    return true;
  if (!OfFleet || !OfZone)
    return std::nullopt;
  return false;
}

bool Dispatcher::awaitsVerdict(const std::string &JobId) const {
  return std::any_of(
      OpenVerdicts_.begin(), OpenVerdicts_.end(),
      [&](const OpenVerdict &Open) { return Open.Task_.Job_ == JobId; });
}

void Dispatcher::settleVerdicts(Millis Now) {
  std::vector<OpenVerdict> StillOpen;
  for (const OpenVerdict &Open : std::exchange(OpenVerdicts_, {})) {
    JobRun *Job = job(Open.Task_.Job_);
    if (!Job || isTerminal(Job->State_))
      continue;
    const std::optional<bool> IsCommon = isCommonCrash(Open, Now);
    if (!IsCommon) {
      StillOpen.push_back(Open);
      continue;
    }
    if (!*IsCommon) {
      finishJob(*Job, JobState::Failed, Now);
      continue;
    }
    std::erase(attemptCounter(*Job, Open.Task_).CrashedAttempts_,
               Open.Attempt_);
    markChanged(Open.Task_.Job_);
    log(Open.Task_.Job_, taskName(Open.Task_), Open.Worker_,
        "crash is not counted, most workers ended with this one");
  }
  OpenVerdicts_ = std::move(StillOpen);
}

// Workers with an open long poll may not be heard for another two seconds.
void Dispatcher::probeForVerdicts() {
  if (OpenVerdicts_.empty())
    return;
  for (const auto &[Id, W] : Workers_)
    if (W.Reachability_ == Reachability::Reachable &&
        W.ClockReadAt_ < OpenVerdicts_.back().Crash_.SeenAt_)
      PendingActions_.Probes_.push_back(Id);
}

// The next leader would count from zero again if it did not know the crashes.
bool Dispatcher::awaitsCrashRecord(const JobRun &Job) {
  return Job.Crashes_ > Job.RecordedCrashes_;
}

void Dispatcher::clearCrashes(const TaskRef &Ref, TaskState &Task,
                              Millis SeenAt) {
  if (Task.CrashedAttempts_.empty() ||
      SeenAt < Task.Run_->OrderedAt_ + StartingTime)
    return;
  // A gang may contain a member that crashes its worker beside members that do
  // not.
  const bool Gang =
      job(Ref.Job_)->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)].Gang_;
  if (Gang)
    return;
  Task.CrashedAttempts_.clear();
  markChanged(Ref.Job_);
}

bool Dispatcher::isStartingNothing(const Worker &W, Millis Now) const {
  return std::none_of(W.Tasks_.begin(), W.Tasks_.end(),
                      [&](const TaskRef &Ref) {
                        const Run &Attempt = runOf(Ref);
                        return Attempt.StartedAt_ == Millis{} ||
                               Now < Attempt.OrderedAt_ + StartingTime;
                      });
}

void Dispatcher::reserve(Worker &W, const std::string &Job, Millis Until) {
  W.ReservedJob_ = Job;
  W.ReservedUntil_ = Until;
}

void Dispatcher::startApart(const RankedStep &Ranked, int Index,
                            Candidate &CandidateWorker, std::int64_t Attempt,
                            Millis Now) {
  const TaskRef Ref{Ranked.Job_->Spec_.Id_, Ranked.Step_, Index};
  startTask(Ranked, Index, CandidateWorker, Attempt, Now);
  task(Ref)->Run_->Apart_ = true;
  reserve(*CandidateWorker.Worker_, Ref.Job_, Now + StartingTime);
}

// If the worker crashes again, the task is the only one that can be the cause.
// A worker that has crashed shortly before may do so by itself. Workers with
// few tasks are preferred, since these are lost then.
bool Dispatcher::placeApart(const RankedStep &Ranked, int Index,
                            std::vector<Candidate> &Candidates,
                            std::int64_t Attempt, Millis Now) {
  const std::string &JobId = Ranked.Job_->Spec_.Id_;
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const auto Cost = [&](const Candidate &Entry) {
    const Worker &W = *Entry.Worker_;
    const bool HasCrashed = W.LastCrash_.SeenAt_ > Millis{} &&
                            Now < W.LastCrash_.SeenAt_ + UnsteadyTime;
    return std::make_tuple(HasCrashed, !isStartingNothing(W, Now),
                           W.ReservedUntil_ <= Now, W.Tasks_.size());
  };
  Candidate *Best = nullptr;
  for (Candidate &Entry : Candidates)
    if (isOpenTo(*Entry.Worker_, JobId, Now) && fitsNow(Spec, Entry) &&
        (!Best || Cost(Entry) < Cost(*Best)))
      Best = &Entry;
  if (!Best)
    return false;
  const Worker &W = *Best->Worker_;
  const bool StartsNothing = isStartingNothing(W, Now);
  if (StartsNothing && wasAliveAt(W, Now)) {
    startApart(Ranked, Index, *Best, Attempt, Now);
    return true;
  }
  // A start without a reply tells nothing of a worker that was silent before.
  if (StartsNothing)
    PendingActions_.Probes_.push_back(W.Info_.Id_);
  reserve(*Best->Worker_, JobId, Now + StartingTime + ReservationMargin);
  return true;
}

bool Dispatcher::reserveForGang(const RankedStep &Ranked,
                                std::vector<Candidate> &Candidates,
                                Millis Now) {
  const std::string &JobId = Ranked.Job_->Spec_.Id_;
  const StepSpec &Spec =
      Ranked.Job_->Spec_.Steps_[static_cast<std::size_t>(Ranked.Step_)];
  const auto Count = static_cast<std::size_t>(Spec.Count_);
  std::vector<Candidate> Idle;
  for (const Candidate &Entry : Candidates)
    if (isStartingNothing(*Entry.Worker_, Now))
      Idle.push_back(Entry);
  if (chooseCandidates(Spec, Idle, Count).size() == Count) {
    Candidates = std::move(Idle);
    return true;
  }
  const std::vector<std::size_t> Chosen =
      chooseCandidates(Spec, Candidates, Count);
  if (Chosen.size() < Count)
    return false;
  for (const std::size_t CandidateIndex : Chosen)
    reserve(*Candidates[CandidateIndex].Worker_, JobId,
            Now + StartingTime + ReservationMargin);
  return false;
}

} // namespace damaskglade::dispatch
