#ifndef DAMASKGLADE_RECORDS_TABLE_BUDGET_H
#define DAMASKGLADE_RECORDS_TABLE_BUDGET_H

#include "core/clock.h"
#include "core/thread.h"
#include "records/token_bucket.h"

namespace damaskglade::records {

/// Rate limits for this node's calls to the table service. Thread-safe.
class TableBudget {
public:
  TableBudget(double WritesPerSecond, double ReadsPerSecond, const Clock &Time);

  /// Blocks until a transaction may be sent. Returns false if the rate limit
  /// does not allow it before Deadline (monotonic).
  bool waitForWrite(Millis Deadline);
  /// Like waitForWrite(), for one read or list call.
  bool waitForRead(Millis Deadline);

private:
  bool waitFor(TokenBucket &Bucket, Millis Deadline);

  const Clock &Time_;
  Mutex Mutex_;
  TokenBucket Writes_;
  TokenBucket Reads_;
};

} // namespace damaskglade::records

#endif
