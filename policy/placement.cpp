#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace damaskglade::policy {

namespace {

// Workers with room that are compared before the best of them is taken. More
// candidates pack slightly better and cost time in proportion.
constexpr std::size_t MaxCandidates = 24;

enum class Order { EmptiestFirst, FullestFirst };

std::int64_t Resources::*const GuardedAmounts[] = {
    &Resources::MilliCpus_, &Resources::MemoryMib_, &Resources::Slots_,
    &Resources::Connections_};

double sumOfShares(const Resources &Part, const Resources &Whole) {
  double Sum = 0.0;
  for (const auto Amount : {&Resources::MilliCpus_, &Resources::MemoryMib_,
                            &Resources::Accelerators_, &Resources::Slots_,
                            &Resources::Connections_})
    if (Whole.*Amount > 0)
      Sum += static_cast<double>(Part.*Amount) /
             static_cast<double>(Whole.*Amount);
  return Sum;
}

// Lower is better: what the worker would have left, the dominant resource
// first.
std::pair<double, double> tightness(const WorkerAccount &Account,
                                    const Resources &Size) {
  const Resources &Capacity = Account.Info_.Capacity_;
  const Resources Left = Account.Free_ - Size;
  return {1.0 - dominantShare(Capacity - Left, Capacity),
          sumOfShares(Left, Capacity)};
}

bool accepts(const PlacementRequest &Request, const WorkerAccount &Account) {
  return !Request.Accepts_ || Request.Accepts_(Account);
}

struct Choice {
  std::optional<WorkerIndex> Worker_;
  std::pair<double, double> Score_{std::numeric_limits<double>::infinity(),
                                   0.0};
  std::size_t Candidates_ = 0;
};

void scanBucket(const Ledger &Accounts, const LoadBucket &Bucket,
                const PlacementRequest &Request, Order By, Choice &Best) {
  const std::size_t Count = Bucket.Members_.size();
  if (Count == 0 || !fits(Request.Size_, Bucket.MaxFree_))
    return;
  const std::size_t Start = Request.Random_ % Count;
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const std::size_t Position =
        Start + Step < Count ? Start + Step : Start + Step - Count;
    const IndexedWorker &Member = Bucket.Members_[Position];
    if (!fits(Request.Size_, Member.Free_) ||
        !accepts(Request, Accounts.account(Member.Worker_)))
      continue;
    const std::pair<double, double> Score =
        By == Order::EmptiestFirst
            ? std::pair{Member.Load_, 0.0}
            : tightness(Accounts.account(Member.Worker_), Request.Size_);
    if (!Best.Worker_ || Score < Best.Score_) {
      Best.Worker_ = Member.Worker_;
      Best.Score_ = Score;
    }
    if (++Best.Candidates_ >= MaxCandidates)
      return;
  }
}

std::optional<WorkerIndex> chooseFromIndex(const Ledger &Accounts,
                                           const LoadIndex &Index,
                                           const PlacementRequest &Request,
                                           Order By) {
  Choice Best;
  const auto &Buckets = Index.buckets();
  for (std::size_t Step = 0; Step < Buckets.size(); ++Step) {
    const std::size_t At =
        By == Order::EmptiestFirst ? Step : Buckets.size() - 1 - Step;
    scanBucket(Accounts, Buckets.at(At), Request, By, Best);
    // The emptiest bucket holds the least loaded worker. A tighter fit may be
    // in a less loaded bucket, since the task's own resource may differ from
    // the one that the bucket is named for.
    if (Best.Worker_ &&
        (By == Order::EmptiestFirst || Best.Candidates_ >= MaxCandidates))
      break;
  }
  return Best.Worker_;
}

// Workers with accelerators come last for work that needs none, so that they
// stay free for work that does.
std::optional<WorkerIndex> chooseFromPools(const Ledger &Accounts,
                                           const PlacementRequest &Request,
                                           Order By) {
  if (Request.Size_.Accelerators_ == 0) {
    const auto Plain =
        chooseFromIndex(Accounts, Accounts.plainWorkers(), Request, By);
    if (Plain)
      return Plain;
  }
  return chooseFromIndex(Accounts, Accounts.acceleratorWorkers(), Request, By);
}

struct RackChoice {
  std::int64_t InZone_ = 0; ///< Tasks of the job in the zone.
  std::int64_t InRack_ = 0;
  bool Accelerated_ = false;
  double Load_ = 0.0;
  std::size_t Rack_ = 0;
};

bool isWorse(const RackChoice &A, const RackChoice &B) {
  return std::tie(A.InZone_, A.InRack_, A.Accelerated_, A.Load_, A.Rack_) >
         std::tie(B.InZone_, B.InRack_, B.Accelerated_, B.Load_, B.Rack_);
}

std::vector<RackChoice> rankRacks(const Ledger &Accounts,
                                  const PlacementRequest &Request,
                                  const JobSpread *Spread) {
  const auto &Racks = Accounts.racks();
  std::vector<std::int64_t> InRack(Racks.size(), 0);
  std::map<std::string_view, std::int64_t> InZone;
  if (Spread != nullptr)
    for (const auto &[Worker, Count] : *Spread) {
      const std::size_t Rack = Accounts.account(Worker).Rack_;
      InRack[Rack] += Count;
      InZone[Racks[Rack].Zone_] += Count;
    }
  std::vector<RackChoice> Ranked;
  Ranked.reserve(Racks.size());
  for (std::size_t Rack = 0; Rack < Racks.size(); ++Rack) {
    if (!fits(Request.Size_, Racks[Rack].Free_))
      continue;
    const auto Zone =
        InZone.empty() ? InZone.end() : InZone.find(Racks[Rack].Zone_);
    Ranked.push_back(
        RackChoice{Zone == InZone.end() ? 0 : Zone->second, InRack[Rack],
                   Request.Size_.Accelerators_ == 0 &&
                       Racks[Rack].Capacity_.Accelerators_ > 0,
                   dominantShare(Racks[Rack].Capacity_ - Racks[Rack].Free_,
                                 Racks[Rack].Capacity_),
                   Rack});
  }
  return Ranked;
}

std::optional<WorkerIndex> chooseInRack(const Ledger &Accounts,
                                        const PlacementRequest &Request,
                                        const JobSpread *Spread,
                                        std::size_t Rack) {
  std::optional<WorkerIndex> Best;
  std::tuple<bool, std::int64_t, double> BestScore;
  for (const WorkerIndex Worker : Accounts.racks()[Rack].Members_) {
    const WorkerAccount &Account = Accounts.account(Worker);
    if (Account.Info_.Quarantined_ || !fits(Request.Size_, Account.Free_) ||
        !accepts(Request, Account))
      continue;
    std::int64_t OfJob = 0;
    if (Spread != nullptr) {
      const auto Found = Spread->find(Worker);
      OfJob = Found == Spread->end() ? 0 : Found->second;
    }
    const std::tuple<bool, std::int64_t, double> Score{
        Request.Size_.Accelerators_ == 0 &&
            Account.Info_.Capacity_.Accelerators_ > 0,
        OfJob, Account.Load_};
    if (!Best || Score < BestScore) {
      Best = Worker;
      BestScore = Score;
    }
  }
  return Best;
}

// Fewest tasks of the job in the zone, then in the rack, then lower load.
std::optional<WorkerIndex> chooseSpread(const Ledger &Accounts,
                                        const PlacementRequest &Request) {
  const JobSpread *Spread = Accounts.spreadOf(Request.Job_);
  std::vector<RackChoice> Ranked = rankRacks(Accounts, Request, Spread);
  // A heap orders only as many racks as are looked at, usually one.
  std::make_heap(Ranked.begin(), Ranked.end(), isWorse);
  while (!Ranked.empty()) {
    std::pop_heap(Ranked.begin(), Ranked.end(), isWorse);
    const auto Worker =
        chooseInRack(Accounts, Request, Spread, Ranked.back().Rack_);
    if (Worker)
      return Worker;
    Ranked.pop_back();
  }
  return std::nullopt;
}

std::optional<WorkerIndex> chooseWorker(const Ledger &Accounts,
                                        const PlacementRequest &Request) {
  switch (Request.Class_) {
  case TaskClass::Service:
    return chooseSpread(Accounts, Request);
  case TaskClass::Batch:
  case TaskClass::Gang:
    return chooseFromPools(Accounts, Request, Order::FullestFirst);
  case TaskClass::Lookup:
  case TaskClass::Request:
    return chooseFromPools(Accounts, Request, Order::EmptiestFirst);
  }
  return std::nullopt;
}

} // namespace

bool guardsAllow(const Ledger &Accounts, const ClassGuards &Guards,
                 TaskClass Class, const Resources &Amount) {
  const LedgerTotals &Totals = Accounts.totals();
  const auto Own = static_cast<std::size_t>(Class);
  if (Totals.ByClass_.at(Own) == Resources{})
    return true;
  for (const auto Resource : GuardedAmounts) {
    if (Amount.*Resource <= 0)
      continue;
    std::int64_t Kept = 0;
    for (std::size_t Other = 0; Other < TaskClassCount; ++Other) {
      const auto Minimum = static_cast<std::int64_t>(
          Guards.MinimumShare_.at(Other) *
          static_cast<double>(Totals.Capacity_.*Resource));
      if (Other != Own)
        Kept += std::max<std::int64_t>(0, Minimum - Totals.ByClass_.at(Other).*
                                                        Resource);
    }
    if (Amount.*Resource + Kept > Totals.Free_.*Resource)
      return false;
  }
  return true;
}

std::optional<Placement> place(const Ledger &Accounts,
                               const PlacementRequest &Request) {
  if (!guardsAllow(Accounts, Request.Guards_, Request.Class_, Request.Size_))
    return std::nullopt;
  const auto Worker = chooseWorker(Accounts, Request);
  if (!Worker)
    return std::nullopt;
  const WorkerInfo &Info = Accounts.account(*Worker).Info_;
  return Placement{Info.Id_, Info.Zone_, Info.Rack_};
}

} // namespace damaskglade::policy
