#ifndef DAMASKGLADE_NODE_LOOKUP_SERVICE_H
#define DAMASKGLADE_NODE_LOOKUP_SERVICE_H

#include "config/settings.h"
#include "node/owner_gateway.h"
#include "records/retry.h"

#include <atomic>
#include <random>
#include <string>

namespace damaskglade::node {

struct LookupSettings {
  Millis DefaultDeadline_{5000};
  std::size_t MaxInProgress_ = 400; ///< Lookups of one node.
  records::DelayRange Delays_;
};

/// Runs idempotent requests on any shard owner with free capacity and returns
/// their complete answers. Does not use the table. Thread-safe.
class LookupService {
public:
  LookupService(NodeIdentity Self, LookupSettings Settings, Services &Ports,
                OwnerGateway &Owners, ShardOwner &Local, Router &Routes);

  /// Errors: queue_full, no_capacity, deadline_unreachable, never_fits,
  /// retry_budget_exhausted, answer_truncated.
  Result<Answer> run(const JobSpec &Spec);
  void applySettings(const config::CellSettings &Cell);
  std::size_t inProgress() const { return InProgress_; }

private:
  LookupSettings settings();
  Result<Answer> runUntil(const JobSpec &Spec, Millis Deadline);
  Result<Answer> tryOwners(const JobSpec &Spec, Millis Deadline);
  Result<Answer> tryOwner(const std::string &Node, const JobSpec &Spec,
                          Millis Deadline);
  /// Sleeps until the next try. Returns false and sets FinalError if there is
  /// none.
  bool waitForRetry(const Error &Failure, int Retry, Millis Deadline,
                    Error &FinalError);

  const NodeIdentity Self_;
  LookupSettings Settings_; ///< Guarded by Mutex_.
  Services &Ports_;
  OwnerGateway &Owners_;
  ShardOwner &Local_;
  Router &Routes_;

  std::atomic<std::size_t> InProgress_{0};
  std::atomic<std::int64_t> LastAttemptNumber_;
  Mutex Mutex_;
  std::mt19937_64 Random_;      ///< Guarded by Mutex_.
  records::RetryBudget Budget_; ///< Guarded by Mutex_.
};

} // namespace damaskglade::node

#endif
