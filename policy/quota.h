#ifndef DAMASKGLADE_POLICY_QUOTA_H
#define DAMASKGLADE_POLICY_QUOTA_H

#include "core/error.h"
#include "core/resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskglade::policy {

/// Amount of a resource that a quota does not limit.
constexpr std::int64_t UnlimitedAmount = std::int64_t{1} << 50;

/// A team's quota as set by the configuration.
struct TeamQuota {
  std::string Team_;
  /// Version of the configuration that set the quota, at least 1. A higher
  /// generation replaces all allowances of lower ones.
  std::int64_t Generation_ = 0;
  Resources Total_; ///< Over all nodes.
  /// Initial allowance of this node. The sum over all nodes is at most the
  /// total; a node that joins or restarts later has no initial allowance.
  Resources Initial_;

  friend bool operator==(const TeamQuota &, const TeamQuota &) = default;
};

/// State of one team's allowance that a node advertises. Only the node itself
/// writes its row; another node changes its copy only to mark a shortfall as
/// handled or the allowance as reclaimed. All amounts except Used_ and
/// Shortfall_ only grow within a generation, so rows may be lost, duplicated or
/// reordered in transit.
struct QuotaRow {
  std::string Node_; ///< Node id and incarnation.
  std::string Team_;
  std::int64_t Generation_ = 0;
  Resources Initial_;
  Resources Reclaimed_; ///< Reclaimed from failed nodes.
  std::map<std::string, Resources> Transferred_; ///< By receiving node.
  Resources Used_;
  /// Largest excess over the allowance among the work refused since the last
  /// row.
  Resources Shortfall_;

  friend bool operator==(const QuotaRow &, const QuotaRow &) = default;
};

/// One node's view of the team quotas. A node spends its own allowance without
/// coordination; unused allowance moves to nodes that advertise a shortfall.
/// The sum of all allowances never exceeds the quota. Not thread-safe: the
/// caller must hold a lock.
class QuotaLedger {
public:
  explicit QuotaLedger(std::string Node);

  /// Sets or replaces a team's quota; older generations are ignored. Teams
  /// without a quota are unlimited.
  void setQuota(const TeamQuota &Quota);

  /// Charges work. Errors: quota_exceeded, with retry-after unless the amount
  /// exceeds the team's whole quota.
  Status acquire(const std::string &Team, const Resources &Amount);

  /// Charges work that has already been accepted, regardless of the allowance.
  void restore(const std::string &Team, const Resources &Amount);
  void release(const std::string &Team, const Resources &Amount);

  Resources allowance(const std::string &Team) const;
  Resources used(const std::string &Team) const;

  /// Returns the rows of this node, to be sent to all other nodes. Resets the
  /// shortfall, so that each row reports the shortfall since the previous one.
  std::vector<QuotaRow> advertise();

  /// Merges a row received from its node or from a node that holds a copy.
  void merge(const QuotaRow &Row);

  /// Transfers unused allowance to nodes whose latest rows report a shortfall.
  void transferUnused();

  /// Returns the copies of another node's rows, for recovery after a restart
  /// and before reclaim().
  std::vector<QuotaRow> rowsOf(const std::string &Node) const;

  /// Takes over the remaining allowance of a failed node. Only the node that
  /// fenced the failed one may call this, after it has merged the copies of all
  /// live nodes.
  void reclaim(const std::string &Node);

private:
  using NodeRows = std::map<std::string, QuotaRow>;
  struct TeamEntry {
    TeamQuota Quota_;
    Resources Used_;
    NodeRows Rows_;
  };

  static bool hasQuota(const TeamEntry &Entry);
  QuotaRow &localRow(TeamEntry &Entry);
  Resources allowanceOf(const TeamEntry &Entry, const std::string &Node) const;

  std::string Node_;
  std::map<std::string, TeamEntry> Teams_;
};

} // namespace damaskglade::policy

#endif
