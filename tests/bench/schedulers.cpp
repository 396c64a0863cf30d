#include "tests/bench/schedulers.h"

#include <algorithm>
#include <utility>

namespace damaskglade::bench {

using namespace damaskglade::policy;

namespace {

// Blocked jobs that may have a backfill reservation at the same time.
constexpr std::size_t MaxReservations = 2;

// Wait of a single-task job before it gets a reservation. Single tasks usually
// fit soon; an earlier reservation would idle workers.
constexpr Millis ReservationDelay{30000};

// A refresh is expensive, because it sorts all running tasks.
constexpr Millis RefreshInterval{100};

// Limits on the tasks that urgent jobs may preempt.
constexpr double PreemptionsPerSecond = 20.0;
constexpr std::int64_t PreemptionBurst = 100;
constexpr std::int64_t MaxPreemptedTasks = 16;

// The simulation does not model the slowdown of throttled tasks, so tasks are
// only checkpointed.
const PreemptionSettings Preemption{1.0};

std::string attemptId(const QueuedJob &Job, std::int64_t Member) {
  return Job.Id_ + "." + std::to_string(Member) + ".1";
}

} // namespace

void addWorkers(Ledger &WorkerLedger, const Fleet &Workers) {
  // Interleaves the worker groups, as in racks of mixed machines.
  std::vector<int> RemainingWorkers;
  int Total = 0;
  for (const WorkerGroup &Group : Workers.Groups_) {
    RemainingWorkers.push_back(Group.Count_);
    Total += Group.Count_;
  }
  for (int Number = 0; Number < Total; ++Number) {
    std::size_t GroupIndex =
        static_cast<std::size_t>(Number) % RemainingWorkers.size();
    while (RemainingWorkers[GroupIndex] == 0)
      GroupIndex = (GroupIndex + 1) % RemainingWorkers.size();
    --RemainingWorkers[GroupIndex];
    const int Rack = Number / Workers.WorkersPerRack_;
    WorkerInfo Info;
    Info.Id_ = "w" + std::to_string(Number);
    Info.Rack_ = "r" + std::to_string(Rack);
    Info.Zone_ = "z" + std::to_string(Rack % Workers.Zones_);
    Info.Capacity_ = Workers.Groups_[GroupIndex].Capacity_;
    Info.Listed_ = true;
    (void)WorkerLedger.putWorker(Info);
  }
}

PolicyScheduler::PolicyScheduler(const Fleet &Workers, std::uint64_t Seed,
                                 ShareSettings ShareConfig)
    : Shares_(std::move(ShareConfig)), Queue_(QueueSettings{}, Shares_),
      Admission_(AdmissionSettings{}, Queue_, Shares_),
      Budget_(PreemptionsPerSecond, PreemptionBurst), Random_(Seed) {
  addWorkers(Ledger_, Workers);
  Shares_.setFleet(Workers.capacity());
}

bool PolicyScheduler::submit(const QueuedJob &Job, Millis Now) {
  JobSpec Spec;
  Spec.Team_ = Job.Team_;
  Spec.Class_ = Job.Class_;
  Spec.Run_ = Job.Run_;
  QueuedJob Planned = Job;
  Planned.Run_ = Estimator_.plannedRun(Spec);
  if (!Admission_.admit(Planned, Now) || !Queue_.push(Planned))
    return false;
  DeclaredRunTimes_[Job.Id_] = Job.Run_;
  return true;
}

void PolicyScheduler::finish(const std::string &Job, Millis ActualRunTime,
                             Millis Now) {
  const auto Entry = Running_.find(Job);
  const Running &FinishedJob = Entry->second;
  Estimator_.observe(Observation{FinishedJob.Job_.Class_,
                                 FinishedJob.Job_.Team_,
                                 {},
                                 {},
                                 FinishedJob.DeclaredRunTime_,
                                 ActualRunTime});
  for (const std::string &Attempt : FinishedJob.Attempts_)
    Ledger_.release(Attempt);
  Shares_.finish(FinishedJob.Job_.Class_, FinishedJob.Job_.Team_,
                 FinishedJob.Job_.Urgency_, totalSize(FinishedJob.Job_), Now);
  Running_.erase(Entry);
  CapacityFreed_ = true;
}

std::vector<Decision> PolicyScheduler::decide(Millis Now) {
  std::vector<Decision> Decisions;
  for (const QueuedJob &Expired : Queue_.takeExpired(Now, 1000)) {
    DeclaredRunTimes_.erase(Expired.Id_);
    std::erase_if(Reservations_,
                  [&Expired](const BackfillReservation &Existing) {
                    return Existing.Work_.Job_ == Expired.Id_;
                  });
    Decisions.push_back({Decision::Kind::Expire, Expired.Id_});
  }
  if (CapacityFreed_ || Now - LastRefresh_ >= RefreshInterval)
    Queue_.beginRound();
  CapacityFreed_ = false;
  refreshReservations(Now);
  while (const auto Selected = Queue_.take(Now, Ledger_.totals().Free_)) {
    if (tryStart(*Selected, Now, Decisions))
      Decisions.push_back({Decision::Kind::Start, Selected->Job_.Id_});
    else
      Queue_.putBack(*Selected, Reservations_.empty() ? Refusal::NoRoom
                                                      : Refusal::Reserved);
  }
  return Decisions;
}

bool PolicyScheduler::tryStart(const Candidate &Selected, Millis Now,
                               std::vector<Decision> &Decisions) {
  const QueuedJob &Job = Selected.Job_;
  const auto Start = [&] {
    return Job.Tasks_ > 1 ? startGang(Job, Now) : startTask(Job, Now);
  };
  const bool Started = Start() || (Selected.MayPreempt_ &&
                                   preempt(Job, Now, Decisions) && Start());
  if (!Started) {
    reserveIfDue(Job, Now);
    return false;
  }
  std::erase_if(Reservations_, [&Job](const BackfillReservation &Existing) {
    return Existing.Work_.Job_ == Job.Id_;
  });
  return true;
}

bool PolicyScheduler::preempt(const QueuedJob &Job, Millis Now,
                              std::vector<Decision> &Decisions) {
  const std::int64_t MaxTasks =
      std::min(MaxPreemptedTasks, Budget_.available(Now));
  if (MaxTasks <= 0)
    return false;
  const auto Plan = planPreemption(
      Ledger_, PreemptionRequest{Job.Size_, Job.Tasks_, Job.Class_}, Preemption,
      MaxTasks);
  if (!Plan ||
      !Budget_.spend(static_cast<std::int64_t>(Plan->Steps_.size()), Now))
    return false;
  for (const PreemptionStep &Step : Plan->Steps_) {
    const std::string PreemptedJob{jobOfAttempt(Step.Attempt_)};
    if (!Running_.contains(PreemptedJob))
      continue; // Another task of a gang that has been paused already.
    pause(PreemptedJob, Now);
    Decisions.push_back({Decision::Kind::Pause, PreemptedJob});
  }
  return true;
}

void PolicyScheduler::pause(const std::string &Job, Millis Now) {
  const auto Entry = Running_.find(Job);
  Running &Paused = Entry->second;
  for (const std::string &Attempt : Paused.Attempts_)
    Ledger_.release(Attempt);
  Shares_.finish(Paused.Job_.Class_, Paused.Job_.Team_, Paused.Job_.Urgency_,
                 totalSize(Paused.Job_), Now);
  DeclaredRunTimes_[Job] = Paused.DeclaredRunTime_;
  Paused.Job_.Run_ =
      std::max(Millis{1}, Paused.Job_.Run_ - (Now - Paused.StartTime_));
  Queue_.adopt(Paused.Job_);
  Running_.erase(Entry);
}

bool PolicyScheduler::startTask(const QueuedJob &Job, Millis Now) {
  PlacementRequest Request;
  Request.Job_ = Job.Id_;
  Request.Class_ = Job.Class_;
  Request.Size_ = Job.Size_;
  Request.Random_ = Random_();
  if (!Shares_.hasInteractiveWork(Now))
    Request.Guards_ = NoGuards;
  if (!Reservations_.empty())
    Request.Accepts_ =
        backfillFilter(Ledger_, Reservations_, Job.Size_, Now + Job.Run_, Now);
  const auto ChosenWorker = place(Ledger_, Request);
  if (!ChosenWorker)
    return false;
  Reservation NewReservation;
  NewReservation.Attempt_ = attemptId(Job, 0);
  NewReservation.Worker_ = ChosenWorker->Worker_;
  NewReservation.Size_ = Job.Size_;
  NewReservation.Class_ = Job.Class_;
  NewReservation.Urgency_ = Job.Urgency_;
  NewReservation.Team_ = Job.Team_;
  NewReservation.Start_ = Now;
  NewReservation.EstimatedEnd_ = Now + Job.Run_;
  NewReservation.Idempotent_ = true;
  if (!Ledger_.reserve(NewReservation))
    return false;
  recordStart(Job, Now, {NewReservation.Attempt_});
  return true;
}

bool PolicyScheduler::startGang(const QueuedJob &Job, Millis Now) {
  GangRequest Request;
  Request.Job_ = Job.Id_;
  for (std::int64_t Member = 0; Member < Job.Tasks_; ++Member)
    Request.Attempts_.push_back(attemptId(Job, Member));
  Request.Size_ = Job.Size_;
  Request.Urgency_ = Job.Urgency_;
  Request.Team_ = Job.Team_;
  Request.Start_ = Now;
  Request.EstimatedEnd_ = Now + Job.Run_;
  Request.Idempotent_ = true;
  const auto Hold = Holds_.hold(Ledger_, Request, Now);
  if (!Hold || !Holds_.confirm(Ledger_, Job.Id_, Now))
    return false;
  recordStart(Job, Now, Request.Attempts_);
  return true;
}

void PolicyScheduler::recordStart(const QueuedJob &Job, Millis Now,
                                  std::vector<std::string> Attempts) {
  Shares_.start(Job.Class_, Job.Team_, Job.Urgency_, totalSize(Job), Now);
  Admission_.started(Job, Now);
  const auto Declared = DeclaredRunTimes_.find(Job.Id_);
  Running_.emplace(Job.Id_,
                   Running{Job, Declared->second, Now, std::move(Attempts)});
  DeclaredRunTimes_.erase(Declared);
}

void PolicyScheduler::reserveIfDue(const QueuedJob &Job, Millis Now) {
  const bool IsReserved =
      std::any_of(Reservations_.begin(), Reservations_.end(),
                  [&Job](const BackfillReservation &Existing) {
                    return Existing.Work_.Job_ == Job.Id_;
                  });
  const bool IsDue = Job.Tasks_ > 1 || Now - Job.Enqueued_ > ReservationDelay;
  if (IsReserved || !IsDue || Reservations_.size() >= MaxReservations)
    return;
  if (auto Earliest =
          earliestStart(Ledger_, {Job.Id_, Job.Size_, Job.Tasks_, Now}, Now))
    Reservations_.push_back(std::move(*Earliest));
}

void PolicyScheduler::refreshReservations(Millis Now) {
  if (Now - LastRefresh_ < RefreshInterval)
    return;
  LastRefresh_ = Now;
  std::vector<BackfillReservation> UpdatedReservations;
  for (const BackfillReservation &Existing : Reservations_)
    if (auto Updated = refreshReservation(Ledger_, Existing, Now))
      UpdatedReservations.push_back(std::move(*Updated));
  Reservations_ = std::move(UpdatedReservations);
}

NaiveAdapter::NaiveAdapter(const Fleet &Workers, std::size_t MaxSkipped)
    : Scheduler_(MaxSkipped) {
  for (const WorkerGroup &Group : Workers.Groups_)
    for (int Number = 0; Number < Group.Count_; ++Number)
      Scheduler_.addWorker(Group.Capacity_);
}

bool NaiveAdapter::submit(const QueuedJob &Job, Millis /*Now*/) {
  Scheduler_.submit(Job);
  return true;
}

void NaiveAdapter::finish(const std::string &Job, Millis /*ActualRunTime*/,
                          Millis /*Now*/) {
  const auto Entry = Running_.find(Job);
  Allocated_ = Allocated_ - totalSize(Entry->second.Job_);
  Scheduler_.finish(Entry->second);
  Running_.erase(Entry);
}

std::vector<Decision> NaiveAdapter::decide(Millis /*Now*/) {
  std::vector<Decision> Decisions;
  for (NaiveStart &Start : Scheduler_.dispatch()) {
    Decisions.push_back({Decision::Kind::Start, Start.Job_.Id_});
    Allocated_ = Allocated_ + totalSize(Start.Job_);
    const std::string Id = Start.Job_.Id_;
    Running_.emplace(Id, std::move(Start));
  }
  return Decisions;
}

} // namespace damaskglade::bench
