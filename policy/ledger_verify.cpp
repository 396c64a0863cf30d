#include "policy/ledger.h"

#include <unordered_map>

namespace damaskglade::policy {

namespace {

Error differs(const std::string &Account, const std::string &What) {
  return Error{Reason::Internal,
               Effect::None,
               "verify ledger",
               Account,
               What + " differs from the recomputed value",
               Millis{}};
}

std::size_t
attemptsHeld(const WorkerAccount &Account,
             const std::unordered_map<std::string, Reservation> &Reservations) {
  std::size_t Count = 0;
  for (const std::string &Attempt : Account.Attempts_) {
    const auto Found = Reservations.find(Attempt);
    if (Found != Reservations.end() &&
        Found->second.Worker_ == Account.Info_.Id_)
      ++Count;
  }
  return Count;
}

bool boundsHold(const LoadIndex &Index) {
  for (const LoadBucket &Bucket : Index.buckets())
    for (const IndexedWorker &Member : Bucket.Members_)
      if (!fits(Member.Free_, Bucket.MaxFree_))
        return false;
  return true;
}

} // namespace

// Adds everything up again in a second ledger and compares account by
// account.
Status Ledger::verify() const {
  Ledger Fresh;
  for (const WorkerAccount &Account : Accounts_) {
    if (!Account.Present_)
      continue;
    BOOST_OUTCOME_TRYV(Fresh.putWorker(Account.Info_));
  }
  for (const auto &[Attempt, Held] : Reservations_) {
    BOOST_OUTCOME_TRYV(Fresh.adopt(Held));
  }

  for (const auto &[Id, Index] : ByWorker_) {
    const WorkerAccount &Mine = Accounts_[Index];
    // Setting the usage so that the excess comes out again checks the free
    // amounts that follow from it.
    BOOST_OUTCOME_TRYV(Fresh.setReported(Id, Mine.Reserved_ + Mine.Excess_));
    const WorkerAccount &Other = *Fresh.worker(Id);
    if (Mine.Reserved_ != Other.Reserved_)
      return differs(Id, "reserved amount");
    if (Mine.Free_ != Other.Free_ || Mine.Load_ != Other.Load_)
      return differs(Id, "free amount");
    if (Mine.Attempts_.size() != Other.Attempts_.size() ||
        attemptsHeld(Mine, Reservations_) != Mine.Attempts_.size())
      return differs(Id, "list of attempts");
    for (const auto &[MyIndex, OtherIndex] :
         {std::pair{&Plain_, &Fresh.Plain_},
          std::pair{&Accelerated_, &Fresh.Accelerated_}}) {
      const IndexedWorker *MyEntry = MyIndex->find(Index);
      const IndexedWorker *OtherEntry =
          OtherIndex->find(Fresh.ByWorker_.at(Id));
      if ((MyEntry == nullptr) != (OtherEntry == nullptr) ||
          (MyEntry != nullptr && (MyEntry->Free_ != OtherEntry->Free_ ||
                                  MyEntry->Load_ != OtherEntry->Load_)))
        return differs(Id, "index entry");
    }
  }
  for (const RackAccount &Rack : Racks_) {
    Resources Capacity;
    Resources Free;
    for (const RackAccount &Other : Fresh.Racks_)
      if (Other.Zone_ == Rack.Zone_ && Other.Rack_ == Rack.Rack_) {
        Capacity = Other.Capacity_;
        Free = Other.Free_;
      }
    if (Rack.Capacity_ != Capacity || Rack.Free_ != Free)
      return differs(Rack.Zone_ + "/" + Rack.Rack_, "rack sum");
  }
  if (Totals_ != Fresh.Totals_)
    return differs("totals", "sum");
  if (ByTeam_ != Fresh.ByTeam_)
    return differs("teams", "sum");
  if (Plain_.size() != Fresh.Plain_.size() ||
      Accelerated_.size() != Fresh.Accelerated_.size())
    return differs("index", "number of workers");
  if (!boundsHold(Plain_) || !boundsHold(Accelerated_))
    return differs("index", "bucket bound");
  for (const auto &[Job, Spread] : Spreads_) {
    const JobSpread *Other = Fresh.spreadOf(Job);
    if (Other == nullptr || Other->size() != Spread.size())
      return differs(Job, "spread");
    for (const auto &[Index, Count] : Spread)
      if (Other->at(Fresh.ByWorker_.at(Accounts_[Index].Info_.Id_)) != Count)
        return differs(Job, "spread");
  }
  if (Spreads_.size() != Fresh.Spreads_.size())
    return differs("spreads", "number of jobs");
  return success();
}

} // namespace damaskglade::policy
