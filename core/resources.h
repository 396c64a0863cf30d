#ifndef DAMASKGLADE_CORE_RESOURCES_H
#define DAMASKGLADE_CORE_RESOURCES_H

#include <compare>
#include <cstdint>
#include <string_view>

namespace damaskglade {

/// Amounts of everything that a worker has and a task takes.
struct Resources {
  std::int64_t MilliCpus_ = 0; ///< Thousandths of a core.
  std::int64_t MemoryMib_ = 0; ///< MiB.
  std::int64_t Accelerators_ = 0;
  std::int64_t Slots_ = 0;
  std::int64_t Connections_ = 0;

  friend bool operator==(const Resources &, const Resources &) = default;
};

Resources operator+(const Resources &A, const Resources &B);
Resources operator-(const Resources &A, const Resources &B);

/// The larger amount of each resource.
Resources largerOf(const Resources &A, const Resources &B);

/// True if no amount of Need exceeds that of Available.
bool fits(const Resources &Need, const Resources &Available);

/// Name of the first resource of which Need exceeds Available, as written in
/// JSON ("memory_mib"); empty if Need fits.
std::string_view firstShortage(const Resources &Need,
                               const Resources &Available);

/// The largest share of any resource that Part takes of Whole, 0 to 1 and
/// above; resources that Whole lacks count only if Part needs them.
double dominantShare(const Resources &Part, const Resources &Whole);

} // namespace damaskglade

#endif
