#ifndef DAMASKGLADE_RECORDS_TABLE_BUDGET_H
#define DAMASKGLADE_RECORDS_TABLE_BUDGET_H

#include "core/clock.h"
#include "core/thread.h"
#include "records/token_bucket.h"

namespace damaskglade::records {

/// This node's share of the calls to the table service. Safe to call from
/// several threads.
class TableBudget {
public:
  TableBudget(double WritesPerSecond, double ReadsPerSecond, const Clock &Time);

  /// Blocks until a transaction may be sent. Returns false if that is not so
  /// by Deadline (monotonic).
  bool waitForWrite(Millis Deadline);
  /// As waitForWrite, for one read or list.
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
