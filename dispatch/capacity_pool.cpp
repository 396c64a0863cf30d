#include "dispatch/capacity_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damaskglade::dispatch {

namespace {

// A step that reserves no processors, like one of fillers, still runs on them.
double tasksIn(const Size &Available, const Size &Need) {
  if (Available.MilliCpus_ <= 0)
    return 0;
  double Tasks = std::numeric_limits<double>::max();
  const auto Limit = [&Tasks](std::int64_t Amount, std::int64_t Needed) {
    if (Needed > 0)
      Tasks = std::min(Tasks, static_cast<double>(Amount) /
                                  static_cast<double>(Needed));
  };
  Limit(Available.MilliCpus_, Need.MilliCpus_);
  Limit(Available.MemoryMib_, Need.MemoryMib_);
  Limit(Available.Accelerators_, Need.Accelerators_);
  return Tasks;
}

void remove(Size &Available, const Size &Need, double Tasks) {
  const auto Remove = [Tasks](std::int64_t &Amount, std::int64_t Needed) {
    if (Needed > 0)
      Amount = std::max<std::int64_t>(
          Amount - static_cast<std::int64_t>(
                       std::ceil(Tasks * static_cast<double>(Needed))),
          0);
  };
  Remove(Available.MilliCpus_, Need.MilliCpus_);
  Remove(Available.MemoryMib_, Need.MemoryMib_);
  Remove(Available.Accelerators_, Need.Accelerators_);
}

Size releasedPart(const Size &Capacity) {
  const auto Part = [](std::int64_t Amount) {
    return std::llround(static_cast<double>(Amount) * ReleasedShare);
  };
  return Size{Part(Capacity.MilliCpus_), Part(Capacity.MemoryMib_),
              Part(Capacity.Accelerators_)};
}

// Free capacity helps a task only if enough of it is on one worker.
double freeTasks(const CapacityPool &Pool, const Size &Need) {
  return fitsInto(Need, Pool.LargestFree_) ? tasksIn(Pool.Free_, Need) : 0;
}

} // namespace

void addWorker(CapacityPool &Pool, const Worker &W) {
  // A worker that has shrunk may have less than nothing.
  const Size Free = largest(freeCapacity(W), Size{});
  ++Pool.Workers_;
  Pool.Info_.Capacity_ = largest(Pool.Info_.Capacity_, W.Info_.Capacity_);
  Pool.LargestFree_ = largest(Pool.LargestFree_, Free);
  Pool.Free_ = Pool.Free_ + Free;
  Pool.Released_ = Pool.Released_ + releasedPart(W.Info_.Capacity_);
}

bool hasCapacity(const CapacityPool &Pool) {
  return Pool.Free_.MilliCpus_ > 0 || Pool.Released_.MilliCpus_ > 0;
}

double availableTasks(const CapacityPool &Pool, const Size &Need) {
  return freeTasks(Pool, Need) + tasksIn(Pool.Released_, Need);
}

void claimTasks(CapacityPool &Pool, const Size &Need, double Tasks) {
  const double Free = std::min(Tasks, freeTasks(Pool, Need));
  remove(Pool.Free_, Need, Free);
  remove(Pool.Released_, Need, Tasks - Free);
}

} // namespace damaskglade::dispatch
