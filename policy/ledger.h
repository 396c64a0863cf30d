#ifndef DAMASKGLADE_POLICY_LEDGER_H
#define DAMASKGLADE_POLICY_LEDGER_H

#include "core/error.h"
#include "core/job.h"
#include "core/resources.h"
#include "policy/load_index.h"

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damaskglade::policy {

/// A worker as the shard owner knows it.
struct WorkerInfo {
  std::string Id_;
  std::string Zone_;
  std::string Rack_;
  Resources Capacity_;
  bool Leaving_ = false;      ///< Receives no new work.
  bool Listed_ = false;       ///< False until its tasks are known, and while it
                              ///< is unreachable; it then counts as full.
  bool Quarantined_ = false;  ///< Not offered by place(); reserve() still
                              ///< works, for trial starts.
  bool CanCheckpoint_ = true; ///< False once the worker refused the call.
  bool CanThrottle_ = true;   ///< False once the worker refused the call.

  friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

/// What one attempt holds on one worker.
struct Reservation {
  std::string Attempt_;
  std::string Worker_;
  Resources Size_;
  TaskClass Class_ = TaskClass::Batch;
  Urgency Urgency_ = Urgency::Normal;
  std::string Team_;
  Millis Start_{};          ///< Same clock as the caller's other times.
  Millis EstimatedEnd_{};   ///< Zero if unknown.
  bool Idempotent_ = false; ///< Only such tasks may be stopped to make room.
  bool Throttled_ = false;  ///< Runs with less than its full size.

  friend bool operator==(const Reservation &, const Reservation &) = default;
};

/// The job id in an attempt id "<job id>.<member>.<number>".
std::string_view jobOfAttempt(std::string_view Attempt);

/// Sums over a ledger.
struct LedgerTotals {
  Resources Capacity_; ///< Of workers that accept work.
  Resources Free_;     ///< Of workers that accept work.
  Resources Reserved_; ///< Of all reservations.
  std::array<Resources, TaskClassCount> ByClass_; ///< Of all reservations.
  std::size_t Workers_ = 0;
  std::size_t Tasks_ = 0;

  friend bool operator==(const LedgerTotals &, const LedgerTotals &) = default;
};

/// Accounts of one worker.
struct WorkerAccount {
  WorkerInfo Info_;
  Resources Reserved_;
  Resources Excess_;  ///< By how much the last report passed the reservations.
  Resources Free_;    ///< Zero if the worker accepts no work.
  double Load_ = 0.0; ///< Dominant share of the capacity that is in use.
  std::size_t Rack_ = 0;              ///< Index into Ledger::racks().
  std::vector<std::string> Attempts_; ///< In order of reservation.
  bool Present_ = false;              ///< False: the index is unused.
};

/// Accounts of one rack; members are all its workers.
struct RackAccount {
  std::string Zone_;
  std::string Rack_;
  std::vector<WorkerIndex> Members_;
  Resources Capacity_; ///< Of workers that accept work.
  Resources Free_;     ///< Of workers that accept work.
};

/// Number of tasks of one service job by worker.
using JobSpread = std::unordered_map<WorkerIndex, std::int64_t>;

/// The accounts of a set of workers: the workers of one shard, or a whole
/// fleet in benchmarks. Not synchronized; the caller holds the shard's lock.
class Ledger {
public:
  /// Adds a worker or changes what is known of it. Reservations stay. Errors:
  /// invalid_field for an empty id or a negative capacity.
  Status putWorker(const WorkerInfo &Info);
  /// Removes a worker and returns what was reserved on it.
  std::vector<Reservation> removeWorker(const std::string &Worker);
  /// Records measured usage. Until the next report the worker counts the
  /// larger of reserved and reported. Errors: not_found.
  Status setReported(const std::string &Worker, const Resources &Used);

  /// Repeating an identical reservation has no effect. Errors, all with
  /// Effect::None: invalid_field (negative size), not_found (worker),
  /// leaving, full (naming the resource), internal (the attempt already holds
  /// something else).
  Status reserve(const Reservation &Wanted);
  /// Records a task that the worker already runs, even past its capacity.
  /// Errors: as reserve(), except leaving and full.
  Status adopt(const Reservation &Running);
  /// Returns false if the attempt holds nothing.
  bool release(const std::string &Attempt);
  /// Changes the size of a reservation, for example after a throttle. Errors:
  /// not_found, invalid_field, full.
  Status resize(const std::string &Attempt, const Resources &Size);
  /// Marks an attempt as throttled or resumed; does nothing for an unknown
  /// attempt. The size is changed by resize().
  void setThrottled(const std::string &Attempt, bool Throttled);
  /// Changes the estimated end; does nothing for an unknown attempt.
  void setEstimatedEnd(const std::string &Attempt, Millis End);

  /// Nullptr if the attempt holds nothing. Valid until the next change.
  const Reservation *find(const std::string &Attempt) const;
  /// Nullptr if the worker is unknown. Valid until the next change.
  const WorkerAccount *worker(const std::string &Worker) const;
  /// Zero for an unknown worker and one that accepts no work.
  Resources freeOf(const std::string &Worker) const;
  const LedgerTotals &totals() const { return Totals_; }
  Resources reservedByTeam(const std::string &Team) const;
  const std::unordered_map<std::string, Reservation> &reservations() const {
    return Reservations_;
  }

  /// Recomputes everything from workers and reservations. Errors: internal,
  /// naming the first account that differs.
  Status verify() const;

  // Indexes that placement reads.
  const WorkerAccount &account(WorkerIndex Worker) const {
    return Accounts_[Worker];
  }
  const LoadIndex &plainWorkers() const { return Plain_; }
  const LoadIndex &acceleratorWorkers() const { return Accelerated_; }
  const std::vector<RackAccount> &racks() const { return Racks_; }
  /// Nullptr if the job has no service task here.
  const JobSpread *spreadOf(std::string_view Job) const;

private:
  WorkerIndex newIndex();
  std::size_t rackIndex(const WorkerInfo &Info);
  Status checkReservation(const Reservation &Wanted) const;
  void add(const Reservation &Wanted);
  void remove(const Reservation &Held);
  void countReserved(const Reservation &Held, const Resources &Delta);
  Status compareWorker(const std::string &Worker, const Ledger &Fresh) const;
  Status compareRacks(const Ledger &Fresh) const;
  Status compareSpreads(const Ledger &Fresh) const;
  void detach(WorkerIndex Worker);
  void attach(WorkerIndex Worker);

  std::vector<WorkerAccount> Accounts_;
  std::vector<WorkerIndex> Unused_;
  std::unordered_map<std::string, WorkerIndex> ByWorker_;
  std::unordered_map<std::string, Reservation> Reservations_;
  std::unordered_map<std::string, Resources> ByTeam_;
  std::unordered_map<std::string, JobSpread> Spreads_;
  std::vector<RackAccount> Racks_;
  LoadIndex Plain_;
  LoadIndex Accelerated_;
  LedgerTotals Totals_;
};

} // namespace damaskglade::policy

#endif
