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

/// Entry of a worker in a LoadIndex.
struct IndexedWorker {
  WorkerIndex Worker_ = 0;
  double Load_ = 0.0; ///< Dominant share of the capacity that is in use.
  Resources Free_;

  friend bool operator==(const IndexedWorker &,
                         const IndexedWorker &) = default;
};

/// Workers of similar load, or with the same exhausted resource.
struct LoadBucket {
  std::vector<IndexedWorker> Members_;
  Resources MaxFree_; ///< Upper bound of the free amounts of the members.
  std::size_t Removals_ = 0; ///< Since MaxFree_ was last recomputed.
};

/// Index of workers by load. The first buckets divide the load from 0 to 1 into
/// equal ranges, in ascending order. The last four hold the workers without
/// free processors, memory, slots or connections; a search skips each of them
/// with one comparison.
class LoadIndex {
public:
  static constexpr std::size_t LoadRangeCount = 32;
  static constexpr std::size_t BucketCount = LoadRangeCount + 4;

  void insert(const IndexedWorker &Entry);
  void erase(WorkerIndex Worker);
  std::size_t size() const { return Size_; }
  const std::array<LoadBucket, BucketCount> &buckets() const {
    return Buckets_;
  }
  /// The entry of a worker, or nullptr if it is not in the index.
  const IndexedWorker *find(WorkerIndex Worker) const;

private:
  struct Location {
    std::size_t Bucket_ = BucketCount; ///< BucketCount if not in the index.
    std::size_t Position_ = 0;
  };

  std::array<LoadBucket, BucketCount> Buckets_;
  std::vector<Location> Locations_; ///< By WorkerIndex.
  std::size_t Size_ = 0;
};

} // namespace damaskglade::policy

#endif
