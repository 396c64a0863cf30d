#ifndef DAMASKGLADE_POLICY_CANCELLATION_H
#define DAMASKGLADE_POLICY_CANCELLATION_H

#include "core/clock.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace damaskglade::policy {

struct CancellationSettings {
  /// Longer than any start message of a canceled job can be under way.
  Millis Lifetime_{60000};
  std::size_t MaxTombstones_ = 200000;
};

/// Canceled job ids, kept so that a submission, placement or start that is
/// still under way is dropped when it arrives. Every operation does constant
/// work, so a wave of cancellations delays nothing else. Not thread-safe: the
/// caller holds a lock.
class Cancellations {
public:
  explicit Cancellations(CancellationSettings Settings) : Settings_(Settings) {}

  /// Returns false if the job was canceled before; its lifetime is unchanged.
  bool add(const std::string &JobId, Millis Now);
  bool contains(const std::string &JobId, Millis Now);
  std::size_t size() const { return Ids_.size(); }

private:
  struct Tombstone {
    Millis End_;
    std::string JobId_;
  };

  void purge(Millis Now);

  CancellationSettings Settings_;
  std::unordered_set<std::string> Ids_;
  std::deque<Tombstone> Order_; ///< Oldest first; all have one lifetime.
};

} // namespace damaskglade::policy

#endif
