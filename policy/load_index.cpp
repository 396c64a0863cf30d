#include "policy/load_index.h"

#include <algorithm>

namespace damaskglade::policy {

namespace {

std::size_t bucketFor(const IndexedWorker &Entry) {
  if (Entry.Free_.MilliCpus_ <= 0)
    return LoadIndex::LoadRangeCount;
  if (Entry.Free_.MemoryMib_ <= 0)
    return LoadIndex::LoadRangeCount + 1;
  if (Entry.Free_.Slots_ <= 0)
    return LoadIndex::LoadRangeCount + 2;
  if (Entry.Free_.Connections_ <= 0)
    return LoadIndex::LoadRangeCount + 3;
  const double Scaled =
      std::clamp(Entry.Load_, 0.0, 1.0) * LoadIndex::LoadRangeCount;
  return std::min(static_cast<std::size_t>(Scaled),
                  LoadIndex::LoadRangeCount - 1);
}

void recomputeMaxFree(LoadBucket &Bucket) {
  Bucket.MaxFree_ = Resources{};
  for (const IndexedWorker &Member : Bucket.Members_)
    Bucket.MaxFree_ = largerOf(Bucket.MaxFree_, Member.Free_);
  Bucket.Removals_ = 0;
}

} // namespace

void LoadIndex::insert(const IndexedWorker &Entry) {
  erase(Entry.Worker_);
  if (Locations_.size() <= Entry.Worker_)
    Locations_.resize(Entry.Worker_ + 1);
  const std::size_t BucketIndex = bucketFor(Entry);
  LoadBucket &Bucket = Buckets_.at(BucketIndex);
  Locations_[Entry.Worker_] = Location{BucketIndex, Bucket.Members_.size()};
  Bucket.Members_.push_back(Entry);
  Bucket.MaxFree_ = largerOf(Bucket.MaxFree_, Entry.Free_);
  ++Size_;
}

void LoadIndex::erase(WorkerIndex Worker) {
  if (find(Worker) == nullptr)
    return;
  const Location OldLocation = Locations_[Worker];
  LoadBucket &Bucket = Buckets_.at(OldLocation.Bucket_);
  Bucket.Members_[OldLocation.Position_] = Bucket.Members_.back();
  Locations_[Bucket.Members_[OldLocation.Position_].Worker_].Position_ =
      OldLocation.Position_;
  Bucket.Members_.pop_back();
  Locations_[Worker] = Location{};
  --Size_;
  // Keeping the maximum exact would take a scan after each removal. One scan
  // after as many removals as there are members has constant amortized cost.
  if (++Bucket.Removals_ >= Bucket.Members_.size())
    recomputeMaxFree(Bucket);
}

const IndexedWorker *LoadIndex::find(WorkerIndex Worker) const {
  if (Worker >= Locations_.size() || Locations_[Worker].Bucket_ == BucketCount)
    return nullptr;
  const Location &Found = Locations_[Worker];
  return &Buckets_.at(Found.Bucket_).Members_[Found.Position_];
}

} // namespace damaskglade::policy
