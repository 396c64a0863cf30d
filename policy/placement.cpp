#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace damaskglade::policy {

namespace {

// Number of suitable workers that are compared for one task before the best of
// them is chosen. More candidates pack slightly better, but the search takes
// proportionally longer.
constexpr std::size_t MaxCandidates = 24;

enum class LoadOrder { LeastLoadedFirst, MostLoadedFirst };

std::int64_t Resources::*const GuaranteedResources[] = {
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

// Best-fit score of a worker for a task; lower is better. Scores are pairs that
// are compared in order: first the free share of the worker's most used
// resource after the placement, then, on a tie, the sum of the free shares of
// all its resources.
std::pair<double, double> bestFitScore(const WorkerAccount &Account,
                                       const Resources &Size) {
  const Resources &Capacity = Account.Info_.Capacity_;
  const Resources Remaining = Account.Free_ - Size;
  return {1.0 - dominantShare(Capacity - Remaining, Capacity),
          sumOfShares(Remaining, Capacity)};
}

bool accepts(const PlacementRequest &Request, const WorkerAccount &Account) {
  return !Request.Accepts_ || Request.Accepts_(Account);
}

struct BestCandidate {
  std::optional<WorkerIndex> Worker_;
  std::pair<double, double> Score_{std::numeric_limits<double>::infinity(),
                                   0.0};
  std::size_t CandidateCount_ = 0;
};

void scanBucket(const Ledger &Accounts, const LoadBucket &Bucket,
                const PlacementRequest &Request, LoadOrder ScanOrder,
                BestCandidate &Best) {
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
        ScanOrder == LoadOrder::LeastLoadedFirst
            ? std::pair{Member.Load_, 0.0}
            : bestFitScore(Accounts.account(Member.Worker_), Request.Size_);
    if (!Best.Worker_ || Score < Best.Score_) {
      Best.Worker_ = Member.Worker_;
      Best.Score_ = Score;
    }
    if (++Best.CandidateCount_ >= MaxCandidates)
      return;
  }
}

std::optional<WorkerIndex> chooseFromIndex(const Ledger &Accounts,
                                           const LoadIndex &Index,
                                           const PlacementRequest &Request,
                                           LoadOrder ScanOrder) {
  BestCandidate Best;
  const auto &Buckets = Index.buckets();
  for (std::size_t Step = 0; Step < Buckets.size(); ++Step) {
    const std::size_t BucketIndex = ScanOrder == LoadOrder::LeastLoadedFirst
                                        ? Step
                                        : Buckets.size() - 1 - Step;
    scanBucket(Accounts, Buckets.at(BucketIndex), Request, ScanOrder, Best);
    // In ascending order of load, the first bucket with a suitable worker holds
    // the least loaded one. In descending order, the search goes on until
    // enough candidates were compared: buckets are ordered by each worker's
    // most used resource, and a less loaded worker may fit the task better if
    // the task mainly needs another resource.
    if (Best.Worker_ && (ScanOrder == LoadOrder::LeastLoadedFirst ||
                         Best.CandidateCount_ >= MaxCandidates))
      break;
  }
  return Best.Worker_;
}

// Tasks that need no accelerators use workers with accelerators last, so that
// these stay free for tasks that need them.
std::optional<WorkerIndex> chooseFromPools(const Ledger &Accounts,
                                           const PlacementRequest &Request,
                                           LoadOrder ScanOrder) {
  if (Request.Size_.Accelerators_ == 0) {
    const auto CpuOnlyWorker = chooseFromIndex(
        Accounts, Accounts.cpuOnlyWorkers(), Request, ScanOrder);
    if (CpuOnlyWorker)
      return CpuOnlyWorker;
  }
  return chooseFromIndex(Accounts, Accounts.acceleratorWorkers(), Request,
                         ScanOrder);
}

struct RankedRack {
  std::int64_t JobTasksInZone_ = 0;
  std::int64_t JobTasksInRack_ = 0;
  bool HasUnneededAccelerators_ = false;
  double Load_ = 0.0;
  std::size_t RackIndex_ = 0;
};

bool isWorse(const RankedRack &A, const RankedRack &B) {
  return std::tie(A.JobTasksInZone_, A.JobTasksInRack_,
                  A.HasUnneededAccelerators_, A.Load_, A.RackIndex_) >
         std::tie(B.JobTasksInZone_, B.JobTasksInRack_,
                  B.HasUnneededAccelerators_, B.Load_, B.RackIndex_);
}

std::vector<RankedRack> rankRacks(const Ledger &Accounts,
                                  const PlacementRequest &Request,
                                  const JobSpread *Spread) {
  const auto &Racks = Accounts.racks();
  std::vector<std::int64_t> JobTasksByRack(Racks.size(), 0);
  std::map<std::string_view, std::int64_t> JobTasksByZone;
  if (Spread != nullptr)
    for (const auto &[Worker, Count] : *Spread) {
      const std::size_t Rack = Accounts.account(Worker).Rack_;
      JobTasksByRack[Rack] += Count;
      JobTasksByZone[Racks[Rack].Zone_] += Count;
    }
  std::vector<RankedRack> Ranked;
  Ranked.reserve(Racks.size());
  for (std::size_t Rack = 0; Rack < Racks.size(); ++Rack) {
    if (!fits(Request.Size_, Racks[Rack].Free_))
      continue;
    const auto ZoneCount = JobTasksByZone.empty()
                               ? JobTasksByZone.end()
                               : JobTasksByZone.find(Racks[Rack].Zone_);
    Ranked.push_back(
        RankedRack{ZoneCount == JobTasksByZone.end() ? 0 : ZoneCount->second,
                   JobTasksByRack[Rack],
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
    std::int64_t JobTasks = 0;
    if (Spread != nullptr) {
      const auto Found = Spread->find(Worker);
      JobTasks = Found == Spread->end() ? 0 : Found->second;
    }
    const std::tuple<bool, std::int64_t, double> Score{
        Request.Size_.Accelerators_ == 0 &&
            Account.Info_.Capacity_.Accelerators_ > 0,
        JobTasks, Account.Load_};
    if (!Best || Score < BestScore) {
      Best = Worker;
      BestScore = Score;
    }
  }
  return Best;
}

// Prefers the zone with the fewest tasks of the job, then the rack with the
// fewest, then the lowest load.
std::optional<WorkerIndex> chooseSpread(const Ledger &Accounts,
                                        const PlacementRequest &Request) {
  const JobSpread *Spread = Accounts.spreadOf(Request.Job_);
  std::vector<RankedRack> Ranked = rankRacks(Accounts, Request, Spread);
  // Usually the first rack has a suitable worker, so a heap is cheaper than
  // sorting all racks.
  std::make_heap(Ranked.begin(), Ranked.end(), isWorse);
  while (!Ranked.empty()) {
    std::pop_heap(Ranked.begin(), Ranked.end(), isWorse);
    const auto Worker =
        chooseInRack(Accounts, Request, Spread, Ranked.back().RackIndex_);
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
    return chooseFromPools(Accounts, Request, LoadOrder::MostLoadedFirst);
  case TaskClass::Lookup:
  case TaskClass::Request:
    return chooseFromPools(Accounts, Request, LoadOrder::LeastLoadedFirst);
  }
  return std::nullopt;
}

} // namespace

bool guaranteesAllow(const Ledger &Accounts, const ClassGuards &Guarantees,
                     TaskClass Class, const Resources &Amount) {
  const LedgerTotals &Totals = Accounts.totals();
  const auto RequestClass = static_cast<std::size_t>(Class);
  if (Totals.ReservedByClass_.at(RequestClass) == Resources{})
    return true;
  for (const auto Resource : GuaranteedResources) {
    if (Amount.*Resource <= 0)
      continue;
    std::int64_t ReservedForOthers = 0;
    for (std::size_t OtherClass = 0; OtherClass < TaskClassCount;
         ++OtherClass) {
      const auto Minimum = static_cast<std::int64_t>(
          Guarantees.MinimumShare_.at(OtherClass) *
          static_cast<double>(Totals.Capacity_.*Resource));
      if (OtherClass != RequestClass)
        ReservedForOthers += std::max<std::int64_t>(
            0, Minimum - Totals.ReservedByClass_.at(OtherClass).*Resource);
    }
    if (Amount.*Resource + ReservedForOthers > Totals.Free_.*Resource)
      return false;
  }
  return true;
}

std::optional<Placement> place(const Ledger &Accounts,
                               const PlacementRequest &Request) {
  if (!guaranteesAllow(Accounts, Request.Guards_, Request.Class_,
                       Request.Size_))
    return std::nullopt;
  const auto Worker = chooseWorker(Accounts, Request);
  if (!Worker)
    return std::nullopt;
  const WorkerInfo &Info = Accounts.account(*Worker).Info_;
  return Placement{Info.Id_, Info.Zone_, Info.Rack_};
}

} // namespace damaskglade::policy
