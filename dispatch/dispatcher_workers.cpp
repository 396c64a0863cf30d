#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

WorkerTarget Dispatcher::target(const Worker &W) const {
  return WorkerTarget{W.Info_.Id_, W.Info_.Address_, Epoch_, W.ProcessStart_};
}

const Worker *Dispatcher::findWorker(const std::string &Id) const {
  const auto WorkerEntry = Workers_.find(Id);
  return WorkerEntry == Workers_.end() ? nullptr : &WorkerEntry->second;
}

std::vector<Worker *>::const_iterator
Dispatcher::positionById(const std::string &Id) const {
  return std::lower_bound(WorkersById_.begin(), WorkersById_.end(), Id,
                          [](const Worker *W, const std::string &Other) {
                            return W->Info_.Id_ < Other;
                          });
}

Worker &Dispatcher::ensureWorker(const std::string &Id) {
  const auto [WorkerEntry, Added] = Workers_.try_emplace(Id);
  if (Added) {
    WorkerEntry->second.Index_ = static_cast<int>(WorkersByIndex_.size());
    WorkersByIndex_.push_back(&WorkerEntry->second);
    WorkerEntry->second.Info_.Id_ = Id;
    WorkersById_.insert(positionById(Id), &WorkerEntry->second);
  }
  return WorkerEntry->second;
}

std::vector<std::string> Dispatcher::takeForgottenWorkers() {
  return std::exchange(RemovedWorkers_, {});
}

// Only the process that an entry describes is known to have written it, so an
// entry that cannot be used is no sign that the worker has ended.
void Dispatcher::ignoreEntry(Worker &W, const std::string &Cause) {
  if (!W.EntryIgnored_)
    log("", "worker", W.Info_.Id_, "registry entry is ignored, cause=" + Cause);
  W.EntryIgnored_ = true;
}

// A process that still answers cannot have started again, and the entry of a
// later one has a later start time, if the entries of the worker have any. The
// same holds for a silent process while it may run tasks: the entry of an
// earlier one may have been written late.
bool Dispatcher::mayHaveMoved(const Worker &W, const WorkerInfo &Info) {
  const bool IsReachable = W.Reachability_ == Reachability::Reachable;
  const bool MayRunTasks =
      IsReachable || W.Reachability_ == Reachability::Unreachable ||
      (W.Reachability_ == Reachability::Unknown && W.LeaseExpiry_ > Millis{});
  if (!MayRunTasks)
    return true;
  const bool HasNoTimes =
      Info.ProcessStart_ == 0 && (W.Info_.ProcessStart_ == 0 || !IsReachable);
  // A restart at the same address may show in a poll before it does here.
  const bool IsOfPolledProcess = W.Info_.Address_ == Info.Address_ &&
                                 Info.ProcessStart_ == W.ProcessStart_ &&
                                 Info.ProcessStart_ != W.Info_.ProcessStart_;
  const std::int64_t KnownStart =
      W.ProcessStart_ != 0 ? W.ProcessStart_ : W.Info_.ProcessStart_;
  return HasNoTimes || IsOfPolledProcess || Info.ProcessStart_ > KnownStart;
}

bool Dispatcher::isNamedService(const std::string &Service) const {
  return std::any_of(Queues_.begin(), Queues_.end(), [&](const auto &Queue) {
    return Queue.second.Service_ == Service;
  });
}

void Dispatcher::setWorkers(const std::vector<WorkerInfo> &Workers, Millis Now,
                            const std::set<std::string> &UnusableEntries) {
  RegistryReceived_ = true;
  std::set<std::string> RegisteredIds;
  for (const std::string &Id : UnusableEntries)
    if (const auto WorkerEntry = Workers_.find(Id);
        WorkerEntry != Workers_.end() && WorkerEntry->second.Registered_) {
      RegisteredIds.insert(Id);
      ignoreEntry(WorkerEntry->second, "it cannot be read");
    }
  for (const WorkerInfo &Info : Workers) {
    RegisteredIds.insert(Info.Id_);
    const bool Added = Workers_.count(Info.Id_) == 0;
    Worker &W = ensureWorker(Info.Id_);
    const bool Moved = !Added && W.Info_.Address_ != Info.Address_;
    const bool IsOfAnother =
        Moved || (!Added && W.Info_.Service_ != Info.Service_);
    if (IsOfAnother && !mayHaveMoved(W, Info)) {
      ignoreEntry(W, "the process that answers has another address or service");
      continue;
    }
    // Another writer may have overwritten the entry of a worker that goes on.
    if (IsOfAnother && Info.Service_ != W.Info_.Service_ &&
        Info.ProcessStart_ != W.ProcessStart_ &&
        !isNamedService(Info.Service_)) {
      ignoreEntry(W, "no queue has its service");
      continue;
    }
    W.EntryIgnored_ = false;
    if (Moved)
      handleMove(W, Info, Now);
    const bool StartsDraining = Info.Draining_ && !W.Info_.Draining_ && !Added;
    const bool IsOfAnotherProcess =
        Moved || W.Info_.ProcessStart_ != Info.ProcessStart_;
    // Replaces the whole entry, including the draining state.
    W.Info_ = Info;
    classify(W);
    // Another process may be of another kind.
    W.LargestCapacity_ = IsOfAnotherProcess
                             ? Info.Capacity_
                             : largest(W.LargestCapacity_, Info.Capacity_);
    W.Registered_ = true;
    // The open long poll may be that of a process which has ended.
    if (IsOfAnotherProcess && !hasOwnEntry(W) &&
        W.Reachability_ == Reachability::Reachable)
      PendingActions_.Probes_.push_back(Info.Id_);
    // No leader has started a task on a process without an open row.
    if (((Added || Moved) && !Info.Draining_) ||
        wantedLeaseRow(W, Millis{}, Now) == LeaseRow::Open)
      setLeaseRow(W, LeaseRow::Open);
    if (StartsDraining)
      log("", "worker", Info.Id_, "draining");
  }
  for (auto &[Id, W] : Workers_) {
    if (RegisteredIds.count(Id) > 0)
      continue;
    if (W.Registered_)
      log("", "worker", Id,
          "left the registry, runs=" + std::to_string(W.Tasks_.size()) +
              " draining=" + std::to_string(W.Info_.Draining_));
    W.Registered_ = false;
  }
  removeGoneWorkers(Now);
}

void Dispatcher::removeGoneWorkers(Millis Now) {
  forgetDeparted(Now);
  for (auto WorkerEntry = Workers_.begin(); WorkerEntry != Workers_.end();) {
    const Worker &W = WorkerEntry->second;
    const bool IsGone = !W.Registered_ && W.Tasks_.empty() &&
                        W.LeaseExpiry_ < Now && !mayStartLate(W, Now) &&
                        W.Reachability_ != Reachability::Reachable;
    if (!IsGone) {
      ++WorkerEntry;
      continue;
    }
    rememberDeparted(W, Now);
    forgetUnseenRuns(WorkerEntry->second);
    for (const UnexpectedRun &UnexpectedEntry : W.UnexpectedRuns_)
      releaseUnexpectedRun(WorkerEntry->second, UnexpectedEntry);
    RemovedWorkers_.push_back(WorkerEntry->first);
    WorkersByIndex_[static_cast<std::size_t>(W.Index_)] = nullptr;
    WorkersById_.erase(positionById(WorkerEntry->first));
    WorkerEntry = Workers_.erase(WorkerEntry);
  }
}

void Dispatcher::addRun(TaskState &Task, const TaskRef &Ref,
                        const StepSpec &Step, Run Attempt) {
  Worker &W = Workers_[Attempt.Worker_];
  W.Used_ = W.Used_ + reservedSize(Step);
  W.Fillers_ += Step.Filler_ ? 1 : 0;
  W.ServingRuns_ += Step.TargetLatency_ > Millis{} ? 1 : 0;
  W.Tasks_.insert(Ref);
  Task.LastAttempt_ = std::max(Task.LastAttempt_, Attempt.Attempt_);
  Task.Run_ = std::move(Attempt);
  JobRun *Job = job(Ref.Job_);
  locate(*Job, Ref, Task);
  countRun(*Job, Step, 1);
  ++Job->Steps_[static_cast<std::size_t>(Ref.Step_)].RunCount_;
}

void Dispatcher::removeRun(TaskState &Task, const TaskRef &Ref,
                           const StepSpec &Step) {
  Worker &W = Workers_[Task.Run_->Worker_];
  W.Used_ = W.Used_ - reservedSize(Step);
  W.Fillers_ -= Step.Filler_ ? 1 : 0;
  W.ServingRuns_ -= Step.TargetLatency_ > Millis{} ? 1 : 0;
  W.Tasks_.erase(Ref);
  Task.Run_.reset();
  JobRun *Job = job(Ref.Job_);
  countRun(*Job, Step, -1);
  --Job->Steps_[static_cast<std::size_t>(Ref.Step_)].RunCount_;
  if (!isTerminal(Job->State_) || hasRuns(Ref.Job_))
    return;
  // That was the last run of a job that has ended, so its row can be deleted.
  markChanged(Ref.Job_);
  if (isTerminal(Job->RecordedState_))
    ActiveJobs_.erase(Ref.Job_);
}

void Dispatcher::dropLostRuns(
    Worker &W, const std::string &Cause,
    const std::function<bool(const TaskRef &, const Run &)> &Keep, Millis Now) {
  const std::vector<TaskRef> Tasks(W.Tasks_.begin(), W.Tasks_.end());
  for (const TaskRef &Ref : Tasks) {
    TaskState *Task = task(Ref);
    JobRun *Job = job(Ref.Job_);
    if (!Task || !Task->Run_ || (Keep && Keep(Ref, *Task->Run_)))
      continue;
    const StepSpec &Step =
        Job->Spec_.Steps_[static_cast<std::size_t>(Ref.Step_)];
    log(Ref.Job_, taskName(Ref), W.Info_.Id_,
        "run lost with its worker, cause=" + Cause);
    rememberStart(W, Ref, Step, *Task->Run_);
    removeRun(*Task, Ref, Step);
    if (Step.Gang_)
      stopStepRuns(*Job, Ref.Step_, "gang member lost", Now);
  }
  for (const UnexpectedRun &UnexpectedEntry :
       std::exchange(W.UnexpectedRuns_, {}))
    releaseUnexpectedRun(W, UnexpectedEntry);
}

// Drops the runs that ended with the previous worker process. The new process
// may already have received start orders, and those without a reply may still
// reach it; these runs are kept.
void Dispatcher::handleRestart(Worker &W, const PollReply &Reply, Millis SentAt,
                               Millis Now) {
  std::set<std::pair<std::string, std::int64_t>> ReportedAttempts;
  for (const RunningEntry &Entry : Reply.Running_)
    ReportedAttempts.emplace(Entry.Task_, Entry.Attempt_);
  for (const EndedTask &End : Reply.Ended_)
    ReportedAttempts.emplace(End.Task_, End.Attempt_);
  dropCrashedRuns(
      W, "restart",
      [&](const TaskRef &Ref, const Run &Attempt) {
        const bool StartConfirmed = Attempt.StartedAt_ > Millis{};
        return !listsAllEnds(Reply) || !StartConfirmed ||
               Attempt.StartedAt_ >= SentAt ||
               ReportedAttempts.count({taskName(Ref), Attempt.Attempt_}) > 0;
      },
      Now);
  dropTickets(W);
  // Stops that the previous process confirmed do not apply to the new one.
  for (const TaskRef &Ref : W.Tasks_)
    task(Ref)->Run_->StopConfirmedAt_ = Millis{};
}

// A worker at a new address is another process, which knows nothing of the runs
// of the one before and has a clock of its own.
void Dispatcher::handleMove(Worker &W, const WorkerInfo &Info, Millis Now) {
  log("", "worker", Info.Id_, "has restarted at " + Info.Address_);
  dropCrashedRuns(W, "restart at another address", nullptr, Now);
  forgetUnseenRuns(W);
  W.Reachability_ = Reachability::Unknown;
  W.MovedAt_ = Now;
  W.LatestPoll_ = LatestPoll{};
  W.WorkerClock_ = Millis{};
  W.LeaseExpiry_ = Millis{};
  W.UnreachableSince_ = Millis{};
  setLeaseRow(W, LeaseRow::None);
}

// Only one process can listen at an address, so the process of the worker has
// ended and its runs with it. Runs that were ordered after the poll was sent
// are kept until the next poll or until their leases have expired.
void Dispatcher::handleReplacement(Worker &W, Millis SentAt, Millis Now) {
  if (W.Reachability_ != Reachability::Replaced)
    log("", "look at worker", W.Info_.Id_,
        "another worker answers at " + W.Info_.Address_ +
            ", its runs are lost");
  dropCrashedRuns(
      W, "worker replaced",
      [SentAt](const TaskRef &, const Run &Attempt) {
        return Attempt.OrderedAt_ >= SentAt;
      },
      Now);
  W.WorkerClock_ = Millis{};
  forgetUnseenRuns(W);
  if (W.UnreachableSince_ == Millis{})
    W.UnreachableSince_ = Now;
  if (!W.Tasks_.empty()) {
    W.Reachability_ = Reachability::Unreachable;
    return;
  }
  W.Reachability_ = Reachability::Replaced;
  W.LeaseExpiry_ = Millis{};
}

void Dispatcher::updateClock(Worker &W, Millis Clock, Millis SentAt,
                             Millis Now) {
  if (Clock == Millis{})
    return;
  W.WorkerClock_ = Clock;
  W.ClockReadAt_ = Now;
  W.ClockAskedAt_ = SentAt;
}

void Dispatcher::handlePollFailure(const std::string &Id, const Error &Failure,
                                   Millis Now) {
  const auto WorkerEntry = Workers_.find(Id);
  if (WorkerEntry == Workers_.end())
    return;
  Worker &W = WorkerEntry->second;
  if (W.UnreachableSince_ == Millis{})
    W.UnreachableSince_ = Now;
  // A refused connection does not prove that the worker has stopped: some
  // network partitions refuse connections to workers that keep running.
  if (W.Reachability_ == Reachability::Reachable) {
    log("", "look at worker", Id, "unreachable: " + Failure.Message_);
    W.Reachability_ = Reachability::Unreachable;
  }
}

// The tasks that it lists as running may have ended since, but an end stands
// whenever it is told.
bool Dispatcher::handleOvertakenReply(Worker &W, const PollReply &Reply,
                                      Millis Now) {
  log("", "look at worker", W.Info_.Id_,
      "reply overtaken by a later one, clock_ms=" +
          std::to_string(Reply.Clock_.Value_) + " latest_clock_ms=" +
          std::to_string(W.LatestPoll_.WorkerClock_.Value_));
  if (Reply.Outcome_ != OrderOutcome::Done ||
      Reply.ProcessStart_ != W.ProcessStart_)
    return false;
  for (const EndedTask &End : Reply.Ended_)
    handleEnd(W, End, Now);
  return true;
}

bool Dispatcher::handlePollReply(const std::string &Id, const PollReply &Reply,
                                 Millis SentAt, Millis Now) {
  const auto WorkerEntry = Workers_.find(Id);
  if (WorkerEntry == Workers_.end())
    return false;
  Worker &W = WorkerEntry->second;
  if (Reply.Outcome_ == OrderOutcome::Fenced) {
    Fenced_ = true;
    return true;
  }
  // The poll went to an address that the worker has left.
  if (SentAt < W.MovedAt_)
    return false;
  if (isOvertaken(W, Reply, SentAt))
    return handleOvertakenReply(W, Reply, Now);
  if (Reply.Outcome_ == OrderOutcome::WrongWorker) {
    handleReplacement(W, SentAt, Now);
    return true;
  }
  if (Reply.Outcome_ != OrderOutcome::Done) {
    handlePollFailure(Id,
                      Error{Reason::StartFailed, Effect::None, "look at worker",
                            Id, "worker refused the poll"},
                      Now);
    return true;
  }
  const bool Restarted =
      W.ProcessStart_ != 0 && Reply.ProcessStart_ != W.ProcessStart_;
  if (Restarted) {
    log("", "look at worker", Id, "worker has restarted, its runs are lost");
    handleRestart(W, Reply, SentAt, Now);
    W.LastEnd_ = 0;
    W.WorkerClock_ = Millis{};
  }
  if (Restarted || W.LatestPoll_.ReceivedAt_ == Millis{})
    W.LatestPoll_.ProcessKnownSince_ = Now;
  W.ProcessStart_ = Reply.ProcessStart_;
  W.Unbound_ = W.Unbound_ || Reply.Unbound_;
  W.LatestPoll_.WorkerClock_ = Reply.Clock_;
  W.LatestPoll_.ReceivedAt_ = Now;
  if (W.Reachability_ != Reachability::Reachable)
    log("", "look at worker", Id,
        "reachable, running=" + std::to_string(Reply.Running_.size()));
  // The first poll makes the worker reject orders of earlier leaders, so leases
  // granted by them no longer matter.
  if (W.Reachability_ == Reachability::Unknown) {
    W.LeaseExpiry_ = Millis{};
    W.HasUnseenEnds_ = true;
  }
  // Until its first poll, an earlier leader may have granted leases.
  if (W.Reachability_ != Reachability::Reachable)
    countLease(W, Now);
  // Orders with a lease end on the clock of the previous process may have
  // reached the new one.
  if (Restarted)
    W.LeaseExpiry_ =
        std::max(W.LeaseExpiry_,
                 leaseExpiry(Now + (Limits_.MaxLease_ - Limits_.Lease_)));
  if (listsAllEnds(Reply))
    forgetUnseenRuns(W);
  W.Reachability_ = Reachability::Reachable;
  W.UnreachableSince_ = Millis{};
  if (SentAt >= W.ClockLostAt_)
    updateClock(W, Reply.Clock_, SentAt, Now);
  else
    PendingActions_.Probes_.push_back(Id);
  for (const EndedTask &End : Reply.Ended_)
    handleEnd(W, End, Now);
  for (const RunningEntry &Entry : Reply.Running_)
    handleRunning(W, Entry, SentAt, Now);
  removeMissingRuns(W, Reply, SentAt, Now);
  expectLateStarts(W, Now);
  stopStalledRuns(W, Now);
  if (wantedLeaseRow(W, Millis{}, Now) == LeaseRow::Open)
    setLeaseRow(W, LeaseRow::Open);
  if (W.Fillers_ > 0)
    WorkersToPace_.insert(Id);
  return true;
}

} // namespace damaskglade::dispatch
