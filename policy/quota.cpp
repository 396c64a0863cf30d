#include "policy/quota.h"

#include <algorithm>
#include <utility>

namespace damaskglade::policy {

namespace {

// Advertisements travel about once a second.
constexpr Millis RetryAfterAdvertisement{2000};

template <typename Function>
Resources combine(const Resources &A, const Resources &B, Function Apply) {
  return Resources{
      Apply(A.MilliCpus_, B.MilliCpus_), Apply(A.MemoryMib_, B.MemoryMib_),
      Apply(A.Accelerators_, B.Accelerators_), Apply(A.Slots_, B.Slots_),
      Apply(A.Connections_, B.Connections_)};
}

/// The part of A above B, never negative.
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

QuotaBook::QuotaBook(std::string Node) : Node_(std::move(Node)) {}

bool QuotaBook::hasQuota(const TeamEntry &Entry) {
  return Entry.Quota_.Generation_ > 0;
}

QuotaRow &QuotaBook::ownRow(TeamEntry &Entry) { return Entry.Rows_[Node_]; }

void QuotaBook::setQuota(const TeamQuota &Quota) {
  TeamEntry &Entry = Teams_[Quota.Team_];
  if (Quota.Generation_ <= Entry.Quota_.Generation_)
    return;
  // Rows of the new generation may have arrived before the configuration did.
  std::erase_if(Entry.Rows_, [&Quota](const auto &Row) {
    return Row.second.Generation_ < Quota.Generation_;
  });
  Entry.Quota_ = Quota;
  QuotaRow &Own = ownRow(Entry);
  Own.Node_ = Node_;
  Own.Team_ = Quota.Team_;
  Own.Generation_ = Quota.Generation_;
  Own.Initial_ = largerOf(Own.Initial_, Quota.Initial_);
}

Resources QuotaBook::allowanceOf(const TeamEntry &Entry,
                                 const std::string &Node) const {
  Resources Allowance;
  for (const auto &[Writer, Row] : Entry.Rows_) {
    if (Row.Generation_ != Entry.Quota_.Generation_)
      continue;
    if (Writer == Node) {
      Allowance = Allowance + Row.Initial_ + Row.Inherited_;
      for (const auto &[Receiver, Amount] : Row.Given_)
        Allowance = Allowance - Amount;
    } else if (const auto Given = Row.Given_.find(Node);
               Given != Row.Given_.end()) {
      Allowance = Allowance + Given->second;
    }
  }
  return Allowance;
}

Status QuotaBook::acquire(const std::string &Team, const Resources &Amount) {
  TeamEntry &Entry = Teams_[Team];
  const Resources Needed = Entry.Used_ + Amount;
  const Resources Allowance = allowanceOf(Entry, Node_);
  // Use of teams without a quota is counted too, because a later
  // configuration may set one.
  if (!hasQuota(Entry) || fits(Needed, Allowance)) {
    Entry.Used_ = Needed;
    return success();
  }
  const bool CanEverFit = fits(Amount, Entry.Quota_.Total_);
  QuotaRow &Own = ownRow(Entry);
  if (CanEverFit)
    Own.Wanted_ = largerOf(Own.Wanted_, excessOf(Needed, Allowance));
  const Resources &Limit = CanEverFit ? Allowance : Entry.Quota_.Total_;
  const std::string Resource{
      firstShortage(CanEverFit ? Needed : Amount, Limit)};
  return Error{Reason::QuotaExceeded,
               Effect::None,
               "check quota",
               "",
               "The team's quota of " + Resource + " is used up.",
               CanEverFit ? RetryAfterAdvertisement : Millis{}};
}

void QuotaBook::restore(const std::string &Team, const Resources &Amount) {
  TeamEntry &Entry = Teams_[Team];
  Entry.Used_ = Entry.Used_ + Amount;
}

void QuotaBook::release(const std::string &Team, const Resources &Amount) {
  const auto Found = Teams_.find(Team);
  if (Found == Teams_.end())
    return;
  TeamEntry &Entry = Found->second;
  Entry.Used_ = excessOf(Entry.Used_, Amount);
  // Team names that callers invent must not pile up.
  if (Entry.Used_ == Resources{} && !hasQuota(Entry) && Entry.Rows_.empty())
    Teams_.erase(Found);
}

Resources QuotaBook::allowance(const std::string &Team) const {
  const auto Found = Teams_.find(Team);
  if (Found == Teams_.end() || !hasQuota(Found->second))
    return Resources{UnlimitedAmount, UnlimitedAmount, UnlimitedAmount,
                     UnlimitedAmount, UnlimitedAmount};
  return allowanceOf(Found->second, Node_);
}

Resources QuotaBook::used(const std::string &Team) const {
  const auto Found = Teams_.find(Team);
  return Found == Teams_.end() ? Resources{} : Found->second.Used_;
}

std::vector<QuotaRow> QuotaBook::advertise() {
  std::vector<QuotaRow> Rows;
  for (auto &[Team, Entry] : Teams_) {
    if (!hasQuota(Entry))
      continue;
    QuotaRow &Own = ownRow(Entry);
    Own.Used_ = Entry.Used_;
    Rows.push_back(Own);
    Own.Wanted_ = Resources{};
  }
  return Rows;
}

void QuotaBook::merge(const QuotaRow &Row) {
  // A row may arrive before the configuration that names its team.
  TeamEntry &Entry = Teams_[Row.Team_];
  if (Row.Generation_ < Entry.Quota_.Generation_)
    return;
  QuotaRow &Known = Entry.Rows_[Row.Node_];
  if (Row.Generation_ < Known.Generation_)
    return;
  if (Row.Generation_ > Known.Generation_) {
    Known = Row;
    return;
  }
  Known.Initial_ = largerOf(Known.Initial_, Row.Initial_);
  Known.Inherited_ = largerOf(Known.Inherited_, Row.Inherited_);
  for (const auto &[Receiver, Amount] : Row.Given_)
    Known.Given_[Receiver] = largerOf(Known.Given_[Receiver], Amount);
  if (Row.Node_ == Node_)
    return;
  Known.Used_ = Row.Used_;
  Known.Wanted_ = Row.Wanted_;
}

void QuotaBook::giveToOthers() {
  for (auto &[Team, Entry] : Teams_) {
    if (!hasQuota(Entry))
      continue;
    for (auto &[Receiver, Row] : Entry.Rows_) {
      if (Receiver == Node_ || Row.Wanted_ == Resources{} ||
          Row.Generation_ != Entry.Quota_.Generation_)
        continue;
      const Resources Spare = excessOf(allowanceOf(Entry, Node_), Entry.Used_);
      // Half, rounded up, so that the last unit can move too and this node
      // keeps some allowance for its own callers.
      const Resources Half =
          combine(Spare, Spare, [](std::int64_t Amount, std::int64_t) {
            return (Amount + 1) / 2;
          });
      const Resources Gift = smallerOf(Half, Row.Wanted_);
      Row.Wanted_ = Resources{};
      if (Gift == Resources{})
        continue;
      Resources &Given = ownRow(Entry).Given_[Receiver];
      Given = Given + Gift;
    }
  }
}

std::vector<QuotaRow> QuotaBook::copiesOf(const std::string &Node) const {
  std::vector<QuotaRow> Copies;
  for (const auto &[Team, Entry] : Teams_)
    if (const auto Found = Entry.Rows_.find(Node); Found != Entry.Rows_.end())
      Copies.push_back(Found->second);
  return Copies;
}

void QuotaBook::inherit(const std::string &Node) {
  for (auto &[Team, Entry] : Teams_) {
    const auto Found = Entry.Rows_.find(Node);
    if (Node == Node_ || !hasQuota(Entry) || Found == Entry.Rows_.end() ||
        Found->second.Generation_ != Entry.Quota_.Generation_)
      continue;
    QuotaRow &Own = ownRow(Entry);
    const Resources Left = excessOf(allowanceOf(Entry, Node), Resources{});
    Own.Inherited_ = Own.Inherited_ + Left;
    // Marked as given away by the node that is gone, so that a second call
    // finds nothing left. The receiver is not a node.
    Resources &Taken = Found->second.Given_[""];
    Taken = Taken + Left;
  }
}

} // namespace damaskglade::policy
