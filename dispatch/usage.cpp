#include "dispatch/usage.h"

namespace damaskglade::dispatch {

bool isWithinLimit(const Size &Used, const Size &Need, const Size &Limit) {
  const auto IsWithin = [](std::int64_t InUse, std::int64_t Needed,
                           std::int64_t Most) {
    return Needed == 0 || Most == 0 || InUse + Needed <= Most;
  };
  return IsWithin(Used.MilliCpus_, Need.MilliCpus_, Limit.MilliCpus_) &&
         IsWithin(Used.MemoryMib_, Need.MemoryMib_, Limit.MemoryMib_) &&
         IsWithin(Used.Accelerators_, Need.Accelerators_, Limit.Accelerators_);
}

std::int64_t startsWithinLimit(const Size &Used, const Size &Each,
                               const Size &Limit, std::int64_t Count) {
  std::int64_t Starts = Count;
  const auto Bound = [&Starts](std::int64_t InUse, std::int64_t Needed,
                               std::int64_t Most) {
    if (Needed > 0 && Most > 0)
      Starts =
          std::min(Starts, std::max<std::int64_t>(Most - InUse, 0) / Needed);
  };
  Bound(Used.MilliCpus_, Each.MilliCpus_, Limit.MilliCpus_);
  Bound(Used.MemoryMib_, Each.MemoryMib_, Limit.MemoryMib_);
  Bound(Used.Accelerators_, Each.Accelerators_, Limit.Accelerators_);
  if (Starts == 0 && Used == Size{})
    return std::min<std::int64_t>(Count, 1);
  return Starts;
}

} // namespace damaskglade::dispatch
