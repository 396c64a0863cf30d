#ifndef DAMASKGLADE_POLICY_GANG_H
#define DAMASKGLADE_POLICY_GANG_H

#include "policy/ledger.h"
#include "policy/placement.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade::policy {

/// Time after which the tentative reservations of a gang expire if they have
/// not been confirmed.
constexpr Millis DefaultGangHoldTime{2000};

/// Tasks of one gang, or those of its tasks that one shard is to run.
struct GangRequest {
  std::string Job_;
  std::vector<std::string> Attempts_; ///< Attempt id of each task.
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

/// Tentative reservations for all tasks of a request, valid until Expires_.
struct GangHold {
  std::string Job_;
  std::vector<GangTask> Tasks_; ///< In order of worker id.
  Millis Expires_{};

  friend bool operator==(const GangHold &, const GangHold &) = default;
};

/// Returns how many tasks of one size fit on the workers, at most Limit.
std::int64_t gangRoom(const Ledger &Accounts, const Resources &Size,
                      std::int64_t Limit);

/// Returns how many tasks of one size fit into an amount, at most Limit.
std::int64_t countFittingTasks(const Resources &Size,
                               const Resources &Available, std::int64_t Limit);

/// Chooses a worker for each task. The result is in order of worker id; nothing
/// if not all tasks fit or the guarantees of other classes do not allow them.
std::optional<std::vector<GangTask>> planGang(const Ledger &Accounts,
                                              const GangRequest &Request);

/// Number of tasks of a gang that one shard can run or is to run.
struct ShardRoom {
  std::string Shard_;
  std::int64_t Tasks_ = 0;

  friend bool operator==(const ShardRoom &, const ShardRoom &) = default;
};

/// Distributes the tasks of a gang over as few shards as possible. The result
/// is in order of shard id, the order in which every caller must reserve;
/// nothing if the shards cannot run all tasks.
std::optional<std::vector<ShardRoom>> splitGang(std::vector<ShardRoom> Offers,
                                                std::int64_t Tasks);

/// Unconfirmed gang reservations of one ledger. Not synchronized; the caller
/// holds the shard's lock.
class GangHolds {
public:
  explicit GangHolds(Millis HoldTime = DefaultGangHoldTime)
      : HoldTime_(HoldTime) {}

  /// Reserves for all tasks or none. Repeating a request returns its hold; a
  /// request of the same job with other attempts replaces it.
  /// Errors, all with Effect::None: no_capacity, and the errors of
  /// Ledger::reserve().
  Result<GangHold> hold(Ledger &Accounts, const GangRequest &Request,
                        Millis Now);
  /// Ends the hold and keeps its reservations; the tasks may start. Errors:
  /// start_expired if there is no hold (also if it is already confirmed), or if
  /// it has expired or lost a reservation; the rest of it is then released.
  Result<GangHold> confirm(Ledger &Accounts, const std::string &Job,
                           Millis Now);
  /// Releases a hold, for example after another shard refused its tasks.
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
