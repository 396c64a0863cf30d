#ifndef DAMASKGLADE_NODE_OWNED_SHARD_H
#define DAMASKGLADE_NODE_OWNED_SHARD_H

#include "core/thread.h"
#include "node/messages.h"
#include "policy/backfill.h"
#include "policy/ledger.h"
#include "policy/placement.h"
#include "policy/preemption.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::node {

struct OwnerSettings {
  Millis RunLease_{30000};     ///< Lease of a running task.
  Millis RenewInterval_{2000}; ///< Minimum time between lease exchanges.
  Millis ClockError_{250};     ///< Maximum clock difference between VMs.
  Millis HoldTime_{5000};      ///< Lifetime of a reservation until its start.
  Millis WorkerTimeout_{1500}; ///< Timeout of one call to a worker.
  policy::ClassGuards Guards_;

  friend bool operator==(const OwnerSettings &,
                         const OwnerSettings &) = default;
};

/// Wall clock and monotonic time, read together.
struct Moment {
  Millis Wall_;
  Millis Monotonic_;

  friend bool operator==(const Moment &, const Moment &) = default;
};

inline Moment momentOf(const Clock &Time) {
  return Moment{Time.wall(), Time.monotonic()};
}

/// An ended attempt whose end must be reported to the home of its job.
struct EndedTask {
  std::string Attempt_;
  std::string Job_;
  std::string Home_; ///< Empty if it must be looked up.
  OwnerStatus Status_;

  friend bool operator==(const EndedTask &, const EndedTask &) = default;
};

/// A lease exchange to carry out with a worker.
struct RenewalPlan {
  std::string Worker_;
  std::string Address_;
  LeaseRequest Request_;
  Millis Sent_; ///< Monotonic time.

  friend bool operator==(const RenewalPlan &, const RenewalPlan &) = default;
};

/// State of a worker as shown to operators.
struct WorkerStatus {
  std::string Id_;
  std::string Shard_;
  std::string Address_;
  Resources Capacity_;
  Resources Free_;
  std::size_t Tasks_ = 0;
  bool Listed_ = false;
  bool Leaving_ = false;
  bool Drained_ = false;
  bool Quarantined_ = false;

  friend bool operator==(const WorkerStatus &, const WorkerStatus &) = default;
};

/// Result of a start or of a whole run, for the quarantine of workers.
struct StartOutcome {
  std::string Worker_;
  bool Ok_ = false;
  Millis TimeToFailure_; ///< Time to failure as counted by the quarantine.

  friend bool operator==(const StartOutcome &, const StartOutcome &) = default;
};

/// A start request and the worker to send it to.
struct HeldStart {
  std::string Address_;
  std::string Worker_;
  StartRequest Request_;

  friend bool operator==(const HeldStart &, const HeldStart &) = default;
};

/// State of one owned shard, guarded by one mutex. Does no I/O.
class OwnedShard {
public:
  OwnedShard(std::string Id, std::int64_t Epoch, std::string Owner,
             OwnerSettings Settings, Moment Now);

  const std::string &id() const { return Id_; }
  std::int64_t epoch() const { return Epoch_; }

  void applySettings(const OwnerSettings &Settings);

  /// Updates the workers from the VM list. A worker that is missing from it is
  /// removed after its lease has expired.
  void setWorkers(const std::vector<VmEntry> &Workers, Moment Now);

  /// Reserves capacity for as many of the attempts as fit, in order. StartBy is
  /// the latest wall time at which they may start.
  std::vector<Attempt> reserve(const ReserveRequest &Request, Millis StartBy,
                               std::uint64_t Random, Moment Now);
  /// Plans how to free capacity for the attempts by checkpointing, throttling
  /// or stopping less urgent tasks. Empty if that is not possible.
  std::optional<policy::PreemptionPlan>
  planPreemption(const ReserveRequest &Request, std::int64_t MaxTasks) const;
  /// Marks a task as preempted before its worker is told to stop it, so that
  /// the failure of the stopped task is not reported as its answer.
  void beginPreemption(const policy::PreemptionStep &Step);
  /// Records that the worker refused a step. Later plans do not checkpoint or
  /// throttle on a worker that has refused that action.
  void recordRefusedPreemption(const policy::PreemptionStep &Step);
  /// Records a step that the worker confirmed. The home of a stopped task
  /// places it again.
  void applyPreemption(const policy::PreemptionStep &Step);
  /// Checkpointed or throttled tasks whose full capacity is reserved again and
  /// whose resume call is due.
  std::vector<std::string> beginResumes(Moment Now);
  void endResume(const std::string &Attempt, bool Resumed);
  /// Creates a backfill reservation for the earliest start of tasks that do not
  /// fit now, or renews it. Other work is placed around it. It expires unless
  /// the home keeps retrying.
  void reserveForBackfill(const ReserveRequest &Request, Moment Now);
  void dropStaleBackfillReservations(Moment Now);

  /// Cancels a reservation that was not started. Returns false if the attempt
  /// has none.
  bool release(const std::string &Attempt);
  /// The start request for an attempt with a reservation. Errors: no_capacity
  /// if the reservation has expired or the worker does not answer,
  /// start_expired, worker_leaving; the task has not run in any of these cases.
  Result<HeldStart> beginStart(const StartCommand &Command, Moment Now);
  void confirmStart(const std::string &Attempt, Moment Now);
  /// Records that it is unknown whether the worker received the start. The next
  /// listing of the worker resolves it.
  void leaveUnresolved(const std::string &Attempt);
  /// Cancels the reservation of a start that had no effect.
  void cancelStart(const std::string &Attempt, Reason Why);
  /// Removes an attempt whose answer was returned by the call that started it.
  void endSynchronousTask(const std::string &Attempt);

  /// Lease exchanges that are due, at most one for each worker.
  std::vector<RenewalPlan> dueRenewals(Moment Now, Millis Interval);
  void applyRenewal(const RenewalPlan &Plan, const LeaseReply &Reply,
                    Moment Now);
  void failRenewal(const RenewalPlan &Plan, Moment Now);
  /// Applies a completion that the worker pushed. Returns false if the worker
  /// does not belong to this shard.
  bool applyReport(const std::string &Worker, const AttemptReport &Report);
  void dropExpiredHolds(Moment Now);

  /// Ended attempts that their home has not acknowledged and for which the next
  /// notification is due.
  std::vector<EndedTask> dueNotices(Moment Now, std::size_t Limit);
  void setHome(const std::string &Attempt, const std::string &Home);
  /// Records that the home has stored the end of an attempt: shard and worker
  /// drop the attempt.
  void acknowledge(const std::string &Attempt);

  /// Status of an attempt as far as it is known without a call to the worker.
  /// If empty, the worker at the returned Address must be asked.
  std::optional<OwnerStatus> statusOf(const std::string &Job,
                                      const Attempt &Try, Moment Now,
                                      std::string &Address);
  /// Status of an attempt that its worker does not know.
  OwnerStatus statusOfUnknownAttempt(const Attempt &Try, Moment Now) const;
  /// Address of the worker of an attempt; empty if the attempt is unknown or
  /// has ended.
  std::string addressOf(const std::string &Attempt) const;
  bool hasWorker(const std::string &Worker) const;
  bool setDrained(const std::string &Worker, bool Drained);
  bool setQuarantined(const std::string &Worker, bool Quarantined);
  /// Lets a quarantined worker receive one task as a trial.
  void allowTrial(const std::string &Worker);
  /// Returns and clears the results recorded since the last call.
  std::vector<StartOutcome> takeOutcomes();
  void addHeadroom(Headroom &Total) const;
  void addWorkers(std::vector<WorkerStatus> &List) const;
  std::size_t taskCount() const;

private:
  enum class Phase { Reserved, Starting, Unresolved, Running, Ended };
  struct Task {
    Phase Phase_ = Phase::Reserved;
    std::string Job_;
    std::string Home_;
    std::string Worker_;
    Millis StartBy_;           ///< Wall time.
    Millis ReservationExpiry_; ///< Monotonic time.
    Millis Started_;           ///< Not used.
    Millis Confirmed_; ///< Monotonic time at which the worker confirmed.
    OwnerStatus End_;
    Millis NextNotice_; ///< Monotonic time.
    int Notices_ = 0;
    bool Preempted_ = false;              ///< Stopped by a preemption.
    bool Reduced_ = false;                ///< Checkpointed or throttled.
    bool ReadyToResume_ = false;          ///< Full capacity is reserved again.
    policy::Reservation FullReservation_; ///< To be restored before a resume.
    Millis NextResume_;                   ///< Monotonic time.
  };
  struct RenewedReservation {
    policy::BackfillReservation Reservation_;
    Millis Renewed_; ///< Monotonic time.
  };
  struct WorkerState {
    VmEntry Vm_;
    Resources Capacity_;
    Millis LeaseEnd_;    ///< Wall time; the latest lease end ever sent.
    Millis NextRenewal_; ///< Monotonic time.
    int MissedExchanges_ = 0;
    int Exchanges_ = 0;
    bool Listed_ = false; ///< Answers, and its tasks have been listed.
    bool CapacityKnown_ = false;
    bool Leaving_ = false;
    bool Drained_ = false;
    bool Quarantined_ = false;
    bool CanCheckpoint_ = true; ///< False after it has refused the call.
    bool CanThrottle_ = true;
    bool Trial_ = false;             ///< One trial task may be placed.
    std::vector<std::string> Acked_; ///< Ended attempts it may drop.
  };
  using TaskMap = std::unordered_map<std::string, Task>;

  std::vector<policy::BackfillReservation>
  backfillReservationsOfOthers(const std::string &Job) const;
  void endTrial(const std::string &Worker);
  void recordOutcome(const Task &Entry, const OwnerStatus &Status);
  void updateLedger(const WorkerState &Worker);
  void removeTask(TaskMap::iterator Entry);
  void endTask(const std::string &Attempt, Task &Entry,
               const OwnerStatus &Status);
  void adoptTask(const RunningTask &Running, const std::string &Worker,
                 Millis Now);
  void applyListing(const RenewalPlan &Plan, const LeaseReply &Reply,
                    Moment Now);
  void applyFinished(const std::string &Worker, const AttemptReport &Report);
  void markTasksLost(const std::string &Worker);
  void reserveForResumes(const std::string &Worker);
  bool restoreReservation(const std::string &Attempt, const Task &Entry);
  bool isLeaseExpired(const WorkerState &Worker, Moment Now) const;

  const std::string Id_;
  const std::int64_t Epoch_;
  const std::string Owner_;
  const Moment AcquiredAt_;

  mutable Mutex Mutex_;
  OwnerSettings Settings_;
  policy::Ledger Ledger_;
  std::map<std::string, WorkerState> Workers_;
  TaskMap Tasks_;
  std::map<std::string, RenewedReservation> BackfillReservations_; ///< By job.
  std::size_t ReducedTasks_ = 0;
  std::vector<StartOutcome> Outcomes_;
};

} // namespace damaskglade::node

#endif
