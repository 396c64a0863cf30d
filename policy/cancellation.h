#ifndef DAMASKGLADE_POLICY_CANCELLATION_H
#define DAMASKGLADE_POLICY_CANCELLATION_H

#include "core/clock.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace damaskglade::policy {

struct CancellationSettings {
  /// Time for which a canceled job is remembered. Must exceed the longest time
  /// that a start message of the job can be in transit.
  Millis Retention_{60000};
  std::size_t MaxTombstones_ = 200000;
};

/// Tombstones of canceled jobs, so that a submission, placement or start that
/// is still in transit is dropped on arrival. Every operation takes constant
/// time, so a burst of cancellations does not delay other work. Not
/// thread-safe: the caller must hold a lock.
class Cancellations {
public:
  explicit Cancellations(CancellationSettings Settings) : Settings_(Settings) {}

  /// Returns false if the job is already recorded as canceled; its expiry time
  /// stays unchanged.
  bool add(const std::string &JobId, Millis Now);
  bool contains(const std::string &JobId, Millis Now);
  std::size_t size() const { return Ids_.size(); }

private:
  struct Tombstone {
    Millis Expiry_;
    std::string JobId_;
  };

  void purge(Millis Now);

  CancellationSettings Settings_;
  std::unordered_set<std::string> Ids_;
  std::deque<Tombstone> Tombstones_; ///< In order of expiry.
};

} // namespace damaskglade::policy

#endif
