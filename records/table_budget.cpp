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
    Millis Delay;
    {
      const MutexLock Lock(Mutex_);
      Delay = takeToken(Bucket, Time_.monotonic());
    }
    if (Delay == Millis{})
      return true;
    if (Time_.monotonic() + Delay > Deadline)
      return false;
    sleepFor(Delay);
  }
}

} // namespace damaskglade::records
