#include "node/fleet.h"

#include <algorithm>
#include <iterator>

namespace damaskglade::node {

namespace {

constexpr Millis MaxAge{1000};

} // namespace

Result<std::vector<VmEntry>> Fleet::list(Millis Timeout) {
  {
    const MutexLock Lock(Mutex_);
    if (HasList_ && Time_.monotonic() - FetchedAt_ < MaxAge)
      return Entries_;
  }
  BOOST_OUTCOME_TRYV(refresh(Timeout));
  const MutexLock Lock(Mutex_);
  return Entries_;
}

Status Fleet::refresh(Millis Timeout) {
  const Millis Start = Time_.monotonic();
  auto Entries = Source_.list(Timeout);
  if (!Entries)
    return Entries.error();
  const MutexLock Lock(Mutex_);
  Entries_ = std::move(Entries).value();
  FetchedAt_ = Start;
  HasList_ = true;
  return success();
}

std::vector<VmEntry> Fleet::workersOfShard(const std::string &Shard) const {
  const MutexLock Lock(Mutex_);
  std::vector<VmEntry> Workers;
  std::copy_if(
      Entries_.begin(), Entries_.end(), std::back_inserter(Workers),
      [&](const VmEntry &Vm) { return Vm.IsWorker_ && shardOf(Vm) == Shard; });
  return Workers;
}

std::vector<std::string> Fleet::workersOfZone(const std::string &Zone) const {
  const MutexLock Lock(Mutex_);
  std::vector<std::string> Workers;
  for (const VmEntry &Vm : Entries_)
    if (Vm.IsWorker_ && Vm.Zone_ == Zone)
      Workers.push_back(Vm.Id_);
  return Workers;
}

bool Fleet::hasList() const {
  const MutexLock Lock(Mutex_);
  return HasList_;
}

} // namespace damaskglade::node
