#include "records/row_cache.h"

namespace damaskglade::records {

namespace {

// About 400 bytes a row keep the cache at 4 MB of a node's 64 MB. The design
// size has 3,000 tasks running over 7 or more nodes.
constexpr std::size_t MaxRows = 10000;

} // namespace

std::optional<RowMeta> RowCache::find(const std::string &JobId,
                                      std::int64_t Version) const {
  const MutexLock Lock(Mutex_);
  const auto Found = Rows_.find(JobId);
  if (Found == Rows_.end() || Found->second.Version_ != Version)
    return std::nullopt;
  return Found->second;
}

void RowCache::store(const std::string &JobId, const RowMeta &Meta) {
  const MutexLock Lock(Mutex_);
  if (Meta.Index_.Kind_ == DoneKind) {
    Rows_.erase(JobId);
    return;
  }
  // Rows that are dropped cost one read each when they change.
  if (Rows_.size() >= MaxRows)
    Rows_.clear();
  Rows_[JobId] = Meta;
}

void RowCache::forget(const std::string &JobId) {
  const MutexLock Lock(Mutex_);
  Rows_.erase(JobId);
}

} // namespace damaskglade::records
