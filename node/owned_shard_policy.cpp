#include "node/owned_shard.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

// A home retries a job that does not fit several times a second. A backfill
// reservation that is not renewed for this long is dropped.
constexpr Millis BackfillReservationExpiry{3000};
// Each backfill reservation keeps capacity idle until its job starts.
constexpr std::size_t MaxBackfillReservations = 2;
constexpr Millis ResumeRetryDelay{1000};
// Time to failure that is passed to the quarantine for a task that ended with
// an error. The quarantine counts failures up to its own limit against the
// worker; a later one is most likely caused by the task itself.
constexpr Millis ReportedTimeToFailure{2000};

} // namespace

std::optional<policy::PreemptionPlan>
OwnedShard::planPreemption(const ReserveRequest &Request,
                           std::int64_t MaxTasks) const {
  const MutexLock Lock(Mutex_);
  policy::PreemptionRequest Query;
  Query.Size_ = Request.Size_;
  Query.Tasks_ = static_cast<std::int64_t>(Request.Tries_.size());
  Query.Class_ = Request.Class_;
  Query.Urgency_ = Request.Urgency_;
  auto Plan = policy::planPreemption(Ledger_, Query,
                                     policy::PreemptionSettings{}, MaxTasks);
  if (!Plan || !Plan->Gangs_.empty())
    return std::nullopt;
  // A task that is not idempotent cannot be placed again after a stop.
  const bool StopsNonIdempotent = std::any_of(
      Plan->Steps_.begin(), Plan->Steps_.end(),
      [&](const policy::PreemptionStep &Step) {
        const policy::Reservation *Reservation = Ledger_.find(Step.Attempt_);
        return Step.Action_ == TaskControl::Stop &&
               (Reservation == nullptr || !Reservation->Idempotent_);
      });
  if (StopsNonIdempotent)
    return std::nullopt;
  return Plan;
}

void OwnedShard::beginPreemption(const policy::PreemptionStep &Step) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Step.Attempt_);
  if (Found != Tasks_.end() && Step.Action_ == TaskControl::Stop)
    Found->second.Preempted_ = true;
}

void OwnedShard::recordRefusedPreemption(const policy::PreemptionStep &Step) {
  const MutexLock Lock(Mutex_);
  const auto Task = Tasks_.find(Step.Attempt_);
  if (Task != Tasks_.end())
    Task->second.Preempted_ = false;
  const auto Found = Workers_.find(Step.Worker_);
  if (Found == Workers_.end())
    return;
  if (Step.Action_ == TaskControl::Checkpoint)
    Found->second.CanCheckpoint_ = false;
  if (Step.Action_ == TaskControl::Throttle)
    Found->second.CanThrottle_ = false;
  updateLedger(Found->second);
}

void OwnedShard::applyPreemption(const policy::PreemptionStep &Step) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Step.Attempt_);
  const policy::Reservation *Reservation = Ledger_.find(Step.Attempt_);
  if (Found == Tasks_.end() || Reservation == nullptr)
    return;
  Task &Entry = Found->second;
  if (Step.Action_ == TaskControl::Stop) {
    Entry.Preempted_ = true;
    endTask(Step.Attempt_, Entry, OwnerStatus{OwnerVerdict::Lost, {}});
    return;
  }
  if (!Entry.Reduced_) {
    Entry.FullReservation_ = *Reservation;
    ++ReducedTasks_;
  }
  Entry.Reduced_ = true;
  Entry.ReadyToResume_ = false;
  policy::applyPreemption(Ledger_, Step);
}

bool OwnedShard::restoreReservation(const std::string &Attempt,
                                    const Task &Entry) {
  // A checkpointed task has no reservation; a throttled one has a smaller one.
  if (Ledger_.find(Attempt) == nullptr)
    return Ledger_.reserve(Entry.FullReservation_).has_value();
  if (!Ledger_.resize(Attempt, Entry.FullReservation_.Size_))
    return false;
  Ledger_.setThrottled(Attempt, false);
  return true;
}

// Reserves the capacity that becomes free on a worker for its checkpointed and
// throttled tasks before new work can take it; otherwise they would never
// resume while the queue is full.
void OwnedShard::reserveForResumes(const std::string &Worker) {
  const auto Target = Workers_.find(Worker);
  if (ReducedTasks_ == 0 || Target == Workers_.end() || !Target->second.Listed_)
    return;
  for (auto &[Attempt, Entry] : Tasks_) {
    if (Entry.Worker_ != Worker || !Entry.Reduced_ || Entry.ReadyToResume_ ||
        Entry.Phase_ != Phase::Running)
      continue;
    Entry.ReadyToResume_ = restoreReservation(Attempt, Entry);
  }
}

std::vector<std::string> OwnedShard::beginResumes(Moment Now) {
  const MutexLock Lock(Mutex_);
  std::vector<std::string> Attempts;
  if (ReducedTasks_ == 0)
    return Attempts;
  std::set<std::string> Workers;
  for (const auto &[Attempt, Entry] : Tasks_)
    if (Entry.Reduced_ && !Entry.ReadyToResume_)
      Workers.insert(Entry.Worker_);
  for (const std::string &Worker : Workers)
    reserveForResumes(Worker);
  for (auto &[Attempt, Entry] : Tasks_) {
    if (!Entry.ReadyToResume_ || Entry.Phase_ != Phase::Running ||
        Now.Monotonic_ < Entry.NextResume_)
      continue;
    Entry.NextResume_ = Now.Monotonic_ + ResumeRetryDelay;
    Attempts.push_back(Attempt);
  }
  return Attempts;
}

// If the effect of the call is unknown, the task may run at full size, so its
// capacity stays reserved and the resume is repeated. Resuming twice is
// harmless.
void OwnedShard::endResume(const std::string &Attempt, bool Resumed) {
  const MutexLock Lock(Mutex_);
  const auto Found = Tasks_.find(Attempt);
  if (Found == Tasks_.end() || !Resumed)
    return;
  if (Found->second.Reduced_)
    --ReducedTasks_;
  Found->second.Reduced_ = false;
  Found->second.ReadyToResume_ = false;
}

void OwnedShard::reserveForBackfill(const ReserveRequest &Request, Moment Now) {
  const MutexLock Lock(Mutex_);
  const auto Found = BackfillReservations_.find(Request.Job_);
  if (Found != BackfillReservations_.end()) {
    Found->second.Renewed_ = Now.Monotonic_;
    const auto Refreshed = policy::refreshReservation(
        Ledger_, Found->second.Reservation_, Now.Monotonic_);
    if (Refreshed)
      Found->second.Reservation_ = *Refreshed;
    return;
  }
  if (BackfillReservations_.size() >= MaxBackfillReservations)
    return;
  policy::BlockedWork Work;
  Work.Job_ = Request.Job_;
  Work.Size_ = Request.Size_;
  Work.Tasks_ = static_cast<std::int64_t>(Request.Tries_.size());
  Work.Since_ = Now.Monotonic_;
  const auto Reservation = policy::earliestStart(Ledger_, Work, Now.Monotonic_);
  if (Reservation)
    BackfillReservations_.emplace(
        Request.Job_, RenewedReservation{*Reservation, Now.Monotonic_});
}

void OwnedShard::dropStaleBackfillReservations(Moment Now) {
  const MutexLock Lock(Mutex_);
  std::erase_if(BackfillReservations_, [&](const auto &Entry) {
    return Now.Monotonic_ - Entry.second.Renewed_ > BackfillReservationExpiry;
  });
}

std::vector<policy::BackfillReservation>
OwnedShard::backfillReservationsOfOthers(const std::string &Job) const {
  std::vector<policy::BackfillReservation> Others;
  for (const auto &[Id, Renewed] : BackfillReservations_)
    if (Id != Job)
      Others.push_back(Renewed.Reservation_);
  return Others;
}

void OwnedShard::allowTrial(const std::string &Worker) {
  const MutexLock Lock(Mutex_);
  const auto Found = Workers_.find(Worker);
  if (Found == Workers_.end() || !Found->second.CapacityKnown_)
    return;
  Found->second.Trial_ = true;
  Found->second.Quarantined_ = false;
  updateLedger(Found->second);
}

void OwnedShard::endTrial(const std::string &Worker) {
  const auto Found = Workers_.find(Worker);
  if (Found == Workers_.end() || !Found->second.Trial_)
    return;
  Found->second.Trial_ = false;
  Found->second.Quarantined_ = true;
  updateLedger(Found->second);
}

void OwnedShard::recordOutcome(const Task &Entry, const OwnerStatus &Status) {
  if (Entry.Preempted_ || Entry.Phase_ == Phase::Ended ||
      Status.Verdict_ != OwnerVerdict::Finished)
    return;
  Outcomes_.push_back(
      StartOutcome{Entry.Worker_, Status.Answer_.Ok_, ReportedTimeToFailure});
}

std::vector<StartOutcome> OwnedShard::takeOutcomes() {
  const MutexLock Lock(Mutex_);
  std::vector<StartOutcome> Outcomes;
  Outcomes.swap(Outcomes_);
  return Outcomes;
}

} // namespace damaskglade::node
