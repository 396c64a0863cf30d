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
    : Id_(std::move(Id)), Epoch_(Epoch), Owner_(std::move(Owner)), Taken_(Now),
      Settings_(Settings) {}

void OwnedShard::applySettings(const OwnerSettings &Settings) {
  const MutexLock Lock(Mutex_);
  Settings_ = Settings;
}

void OwnedShard::setWorkers(const std::vector<VmEntry> &Workers, Moment Now) {
  const MutexLock Lock(Mutex_);
  std::set<std::string> Present;
  for (const VmEntry &Vm : Workers) {
    Present.insert(Vm.Id_);
    auto [Found, Added] = Links_.try_emplace(Vm.Id_);
    Link &Worker = Found->second;
    // The previous owner may have renewed until it lost the shard.
    if (Added)
      Worker.LeaseEnd_ = Taken_.Wall_ + Settings_.RunLease_;
    const bool WasLeaving = Worker.Leaving_;
    Worker.Vm_ = Vm;
    Worker.Leaving_ = WasLeaving || Vm.Leaving_;
    if (Worker.Known_ && Worker.Leaving_ != WasLeaving)
      putWorker(Worker);
  }
  for (auto Entry = Links_.begin(); Entry != Links_.end();) {
    const bool Gone = Present.count(Entry->first) == 0;
    if (!Gone || !hasLapsed(Entry->second, Now)) {
      ++Entry;
      continue;
    }
    loseTasks(Entry->first);
    Ledger_.removeWorker(Entry->first);
    Entry = Links_.erase(Entry);
  }
}

bool OwnedShard::hasLapsed(const Link &Worker, Moment Now) const {
  return Now.Wall_ > Worker.LeaseEnd_ + Settings_.ClockError_;
}

void OwnedShard::putWorker(const Link &Worker) {
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
  std::vector<Attempt> Held;
  // Lookups are short and have a guaranteed part of their own, so they are not
  // held up for a gang.
  const std::vector<policy::BackfillReservation> Blocked =
      Request.Class_ == TaskClass::Lookup
          ? std::vector<policy::BackfillReservation>{}
          : blocksOfOthers(Request.Job_);
  for (const Attempt &Wanted : Request.Tries_) {
    policy::PlacementRequest Query;
    Query.Job_ = Request.Job_;
    Query.Class_ = Request.Class_;
    Query.Size_ = Request.Size_;
    Query.Guards_ = Settings_.Guards_;
    Query.Random_ = Random;
    if (!Blocked.empty())
      Query.Accepts_ =
          policy::backfillFilter(Ledger_, Blocked, Request.Size_,
                                 Now.Monotonic_ + Request.Run_, Now.Monotonic_);
    const auto Chosen = policy::place(Ledger_, Query);
    if (!Chosen)
      break;
    Attempt Try = Wanted;
    Try.Worker_ = Chosen->Worker_;
    Try.Shard_ = Id_;
    Try.StartBy_ = StartBy;
    policy::Reservation Room;
    Room.Attempt_ = attemptId(Request.Job_, Try);
    Room.Worker_ = Try.Worker_;
    Room.Size_ = Request.Size_;
    Room.Class_ = Request.Class_;
    Room.Urgency_ = Request.Urgency_;
    Room.Team_ = Request.Team_;
    Room.Start_ = Now.Monotonic_;
    Room.EstimatedEnd_ = Now.Monotonic_ + Request.Run_;
    Room.Idempotent_ = Request.Idempotent_;
    if (Tasks_.count(Room.Attempt_) != 0 || !Ledger_.reserve(Room))
      break;
    Task Entry;
    Entry.Job_ = Request.Job_;
    Entry.Home_ = Request.Home_;
    Entry.Worker_ = Try.Worker_;
    Entry.StartBy_ = StartBy;
    Entry.HoldEnd_ = Now.Monotonic_ + Settings_.HoldTime_;
    Tasks_.emplace(Room.Attempt_, std::move(Entry));
    endTrial(Try.Worker_);
    Held.push_back(std::move(Try));
  }
  if (Held.size() == Request.Tries_.size())
    Blocks_.erase(Request.Job_);
  return Held;
}

bool OwnedShard::release(const std::string &Attempt) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end() || Found->second.Phase_ != Phase::Held)
    return false;
  forget(Found);
  return true;
}

// Ends what an attempt holds without a word to its home.
void OwnedShard::forget(TaskMap::iterator Entry) {
  const std::string Worker = Entry->second.Worker_;
  ReducedTasks_ -= Entry->second.Reduced_ ? 1 : 0;
  Ledger_.release(Entry->first);
  Tasks_.erase(Entry);
  reclaimRoom(Worker);
}

Result<HeldStart> OwnedShard::beginStart(const StartCommand &Command,
                                         Moment Now) {
  const MutexLock Lock(Mutex_);
  const std::string Id = attemptId(Command.Job_, Command.Try_);
  const auto Found = Tasks_.find(Id);
  if (Found == Tasks_.end() || Found->second.Phase_ != Phase::Held)
    return Error{Reason::NoCapacity, Effect::None, "start task",
                 Command.Try_.Worker_, "no room is held for the attempt"};
  Task &Entry = Found->second;
  const auto Worker = Links_.find(Entry.Worker_);
  if (Now.Wall_ > Entry.StartBy_ || Worker == Links_.end()) {
    forget(Found);
    return Error{Reason::StartExpired, Effect::None, "start task",
                 Command.Try_.Worker_, "the right to start has expired"};
  }
  Link &Target = Worker->second;
  if (!Target.Listed_) {
    forget(Found);
    return Error{Reason::NoCapacity, Effect::None, "start task",
                 Command.Try_.Worker_, "the worker does not answer"};
  }
  if (Target.Leaving_ || Target.Drained_) {
    forget(Found);
    return Error{Reason::WorkerLeaving, Effect::None, "start task",
                 Command.Try_.Worker_, "the worker is leaving"};
  }
  const policy::Reservation *Room = Ledger_.find(Id);
  HeldStart Out;
  Out.Address_ = Target.Vm_.Address_;
  Out.Worker_ = Entry.Worker_;
  Out.Request_.Attempt_ = Id;
  Out.Request_.Job_ = Command.Job_;
  Out.Request_.Epoch_ = Epoch_;
  Out.Request_.Owner_ = Owner_;
  Out.Request_.StartBy_ = Entry.StartBy_;
  Out.Request_.LeaseEnd_ = Now.Wall_ + Settings_.RunLease_;
  Out.Request_.Size_ = Room->Size_;
  Out.Request_.Run_ = Command.Run_;
  Out.Request_.Payload_ = Command.Payload_;
  Entry.Phase_ = Phase::Starting;
  Target.LeaseEnd_ = std::max(Target.LeaseEnd_, Out.Request_.LeaseEnd_);
  // Anything that is not refused may run, until a listing says otherwise.
  return Out;
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

void OwnedShard::refuseStart(const std::string &Attempt, Reason Why) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end())
    return;
  const auto Worker = Links_.find(Found->second.Worker_);
  if (Worker != Links_.end() && Why == Reason::WorkerLeaving) {
    Worker->second.Leaving_ = true;
    putWorker(Worker->second);
  }
  if (Why == Reason::StartFailed)
    Outcomes_.push_back(StartOutcome{Found->second.Worker_, false, {}});
  forget(Found);
}

void OwnedShard::endWaited(const std::string &Attempt) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end())
    return;
  const auto Worker = Links_.find(Found->second.Worker_);
  if (Worker != Links_.end())
    Worker->second.Acked_.push_back(Attempt);
  forget(Found);
}

void OwnedShard::dropExpiredHolds(Moment Now) {
  const MutexLock Lock(Mutex_);
  for (auto Entry = Tasks_.begin(); Entry != Tasks_.end();) {
    const auto Each = Entry++;
    if (Each->second.Phase_ == Phase::Held &&
        Now.Monotonic_ > Each->second.HoldEnd_)
      forget(Each);
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
  // A task that was ended to make room has no answer of its own.
  const bool Cut = Entry.Preempted_ &&
                   Status.Verdict_ == OwnerVerdict::Finished &&
                   !Status.Answer_.Ok_;
  Entry.End_ = Cut ? OwnerStatus{OwnerVerdict::Lost, {}} : Status;
  Entry.NextNotice_ = Millis{};
  reclaimRoom(Entry.Worker_);
}

void OwnedShard::loseTasks(const std::string &Worker) {
  for (auto &[Attempt, Entry] : Tasks_)
    if (Entry.Worker_ == Worker && Entry.Phase_ != Phase::Held)
      endTask(Attempt, Entry, OwnerStatus{OwnerVerdict::Lost, {}});
}

std::vector<EndedTask> OwnedShard::dueNotices(Moment Now, std::size_t Limit) {
  constexpr Millis NoticeInterval{1000};
  constexpr int NoticesUntilHomeLookup = 3;
  const MutexLock Lock(Mutex_);
  std::vector<EndedTask> Due;
  for (auto Entry = Tasks_.begin(); Entry != Tasks_.end();) {
    Task &Each = Entry->second;
    if (Each.Phase_ != Phase::Ended || Now.Monotonic_ < Each.NextNotice_) {
      ++Entry;
      continue;
    }
    // Nobody waits for the end of a lookup whose call was cut.
    if (isLookup(Each.Job_)) {
      const auto Worker = Links_.find(Each.Worker_);
      if (Worker != Links_.end())
        Worker->second.Acked_.push_back(Entry->first);
      Entry = Tasks_.erase(Entry);
      continue;
    }
    if (Due.size() >= Limit)
      break;
    // The home may have changed while it did not answer.
    if (++Each.Notices_ % NoticesUntilHomeLookup == 0)
      Each.Home_.clear();
    Each.NextNotice_ = Now.Monotonic_ + NoticeInterval;
    Due.push_back(EndedTask{Entry->first, Each.Job_, Each.Home_, Each.End_});
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
  const auto Worker = Links_.find(Found->second.Worker_);
  if (Worker != Links_.end())
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
    case Phase::Held:
      // Giving the hold back makes sure that a late start is refused.
      forget(Found);
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
  const auto Worker = Links_.find(Try.Worker_);
  const Millis Lapsed = Worker == Links_.end()
                            ? Taken_.Wall_ + Settings_.RunLease_
                            : Worker->second.LeaseEnd_;
  const bool Reachable = Worker != Links_.end() && Worker->second.Listed_;
  if (Reachable) {
    Address = Worker->second.Vm_.Address_;
    return std::nullopt;
  }
  if (Now.Wall_ > std::max(Lapsed, Try.StartBy_) + Settings_.ClockError_)
    return OwnerStatus{OwnerVerdict::Lost, {}};
  return OwnerStatus{OwnerVerdict::Pending, {}};
}

OwnerStatus OwnedShard::unknownToWorker(const Attempt &Try, Moment Now) const {
  const MutexLock Lock(Mutex_);
  if (Now.Wall_ <= Try.StartBy_ + Settings_.ClockError_)
    return OwnerStatus{OwnerVerdict::Pending, {}};
  // A worker that was restarted forgets what it ran, so this is not a proof
  // that the attempt never ran.
  return OwnerStatus{OwnerVerdict::Lost, {}};
}

void OwnedShard::adoptLocked(const RunningTask &Running,
                             const std::string &Worker, Millis Now) {
  Task Entry;
  Attempt Try;
  if (!splitAttemptId(Running.Attempt_, Entry.Job_, Try) ||
      Tasks_.count(Running.Attempt_) != 0)
    return;
  policy::Reservation Room;
  Room.Attempt_ = Running.Attempt_;
  Room.Worker_ = Worker;
  Room.Size_ = Running.Size_;
  Room.Start_ = Now;
  if (!Running.Suspended_ && !Ledger_.adopt(Room))
    return;
  Entry.Phase_ = Phase::Running;
  Entry.Worker_ = Worker;
  Entry.Confirmed_ = Now;
  Entry.Reduced_ = Running.Suspended_;
  Entry.Full_ = Room;
  ReducedTasks_ += Running.Suspended_ ? 1 : 0;
  Tasks_.emplace(Running.Attempt_, std::move(Entry));
}

std::string OwnedShard::addressOf(const std::string &Attempt) const {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end() || Found->second.Phase_ == Phase::Ended)
    return {};
  const auto Worker = Links_.find(Found->second.Worker_);
  return Worker == Links_.end() ? std::string() : Worker->second.Vm_.Address_;
}

bool OwnedShard::hasWorker(const std::string &Worker) const {
  const MutexLock Lock(Mutex_);
  return Links_.count(Worker) != 0;
}

bool OwnedShard::setDrained(const std::string &Worker, bool Drained) {
  const MutexLock Lock(Mutex_);
  const auto Found = Links_.find(Worker);
  if (Found == Links_.end())
    return false;
  Found->second.Drained_ = Drained;
  if (Found->second.Known_)
    putWorker(Found->second);
  return true;
}

bool OwnedShard::setQuarantined(const std::string &Worker, bool Quarantined) {
  const MutexLock Lock(Mutex_);
  const auto Found = Links_.find(Worker);
  if (Found == Links_.end())
    return false;
  Found->second.Quarantined_ = Quarantined;
  if (Found->second.Known_)
    putWorker(Found->second);
  return true;
}

void OwnedShard::addHeadroom(Headroom &Sum) const {
  const MutexLock Lock(Mutex_);
  const policy::LedgerTotals &Totals = Ledger_.totals();
  Sum.Free_ = Sum.Free_ + Totals.Free_;
  Sum.Total_ = Sum.Total_ + Totals.Capacity_;
  for (const auto &[Id, Worker] : Links_) {
    if (!Worker.Known_)
      continue;
    Sum.Largest_ = largerOf(Sum.Largest_, Ledger_.freeOf(Id));
    Sum.LargestTotal_ = largerOf(Sum.LargestTotal_, Worker.Capacity_);
  }
}

void OwnedShard::addWorkers(std::vector<WorkerStatus> &Out) const {
  const MutexLock Lock(Mutex_);
  for (const auto &[Id, Worker] : Links_) {
    const policy::WorkerAccount *Account = Ledger_.worker(Id);
    Out.push_back(WorkerStatus{
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
