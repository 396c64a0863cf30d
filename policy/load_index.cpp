#include "policy/load_index.h"

#include <algorithm>

namespace damaskglade::policy {

namespace {

std::size_t bucketFor(const IndexedWorker &Entry) {
  if (Entry.Free_.MilliCpus_ <= 0)
    return LoadIndex::LoadLevels;
  if (Entry.Free_.MemoryMib_ <= 0)
    return LoadIndex::LoadLevels + 1;
  if (Entry.Free_.Slots_ <= 0)
    return LoadIndex::LoadLevels + 2;
  if (Entry.Free_.Connections_ <= 0)
    return LoadIndex::LoadLevels + 3;
  const double Scaled =
      std::clamp(Entry.Load_, 0.0, 1.0) * LoadIndex::LoadLevels;
  return std::min(static_cast<std::size_t>(Scaled), LoadIndex::LoadLevels - 1);
}

void tighten(LoadBucket &Bucket) {
  Bucket.MaxFree_ = Resources{};
  for (const IndexedWorker &Member : Bucket.Members_)
    Bucket.MaxFree_ = largerOf(Bucket.MaxFree_, Member.Free_);
  Bucket.Removals_ = 0;
}

} // namespace

void LoadIndex::insert(const IndexedWorker &Entry) {
  erase(Entry.Worker_);
  if (Places_.size() <= Entry.Worker_)
    Places_.resize(Entry.Worker_ + 1);
  const std::size_t Target = bucketFor(Entry);
  LoadBucket &Bucket = Buckets_.at(Target);
  Places_[Entry.Worker_] = Place{Target, Bucket.Members_.size()};
  Bucket.Members_.push_back(Entry);
  Bucket.MaxFree_ = largerOf(Bucket.MaxFree_, Entry.Free_);
  ++Size_;
}

void LoadIndex::erase(WorkerIndex Worker) {
  if (find(Worker) == nullptr)
    return;
  const Place Old = Places_[Worker];
  LoadBucket &Bucket = Buckets_.at(Old.Bucket_);
  Bucket.Members_[Old.Position_] = Bucket.Members_.back();
  Places_[Bucket.Members_[Old.Position_].Worker_].Position_ = Old.Position_;
  Bucket.Members_.pop_back();
  Places_[Worker] = Place{};
  --Size_;
  // An exact maximum after each removal would cost a scan. One scan after as
  // many removals as there are members keeps the mean cost constant.
  if (++Bucket.Removals_ >= Bucket.Members_.size())
    tighten(Bucket);
}

const IndexedWorker *LoadIndex::find(WorkerIndex Worker) const {
  if (Worker >= Places_.size() || Places_[Worker].Bucket_ == BucketCount)
    return nullptr;
  const Place &At = Places_[Worker];
  return &Buckets_.at(At.Bucket_).Members_[At.Position_];
}

} // namespace damaskglade::policy
