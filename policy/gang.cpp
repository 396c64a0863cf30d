#include "policy/gang.h"

#include <algorithm>
#include <set>

namespace damaskglade::policy {

namespace {

Error gangError(Reason Why, const std::string &Step, const std::string &Job,
                std::string Message) {
  return Error{Why, Effect::None, Step, Job, std::move(Message), Millis{}};
}

// Passes workers with room for at least one task to Visit, the fullest first,
// those without accelerators before those with, until Visit returns false.
template <typename Visitor>
void visitRoom(const Ledger &Accounts, const Resources &Size, Visitor Visit) {
  std::vector<const LoadIndex *> Pools;
  if (Size.Accelerators_ == 0)
    Pools.push_back(&Accounts.plainWorkers());
  Pools.push_back(&Accounts.acceleratorWorkers());
  for (const LoadIndex *Pool : Pools)
    for (std::size_t At = Pool->buckets().size(); At-- > 0;) {
      const LoadBucket &Bucket = Pool->buckets().at(At);
      if (!fits(Size, Bucket.MaxFree_))
        continue;
      for (const IndexedWorker &Member : Bucket.Members_)
        if (fits(Size, Member.Free_) && !Visit(Member))
          return;
    }
}

bool sameAttempts(const GangHold &Hold, const GangRequest &Request) {
  std::set<std::string> Held;
  for (const GangTask &Task : Hold.Tasks_)
    Held.insert(Task.Attempt_);
  return Held == std::set<std::string>(Request.Attempts_.begin(),
                                       Request.Attempts_.end());
}

void releaseAll(Ledger &Accounts, const std::vector<GangTask> &Tasks) {
  for (const GangTask &Task : Tasks)
    Accounts.release(Task.Attempt_);
}

Reservation reservationFor(const GangRequest &Request, const GangTask &Task) {
  Reservation Wanted;
  Wanted.Attempt_ = Task.Attempt_;
  Wanted.Worker_ = Task.Worker_;
  Wanted.Size_ = Request.Size_;
  Wanted.Class_ = TaskClass::Gang;
  Wanted.Urgency_ = Request.Urgency_;
  Wanted.Team_ = Request.Team_;
  Wanted.Start_ = Request.Start_;
  Wanted.EstimatedEnd_ = Request.EstimatedEnd_;
  Wanted.Idempotent_ = Request.Idempotent_;
  return Wanted;
}

Resources multiply(const Resources &Size, std::int64_t Factor) {
  return Resources{Size.MilliCpus_ * Factor, Size.MemoryMib_ * Factor,
                   Size.Accelerators_ * Factor, Size.Slots_ * Factor,
                   Size.Connections_ * Factor};
}

} // namespace

std::int64_t timesFits(const Resources &Size, const Resources &Available,
                       std::int64_t Limit) {
  std::int64_t Times = Limit;
  for (const auto Amount : {&Resources::MilliCpus_, &Resources::MemoryMib_,
                            &Resources::Accelerators_, &Resources::Slots_,
                            &Resources::Connections_})
    if (Size.*Amount > 0)
      Times = std::min(Times, std::max<std::int64_t>(0, Available.*Amount) /
                                  (Size.*Amount));
  return Times;
}

std::int64_t gangRoom(const Ledger &Accounts, const Resources &Size,
                      std::int64_t Limit) {
  std::int64_t Room = 0;
  visitRoom(Accounts, Size, [&](const IndexedWorker &Worker) {
    Room += timesFits(Size, Worker.Free_, Limit - Room);
    return Room < Limit;
  });
  return Room;
}

std::optional<std::vector<GangTask>> planGang(const Ledger &Accounts,
                                              const GangRequest &Request) {
  const auto Tasks = static_cast<std::int64_t>(Request.Attempts_.size());
  if (!guardsAllow(Accounts, Request.Guards_, TaskClass::Gang,
                   multiply(Request.Size_, Tasks)))
    return std::nullopt;
  std::vector<GangTask> Plan;
  visitRoom(Accounts, Request.Size_, [&](const IndexedWorker &Worker) {
    const auto Planned = static_cast<std::int64_t>(Plan.size());
    const std::int64_t Here =
        timesFits(Request.Size_, Worker.Free_, Tasks - Planned);
    for (std::int64_t Task = 0; Task < Here; ++Task)
      Plan.push_back(GangTask{Request.Attempts_[Plan.size()],
                              Accounts.account(Worker.Worker_).Info_.Id_});
    return static_cast<std::int64_t>(Plan.size()) < Tasks;
  });
  if (static_cast<std::int64_t>(Plan.size()) < Tasks)
    return std::nullopt;
  // All callers reserve in one order, so that two gangs that compete for the
  // same workers cannot each hold what the other lacks.
  std::stable_sort(Plan.begin(), Plan.end(),
                   [](const GangTask &A, const GangTask &B) {
                     return A.Worker_ < B.Worker_;
                   });
  return Plan;
}

std::optional<std::vector<ShardRoom>> splitGang(std::vector<ShardRoom> Room,
                                                std::int64_t Tasks) {
  // Each further shard is one more message that can fail.
  std::sort(
      Room.begin(), Room.end(), [](const ShardRoom &A, const ShardRoom &B) {
        return A.Tasks_ != B.Tasks_ ? A.Tasks_ > B.Tasks_ : A.Shard_ < B.Shard_;
      });
  std::vector<ShardRoom> Parts;
  std::int64_t Missing = Tasks;
  for (const ShardRoom &Offer : Room) {
    const std::int64_t Part = std::min(Missing, Offer.Tasks_);
    if (Part <= 0)
      break;
    Parts.push_back(ShardRoom{Offer.Shard_, Part});
    Missing -= Part;
  }
  if (Missing > 0)
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
  // A new try of the same job replaces the one that its home gave up.
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
    // An attempt that already holds something must not pass for a new
    // reservation: a release after a failure would take it away.
    const Status Reserved =
        Accounts.find(Task.Attempt_) != nullptr
            ? Status(gangError(Reason::Internal, "hold gang", Request.Job_,
                               "attempt " + Task.Attempt_ +
                                   " already holds a reservation"))
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
  // A worker that was removed took its reservations with it.
  for (const GangTask &Task : Hold.Tasks_)
    if (Accounts.find(Task.Attempt_) == nullptr) {
      cancel(Accounts, Job);
      return gangError(Reason::StartExpired, "confirm gang", Job,
                       "worker " + Task.Worker_ + " lost its reservation");
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
  std::vector<std::string> Expired;
  for (const auto &[Job, Hold] : Holds_)
    if (Hold.Expires_ <= Now)
      Expired.push_back(Job);
  for (const std::string &Job : Expired)
    cancel(Accounts, Job);
  return Expired;
}

} // namespace damaskglade::policy
