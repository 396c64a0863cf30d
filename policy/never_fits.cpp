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

constexpr std::array<NamedAmount, 5> Amounts = {{
    {"milli_cpus", &Resources::MilliCpus_},
    {"memory_mib", &Resources::MemoryMib_},
    {"accelerators", &Resources::Accelerators_},
    {"slots", &Resources::Slots_},
    {"connections", &Resources::Connections_},
}};

} // namespace

std::optional<Error> neverFits(const Resources &Size,
                               const std::vector<Resources> &Capacities) {
  // An empty list means that the VM list has not been read, not that there
  // are no workers, so it is no ground for a refusal.
  if (Capacities.empty() || std::any_of(Capacities.begin(), Capacities.end(),
                                        [&](const Resources &Capacity) {
                                          return fits(Size, Capacity);
                                        }))
    return std::nullopt;
  const NamedAmount *Worst = &Amounts.front();
  std::ptrdiff_t MostShort = 0;
  std::int64_t Largest = 0;
  for (const NamedAmount &Named : Amounts) {
    const auto Short = std::count_if(
        Capacities.begin(), Capacities.end(), [&](const Resources &Capacity) {
          return Size.*Named.Amount_ > Capacity.*Named.Amount_;
        });
    if (Short <= MostShort)
      continue;
    Worst = &Named;
    MostShort = Short;
    Largest = 0;
    for (const Resources &Capacity : Capacities)
      Largest = std::max(Largest, Capacity.*Named.Amount_);
  }
  const std::string Name(Worst->Name_);
  const std::string Wanted = std::to_string(Size.*Worst->Amount_);
  // Each resource may fit some worker without any worker that fits all.
  const std::string Message = Largest < Size.*Worst->Amount_
                                  ? "a task needs " + Wanted + " " + Name +
                                        "; the largest worker has " +
                                        std::to_string(Largest)
                                  : "no worker that has " + Wanted + " " +
                                        Name + " also has the other amounts";
  return Error{Reason::NeverFits, Effect::None, "check size",
               "size." + Name,    Message,      Millis{}};
}

} // namespace damaskglade::policy
