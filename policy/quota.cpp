#include "policy/quota.h"

#include <algorithm>
#include <utility>

namespace damaskglade::policy {

namespace {

// Retry-after for work that exceeds this node's allowance. Nodes advertise
// their rows about once a second, so another node may have transferred unused
// allowance by then.
constexpr Millis RetryAfterAdvertisement{2000};

template <typename Function>
Resources combine(const Resources &A, const Resources &B, Function Apply) {
  return Resources{
      Apply(A.MilliCpus_, B.MilliCpus_), Apply(A.MemoryMib_, B.MemoryMib_),
      Apply(A.Accelerators_, B.Accelerators_), Apply(A.Slots_, B.Slots_),
      Apply(A.Connections_, B.Connections_)};
}

/// Amounts by which A exceeds B, never negative.
Resources excessOf(const Resources &A, const Resources &B) {
  return combine(A, B, [](std::int64_t Left, std::int64_t Right) {
    return std::max<std::int64_t>(0, Left - Right);
  });
}

Resources smallerOf(const Resources &A, const Resources &B) {
  return combine(A, B, [](std::int64_t Left, std::int64_t Right) {
    return std::min(Left, Right);
  });
}

} // namespace

QuotaLedger::QuotaLedger(std::string Node) : Node_(std::move(Node)) {}

bool QuotaLedger::hasQuota(const TeamEntry &Entry) {
  return Entry.Quota_.Generation_ > 0;
}

QuotaRow &QuotaLedger::localRow(TeamEntry &Entry) { return Entry.Rows_[Node_]; }

void QuotaLedger::setQuota(const TeamQuota &Quota) {
  TeamEntry &Entry = Teams_[Quota.Team_];
  if (Quota.Generation_ <= Entry.Quota_.Generation_)
    return;
  // Rows of the new generation may have arrived before the configuration; they
  // are kept.
  std::erase_if(Entry.Rows_, [&Quota](const auto &Row) {
    return Row.second.Generation_ < Quota.Generation_;
  });
  Entry.Quota_ = Quota;
  QuotaRow &LocalRow = localRow(Entry);
  LocalRow.Node_ = Node_;
  LocalRow.Team_ = Quota.Team_;
  LocalRow.Generation_ = Quota.Generation_;
  LocalRow.Initial_ = largerOf(LocalRow.Initial_, Quota.Initial_);
}

Resources QuotaLedger::allowanceOf(const TeamEntry &Entry,
                                   const std::string &Node) const {
  Resources Allowance;
  for (const auto &[Writer, Row] : Entry.Rows_) {
    if (Row.Generation_ != Entry.Quota_.Generation_)
      continue;
    if (Writer == Node) {
      Allowance = Allowance + Row.Initial_ + Row.Reclaimed_;
      for (const auto &[Receiver, Amount] : Row.Transferred_)
        Allowance = Allowance - Amount;
    } else if (const auto TransferIt = Row.Transferred_.find(Node);
               TransferIt != Row.Transferred_.end()) {
      Allowance = Allowance + TransferIt->second;
    }
  }
  return Allowance;
}

Status QuotaLedger::acquire(const std::string &Team, const Resources &Amount) {
  TeamEntry &Entry = Teams_[Team];
  const Resources UsageWithAmount = Entry.Used_ + Amount;
  const Resources Allowance = allowanceOf(Entry, Node_);
  // The usage of teams without a quota is counted as well, because a later
  // configuration may set one.
  if (!hasQuota(Entry) || fits(UsageWithAmount, Allowance)) {
    Entry.Used_ = UsageWithAmount;
    return success();
  }
  const bool CanEverFit = fits(Amount, Entry.Quota_.Total_);
  QuotaRow &LocalRow = localRow(Entry);
  if (CanEverFit)
    LocalRow.Shortfall_ =
        largerOf(LocalRow.Shortfall_, excessOf(UsageWithAmount, Allowance));
  const Resources &Limit = CanEverFit ? Allowance : Entry.Quota_.Total_;
  const std::string Resource{
      firstShortage(CanEverFit ? UsageWithAmount : Amount, Limit)};
  return Error{Reason::QuotaExceeded,
               Effect::None,
               "check quota",
               "",
               "The team's quota of " + Resource + " is exhausted.",
               CanEverFit ? RetryAfterAdvertisement : Millis{}};
}

void QuotaLedger::restore(const std::string &Team, const Resources &Amount) {
  TeamEntry &Entry = Teams_[Team];
  Entry.Used_ = Entry.Used_ + Amount;
}

void QuotaLedger::release(const std::string &Team, const Resources &Amount) {
  const auto TeamIt = Teams_.find(Team);
  if (TeamIt == Teams_.end())
    return;
  TeamEntry &Entry = TeamIt->second;
  Entry.Used_ = excessOf(Entry.Used_, Amount);
  // Drops unused entries, so that arbitrary team names in requests do not
  // accumulate.
  if (Entry.Used_ == Resources{} && !hasQuota(Entry) && Entry.Rows_.empty())
    Teams_.erase(TeamIt);
}

Resources QuotaLedger::allowance(const std::string &Team) const {
  const auto TeamIt = Teams_.find(Team);
  if (TeamIt == Teams_.end() || !hasQuota(TeamIt->second))
    return Resources{UnlimitedAmount, UnlimitedAmount, UnlimitedAmount,
                     UnlimitedAmount, UnlimitedAmount};
  return allowanceOf(TeamIt->second, Node_);
}

Resources QuotaLedger::used(const std::string &Team) const {
  const auto TeamIt = Teams_.find(Team);
  return TeamIt == Teams_.end() ? Resources{} : TeamIt->second.Used_;
}

std::vector<QuotaRow> QuotaLedger::advertise() {
  std::vector<QuotaRow> Rows;
  for (auto &[Team, Entry] : Teams_) {
    if (!hasQuota(Entry))
      continue;
    QuotaRow &LocalRow = localRow(Entry);
    LocalRow.Used_ = Entry.Used_;
    Rows.push_back(LocalRow);
    LocalRow.Shortfall_ = Resources{};
  }
  return Rows;
}

void QuotaLedger::merge(const QuotaRow &Row) {
  // A row may arrive before the configuration that defines the team's quota.
  TeamEntry &Entry = Teams_[Row.Team_];
  if (Row.Generation_ < Entry.Quota_.Generation_)
    return;
  QuotaRow &Stored = Entry.Rows_[Row.Node_];
  if (Row.Generation_ < Stored.Generation_)
    return;
  if (Row.Generation_ > Stored.Generation_) {
    Stored = Row;
    return;
  }
  Stored.Initial_ = largerOf(Stored.Initial_, Row.Initial_);
  Stored.Reclaimed_ = largerOf(Stored.Reclaimed_, Row.Reclaimed_);
  for (const auto &[Receiver, Amount] : Row.Transferred_)
    Stored.Transferred_[Receiver] =
        largerOf(Stored.Transferred_[Receiver], Amount);
  if (Row.Node_ == Node_)
    return;
  Stored.Used_ = Row.Used_;
  Stored.Shortfall_ = Row.Shortfall_;
}

void QuotaLedger::transferUnused() {
  for (auto &[Team, Entry] : Teams_) {
    if (!hasQuota(Entry))
      continue;
    for (auto &[Receiver, Row] : Entry.Rows_) {
      if (Receiver == Node_ || Row.Shortfall_ == Resources{} ||
          Row.Generation_ != Entry.Quota_.Generation_)
        continue;
      const Resources UnusedAllowance =
          excessOf(allowanceOf(Entry, Node_), Entry.Used_);
      // Half, so that this node keeps some allowance for its own callers;
      // rounded up, so that the last unit can move as well.
      const Resources Half = combine(
          UnusedAllowance, UnusedAllowance,
          [](std::int64_t Amount, std::int64_t) { return (Amount + 1) / 2; });
      const Resources Transfer = smallerOf(Half, Row.Shortfall_);
      Row.Shortfall_ = Resources{};
      if (Transfer == Resources{})
        continue;
      Resources &Transferred = localRow(Entry).Transferred_[Receiver];
      Transferred = Transferred + Transfer;
    }
  }
}

std::vector<QuotaRow> QuotaLedger::rowsOf(const std::string &Node) const {
  std::vector<QuotaRow> Copies;
  for (const auto &[Team, Entry] : Teams_)
    if (const auto RowIt = Entry.Rows_.find(Node); RowIt != Entry.Rows_.end())
      Copies.push_back(RowIt->second);
  return Copies;
}

void QuotaLedger::reclaim(const std::string &Node) {
  for (auto &[Team, Entry] : Teams_) {
    const auto RowIt = Entry.Rows_.find(Node);
    if (Node == Node_ || !hasQuota(Entry) || RowIt == Entry.Rows_.end() ||
        RowIt->second.Generation_ != Entry.Quota_.Generation_)
      continue;
    QuotaRow &LocalRow = localRow(Entry);
    const Resources RemainingAllowance =
        excessOf(allowanceOf(Entry, Node), Resources{});
    LocalRow.Reclaimed_ = LocalRow.Reclaimed_ + RemainingAllowance;
    // Recorded as transferred by the failed node, so that a second call finds
    // nothing left. The empty receiver id belongs to no node.
    Resources &RecordedTransfer = RowIt->second.Transferred_[""];
    RecordedTransfer = RecordedTransfer + RemainingAllowance;
  }
}

} // namespace damaskglade::policy
