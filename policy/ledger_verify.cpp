#include "policy/ledger.h"

#include <string>
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

bool sameEntry(const IndexedWorker *A, const IndexedWorker *B) {
  if (A == nullptr || B == nullptr)
    return A == B;
  return A->Free_ == B->Free_ && A->Load_ == B->Load_;
}

bool boundsHold(const LoadIndex &Index) {
  for (const LoadBucket &Bucket : Index.buckets())
    for (const IndexedWorker &Member : Bucket.Members_)
      if (!fits(Member.Free_, Bucket.MaxFree_))
        return false;
  return true;
}

} // namespace

Status Ledger::compareWorker(const std::string &Worker,
                             const Ledger &Fresh) const {
  const WorkerIndex Index = ByWorker_.at(Worker);
  const WorkerIndex Other = Fresh.ByWorker_.at(Worker);
  const WorkerAccount &Mine = Accounts_[Index];
  const WorkerAccount &Theirs = Fresh.Accounts_[Other];
  if (Mine.Reserved_ != Theirs.Reserved_)
    return differs(Worker, "reserved amount");
  if (Mine.Free_ != Theirs.Free_ || Mine.Load_ != Theirs.Load_)
    return differs(Worker, "free amount");
  if (Mine.Attempts_.size() != Theirs.Attempts_.size() ||
      attemptsHeld(Mine, Reservations_) != Mine.Attempts_.size())
    return differs(Worker, "list of attempts");
  if (!sameEntry(Plain_.find(Index), Fresh.Plain_.find(Other)) ||
      !sameEntry(Accelerated_.find(Index), Fresh.Accelerated_.find(Other)))
    return differs(Worker, "index entry");
  return success();
}

Status Ledger::compareRacks(const Ledger &Fresh) const {
  for (const RackAccount &Rack : Racks_) {
    // A rack whose workers are all gone is absent from the fresh ledger.
    RackAccount Other;
    for (const RackAccount &Candidate : Fresh.Racks_)
      if (Candidate.Zone_ == Rack.Zone_ && Candidate.Rack_ == Rack.Rack_)
        Other = Candidate;
    if (Rack.Capacity_ != Other.Capacity_ || Rack.Free_ != Other.Free_ ||
        Rack.Members_.size() != Other.Members_.size())
      return differs(Rack.Zone_ + "/" + Rack.Rack_, "rack sum");
  }
  return success();
}

Status Ledger::compareSpreads(const Ledger &Fresh) const {
  if (Spreads_.size() != Fresh.Spreads_.size())
    return differs("spreads", "number of jobs");
  for (const auto &[Job, Spread] : Spreads_) {
    const JobSpread *Other = Fresh.spreadOf(Job);
    if (Other == nullptr || Other->size() != Spread.size())
      return differs(Job, "spread");
    for (const auto &[Index, Count] : Spread) {
      const auto Found =
          Other->find(Fresh.ByWorker_.at(Accounts_[Index].Info_.Id_));
      if (Found == Other->end() || Found->second != Count)
        return differs(Job, "spread");
    }
  }
  return success();
}

// Adds everything up again in a second ledger and compares account by
// account.
Status Ledger::verify() const {
  Ledger Fresh;
  for (const WorkerAccount &Account : Accounts_)
    if (Account.Present_) {
      BOOST_OUTCOME_TRYV(Fresh.putWorker(Account.Info_));
    }
  for (const auto &[Attempt, Held] : Reservations_) {
    BOOST_OUTCOME_TRYV(Fresh.adopt(Held));
  }
  for (const auto &[Worker, Index] : ByWorker_) {
    // The excess comes from reports, so it is carried over; what follows from
    // it is recomputed.
    BOOST_OUTCOME_TRYV(Fresh.setReported(
        Worker, Fresh.worker(Worker)->Reserved_ + Accounts_[Index].Excess_));
    BOOST_OUTCOME_TRYV(compareWorker(Worker, Fresh));
  }
  BOOST_OUTCOME_TRYV(compareRacks(Fresh));
  BOOST_OUTCOME_TRYV(compareSpreads(Fresh));
  if (Totals_ != Fresh.Totals_)
    return differs("totals", "sum");
  if (ByTeam_ != Fresh.ByTeam_)
    return differs("teams", "sum");
  if (Plain_.size() != Fresh.Plain_.size() ||
      Accelerated_.size() != Fresh.Accelerated_.size())
    return differs("index", "number of workers");
  if (!boundsHold(Plain_) || !boundsHold(Accelerated_))
    return differs("index", "bucket bound");
  return success();
}

} // namespace damaskglade::policy
