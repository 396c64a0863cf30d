#ifndef DAMASKGLADE_POLICY_GANG_H
#define DAMASKGLADE_POLICY_GANG_H

#include "policy/ledger.h"
#include "policy/placement.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::policy {

/// How long a gang reservation lasts without a confirmation.
constexpr Millis DefaultGangHoldTime{2000};

/// Tasks of one gang, or the part of it that one shard takes.
struct GangRequest {
  std::string Job_;
  std::vector<std::string> Attempts_; ///< One for each task.
  Resources Size_;                    ///< Of each task.
  Urgency Urgency_ = Urgency::Normal;
  std::string Team_;
  Millis Start_{};
  Millis EstimatedEnd_{};
  bool Idempotent_ = false;
  ClassGuards Guards_;
};

struct GangTask {
  std::string Attempt_;
  std::string Worker_;

  friend bool operator==(const GangTask &, const GangTask &) = default;
};

/// Reservations for all tasks of a request, valid until Expires_.
struct GangHold {
  std::string Job_;
  std::vector<GangTask> Tasks_; ///< In order of worker id.
  Millis Expires_{};

  friend bool operator==(const GangHold &, const GangHold &) = default;
};

/// Number of tasks of one size that the ledger has room for, at most Limit.
std::int64_t gangRoom(const Ledger &Accounts, const Resources &Size,
                      std::int64_t Limit);

/// Number of tasks of one size that fit into an amount, at most Limit.
std::int64_t timesFits(const Resources &Size, const Resources &Available,
                       std::int64_t Limit);

/// Workers for all tasks in order of worker id; nothing if not all fit.
std::optional<std::vector<GangTask>> planGang(const Ledger &Accounts,
                                              const GangRequest &Request);

/// Room that one shard offers to a gang.
struct ShardRoom {
  std::string Shard_;
  std::int64_t Tasks_ = 0;

  friend bool operator==(const ShardRoom &, const ShardRoom &) = default;
};

/// Number of tasks that each shard should take, in the order in which every
/// caller has to reserve (by shard id); nothing if the room does not suffice.
/// Uses as few shards as it can.
std::optional<std::vector<ShardRoom>> splitGang(std::vector<ShardRoom> Room,
                                                std::int64_t Tasks);

/// The gang reservations of one ledger that are not confirmed yet. Not
/// synchronized; the caller holds the shard's lock.
class GangHolds {
public:
  explicit GangHolds(Millis HoldTime = DefaultGangHoldTime)
      : HoldTime_(HoldTime) {}

  /// Reserves all tasks or none. Repeating a request returns its hold.
  /// Errors, all with Effect::None: no_capacity, and the errors of
  /// Ledger::reserve().
  Result<GangHold> hold(Ledger &Accounts, const GangRequest &Request,
                        Millis Now);
  /// Keeps the reservations for good; the tasks may start. Errors:
  /// start_expired if the hold is gone or has expired; nothing stays reserved
  /// then.
  Result<GangHold> confirm(Ledger &Accounts, const std::string &Job,
                           Millis Now);
  /// Releases a hold, for example after another shard refused its part.
  /// Returns false if there is none.
  bool cancel(Ledger &Accounts, const std::string &Job);
  /// Releases expired holds and returns their job ids.
  std::vector<std::string> expire(Ledger &Accounts, Millis Now);
  std::size_t size() const { return Holds_.size(); }

private:
  Millis HoldTime_;
  std::map<std::string, GangHold> Holds_; ///< By job id.
};

} // namespace damaskglade::policy

#endif
