#include "policy/ledger.h"

#include <string>
#include <unordered_map>

namespace damaskglade::policy {

namespace {

Error mismatch(const std::string &Account, const std::string &Field) {
  return Error{Reason::Internal,
               Effect::None,
               "verify ledger",
               Account,
               Field + " differs from the recomputed value",
               Millis{}};
}

std::size_t countReservedAttempts(
    const WorkerAccount &Account,
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

bool maxFreeBoundsHold(const LoadIndex &Index) {
  for (const LoadBucket &Bucket : Index.buckets())
    for (const IndexedWorker &Member : Bucket.Members_)
      if (!fits(Member.Free_, Bucket.MaxFree_))
        return false;
  return true;
}

} // namespace

Status Ledger::compareWorker(const std::string &Worker,
                             const Ledger &Recomputed) const {
  const WorkerIndex Index = IndexByWorkerId_.at(Worker);
  const WorkerIndex RecomputedIndex = Recomputed.IndexByWorkerId_.at(Worker);
  const WorkerAccount &Actual = Accounts_[Index];
  const WorkerAccount &Expected = Recomputed.Accounts_[RecomputedIndex];
  if (Actual.Reserved_ != Expected.Reserved_)
    return mismatch(Worker, "reserved amount");
  if (Actual.Free_ != Expected.Free_ || Actual.Load_ != Expected.Load_)
    return mismatch(Worker, "free amount");
  if (Actual.Attempts_.size() != Expected.Attempts_.size() ||
      countReservedAttempts(Actual, Reservations_) != Actual.Attempts_.size())
    return mismatch(Worker, "list of attempts");
  if (!sameEntry(CpuOnlyIndex_.find(Index),
                 Recomputed.CpuOnlyIndex_.find(RecomputedIndex)) ||
      !sameEntry(AcceleratorIndex_.find(Index),
                 Recomputed.AcceleratorIndex_.find(RecomputedIndex)))
    return mismatch(Worker, "index entry");
  return success();
}

Status Ledger::compareRacks(const Ledger &Recomputed) const {
  for (const RackAccount &Rack : Racks_) {
    // A rack without workers is absent from the recomputed ledger.
    RackAccount RecomputedRack;
    for (const RackAccount &Candidate : Recomputed.Racks_)
      if (Candidate.Zone_ == Rack.Zone_ && Candidate.Rack_ == Rack.Rack_)
        RecomputedRack = Candidate;
    if (Rack.Capacity_ != RecomputedRack.Capacity_ ||
        Rack.Free_ != RecomputedRack.Free_ ||
        Rack.Members_.size() != RecomputedRack.Members_.size())
      return mismatch(Rack.Zone_ + "/" + Rack.Rack_, "rack sum");
  }
  return success();
}

Status Ledger::compareSpreads(const Ledger &Recomputed) const {
  if (SpreadsByJob_.size() != Recomputed.SpreadsByJob_.size())
    return mismatch("spreads", "number of jobs");
  for (const auto &[Job, Spread] : SpreadsByJob_) {
    const JobSpread *RecomputedSpread = Recomputed.spreadOf(Job);
    if (RecomputedSpread == nullptr ||
        RecomputedSpread->size() != Spread.size())
      return mismatch(Job, "spread");
    for (const auto &[Index, Count] : Spread) {
      const auto Found = RecomputedSpread->find(
          Recomputed.IndexByWorkerId_.at(Accounts_[Index].Info_.Id_));
      if (Found == RecomputedSpread->end() || Found->second != Count)
        return mismatch(Job, "spread");
    }
  }
  return success();
}

// Rebuilds a second ledger from the workers and reservations and compares the
// two account by account.
Status Ledger::verify() const {
  Ledger Recomputed;
  for (const WorkerAccount &Account : Accounts_)
    if (Account.Present_) {
      BOOST_OUTCOME_TRYV(Recomputed.putWorker(Account.Info_));
    }
  for (const auto &[Attempt, Existing] : Reservations_) {
    BOOST_OUTCOME_TRYV(Recomputed.adopt(Existing));
  }
  for (const auto &[Worker, Index] : IndexByWorkerId_) {
    // The excess comes from usage reports and cannot be recomputed, so it is
    // copied; the amounts that depend on it are recomputed.
    BOOST_OUTCOME_TRYV(
        Recomputed.setReported(Worker, Recomputed.worker(Worker)->Reserved_ +
                                           Accounts_[Index].Excess_));
    BOOST_OUTCOME_TRYV(compareWorker(Worker, Recomputed));
  }
  BOOST_OUTCOME_TRYV(compareRacks(Recomputed));
  BOOST_OUTCOME_TRYV(compareSpreads(Recomputed));
  if (Totals_ != Recomputed.Totals_)
    return mismatch("totals", "sum");
  if (ReservedByTeam_ != Recomputed.ReservedByTeam_)
    return mismatch("teams", "sum");
  if (CpuOnlyIndex_.size() != Recomputed.CpuOnlyIndex_.size() ||
      AcceleratorIndex_.size() != Recomputed.AcceleratorIndex_.size())
    return mismatch("index", "number of workers");
  if (!maxFreeBoundsHold(CpuOnlyIndex_) ||
      !maxFreeBoundsHold(AcceleratorIndex_))
    return mismatch("index", "bucket bound");
  return success();
}

} // namespace damaskglade::policy
