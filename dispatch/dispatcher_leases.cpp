// Leases on workers, and the rows that tell the next leader how long they last.

#include "dispatch/dispatcher.h"

#include <algorithm>

namespace damaskglade::dispatch {

namespace {

// Worker clocks may run 2% slow, which lengthens a lease by as much on the
// leader's clock.
constexpr double ClockDriftFactor = 1.02;
// Added to the calculated end of a lease before its runs count as ended. Covers
// the difference of the clocks of two leaders over the length of a lease.
constexpr Millis LeaseExpiryMargin{150};
// Transit time of an order or poll that any process of its worker may take.
// Polls without a wait time out after 700 ms.
constexpr Millis UnboundTransit{700};

Millis withClockDrift(Millis Duration) {
  return Millis{static_cast<std::int64_t>(static_cast<double>(Duration.Value_) *
                                          ClockDriftFactor)};
}

} // namespace

Millis Dispatcher::leaseExpiry(Millis GrantedAt) const {
  return GrantedAt + withClockDrift(Limits_.Lease_) + LeaseExpiryMargin;
}

// The worker's clock is estimated from its last reply. A slow clock is behind
// the estimate, so that the lease ends later.
void Dispatcher::countLease(Worker &W, Millis Now) const {
  const Millis ClockAge =
      W.WorkerClock_ > Millis{} ? Now - W.ClockReadAt_ : Millis{};
  const Millis EstimateError = withClockDrift(ClockAge) - ClockAge;
  W.LeaseExpiry_ = std::max(W.LeaseExpiry_, leaseExpiry(Now) + EstimateError);
  // A process on whose clock the lease end lies far ahead cuts the lease to the
  // longest one, from when it gets the order.
  if (W.Unbound_)
    countLongestLease(W, Now + UnboundTransit);
}

void Dispatcher::countLongestLease(Worker &W, Millis TakenAt) const {
  W.LeaseExpiry_ =
      std::max(W.LeaseExpiry_,
               leaseExpiry(TakenAt + (Limits_.MaxLease_ - Limits_.Lease_)));
}

Millis Dispatcher::leaseEnd(const Worker &W, Millis Now) const {
  if (W.WorkerClock_ == Millis{})
    return Millis{};
  return W.WorkerClock_ + (Now - W.ClockReadAt_) + Limits_.Lease_;
}

Millis Dispatcher::grantLease(const std::string &Id, Millis Now) {
  const auto WorkerEntry = Workers_.find(Id);
  if (WorkerEntry == Workers_.end() ||
      WorkerEntry->second.Reachability_ != Reachability::Reachable ||
      !WorkerEntry->second.OpenRowStored_)
    return Millis{};
  Worker &W = WorkerEntry->second;
  // The order may arrive although its reply is lost.
  countLease(W, Now);
  return leaseEnd(W, Now);
}

Millis Dispatcher::latestLeaseEnd(Millis Now) const {
  Millis Latest = std::max(EarlierLeaseExpiry_, leaseExpiry(Now));
  for (const auto &[Id, W] : Workers_)
    Latest = std::max(Latest, W.LeaseExpiry_);
  return Latest;
}

void Dispatcher::limitEarlierLeases(Millis Expiry) {
  EarlierLeaseExpiry_ = std::min(EarlierLeaseExpiry_, Expiry);
}

void Dispatcher::restoreWorker(const WorkerInfo &Info) {
  restoreRow(Info, LeaseRow::Open);
}

void Dispatcher::restoreClosedWorker(const WorkerInfo &Info,
                                     const ClosedLeases &Leases) {
  Worker *W = restoreRow(Info, LeaseRow::Closed);
  if (!W)
    return;
  W->LeaseExpiry_ = Leases.Expiry_;
  W->UnseenRunsKnown_ = Leases.RunsKnown_;
  for (const std::string &Name : Leases.Runs_) {
    const auto Ref = parseTaskName(Name);
    if (Ref)
      W->UnseenRuns_.push_back(Ref.value());
    W->UnseenRunsKnown_ = W->UnseenRunsKnown_ && Ref.has_value();
  }
}

// The registry may have been read before. A worker that it lists at another
// address has restarted since its row was written, so nothing runs there,
// unless its entry is that of an earlier process.
Worker *Dispatcher::restoreRow(const WorkerInfo &Info, LeaseRow Row) {
  const bool Added = Workers_.count(Info.Id_) == 0;
  Worker &W = ensureWorker(Info.Id_);
  if (Added) {
    W.Info_ = Info;
    classify(W);
    W.Registered_ = false;
  }
  if (W.Info_.Address_ != Info.Address_) {
    if (!isOfEarlierProcess(W.Info_, Info))
      return nullptr;
    ignoreEntry(W, "the process that may run tasks has another address");
    W.Info_ = Info;
    classify(W);
  }
  W.WantedRow_ = Row;
  W.OpenRowStored_ = Row == LeaseRow::Open;
  W.LeaseExpiry_ = EarlierLeaseExpiry_;
  return &W;
}

void Dispatcher::finishRestore() {
  for (auto &[Id, W] : Workers_) {
    if (W.WantedRow_ == LeaseRow::Open && W.LeaseExpiry_ > Millis{})
      W.LeaseExpiry_ = std::min(W.LeaseExpiry_, EarlierLeaseExpiry_);
    for (const TaskRef &Ref : W.UnseenRuns_)
      if (TaskState *Task = task(Ref))
        ++Task->UnseenRuns_;
  }
}

std::vector<TaskRange> Dispatcher::waitingTasks(std::size_t MaxRanges) const {
  std::vector<TaskRange> Ranges;
  const auto AddStep = [&](const JobRun &Job, int Step) {
    const auto &Tasks = Job.Steps_[static_cast<std::size_t>(Step)].Tasks_;
    bool Continues = false;
    for (int Index = 0; Index < static_cast<int>(Tasks.size()); ++Index) {
      const TaskState &Task = Tasks[static_cast<std::size_t>(Index)];
      const bool Waits = !Task.Done_ && !Task.Run_ && !mayBeRunning(Job, Task);
      if (Waits && Continues)
        Ranges.back().Last_ = Index;
      else if (Waits && Ranges.size() < MaxRanges)
        Ranges.push_back(TaskRange{Job.Spec_.Id_, Step, Index, Index});
      else if (Waits)
        return;
      Continues = Waits;
    }
  };
  for (const bool LongRunning : {true, false})
    for (const auto &[Id, Job] : ActiveJobs_)
      for (std::size_t Step = 0; Step < Job->Steps_.size(); ++Step)
        if (!isTerminal(Job->State_) &&
            Job->Spec_.Steps_[Step].LongRunning_ == LongRunning)
          AddStep(*Job, static_cast<int>(Step));
  return Ranges;
}

void Dispatcher::markWaiting(const TaskRange &Range) {
  for (int Index = Range.First_; Index <= Range.Last_; ++Index) {
    TaskState *Task = task(TaskRef{Range.Job_, Range.Step_, Index});
    if (!Task)
      return;
    locate(*job(Range.Job_), TaskRef{Range.Job_, Range.Step_, Index}, *Task);
  }
}

void Dispatcher::forgetUnseenRuns(Worker &W) {
  for (const TaskRef &Ref : std::exchange(W.UnseenRuns_, {}))
    if (TaskState *Task = task(Ref); Task && Task->UnseenRuns_ > 0)
      --Task->UnseenRuns_;
  W.UnseenRunsKnown_ = false;
  W.HasUnseenEnds_ = false;
}

std::vector<WorkerInfo> Dispatcher::takeUnrecordedWorkers() {
  std::vector<WorkerInfo> Unrecorded = std::exchange(UnrecordedWorkers_, {});
  std::erase_if(Unrecorded, [this](const WorkerInfo &Info) {
    const Worker *W = findWorker(Info.Id_);
    return !W || W->OpenRowStored_ || W->WantedRow_ != LeaseRow::Open;
  });
  return Unrecorded;
}

std::vector<std::string> Dispatcher::takeWorkersToClose() {
  return std::exchange(WorkersToClose_, {});
}

void Dispatcher::markWorkerRecorded(const std::string &Id,
                                    const std::string &Address) {
  const auto WorkerEntry = Workers_.find(Id);
  if (WorkerEntry != Workers_.end() &&
      WorkerEntry->second.Info_.Address_ == Address)
    WorkerEntry->second.OpenRowStored_ =
        WorkerEntry->second.WantedRow_ == LeaseRow::Open;
}

LeaseRow Dispatcher::wantedLeaseRow(const Worker &W, Millis MinSilence,
                                    Millis Now) {
  const bool HasRuns =
      !W.Tasks_.empty() || !W.UnexpectedRuns_.empty() || W.HasUnseenEnds_;
  const bool IsSilent =
      W.UnreachableSince_ > Millis{} && Now >= W.UnreachableSince_ + MinSilence;
  switch (W.Reachability_) {
  case Reachability::Reachable: {
    const bool MayGetTasks = W.Registered_ && !W.Info_.Draining_;
    return HasRuns || MayGetTasks ? LeaseRow::Open : LeaseRow::None;
  }
  case Reachability::Unreachable:
    if (!IsSilent)
      return W.WantedRow_;
    return HasRuns ? LeaseRow::Closed : LeaseRow::None;
  case Reachability::Unknown:
    // A worker that has just joined is stored before it is reached.
    if (W.WantedRow_ == LeaseRow::Open && IsSilent && W.LeaseExpiry_ > Millis{})
      return LeaseRow::Closed;
    return W.WantedRow_;
  case Reachability::Expired:
  case Reachability::Replaced:
    return HasRuns ? W.WantedRow_ : LeaseRow::None;
  }
  return W.WantedRow_;
}

void Dispatcher::setLeaseRow(Worker &W, LeaseRow Row) {
  if (W.WantedRow_ == Row)
    return;
  W.WantedRow_ = Row;
  W.OpenRowStored_ = false;
  if (Row == LeaseRow::Open)
    UnrecordedWorkers_.push_back(W.Info_);
  else
    WorkersToClose_.push_back(W.Info_.Id_);
}

void Dispatcher::closeLeaseRows(Millis MinSilence, Millis Now) {
  for (auto &[Id, W] : Workers_)
    setLeaseRow(W, wantedLeaseRow(W, MinSilence, Now));
}

std::optional<LeaseClosing>
Dispatcher::leaseClosing(const std::string &Id) const {
  const Worker *W = findWorker(Id);
  if (!W || W->WantedRow_ == LeaseRow::Open)
    return std::nullopt;
  LeaseClosing Closing{W->Info_, std::nullopt};
  if (W->WantedRow_ == LeaseRow::None)
    return Closing;
  ClosedLeases Leases;
  Leases.Expiry_ = W->LeaseExpiry_;
  // This leader knows all runs of a worker that has listed its ends.
  const bool WasReached =
      W->Reachability_ == Reachability::Unreachable && !W->HasUnseenEnds_;
  Leases.RunsKnown_ = WasReached || W->UnseenRunsKnown_;
  for (const TaskRef &Ref : W->Tasks_)
    Leases.Runs_.push_back(taskName(Ref));
  for (const TaskRef &Ref : W->UnseenRuns_)
    Leases.Runs_.push_back(taskName(Ref));
  for (const UnexpectedRun &UnexpectedEntry : W->UnexpectedRuns_)
    Leases.Runs_.push_back(UnexpectedEntry.Task_);
  Closing.Leases_ = std::move(Leases);
  return Closing;
}

// Logs once a second how many tasks wait for workers that earlier leaders used.
void Dispatcher::logRecovery(int UnseenWorkers, Millis Now) {
  constexpr Millis LogPeriod{1000};
  if (UnseenWorkers == 0 || Now < RecoveryLoggedAt_ + LogPeriod)
    return;
  RecoveryLoggedAt_ = Now;
  int HeldTasks = 0;
  int HeldLongRunningTasks = 0;
  for (const auto &[Id, Job] : ActiveJobs_)
    for (std::size_t Step = 0; Step < Job->Steps_.size(); ++Step)
      for (const TaskState &Task : Job->Steps_[Step].Tasks_) {
        if (!Job->Steps_[Step].Ready_ || Task.Done_ || Task.Run_ ||
            !mayRunUnseen(*Job, Task))
          continue;
        ++HeldTasks;
        HeldLongRunningTasks += Job->Spec_.Steps_[Step].LongRunning_ ? 1 : 0;
      }
  log("", "recover", "",
      "tasks=" + std::to_string(HeldTasks) +
          " long_running=" + std::to_string(HeldLongRunningTasks) +
          " wait for workers=" + std::to_string(UnseenWorkers) +
          " not reached yet, wait_ms=" +
          std::to_string((RecoveryEnd_ - Now).Value_));
}

void Dispatcher::expireUnreachable(Millis Now) {
  RecoveryEnd_ = Millis{};
  AnyTaskMayRunUnseen_ = false;
  bool AnyExpired = false;
  int UnseenWorkers = 0;
  for (Worker *Entry : WorkersById_) {
    Worker &W = *Entry;
    if (W.HasUnseenEnds_) {
      AnyTaskMayRunUnseen_ = AnyTaskMayRunUnseen_ || !W.UnseenRunsKnown_;
      ++UnseenWorkers;
    }
    const bool IsUnknown = W.Reachability_ == Reachability::Unknown;
    if (!IsUnknown && W.Reachability_ != Reachability::Unreachable)
      continue;
    // Earlier leaders have not used the worker.
    if (IsUnknown && W.LeaseExpiry_ == Millis{})
      continue;
    if (Now > W.LeaseExpiry_) {
      log("", "worker", W.Info_.Id_,
          IsUnknown ? "not reached yet, leases of earlier leaders have expired"
                    : "unreachable until its leases expired, its runs are "
                      "lost");
      forgetUnseenRuns(W);
      W.Reachability_ = Reachability::Expired;
      AnyExpired = true;
      dropLostRuns(W, "leases expired", nullptr, Now);
    } else if (IsUnknown) {
      RecoveryEnd_ = std::max(RecoveryEnd_, W.LeaseExpiry_);
      AnyTaskMayRunUnseen_ = AnyTaskMayRunUnseen_ || !W.UnseenRunsKnown_;
      ++UnseenWorkers;
    }
  }
  logRecovery(UnseenWorkers, Now);
  // The next leader would wait for them again if it found their rows.
  if (AnyExpired)
    removeGoneWorkers(Now);
}

} // namespace damaskglade::dispatch
