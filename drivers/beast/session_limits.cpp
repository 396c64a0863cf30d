#include "drivers/beast/session_limits.h"

#include <algorithm>

namespace damaskglade::drivers {

namespace {

constexpr std::int64_t MillisPerSecond = 1000;

} // namespace

SessionLimits deriveSessionLimits(std::size_t MemoryMb,
                                  std::size_t Descriptors) {
  constexpr std::size_t BytesPerMb = std::size_t{1024} * 1024;
  // The rest is for the leader's own data and for memory that is freed late.
  constexpr std::size_t MemoryParts = 4;
  // The other half is for files, peers, workers and the platform.
  constexpr std::size_t DescriptorParts = 2;
  constexpr std::size_t MaxFields = 128;
  // Clients may take 3 s, which this must not cut short.
  constexpr Millis HeaderTime{5000};
  constexpr std::size_t BodyBytesPerSecond = std::size_t{16} * 1024;
  SessionLimits Limits;
  Limits.Bytes_ = MemoryMb * BytesPerMb / MemoryParts;
  Limits.Sessions_ = Descriptors / DescriptorParts;
  if (MemoryMb == 0 && Descriptors == 0)
    return Limits;
  Limits.Fields_ = MaxFields;
  Limits.HeaderTime_ = HeaderTime;
  Limits.BodyBytesPerSecond_ = BodyBytesPerSecond;
  return Limits;
}

std::optional<std::size_t> chooseSession(const std::vector<SessionUse> &All,
                                         bool HoldsBytes) {
  // Without the bound, a body that is complete but for its last byte would be
  // kept longer than a new request.
  static constexpr std::int64_t MaxCredit = 1000;
  static constexpr std::size_t BytesPerMilli = 256;
  const auto Rank = [](const SessionUse &Each) {
    return Each.Since_.Value_ +
           std::min(MaxCredit,
                    static_cast<std::int64_t>(Each.Received_ / BytesPerMilli));
  };
  std::optional<std::size_t> Chosen;
  for (std::size_t Index = 0; Index < All.size(); ++Index) {
    if (All[Index].InHandler_ || (HoldsBytes && All[Index].Bytes_ == 0))
      continue;
    if (!Chosen || Rank(All[Index]) < Rank(All[*Chosen]))
      Chosen = Index;
  }
  return Chosen;
}

Millis bodyTime(const SessionLimits &Limits, std::uint64_t Bytes) {
  const auto Pace = static_cast<std::int64_t>(
      std::max<std::size_t>(Limits.BodyBytesPerSecond_, 1));
  return Limits.HeaderTime_ +
         Millis{static_cast<std::int64_t>(Bytes) * MillisPerSecond / Pace};
}

} // namespace damaskglade::drivers
