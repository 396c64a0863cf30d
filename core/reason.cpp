#include "core/reason.h"

#include <array>

namespace damaskglade {

namespace {

// In order of the enumeration.
constexpr std::array<std::string_view, 31> Names = {
    "none",
    "invalid_field",
    "body_too_large",
    "not_found",
    "idempotency_key_reused",
    "never_fits",
    "quota_exceeded",
    "queue_full",
    "deadline_unreachable",
    "retry_budget_exhausted",
    "no_capacity",
    "not_owner",
    "stale_epoch",
    "start_expired",
    "leaving",
    "full",
    "quarantined",
    "start_failed",
    "table_unavailable",
    "table_conflict",
    "object_store_unavailable",
    "version_moved",
    "shutting_down",
    "not_ready",
    "canceled",
    "connect_failed",
    "timeout",
    "answer_truncated",
    "answer_lost",
    "attempt_lost",
    "internal",
};
static_assert(Names.size() == static_cast<std::size_t>(Reason::Internal) + 1);

std::vector<Reason> listReasons() {
  std::vector<Reason> All;
  for (std::size_t Index = 1; Index < Names.size(); ++Index)
    All.push_back(static_cast<Reason>(Index));
  return All;
}

} // namespace

std::string_view reasonName(Reason Value) {
  return Names.at(static_cast<std::size_t>(Value));
}

Reason reasonFromName(std::string_view Name) {
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    if (Names.at(Index) == Name)
      return static_cast<Reason>(Index);
  return Reason::Internal;
}

const std::vector<Reason> &allReasons() {
  static const std::vector<Reason> All = listReasons();
  return All;
}

} // namespace damaskglade
