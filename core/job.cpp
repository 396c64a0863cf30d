#include "core/job.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace damaskglade {

namespace {

constexpr std::array<std::string_view, TaskClassCount> ClassNames = {
    "lookup", "request", "batch", "gang", "service"};
constexpr std::array<std::string_view, UrgencyCount> UrgencyNames = {
    "urgent", "normal", "low"};
constexpr std::array<std::string_view, 6> StateNames = {
    "queued", "running", "finished", "not_run", "unknown", "canceled"};

template <typename T, std::size_t N>
std::optional<T> fromName(const std::array<std::string_view, N> &Names,
                          std::string_view Name) {
  for (std::size_t Index = 0; Index < N; ++Index)
    if (Names.at(Index) == Name)
      return static_cast<T>(Index);
  return std::nullopt;
}

std::string hex64(std::uint64_t Value) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016" PRIx64, Value);
  return Text.data();
}

} // namespace

std::string_view taskClassName(TaskClass Value) {
  return ClassNames.at(static_cast<std::size_t>(Value));
}

std::optional<TaskClass> taskClassFromName(std::string_view Name) {
  return fromName<TaskClass>(ClassNames, Name);
}

std::string_view urgencyName(Urgency Value) {
  return UrgencyNames.at(static_cast<std::size_t>(Value));
}

std::optional<Urgency> urgencyFromName(std::string_view Name) {
  return fromName<Urgency>(UrgencyNames, Name);
}

std::string_view jobStateName(JobState Value) {
  return StateNames.at(static_cast<std::size_t>(Value));
}

std::optional<JobState> jobStateFromName(std::string_view Name) {
  return fromName<JobState>(StateNames, Name);
}

bool isFinal(JobState Value) {
  return Value != JobState::Queued && Value != JobState::Running;
}

bool isDurable(const JobSpec &Spec) { return Spec.Class_ != TaskClass::Lookup; }

std::string jobIdFor(const JobSpec &Spec) {
  // The length prefix keeps ("ab", "c") and ("a", "bc") apart.
  const std::string Text =
      std::to_string(Spec.Team_.size()) + ":" + Spec.Team_ + Spec.Key_;
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return hex64(Hash.high64) + hex64(Hash.low64);
}

std::string digestOf(std::string_view Text) {
  return hex64(XXH3_64bits(Text.data(), Text.size()));
}

Answer makeAnswer(bool Ok, std::string Body) {
  const auto Length = static_cast<std::int64_t>(Body.size());
  std::string Digest = digestOf(Body);
  return Answer{Ok, std::move(Body), Length, std::move(Digest)};
}

bool isWhole(const Answer &Received) {
  return Received.Length_ == static_cast<std::int64_t>(Received.Body_.size()) &&
         Received.Digest_ == digestOf(Received.Body_);
}

std::string attemptId(const std::string &JobId, const Attempt &Try) {
  return JobId + "." + std::to_string(Try.Member_) + "." +
         std::to_string(Try.Number_);
}

} // namespace damaskglade
