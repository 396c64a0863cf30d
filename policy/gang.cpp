#include "policy/gang.h"

#include <algorithm>
#include <set>

namespace damaskglade::policy {

namespace {

Error gangError(Reason Code, const std::string &Step, const std::string &Job,
                std::string Message) {
  return Error{Code, Effect::None, Step, Job, std::move(Message), Millis{}};
}

// Calls Visit for each worker that at least one task fits on, until Visit
// returns false. Workers without accelerators come first; among these and among
// the others, the most loaded bucket comes first.
template <typename Visitor>
void visitFittingWorkers(const Ledger &Accounts, const Resources &Size,
                         Visitor Visit) {
  std::vector<const LoadIndex *> Pools;
  if (Size.Accelerators_ == 0)
    Pools.push_back(&Accounts.cpuOnlyWorkers());
  Pools.push_back(&Accounts.acceleratorWorkers());
  for (const LoadIndex *Pool : Pools)
    for (std::size_t BucketIndex = Pool->buckets().size(); BucketIndex-- > 0;) {
      const LoadBucket &Bucket = Pool->buckets().at(BucketIndex);
      if (!fits(Size, Bucket.MaxFree_))
        continue;
      for (const IndexedWorker &Member : Bucket.Members_)
        if (fits(Size, Member.Free_) && !Visit(Member))
          return;
    }
}

bool sameAttempts(const GangHold &Hold, const GangRequest &Request) {
  std::set<std::string> HeldAttempts;
  for (const GangTask &Task : Hold.Tasks_)
    HeldAttempts.insert(Task.Attempt_);
  return HeldAttempts == std::set<std::string>(Request.Attempts_.begin(),
                                               Request.Attempts_.end());
}

void releaseAll(Ledger &Accounts, const std::vector<GangTask> &Tasks) {
  for (const GangTask &Task : Tasks)
    Accounts.release(Task.Attempt_);
}

Reservation reservationFor(const GangRequest &Request, const GangTask &Task) {
  Reservation Requested;
  Requested.Attempt_ = Task.Attempt_;
  Requested.Worker_ = Task.Worker_;
  Requested.Size_ = Request.Size_;
  Requested.Class_ = TaskClass::Gang;
  Requested.Urgency_ = Request.Urgency_;
  Requested.Team_ = Request.Team_;
  Requested.Start_ = Request.Start_;
  Requested.EstimatedEnd_ = Request.EstimatedEnd_;
  Requested.Idempotent_ = Request.Idempotent_;
  return Requested;
}

Resources scale(const Resources &Size, std::int64_t Factor) {
  return Resources{Size.MilliCpus_ * Factor, Size.MemoryMib_ * Factor,
                   Size.Accelerators_ * Factor, Size.Slots_ * Factor,
                   Size.Connections_ * Factor};
}

} // namespace

std::int64_t countFittingTasks(const Resources &Size,
                               const Resources &Available, std::int64_t Limit) {
  std::int64_t Count = Limit;
  for (const auto Amount : {&Resources::MilliCpus_, &Resources::MemoryMib_,
                            &Resources::Accelerators_, &Resources::Slots_,
                            &Resources::Connections_})
    if (Size.*Amount > 0)
      Count = std::min(Count, std::max<std::int64_t>(0, Available.*Amount) /
                                  (Size.*Amount));
  return Count;
}

std::int64_t gangRoom(const Ledger &Accounts, const Resources &Size,
                      std::int64_t Limit) {
  std::int64_t Count = 0;
  visitFittingWorkers(Accounts, Size, [&](const IndexedWorker &Worker) {
    Count += countFittingTasks(Size, Worker.Free_, Limit - Count);
    return Count < Limit;
  });
  return Count;
}

std::optional<std::vector<GangTask>> planGang(const Ledger &Accounts,
                                              const GangRequest &Request) {
  const auto Tasks = static_cast<std::int64_t>(Request.Attempts_.size());
  if (!guaranteesAllow(Accounts, Request.Guards_, TaskClass::Gang,
                       scale(Request.Size_, Tasks)))
    return std::nullopt;
  std::vector<GangTask> Plan;
  visitFittingWorkers(
      Accounts, Request.Size_, [&](const IndexedWorker &Worker) {
        const auto PlannedTasks = static_cast<std::int64_t>(Plan.size());
        const std::int64_t AddedTasks = countFittingTasks(
            Request.Size_, Worker.Free_, Tasks - PlannedTasks);
        for (std::int64_t Task = 0; Task < AddedTasks; ++Task)
          Plan.push_back(GangTask{Request.Attempts_[Plan.size()],
                                  Accounts.account(Worker.Worker_).Info_.Id_});
        return static_cast<std::int64_t>(Plan.size()) < Tasks;
      });
  if (static_cast<std::int64_t>(Plan.size()) < Tasks)
    return std::nullopt;
  // All callers reserve in the same order. Otherwise two gangs that compete for
  // the same workers could deadlock, each holding what the other needs.
  std::stable_sort(Plan.begin(), Plan.end(),
                   [](const GangTask &A, const GangTask &B) {
                     return A.Worker_ < B.Worker_;
                   });
  return Plan;
}

std::optional<std::vector<ShardRoom>> splitGang(std::vector<ShardRoom> Offers,
                                                std::int64_t Tasks) {
  // Largest offers first, to use few shards: each additional shard is one more
  // message that can fail.
  std::sort(
      Offers.begin(), Offers.end(), [](const ShardRoom &A, const ShardRoom &B) {
        return A.Tasks_ != B.Tasks_ ? A.Tasks_ > B.Tasks_ : A.Shard_ < B.Shard_;
      });
  std::vector<ShardRoom> Parts;
  std::int64_t RemainingTasks = Tasks;
  for (const ShardRoom &Offer : Offers) {
    const std::int64_t ShardTasks = std::min(RemainingTasks, Offer.Tasks_);
    if (ShardTasks <= 0)
      break;
    Parts.push_back(ShardRoom{Offer.Shard_, ShardTasks});
    RemainingTasks -= ShardTasks;
  }
  if (RemainingTasks > 0)
    return std::nullopt;
  std::sort(Parts.begin(), Parts.end(),
            [](const ShardRoom &A, const ShardRoom &B) {
              return A.Shard_ < B.Shard_;
            });
  return Parts;
}

Result<GangHold> GangHolds::hold(Ledger &Accounts, const GangRequest &Request,
                                 Millis Now) {
  expire(Accounts, Now);
  const auto Found = Holds_.find(Request.Job_);
  if (Found != Holds_.end() && sameAttempts(Found->second, Request))
    return Found->second;
  // Other attempt ids mean that the caller has given up its earlier try and now
  // starts a new one.
  cancel(Accounts, Request.Job_);
  if (Request.Attempts_.empty())
    return gangError(Reason::InvalidField, "hold gang", Request.Job_,
                     "the gang has no tasks");
  const auto Plan = planGang(Accounts, Request);
  if (!Plan)
    return gangError(Reason::NoCapacity, "hold gang", Request.Job_,
                     "not all tasks of the gang fit");
  GangHold Hold{Request.Job_, {}, Now + HoldTime_};
  for (const GangTask &Task : *Plan) {
    // Refuses an attempt that already has a reservation. reserve() would accept
    // it if both are identical, and releaseAll() after a later failure would
    // then release a reservation that this call did not make.
    const Status Reserved =
        Accounts.find(Task.Attempt_) != nullptr
            ? Status(gangError(Reason::Internal, "hold gang", Request.Job_,
                               "attempt " + Task.Attempt_ +
                                   " already has a reservation"))
            : Accounts.reserve(reservationFor(Request, Task));
    if (!Reserved) {
      releaseAll(Accounts, Hold.Tasks_);
      return Reserved.error();
    }
    Hold.Tasks_.push_back(Task);
  }
  Holds_.emplace(Request.Job_, Hold);
  return Hold;
}

Result<GangHold> GangHolds::confirm(Ledger &Accounts, const std::string &Job,
                                    Millis Now) {
  expire(Accounts, Now);
  const auto Found = Holds_.find(Job);
  if (Found == Holds_.end())
    return gangError(Reason::StartExpired, "confirm gang", Job,
                     "the reservation has expired or was released");
  const GangHold Hold = Found->second;
  // Removing a worker from the ledger removes its reservations.
  for (const GangTask &Task : Hold.Tasks_)
    if (Accounts.find(Task.Attempt_) == nullptr) {
      cancel(Accounts, Job);
      return gangError(Reason::StartExpired, "confirm gang", Job,
                       "worker " + Task.Worker_ +
                           " no longer has its reservation");
    }
  Holds_.erase(Found);
  return Hold;
}

bool GangHolds::cancel(Ledger &Accounts, const std::string &Job) {
  const auto Found = Holds_.find(Job);
  if (Found == Holds_.end())
    return false;
  releaseAll(Accounts, Found->second.Tasks_);
  Holds_.erase(Found);
  return true;
}

std::vector<std::string> GangHolds::expire(Ledger &Accounts, Millis Now) {
  std::vector<std::string> ExpiredJobs;
  for (const auto &[Job, Hold] : Holds_)
    if (Hold.Expires_ <= Now)
      ExpiredJobs.push_back(Job);
  for (const std::string &Job : ExpiredJobs)
    cancel(Accounts, Job);
  return ExpiredJobs;
}

} // namespace damaskglade::policy
