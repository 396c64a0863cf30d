#include "policy/backfill.h"

#include "policy/gang.h"

#include <algorithm>
#include <unordered_map>

namespace damaskglade::policy {

namespace {

// A task past its estimated end is expected to run for at least this much
// longer.
constexpr Millis MinExpectedOverrun{1000};

// Free amounts, negative where the worker is overcommitted: tasks that end must
// first make up for the missing amount.
Resources unclampedFree(const WorkerAccount &Account) {
  return Account.Info_.Capacity_ - Account.Reserved_ - Account.Excess_;
}

struct CandidateWorker {
  const WorkerAccount *Account_ = nullptr;
  Resources Free_;
  std::int64_t FittingTasks_ = 0;
};

struct TaskEnd {
  Millis End_;
  std::size_t Candidate_ = 0;
  Resources Size_;
};

std::vector<TaskEnd>
expectedEndsOn(const Ledger &Accounts,
               const std::vector<CandidateWorker> &Candidates, Millis Now) {
  std::vector<TaskEnd> TaskEnds;
  for (std::size_t CandidateIndex = 0; CandidateIndex < Candidates.size();
       ++CandidateIndex)
    for (const std::string &Attempt :
         Candidates[CandidateIndex].Account_->Attempts_) {
      const Reservation &RunningTask = *Accounts.find(Attempt);
      if (const auto End = expectedEnd(RunningTask, Now))
        TaskEnds.push_back(TaskEnd{*End, CandidateIndex, RunningTask.Size_});
    }
  std::sort(TaskEnds.begin(), TaskEnds.end(),
            [](const TaskEnd &A, const TaskEnd &B) { return A.End_ < B.End_; });
  return TaskEnds;
}

std::vector<ReservedWorker>
chooseWorkers(std::vector<CandidateWorker> Candidates, std::int64_t Tasks) {
  // Workers that fit the most tasks come first: the fewer workers are reserved,
  // the more remain for backfill.
  std::sort(Candidates.begin(), Candidates.end(),
            [](const CandidateWorker &A, const CandidateWorker &B) {
              return A.FittingTasks_ != B.FittingTasks_
                         ? A.FittingTasks_ > B.FittingTasks_
                         : A.Account_->Info_.Id_ < B.Account_->Info_.Id_;
            });
  std::vector<ReservedWorker> ChosenWorkers;
  for (const CandidateWorker &Candidate : Candidates) {
    const std::int64_t TasksOnWorker = std::min(Tasks, Candidate.FittingTasks_);
    if (TasksOnWorker <= 0)
      break;
    ChosenWorkers.push_back(
        ReservedWorker{Candidate.Account_->Info_.Id_, TasksOnWorker});
    Tasks -= TasksOnWorker;
  }
  std::sort(ChosenWorkers.begin(), ChosenWorkers.end(),
            [](const ReservedWorker &A, const ReservedWorker &B) {
              return A.Worker_ < B.Worker_;
            });
  return ChosenWorkers;
}

// Simulates the ends of running tasks, in the order of their expected times,
// until the work fits on the given workers. The ledger is not changed.
std::optional<BackfillReservation>
earliestStartOn(const Ledger &Accounts, std::vector<CandidateWorker> Candidates,
                const BlockedWork &Work, Millis Now) {
  std::int64_t FittingTasks = 0;
  for (CandidateWorker &Candidate : Candidates) {
    Candidate.Free_ = unclampedFree(*Candidate.Account_);
    Candidate.FittingTasks_ =
        countFittingTasks(Work.Size_, Candidate.Free_, Work.Tasks_);
    FittingTasks += Candidate.FittingTasks_;
  }
  Millis Start = Now;
  if (FittingTasks < Work.Tasks_) {
    for (const TaskEnd &End : expectedEndsOn(Accounts, Candidates, Now)) {
      CandidateWorker &Candidate = Candidates[End.Candidate_];
      Candidate.Free_ = Candidate.Free_ + End.Size_;
      const std::int64_t Tasks =
          countFittingTasks(Work.Size_, Candidate.Free_, Work.Tasks_);
      FittingTasks += Tasks - Candidate.FittingTasks_;
      Candidate.FittingTasks_ = Tasks;
      Start = End.End_;
      if (FittingTasks >= Work.Tasks_)
        break;
    }
  }
  if (FittingTasks < Work.Tasks_)
    return std::nullopt;
  return BackfillReservation{Work, Start,
                             chooseWorkers(std::move(Candidates), Work.Tasks_)};
}

bool isStrict(const BackfillReservation &Reservation, Millis Now,
              Millis StrictAfter) {
  return Now - Reservation.Work_.Since_ >= StrictAfter;
}

Resources expectedFreeAt(const Ledger &Accounts, const WorkerAccount &Worker,
                         Millis Time, Millis Now) {
  Resources Free = unclampedFree(Worker);
  for (const std::string &Attempt : Worker.Attempts_) {
    const Reservation &RunningTask = *Accounts.find(Attempt);
    const auto End = expectedEnd(RunningTask, Now);
    if (End && *End <= Time)
      Free = Free + RunningTask.Size_;
  }
  return Free;
}

} // namespace

std::optional<Millis> expectedEnd(const Reservation &RunningTask, Millis Now) {
  if (RunningTask.EstimatedEnd_ == Millis{})
    return std::nullopt;
  if (RunningTask.EstimatedEnd_ > Now)
    return RunningTask.EstimatedEnd_;
  return Now + std::max(MinExpectedOverrun, Now - RunningTask.EstimatedEnd_);
}

std::optional<BackfillReservation>
earliestStart(const Ledger &Accounts, const BlockedWork &Work, Millis Now) {
  std::vector<CandidateWorker> Candidates;
  for (const LoadIndex *Pool :
       {&Accounts.cpuOnlyWorkers(), &Accounts.acceleratorWorkers()})
    for (const LoadBucket &Bucket : Pool->buckets())
      for (const IndexedWorker &Member : Bucket.Members_)
        Candidates.push_back(
            CandidateWorker{&Accounts.account(Member.Worker_), {}, 0});
  return earliestStartOn(Accounts, std::move(Candidates), Work, Now);
}

std::optional<BackfillReservation>
refreshReservation(const Ledger &Accounts, const BackfillReservation &Previous,
                   Millis Now, Millis StrictAfter) {
  if (!isStrict(Previous, Now, StrictAfter))
    return earliestStart(Accounts, Previous.Work_, Now);
  std::vector<CandidateWorker> Candidates;
  for (const ReservedWorker &Reserved : Previous.Rooms_) {
    const WorkerAccount *Account = Accounts.worker(Reserved.Worker_);
    if (Account == nullptr || !Account->Info_.Listed_ ||
        Account->Info_.Leaving_ || Account->Info_.Quarantined_)
      return earliestStart(Accounts, Previous.Work_, Now);
    Candidates.push_back(CandidateWorker{Account, {}, 0});
  }
  auto SameWorkersReservation =
      earliestStartOn(Accounts, std::move(Candidates), Previous.Work_, Now);
  return SameWorkersReservation ? SameWorkersReservation
                                : earliestStart(Accounts, Previous.Work_, Now);
}

bool mayBackfill(const Ledger &Accounts, const BackfillReservation &Reservation,
                 const WorkerAccount &Worker, const Resources &Size, Millis End,
                 Millis Now, Millis StrictAfter) {
  const auto ReservedIt = std::lower_bound(
      Reservation.Rooms_.begin(), Reservation.Rooms_.end(), Worker.Info_.Id_,
      [](const ReservedWorker &Entry, const std::string &Id) {
        return Entry.Worker_ < Id;
      });
  if (ReservedIt == Reservation.Rooms_.end() ||
      ReservedIt->Worker_ != Worker.Info_.Id_)
    return true;
  const bool EndsBeforeStart = End > Now && End <= Reservation.Start_;
  if (EndsBeforeStart && !isStrict(Reservation, Now, StrictAfter))
    return true;
  // A task that may run past the start, and any task once the reservation is
  // strict, must leave enough for the reserved tasks.
  const Resources RemainingFree =
      expectedFreeAt(Accounts, Worker, Reservation.Start_, Now) - Size;
  return countFittingTasks(Reservation.Work_.Size_, RemainingFree,
                           ReservedIt->Tasks_) == ReservedIt->Tasks_ &&
         fits(Resources{}, RemainingFree);
}

std::function<bool(const WorkerAccount &)>
backfillFilter(const Ledger &Accounts,
               const std::vector<BackfillReservation> &Reservations,
               const Resources &Size, Millis End, Millis Now,
               Millis StrictAfter) {
  if (Reservations.empty())
    return {};
  return [&Accounts, &Reservations, Size, End, Now,
          StrictAfter](const WorkerAccount &Worker) {
    return std::all_of(Reservations.begin(), Reservations.end(),
                       [&](const BackfillReservation &Reservation) {
                         return mayBackfill(Accounts, Reservation, Worker, Size,
                                            End, Now, StrictAfter);
                       });
  };
}

} // namespace damaskglade::policy
