#include "policy/backfill.h"

#include "policy/gang.h"

#include <algorithm>
#include <unordered_map>

namespace damaskglade::policy {

namespace {

constexpr Millis MinOverdue{1000};

// Amounts below zero count: a worker that runs more than it has must first
// lose that much.
Resources uncoveredFree(const WorkerAccount &Account) {
  return Account.Info_.Capacity_ - Account.Reserved_ - Account.Excess_;
}

struct RoomOfWorker {
  const WorkerAccount *Account_ = nullptr;
  Resources Free_;
  std::int64_t Tasks_ = 0;
};

struct TaskEnd {
  Millis End_;
  std::size_t Room_ = 0;
  Resources Size_;
};

std::vector<TaskEnd> endsOn(const Ledger &Accounts,
                            const std::vector<RoomOfWorker> &Rooms,
                            Millis Now) {
  std::vector<TaskEnd> Ends;
  for (std::size_t Room = 0; Room < Rooms.size(); ++Room)
    for (const std::string &Attempt : Rooms[Room].Account_->Attempts_) {
      const Reservation &Running = *Accounts.find(Attempt);
      if (const auto End = expectedEnd(Running, Now))
        Ends.push_back(TaskEnd{*End, Room, Running.Size_});
    }
  std::sort(Ends.begin(), Ends.end(),
            [](const TaskEnd &A, const TaskEnd &B) { return A.End_ < B.End_; });
  return Ends;
}

std::vector<ReservedRoom> chooseRooms(std::vector<RoomOfWorker> Rooms,
                                      std::int64_t Tasks) {
  // Fewer workers under a reservation leave more of them open to backfill.
  std::sort(Rooms.begin(), Rooms.end(),
            [](const RoomOfWorker &A, const RoomOfWorker &B) {
              return A.Tasks_ != B.Tasks_
                         ? A.Tasks_ > B.Tasks_
                         : A.Account_->Info_.Id_ < B.Account_->Info_.Id_;
            });
  std::vector<ReservedRoom> Chosen;
  for (const RoomOfWorker &Room : Rooms) {
    const std::int64_t Here = std::min(Tasks, Room.Tasks_);
    if (Here <= 0)
      break;
    Chosen.push_back(ReservedRoom{Room.Account_->Info_.Id_, Here});
    Tasks -= Here;
  }
  std::sort(Chosen.begin(), Chosen.end(),
            [](const ReservedRoom &A, const ReservedRoom &B) {
              return A.Worker_ < B.Worker_;
            });
  return Chosen;
}

// Lets tasks end one after the other until the work fits on the given
// workers.
std::optional<BackfillReservation> earliestOn(const Ledger &Accounts,
                                              std::vector<RoomOfWorker> Rooms,
                                              const BlockedWork &Work,
                                              Millis Now) {
  std::int64_t Fitting = 0;
  for (RoomOfWorker &Room : Rooms) {
    Room.Free_ = uncoveredFree(*Room.Account_);
    Room.Tasks_ = timesFits(Work.Size_, Room.Free_, Work.Tasks_);
    Fitting += Room.Tasks_;
  }
  Millis Start = Now;
  if (Fitting < Work.Tasks_) {
    for (const TaskEnd &End : endsOn(Accounts, Rooms, Now)) {
      RoomOfWorker &Room = Rooms[End.Room_];
      Room.Free_ = Room.Free_ + End.Size_;
      const std::int64_t Tasks = timesFits(Work.Size_, Room.Free_, Work.Tasks_);
      Fitting += Tasks - Room.Tasks_;
      Room.Tasks_ = Tasks;
      Start = End.End_;
      if (Fitting >= Work.Tasks_)
        break;
    }
  }
  if (Fitting < Work.Tasks_)
    return std::nullopt;
  return BackfillReservation{Work, Start,
                             chooseRooms(std::move(Rooms), Work.Tasks_)};
}

bool isStrict(const BackfillReservation &Reservation, Millis Now,
              Millis StrictAfter) {
  return Now - Reservation.Work_.Since_ >= StrictAfter;
}

Resources freeAt(const Ledger &Accounts, const WorkerAccount &Worker,
                 Millis Time, Millis Now) {
  Resources Free = uncoveredFree(Worker);
  for (const std::string &Attempt : Worker.Attempts_) {
    const Reservation &Running = *Accounts.find(Attempt);
    const auto End = expectedEnd(Running, Now);
    if (End && *End <= Time)
      Free = Free + Running.Size_;
  }
  return Free;
}

} // namespace

std::optional<Millis> expectedEnd(const Reservation &Running, Millis Now) {
  if (Running.EstimatedEnd_ == Millis{})
    return std::nullopt;
  if (Running.EstimatedEnd_ > Now)
    return Running.EstimatedEnd_;
  return Now + std::max(MinOverdue, Now - Running.EstimatedEnd_);
}

std::optional<BackfillReservation>
earliestStart(const Ledger &Accounts, const BlockedWork &Work, Millis Now) {
  std::vector<RoomOfWorker> Rooms;
  for (const LoadIndex *Pool :
       {&Accounts.plainWorkers(), &Accounts.acceleratorWorkers()})
    for (const LoadBucket &Bucket : Pool->buckets())
      for (const IndexedWorker &Member : Bucket.Members_)
        Rooms.push_back(RoomOfWorker{&Accounts.account(Member.Worker_), {}, 0});
  return earliestOn(Accounts, std::move(Rooms), Work, Now);
}

std::optional<BackfillReservation>
refreshReservation(const Ledger &Accounts, const BackfillReservation &Old,
                   Millis Now, Millis StrictAfter) {
  if (!isStrict(Old, Now, StrictAfter))
    return earliestStart(Accounts, Old.Work_, Now);
  std::vector<RoomOfWorker> Rooms;
  for (const ReservedRoom &Room : Old.Rooms_) {
    const WorkerAccount *Account = Accounts.worker(Room.Worker_);
    if (Account == nullptr || !Account->Info_.Listed_ ||
        Account->Info_.Leaving_ || Account->Info_.Quarantined_)
      return earliestStart(Accounts, Old.Work_, Now);
    Rooms.push_back(RoomOfWorker{Account, {}, 0});
  }
  auto Same = earliestOn(Accounts, std::move(Rooms), Old.Work_, Now);
  return Same ? Same : earliestStart(Accounts, Old.Work_, Now);
}

bool mayBackfill(const Ledger &Accounts, const BackfillReservation &Reservation,
                 const WorkerAccount &Worker, const Resources &Size, Millis End,
                 Millis Now, Millis StrictAfter) {
  const auto Room = std::lower_bound(
      Reservation.Rooms_.begin(), Reservation.Rooms_.end(), Worker.Info_.Id_,
      [](const ReservedRoom &Left, const std::string &Id) {
        return Left.Worker_ < Id;
      });
  if (Room == Reservation.Rooms_.end() || Room->Worker_ != Worker.Info_.Id_)
    return true;
  const bool EndsBefore = End > Now && End <= Reservation.Start_;
  if (EndsBefore && !isStrict(Reservation, Now, StrictAfter))
    return true;
  // Work that may outlast the start must leave room for the reserved tasks.
  const Resources Left =
      freeAt(Accounts, Worker, Reservation.Start_, Now) - Size;
  return timesFits(Reservation.Work_.Size_, Left, Room->Tasks_) ==
             Room->Tasks_ &&
         fits(Resources{}, Left);
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
