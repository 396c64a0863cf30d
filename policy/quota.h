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

/// A team's quota as the configuration sets it.
struct TeamQuota {
  std::string Team_;
  /// Configuration version that set the quota, at least 1. A higher one
  /// replaces all allowances of lower ones.
  std::int64_t Generation_ = 0;
  Resources Total_; ///< Over all nodes.
  /// Part that this node begins with. The parts of all nodes sum up to the
  /// total at most; a node that joins or restarts later begins with nothing.
  Resources Initial_;

  friend bool operator==(const TeamQuota &, const TeamQuota &) = default;
};

/// What a node advertises of one team's allowance. Only the node itself writes
/// its row; every amount but Used_ and Wanted_ only grows within a generation,
/// so rows may be lost, repeated and reordered.
struct QuotaRow {
  std::string Node_; ///< Node id and incarnation.
  std::string Team_;
  std::int64_t Generation_ = 0;
  Resources Initial_;
  Resources Inherited_;                    ///< From nodes that are gone.
  std::map<std::string, Resources> Given_; ///< By receiving node.
  Resources Used_;
  Resources Wanted_; ///< Refused lately for lack of allowance.

  friend bool operator==(const QuotaRow &, const QuotaRow &) = default;
};

/// Team quotas as one node sees them. A node uses its own allowance without
/// asking anyone; unused allowance moves to nodes that advertise need. The sum
/// of all allowances never passes the quota. Not thread-safe: the caller holds
/// a lock.
class QuotaBook {
public:
  explicit QuotaBook(std::string Node);

  /// Sets or replaces a team's quota; older generations are ignored. Teams
  /// without a quota are not limited.
  void setQuota(const TeamQuota &Quota);

  /// Charges work. Errors: quota_exceeded, with retry-after unless the amount
  /// exceeds the team's whole quota.
  Status acquire(const std::string &Team, const Resources &Amount);

  /// Charges work that was accepted before, whatever the allowance.
  void restore(const std::string &Team, const Resources &Amount);
  void release(const std::string &Team, const Resources &Amount);

  Resources allowance(const std::string &Team) const;
  Resources used(const std::string &Team) const;

  /// Rows of this node, for an advertisement to all others. Forgets what was
  /// wanted, so that each row tells the need since the last one.
  std::vector<QuotaRow> advertise();

  /// Takes in a row, from its writer or from a copy.
  void merge(const QuotaRow &Row);

  /// Gives unused allowance to nodes whose latest rows want it.
  void giveToOthers();

  /// Copies of another node's rows, for recovery after a restart and before
  /// inherit().
  std::vector<QuotaRow> copiesOf(const std::string &Node) const;

  /// Takes over the allowance of a node that is gone. The caller is the one
  /// that fenced it and has merged the copies of all live nodes.
  void inherit(const std::string &Node);

private:
  using NodeRows = std::map<std::string, QuotaRow>;
  struct TeamEntry {
    TeamQuota Quota_;
    Resources Used_;
    NodeRows Rows_;
  };

  static bool hasQuota(const TeamEntry &Entry);
  QuotaRow &ownRow(TeamEntry &Entry);
  Resources allowanceOf(const TeamEntry &Entry, const std::string &Node) const;

  std::string Node_;
  std::map<std::string, TeamEntry> Teams_;
};

} // namespace damaskglade::policy

#endif
