#include "records/table_budget.h"

namespace damaskglade::records {

TableBudget::TableBudget(double WritesPerSecond, double ReadsPerSecond,
                         const Clock &Time)
    : Time_(Time), Writes_(makeTokenBucket(WritesPerSecond, Time.monotonic())),
      Reads_(makeTokenBucket(ReadsPerSecond, Time.monotonic())) {}

bool TableBudget::waitForWrite(Millis Deadline) {
  return waitFor(Writes_, Deadline);
}

bool TableBudget::waitForRead(Millis Deadline) {
  return waitFor(Reads_, Deadline);
}

bool TableBudget::waitFor(TokenBucket &Bucket, Millis Deadline) {
  while (true) {
    Millis Wait;
    {
      const MutexLock Lock(Mutex_);
      Wait = takeToken(Bucket, Time_.monotonic());
    }
    if (Wait == Millis{})
      return true;
    if (Time_.monotonic() + Wait > Deadline)
      return false;
    sleepFor(Wait);
  }
}

} // namespace damaskglade::records
