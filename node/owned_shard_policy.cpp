#include "node/owned_shard.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

// A home tries a job that does not fit several times a second. Room that is no
// longer asked for is given up after this.
constexpr Millis BlockTime{3000};
// Each further reservation keeps more room idle while it waits.
constexpr std::size_t MaxBlocks = 2;
constexpr Millis ResumeRetryDelay{1000};
// A failure within this time counts against the worker. A task that fails
// later has most likely failed by itself.
constexpr Millis QuickFailure{2000};

} // namespace

std::optional<policy::PreemptionPlan>
OwnedShard::planPreemption(const ReserveRequest &Request,
                           std::int64_t MaxTasks) const {
  const MutexLock Lock(Mutex_);
  policy::PreemptionRequest Wanted;
  Wanted.Size_ = Request.Size_;
  Wanted.Tasks_ = static_cast<std::int64_t>(Request.Tries_.size());
  Wanted.Class_ = Request.Class_;
  Wanted.Urgency_ = Request.Urgency_;
  auto Plan = policy::planPreemption(Ledger_, Wanted,
                                     policy::PreemptionSettings{}, MaxTasks);
  if (!Plan || !Plan->Gangs_.empty())
    return std::nullopt;
  // A task that must not run twice can't be placed again after a stop.
  const bool StopsUnrepeatable =
      std::any_of(Plan->Steps_.begin(), Plan->Steps_.end(),
                  [&](const policy::PreemptionStep &Step) {
                    const policy::Reservation *Room =
                        Ledger_.find(Step.Attempt_);
                    return Step.Action_ == TaskControl::Stop &&
                           (Room == nullptr || !Room->Idempotent_);
                  });
  if (StopsUnrepeatable)
    return std::nullopt;
  return Plan;
}

void OwnedShard::beginPreemption(const policy::PreemptionStep &Step) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Step.Attempt_);
  if (Found != Tasks_.end() && Step.Action_ == TaskControl::Stop)
    Found->second.Preempted_ = true;
}

void OwnedShard::refusePreemption(const policy::PreemptionStep &Step) {
  const MutexLock Lock(Mutex_);
  const auto Task = Tasks_.find(Step.Attempt_);
  if (Task != Tasks_.end())
    Task->second.Preempted_ = false;
  const auto Found = Links_.find(Step.Worker_);
  if (Found == Links_.end())
    return;
  if (Step.Action_ == TaskControl::Checkpoint)
    Found->second.CanCheckpoint_ = false;
  if (Step.Action_ == TaskControl::Throttle)
    Found->second.CanThrottle_ = false;
  putWorker(Found->second);
}

void OwnedShard::applyPreemption(const policy::PreemptionStep &Step) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Step.Attempt_);
  const policy::Reservation *Room = Ledger_.find(Step.Attempt_);
  if (Found == Tasks_.end() || Room == nullptr)
    return;
  Task &Entry = Found->second;
  if (Step.Action_ == TaskControl::Stop) {
    Entry.Preempted_ = true;
    endTask(Step.Attempt_, Entry, OwnerStatus{OwnerVerdict::Lost, {}});
    return;
  }
  if (!Entry.Reduced_) {
    Entry.Full_ = *Room;
    ++ReducedTasks_;
  }
  Entry.Reduced_ = true;
  Entry.Reclaimed_ = false;
  policy::applyPreemption(Ledger_, Step);
}

bool OwnedShard::holdFullRoom(const std::string &Attempt, const Task &Entry) {
  // A checkpointed task holds nothing; a throttled one holds a part.
  if (Ledger_.find(Attempt) == nullptr)
    return Ledger_.reserve(Entry.Full_).has_value();
  if (!Ledger_.resize(Attempt, Entry.Full_.Size_))
    return false;
  Ledger_.setThrottled(Attempt, false);
  return true;
}

// Suspended tasks get the room that comes free on their worker before new work
// can take it; otherwise a full queue would keep them suspended forever.
void OwnedShard::reclaimRoom(const std::string &Worker) {
  const auto Target = Links_.find(Worker);
  if (ReducedTasks_ == 0 || Target == Links_.end() || !Target->second.Listed_)
    return;
  for (auto &[Attempt, Entry] : Tasks_) {
    if (Entry.Worker_ != Worker || !Entry.Reduced_ || Entry.Reclaimed_ ||
        Entry.Phase_ != Phase::Running)
      continue;
    Entry.Reclaimed_ = holdFullRoom(Attempt, Entry);
  }
}

std::vector<std::string> OwnedShard::beginResumes(Moment Now) {
  const MutexLock Lock(Mutex_);
  std::vector<std::string> Out;
  if (ReducedTasks_ == 0)
    return Out;
  std::set<std::string> Workers;
  for (const auto &[Attempt, Entry] : Tasks_)
    if (Entry.Reduced_ && !Entry.Reclaimed_)
      Workers.insert(Entry.Worker_);
  for (const std::string &Worker : Workers)
    reclaimRoom(Worker);
  for (auto &[Attempt, Entry] : Tasks_) {
    if (!Entry.Reclaimed_ || Entry.Phase_ != Phase::Running ||
        Now.Monotonic_ < Entry.NextResume_)
      continue;
    Entry.NextResume_ = Now.Monotonic_ + ResumeRetryDelay;
    Out.push_back(Attempt);
  }
  return Out;
}

// After a call of unknown effect the task may run at full size, so its room
// stays held and the resume is repeated; a second one has no effect.
void OwnedShard::endResume(const std::string &Attempt, bool Resumed) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end() || !Resumed)
    return;
  if (Found->second.Reduced_)
    --ReducedTasks_;
  Found->second.Reduced_ = false;
  Found->second.Reclaimed_ = false;
}

void OwnedShard::block(const ReserveRequest &Request, Moment Now) {
  const MutexLock Lock(Mutex_);
  const auto Found = Blocks_.find(Request.Job_);
  if (Found != Blocks_.end()) {
    Found->second.Renewed_ = Now.Monotonic_;
    const auto Next = policy::refreshReservation(Ledger_, Found->second.Room_,
                                                 Now.Monotonic_);
    if (Next)
      Found->second.Room_ = *Next;
    return;
  }
  if (Blocks_.size() >= MaxBlocks)
    return;
  policy::BlockedWork Work;
  Work.Job_ = Request.Job_;
  Work.Size_ = Request.Size_;
  Work.Tasks_ = static_cast<std::int64_t>(Request.Tries_.size());
  Work.Since_ = Now.Monotonic_;
  const auto Room = policy::earliestStart(Ledger_, Work, Now.Monotonic_);
  if (Room)
    Blocks_.emplace(Request.Job_, Block{*Room, Now.Monotonic_});
}

void OwnedShard::dropStaleBlocks(Moment Now) {
  const MutexLock Lock(Mutex_);
  std::erase_if(Blocks_, [&](const auto &Entry) {
    return Now.Monotonic_ - Entry.second.Renewed_ > BlockTime;
  });
}

std::vector<policy::BackfillReservation>
OwnedShard::blocksOfOthers(const std::string &Job) const {
  std::vector<policy::BackfillReservation> Out;
  for (const auto &[Id, Each] : Blocks_)
    if (Id != Job)
      Out.push_back(Each.Room_);
  return Out;
}

void OwnedShard::allowTrial(const std::string &Worker) {
  const MutexLock Lock(Mutex_);
  const auto Found = Links_.find(Worker);
  if (Found == Links_.end() || !Found->second.Known_)
    return;
  Found->second.Trial_ = true;
  Found->second.Quarantined_ = false;
  putWorker(Found->second);
}

void OwnedShard::endTrial(const std::string &Worker) {
  const auto Found = Links_.find(Worker);
  if (Found == Links_.end() || !Found->second.Trial_)
    return;
  Found->second.Trial_ = false;
  Found->second.Quarantined_ = true;
  putWorker(Found->second);
}

void OwnedShard::noteOutcome(const Task &Entry, const OwnerStatus &Status) {
  if (Entry.Preempted_ || Entry.Phase_ == Phase::Ended ||
      Status.Verdict_ != OwnerVerdict::Finished)
    return;
  Outcomes_.push_back(
      StartOutcome{Entry.Worker_, Status.Answer_.Ok_, QuickFailure});
}

std::vector<StartOutcome> OwnedShard::takeOutcomes() {
  const MutexLock Lock(Mutex_);
  std::vector<StartOutcome> Out;
  Out.swap(Outcomes_);
  return Out;
}

} // namespace damaskglade::node
