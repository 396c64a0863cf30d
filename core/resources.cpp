#include "core/resources.h"

#include <algorithm>
#include <limits>

namespace damaskglade {

namespace {

double shareOf(std::int64_t Part, std::int64_t Whole) {
  if (Part <= 0)
    return 0.0;
  if (Whole <= 0)
    return std::numeric_limits<double>::infinity();
  return static_cast<double>(Part) / static_cast<double>(Whole);
}

} // namespace

Resources operator+(const Resources &A, const Resources &B) {
  return Resources{A.MilliCpus_ + B.MilliCpus_, A.MemoryMib_ + B.MemoryMib_,
                   A.Accelerators_ + B.Accelerators_, A.Slots_ + B.Slots_,
                   A.Connections_ + B.Connections_};
}

Resources operator-(const Resources &A, const Resources &B) {
  return Resources{A.MilliCpus_ - B.MilliCpus_, A.MemoryMib_ - B.MemoryMib_,
                   A.Accelerators_ - B.Accelerators_, A.Slots_ - B.Slots_,
                   A.Connections_ - B.Connections_};
}

Resources largerOf(const Resources &A, const Resources &B) {
  return Resources{std::max(A.MilliCpus_, B.MilliCpus_),
                   std::max(A.MemoryMib_, B.MemoryMib_),
                   std::max(A.Accelerators_, B.Accelerators_),
                   std::max(A.Slots_, B.Slots_),
                   std::max(A.Connections_, B.Connections_)};
}

bool fits(const Resources &Need, const Resources &Available) {
  return firstShortage(Need, Available).empty();
}

std::string_view firstShortage(const Resources &Need,
                               const Resources &Available) {
  if (Need.MilliCpus_ > Available.MilliCpus_)
    return "milli_cpus";
  if (Need.MemoryMib_ > Available.MemoryMib_)
    return "memory_mib";
  if (Need.Accelerators_ > Available.Accelerators_)
    return "accelerators";
  if (Need.Slots_ > Available.Slots_)
    return "slots";
  if (Need.Connections_ > Available.Connections_)
    return "connections";
  return {};
}

double dominantShare(const Resources &Part, const Resources &Whole) {
  return std::max({shareOf(Part.MilliCpus_, Whole.MilliCpus_),
                   shareOf(Part.MemoryMib_, Whole.MemoryMib_),
                   shareOf(Part.Accelerators_, Whole.Accelerators_),
                   shareOf(Part.Slots_, Whole.Slots_),
                   shareOf(Part.Connections_, Whole.Connections_)});
}

} // namespace damaskglade
