#include "node/owned_shard.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

const std::string LookupPrefix = "lookup-";

bool isLookup(const std::string &Job) {
  return Job.compare(0, LookupPrefix.size(), LookupPrefix) == 0;
}

} // namespace

OwnedShard::OwnedShard(std::string Id, std::int64_t Epoch, std::string Owner,
                       OwnerSettings Settings, Moment Now)
    : Id_(std::move(Id)), Epoch_(Epoch), Owner_(std::move(Owner)),
      AcquiredAt_(Now), Settings_(Settings) {}

void OwnedShard::applySettings(const OwnerSettings &Settings) {
  const MutexLock Lock(Mutex_);
  Settings_ = Settings;
}

void OwnedShard::setWorkers(const std::vector<VmEntry> &Workers, Moment Now) {
  const MutexLock Lock(Mutex_);
  std::set<std::string> Present;
  for (const VmEntry &Vm : Workers) {
    Present.insert(Vm.Id_);
    auto [Found, Added] = Workers_.try_emplace(Vm.Id_);
    WorkerState &Worker = Found->second;
    // The previous owner may have renewed leases until it lost the shard.
    if (Added)
      Worker.LeaseEnd_ = AcquiredAt_.Wall_ + Settings_.RunLease_;
    const bool WasLeaving = Worker.Leaving_;
    Worker.Vm_ = Vm;
    Worker.Leaving_ = WasLeaving || Vm.Leaving_;
    if (Worker.CapacityKnown_ && Worker.Leaving_ != WasLeaving)
      updateLedger(Worker);
  }
  for (auto Entry = Workers_.begin(); Entry != Workers_.end();) {
    const bool Missing = Present.count(Entry->first) == 0;
    if (!Missing || !isLeaseExpired(Entry->second, Now)) {
      ++Entry;
      continue;
    }
    markTasksLost(Entry->first);
    Ledger_.removeWorker(Entry->first);
    Entry = Workers_.erase(Entry);
  }
}

bool OwnedShard::isLeaseExpired(const WorkerState &Worker, Moment Now) const {
  return Now.Wall_ > Worker.LeaseEnd_ + Settings_.ClockError_;
}

void OwnedShard::updateLedger(const WorkerState &Worker) {
  policy::WorkerInfo Info;
  Info.Id_ = Worker.Vm_.Id_;
  Info.Zone_ = Worker.Vm_.Zone_;
  Info.Rack_ = Worker.Vm_.Rack_;
  Info.Capacity_ = Worker.Capacity_;
  Info.Leaving_ = Worker.Leaving_ || Worker.Drained_;
  Info.Listed_ = Worker.Listed_;
  Info.Quarantined_ = Worker.Quarantined_;
  Info.CanCheckpoint_ = Worker.CanCheckpoint_;
  Info.CanThrottle_ = Worker.CanThrottle_;
  // The only error is an invalid capacity, which the codec has refused.
  static_cast<void>(Ledger_.putWorker(Info));
}

std::vector<Attempt> OwnedShard::reserve(const ReserveRequest &Request,
                                         Millis StartBy, std::uint64_t Random,
                                         Moment Now) {
  const MutexLock Lock(Mutex_);
  std::vector<Attempt> Placed;
  // Lookups are short and have guaranteed capacity of their own, so backfill
  // reservations do not delay them.
  const std::vector<policy::BackfillReservation> OtherReservations =
      Request.Class_ == TaskClass::Lookup
          ? std::vector<policy::BackfillReservation>{}
          : backfillReservationsOfOthers(Request.Job_);
  for (const Attempt &Requested : Request.Tries_) {
    policy::PlacementRequest Query;
    Query.Job_ = Request.Job_;
    Query.Class_ = Request.Class_;
    Query.Size_ = Request.Size_;
    Query.Guards_ = Settings_.Guards_;
    Query.Random_ = Random;
    if (!OtherReservations.empty())
      Query.Accepts_ =
          policy::backfillFilter(Ledger_, OtherReservations, Request.Size_,
                                 Now.Monotonic_ + Request.Run_, Now.Monotonic_);
    const auto Placement = policy::place(Ledger_, Query);
    if (!Placement)
      break;
    Attempt Try = Requested;
    Try.Worker_ = Placement->Worker_;
    Try.Shard_ = Id_;
    Try.StartBy_ = StartBy;
    policy::Reservation Reservation;
    Reservation.Attempt_ = attemptId(Request.Job_, Try);
    Reservation.Worker_ = Try.Worker_;
    Reservation.Size_ = Request.Size_;
    Reservation.Class_ = Request.Class_;
    Reservation.Urgency_ = Request.Urgency_;
    Reservation.Team_ = Request.Team_;
    Reservation.Start_ = Now.Monotonic_;
    Reservation.EstimatedEnd_ = Now.Monotonic_ + Request.Run_;
    Reservation.Idempotent_ = Request.Idempotent_;
    if (Tasks_.count(Reservation.Attempt_) != 0 ||
        !Ledger_.reserve(Reservation))
      break;
    Task NewTask;
    NewTask.Job_ = Request.Job_;
    NewTask.Home_ = Request.Home_;
    NewTask.Worker_ = Try.Worker_;
    NewTask.StartBy_ = StartBy;
    NewTask.ReservationExpiry_ = Now.Monotonic_ + Settings_.HoldTime_;
    Tasks_.emplace(Reservation.Attempt_, std::move(NewTask));
    endTrial(Try.Worker_);
    Placed.push_back(std::move(Try));
  }
  if (Placed.size() == Request.Tries_.size())
    BackfillReservations_.erase(Request.Job_);
  return Placed;
}

bool OwnedShard::release(const std::string &Attempt) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end() || Found->second.Phase_ != Phase::Reserved)
    return false;
  removeTask(Found);
  return true;
}

// Frees the capacity of an attempt and drops it without notifying its home.
void OwnedShard::removeTask(TaskMap::iterator Entry) {
  const std::string Worker = Entry->second.Worker_;
  ReducedTasks_ -= Entry->second.Reduced_ ? 1 : 0;
  Ledger_.release(Entry->first);
  Tasks_.erase(Entry);
  reserveForResumes(Worker);
}

Result<HeldStart> OwnedShard::beginStart(const StartCommand &Command,
                                         Moment Now) {
  const MutexLock Lock(Mutex_);
  const std::string Id = attemptId(Command.Job_, Command.Try_);
  const auto Found = Tasks_.find(Id);
  if (Found == Tasks_.end() || Found->second.Phase_ != Phase::Reserved)
    return Error{Reason::NoCapacity, Effect::None, "start task",
                 Command.Try_.Worker_,
                 "the attempt has no reservation; it may have expired"};
  Task &Entry = Found->second;
  const auto Worker = Workers_.find(Entry.Worker_);
  if (Now.Wall_ > Entry.StartBy_ || Worker == Workers_.end()) {
    removeTask(Found);
    return Error{Reason::StartExpired, Effect::None, "start task",
                 Command.Try_.Worker_,
                 "the start deadline has passed or the worker was removed"};
  }
  WorkerState &Target = Worker->second;
  if (!Target.Listed_) {
    removeTask(Found);
    return Error{Reason::NoCapacity, Effect::None, "start task",
                 Command.Try_.Worker_,
                 "the worker does not answer or its tasks are not listed yet"};
  }
  if (Target.Leaving_ || Target.Drained_) {
    removeTask(Found);
    return Error{Reason::WorkerLeaving, Effect::None, "start task",
                 Command.Try_.Worker_, "the worker is leaving or drained"};
  }
  const policy::Reservation *Reservation = Ledger_.find(Id);
  HeldStart Start;
  Start.Address_ = Target.Vm_.Address_;
  Start.Worker_ = Entry.Worker_;
  Start.Request_.Attempt_ = Id;
  Start.Request_.Job_ = Command.Job_;
  Start.Request_.Epoch_ = Epoch_;
  Start.Request_.Owner_ = Owner_;
  Start.Request_.StartBy_ = Entry.StartBy_;
  Start.Request_.LeaseEnd_ = Now.Wall_ + Settings_.RunLease_;
  Start.Request_.Size_ = Reservation->Size_;
  Start.Request_.Run_ = Command.Run_;
  Start.Request_.Payload_ = Command.Payload_;
  Entry.Phase_ = Phase::Starting;
  Target.LeaseEnd_ = std::max(Target.LeaseEnd_, Start.Request_.LeaseEnd_);
  // Unless the start is refused, the task may be running until a listing shows
  // otherwise.
  return Start;
}

void OwnedShard::confirmStart(const std::string &Attempt, Moment Now) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end() || Found->second.Phase_ == Phase::Ended)
    return;
  Found->second.Phase_ = Phase::Running;
  Found->second.Confirmed_ = Now.Monotonic_;
}

void OwnedShard::leaveUnresolved(const std::string &Attempt) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found != Tasks_.end() && Found->second.Phase_ == Phase::Starting)
    Found->second.Phase_ = Phase::Unresolved;
}

void OwnedShard::cancelStart(const std::string &Attempt, Reason Why) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end())
    return;
  const auto Worker = Workers_.find(Found->second.Worker_);
  if (Worker != Workers_.end() && Why == Reason::WorkerLeaving) {
    Worker->second.Leaving_ = true;
    updateLedger(Worker->second);
  }
  if (Why == Reason::StartFailed)
    Outcomes_.push_back(StartOutcome{Found->second.Worker_, false, {}});
  removeTask(Found);
}

void OwnedShard::endSynchronousTask(const std::string &Attempt) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end())
    return;
  const auto Worker = Workers_.find(Found->second.Worker_);
  if (Worker != Workers_.end())
    Worker->second.Acked_.push_back(Attempt);
  removeTask(Found);
}

void OwnedShard::dropExpiredHolds(Moment Now) {
  const MutexLock Lock(Mutex_);
  for (auto Entry = Tasks_.begin(); Entry != Tasks_.end();) {
    const auto Current = Entry++;
    if (Current->second.Phase_ == Phase::Reserved &&
        Now.Monotonic_ > Current->second.ReservationExpiry_)
      removeTask(Current);
  }
}

void OwnedShard::endTask(const std::string &Attempt, Task &Entry,
                         const OwnerStatus &Status) {
  if (Entry.Phase_ == Phase::Ended)
    return;
  Ledger_.release(Attempt);
  ReducedTasks_ -= Entry.Reduced_ ? 1 : 0;
  Entry.Reduced_ = false;
  Entry.Phase_ = Phase::Ended;
  // The failure of a task that was preempted is not an answer of the task.
  const bool FailedByPreemption = Entry.Preempted_ &&
                                  Status.Verdict_ == OwnerVerdict::Finished &&
                                  !Status.Answer_.Ok_;
  Entry.End_ =
      FailedByPreemption ? OwnerStatus{OwnerVerdict::Lost, {}} : Status;
  Entry.NextNotice_ = Millis{};
  reserveForResumes(Entry.Worker_);
}

void OwnedShard::markTasksLost(const std::string &Worker) {
  for (auto &[Attempt, Entry] : Tasks_)
    if (Entry.Worker_ == Worker && Entry.Phase_ != Phase::Reserved)
      endTask(Attempt, Entry, OwnerStatus{OwnerVerdict::Lost, {}});
}

std::vector<EndedTask> OwnedShard::dueNotices(Moment Now, std::size_t Limit) {
  constexpr Millis NoticeInterval{1000};
  constexpr int NoticesUntilHomeLookup = 3;
  const MutexLock Lock(Mutex_);
  std::vector<EndedTask> Due;
  for (auto Entry = Tasks_.begin(); Entry != Tasks_.end();) {
    Task &Candidate = Entry->second;
    if (Candidate.Phase_ != Phase::Ended ||
        Now.Monotonic_ < Candidate.NextNotice_) {
      ++Entry;
      continue;
    }
    // The call that started a lookup has failed if its task still exists here,
    // so nobody waits for its end.
    if (isLookup(Candidate.Job_)) {
      const auto Worker = Workers_.find(Candidate.Worker_);
      if (Worker != Workers_.end())
        Worker->second.Acked_.push_back(Entry->first);
      Entry = Tasks_.erase(Entry);
      continue;
    }
    if (Due.size() >= Limit)
      break;
    // After several unanswered notifications the home is looked up again, since
    // the job may have moved to another one.
    if (++Candidate.Notices_ % NoticesUntilHomeLookup == 0)
      Candidate.Home_.clear();
    Candidate.NextNotice_ = Now.Monotonic_ + NoticeInterval;
    Due.push_back(EndedTask{Entry->first, Candidate.Job_, Candidate.Home_,
                            Candidate.End_});
    ++Entry;
  }
  return Due;
}

void OwnedShard::setHome(const std::string &Attempt, const std::string &Home) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found != Tasks_.end())
    Found->second.Home_ = Home;
}

void OwnedShard::acknowledge(const std::string &Attempt) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end() || Found->second.Phase_ != Phase::Ended)
    return;
  const auto Worker = Workers_.find(Found->second.Worker_);
  if (Worker != Workers_.end())
    Worker->second.Acked_.push_back(Attempt);
  Tasks_.erase(Found);
}

std::optional<OwnerStatus> OwnedShard::statusOf(const std::string &Job,
                                                const Attempt &Try, Moment Now,
                                                std::string &Address) {
  const MutexLock Lock(Mutex_);
  const std::string Id = attemptId(Job, Try);
  const auto Found = Tasks_.find(Id);
  if (Found != Tasks_.end()) {
    switch (Found->second.Phase_) {
    case Phase::Reserved:
      // Cancelling the reservation ensures that a late start is refused.
      removeTask(Found);
      return OwnerStatus{OwnerVerdict::NotRun, {}};
    case Phase::Starting:
    case Phase::Unresolved:
      return OwnerStatus{OwnerVerdict::Pending, {}};
    case Phase::Running:
      return OwnerStatus{OwnerVerdict::Running, {}};
    case Phase::Ended:
      return Found->second.End_;
    }
  }
  const auto Worker = Workers_.find(Try.Worker_);
  const Millis LeaseEnd = Worker == Workers_.end()
                              ? AcquiredAt_.Wall_ + Settings_.RunLease_
                              : Worker->second.LeaseEnd_;
  const bool Reachable = Worker != Workers_.end() && Worker->second.Listed_;
  if (Reachable) {
    Address = Worker->second.Vm_.Address_;
    return std::nullopt;
  }
  if (Now.Wall_ > std::max(LeaseEnd, Try.StartBy_) + Settings_.ClockError_)
    return OwnerStatus{OwnerVerdict::Lost, {}};
  return OwnerStatus{OwnerVerdict::Pending, {}};
}

OwnerStatus OwnedShard::statusOfUnknownAttempt(const Attempt &Try,
                                               Moment Now) const {
  const MutexLock Lock(Mutex_);
  if (Now.Wall_ <= Try.StartBy_ + Settings_.ClockError_)
    return OwnerStatus{OwnerVerdict::Pending, {}};
  // A restarted worker does not know what it ran before, so the attempt may
  // have run.
  return OwnerStatus{OwnerVerdict::Lost, {}};
}

void OwnedShard::adoptTask(const RunningTask &Running,
                           const std::string &Worker, Millis Now) {
  Task NewTask;
  Attempt Try;
  if (!splitAttemptId(Running.Attempt_, NewTask.Job_, Try) ||
      Tasks_.count(Running.Attempt_) != 0)
    return;
  policy::Reservation Reservation;
  Reservation.Attempt_ = Running.Attempt_;
  Reservation.Worker_ = Worker;
  Reservation.Size_ = Running.Size_;
  Reservation.Start_ = Now;
  if (!Running.Suspended_ && !Ledger_.adopt(Reservation))
    return;
  NewTask.Phase_ = Phase::Running;
  NewTask.Worker_ = Worker;
  NewTask.Confirmed_ = Now;
  NewTask.Reduced_ = Running.Suspended_;
  NewTask.FullReservation_ = Reservation;
  ReducedTasks_ += Running.Suspended_ ? 1 : 0;
  Tasks_.emplace(Running.Attempt_, std::move(NewTask));
}

std::string OwnedShard::addressOf(const std::string &Attempt) const {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end() || Found->second.Phase_ == Phase::Ended)
    return {};
  const auto Worker = Workers_.find(Found->second.Worker_);
  return Worker == Workers_.end() ? std::string() : Worker->second.Vm_.Address_;
}

bool OwnedShard::hasWorker(const std::string &Worker) const {
  const MutexLock Lock(Mutex_);
  return Workers_.count(Worker) != 0;
}

bool OwnedShard::setDrained(const std::string &Worker, bool Drained) {
  const MutexLock Lock(Mutex_);
  const auto Found = Workers_.find(Worker);
  if (Found == Workers_.end())
    return false;
  Found->second.Drained_ = Drained;
  if (Found->second.CapacityKnown_)
    updateLedger(Found->second);
  return true;
}

bool OwnedShard::setQuarantined(const std::string &Worker, bool Quarantined) {
  const MutexLock Lock(Mutex_);
  const auto Found = Workers_.find(Worker);
  if (Found == Workers_.end())
    return false;
  Found->second.Quarantined_ = Quarantined;
  if (Found->second.CapacityKnown_)
    updateLedger(Found->second);
  return true;
}

void OwnedShard::addHeadroom(Headroom &Total) const {
  const MutexLock Lock(Mutex_);
  const policy::LedgerTotals &Totals = Ledger_.totals();
  Total.Free_ = Total.Free_ + Totals.Free_;
  Total.Total_ = Total.Total_ + Totals.Capacity_;
  for (const auto &[Id, Worker] : Workers_) {
    if (!Worker.CapacityKnown_)
      continue;
    Total.Largest_ = largerOf(Total.Largest_, Ledger_.freeOf(Id));
    Total.LargestTotal_ = largerOf(Total.LargestTotal_, Worker.Capacity_);
  }
}

void OwnedShard::addWorkers(std::vector<WorkerStatus> &List) const {
  const MutexLock Lock(Mutex_);
  for (const auto &[Id, Worker] : Workers_) {
    const policy::WorkerAccount *Account = Ledger_.worker(Id);
    List.push_back(WorkerStatus{
        Id, Id_, Worker.Vm_.Address_, Worker.Capacity_, Ledger_.freeOf(Id),
        Account == nullptr ? 0 : Account->Attempts_.size(), Worker.Listed_,
        Worker.Leaving_, Worker.Drained_, Worker.Quarantined_});
  }
}

std::size_t OwnedShard::taskCount() const {
  const MutexLock Lock(Mutex_);
  return Tasks_.size();
}

} // namespace damaskglade::node
