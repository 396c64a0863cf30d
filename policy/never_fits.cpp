#include "policy/never_fits.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace damaskglade::policy {

namespace {

struct NamedAmount {
  std::string_view Name_;
  std::int64_t Resources::*Amount_;
};

constexpr std::array<NamedAmount, 5> NamedAmounts = {{
    {"milli_cpus", &Resources::MilliCpus_},
    {"memory_mib", &Resources::MemoryMib_},
    {"accelerators", &Resources::Accelerators_},
    {"slots", &Resources::Slots_},
    {"connections", &Resources::Connections_},
}};

} // namespace

std::optional<Error> neverFits(const Resources &Size,
                               const std::vector<Resources> &Capacities) {
  // An empty list means that the VM list has not been read yet, not that there
  // are no workers, so the task must not be refused.
  if (Capacities.empty() || std::any_of(Capacities.begin(), Capacities.end(),
                                        [&](const Resources &Capacity) {
                                          return fits(Size, Capacity);
                                        }))
    return std::nullopt;
  const NamedAmount *Limiting = &NamedAmounts.front();
  std::ptrdiff_t MaxWorkersShort = 0;
  std::int64_t LargestCapacity = 0;
  for (const NamedAmount &Candidate : NamedAmounts) {
    const auto WorkersShort = std::count_if(
        Capacities.begin(), Capacities.end(), [&](const Resources &Capacity) {
          return Size.*Candidate.Amount_ > Capacity.*Candidate.Amount_;
        });
    if (WorkersShort <= MaxWorkersShort)
      continue;
    Limiting = &Candidate;
    MaxWorkersShort = WorkersShort;
    LargestCapacity = 0;
    for (const Resources &Capacity : Capacities)
      LargestCapacity = std::max(LargestCapacity, Capacity.*Candidate.Amount_);
  }
  const std::string Name(Limiting->Name_);
  const std::string Needed = std::to_string(Size.*Limiting->Amount_);
  // Each amount may fit some worker although no worker fits all of them.
  const std::string Message = LargestCapacity < Size.*Limiting->Amount_
                                  ? "a task needs " + Needed + " " + Name +
                                        "; the largest worker has " +
                                        std::to_string(LargestCapacity)
                                  : "no worker that has " + Needed + " " +
                                        Name + " also has the other amounts";
  return Error{Reason::NeverFits, Effect::None, "check size",
               "size." + Name,    Message,      Millis{}};
}

} // namespace damaskglade::policy
