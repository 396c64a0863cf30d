#ifndef DAMASKGLADE_POLICY_LOAD_INDEX_H
#define DAMASKGLADE_POLICY_LOAD_INDEX_H

#include "core/resources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace damaskglade::policy {

/// Position of a worker in its ledger; reused after the worker is removed.
using WorkerIndex = std::uint32_t;

/// What the index knows of a worker.
struct IndexedWorker {
  WorkerIndex Worker_ = 0;
  double Load_ = 0.0; ///< Dominant share of the capacity that is in use.
  Resources Free_;

  friend bool operator==(const IndexedWorker &,
                         const IndexedWorker &) = default;
};

/// Workers of similar load.
struct LoadBucket {
  std::vector<IndexedWorker> Members_;
  Resources MaxFree_;        ///< At least the free amount of every member.
  std::size_t Removals_ = 0; ///< Since MaxFree_ was last exact.
};

/// Workers in buckets of rising load. Workers that have nothing left of
/// processors, memory, slots or connections are in one bucket for each of
/// these, after all others, so that one comparison passes over them.
class LoadIndex {
public:
  static constexpr std::size_t LoadLevels = 32;
  static constexpr std::size_t BucketCount = LoadLevels + 4;

  void insert(const IndexedWorker &Entry);
  void erase(WorkerIndex Worker);
  std::size_t size() const { return Size_; }
  const std::array<LoadBucket, BucketCount> &buckets() const {
    return Buckets_;
  }
  /// The entry of a worker, or nullptr if it is not in the index.
  const IndexedWorker *find(WorkerIndex Worker) const;

private:
  struct Place {
    std::size_t Bucket_ = BucketCount; ///< BucketCount: not in the index.
    std::size_t Position_ = 0;
  };

  std::array<LoadBucket, BucketCount> Buckets_;
  std::vector<Place> Places_; ///< By WorkerIndex.
  std::size_t Size_ = 0;
};

} // namespace damaskglade::policy

#endif
