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

/// State of a worker as known to the shard owner: the node that places work on
/// the workers of the rack.
struct WorkerInfo {
  std::string Id_;
  std::string Zone_;
  std::string Rack_;
  Resources Capacity_;
  bool Leaving_ = false;      ///< Receives no new work.
  bool Listed_ = false;       ///< False until the tasks running on the worker
                              ///< are known, and while it is unreachable; the
                              ///< worker then counts as full.
  bool Quarantined_ = false;  ///< Not chosen by place(); reserve() still
                              ///< works, for trial starts.
  bool CanCheckpoint_ = true; ///< False once the worker refused a checkpoint.
  bool CanThrottle_ = true;   ///< False once the worker refused a throttle.

  friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

/// Resources reserved for one attempt on one worker.
struct Reservation {
  std::string Attempt_;
  std::string Worker_;
  Resources Size_;
  TaskClass Class_ = TaskClass::Batch;
  Urgency Urgency_ = Urgency::Normal;
  std::string Team_;
  Millis Start_{};          ///< On the same clock as EstimatedEnd_.
  Millis EstimatedEnd_{};   ///< Zero if unknown.
  bool Idempotent_ = false; ///< Preemption stops only idempotent tasks.
  bool Throttled_ = false;  ///< Runs with less than its full size.

  friend bool operator==(const Reservation &, const Reservation &) = default;
};

/// Returns the job id of an attempt id "<job id>.<member>.<number>".
std::string_view jobOfAttempt(std::string_view Attempt);

/// Totals of a ledger. A worker is available to placement if its tasks are
/// known and it is neither leaving nor quarantined.
struct LedgerTotals {
  Resources Capacity_; ///< Of workers available to placement.
  Resources Free_;     ///< Of workers available to placement.
  Resources Reserved_; ///< By all reservations, on any worker.
  /// By all reservations, on any worker.
  std::array<Resources, TaskClassCount> ReservedByClass_;
  std::size_t Workers_ = 0; ///< Available to placement.
  std::size_t Tasks_ = 0;   ///< Number of reservations, on any worker.

  friend bool operator==(const LedgerTotals &, const LedgerTotals &) = default;
};

/// Resource accounting of one worker.
struct WorkerAccount {
  WorkerInfo Info_;
  Resources Reserved_;
  /// Amount by which the last reported usage exceeded the reservations at that
  /// time.
  Resources Excess_;
  Resources Free_;       ///< Zero if leaving or if its tasks are not known.
  double Load_ = 0.0;    ///< Dominant share of the capacity that is in use.
  std::size_t Rack_ = 0; ///< Index into Ledger::racks().
  std::vector<std::string> Attempts_; ///< In order of reservation.
  bool Present_ = false;              ///< False if the index is unused.
};

/// Resource accounting of one rack.
struct RackAccount {
  std::string Zone_;
  std::string Rack_;
  std::vector<WorkerIndex> Members_; ///< All workers of the rack.
  Resources Capacity_;               ///< Of workers available to placement.
  Resources Free_;                   ///< Of workers available to placement.
};

/// Number of tasks of one service job on each worker that runs any.
using JobSpread = std::unordered_map<WorkerIndex, std::int64_t>;

/// Resource accounting of a set of workers: those of one shard, or a whole
/// fleet in benchmarks. Not synchronized; the caller holds the shard's lock.
class Ledger {
public:
  /// Adds a worker or updates its information. Reservations stay. Errors:
  /// invalid_field for an empty id or a negative capacity.
  Status putWorker(const WorkerInfo &Info);
  /// Removes a worker with its reservations and returns them.
  std::vector<Reservation> removeWorker(const std::string &Worker);
  /// Records the measured usage of a worker. The part of it that exceeds the
  /// present reservations counts as used, in addition to the reservations,
  /// until the next report. Errors: not_found.
  Status setReported(const std::string &Worker, const Resources &Used);

  /// Reserves resources for an attempt. Repeating an identical reservation has
  /// no effect. Errors, all with Effect::None: invalid_field (empty attempt id
  /// or negative size), not_found (worker), leaving, full (names the resource),
  /// internal (the attempt has a different reservation).
  Status reserve(const Reservation &Requested);
  /// Reserves resources for a task that already runs on the worker, even
  /// beyond its capacity. Errors: as reserve(), except leaving and full.
  Status adopt(const Reservation &RunningTask);
  /// Releases the reservation of an attempt. Returns false if it has none.
  bool release(const std::string &Attempt);
  /// Changes the size of a reservation, for example after a throttle. Errors:
  /// not_found, invalid_field, full.
  Status resize(const std::string &Attempt, const Resources &Size);
  /// Marks an attempt as throttled or resumed; does nothing for an unknown
  /// attempt. Does not change the size; see resize().
  void setThrottled(const std::string &Attempt, bool Throttled);
  /// Changes the estimated end; does nothing for an unknown attempt.
  void setEstimatedEnd(const std::string &Attempt, Millis End);

  /// Nullptr if the attempt has no reservation. Valid until the next change.
  const Reservation *find(const std::string &Attempt) const;
  /// Nullptr if the worker is unknown. Valid until the next change.
  const WorkerAccount *worker(const std::string &Worker) const;
  /// Zero for a worker that is unknown, is leaving or whose tasks are not
  /// known.
  Resources freeOf(const std::string &Worker) const;
  const LedgerTotals &totals() const { return Totals_; }
  Resources reservedByTeam(const std::string &Team) const;
  const std::unordered_map<std::string, Reservation> &reservations() const {
    return Reservations_;
  }

  /// Checks all totals and indexes against values recomputed from the workers
  /// and reservations. Errors: internal, naming the first that differs.
  Status verify() const;

  // Indexes for placement.
  const WorkerAccount &account(WorkerIndex Worker) const {
    return Accounts_[Worker];
  }
  const LoadIndex &cpuOnlyWorkers() const { return CpuOnlyIndex_; }
  const LoadIndex &acceleratorWorkers() const { return AcceleratorIndex_; }
  const std::vector<RackAccount> &racks() const { return Racks_; }
  /// Nullptr if the job has no service task in this ledger.
  const JobSpread *spreadOf(std::string_view Job) const;

private:
  WorkerIndex allocateIndex();
  std::size_t findOrAddRack(const WorkerInfo &Info);
  Status checkReservation(const Reservation &Requested) const;
  void add(const Reservation &Requested);
  void remove(const Reservation &Existing);
  void adjustReserved(const Reservation &Existing, const Resources &Delta);
  Status compareWorker(const std::string &Worker,
                       const Ledger &Recomputed) const;
  Status compareRacks(const Ledger &Recomputed) const;
  Status compareSpreads(const Ledger &Recomputed) const;
  void removeFromAggregates(WorkerIndex Worker);
  void addToAggregates(WorkerIndex Worker);

  std::vector<WorkerAccount> Accounts_;
  std::vector<WorkerIndex> UnusedIndexes_;
  std::unordered_map<std::string, WorkerIndex> IndexByWorkerId_;
  std::unordered_map<std::string, Reservation> Reservations_;
  std::unordered_map<std::string, Resources> ReservedByTeam_;
  std::unordered_map<std::string, JobSpread> SpreadsByJob_;
  std::vector<RackAccount> Racks_;
  LoadIndex CpuOnlyIndex_;
  LoadIndex AcceleratorIndex_;
  LedgerTotals Totals_;
};

} // namespace damaskglade::policy

#endif
