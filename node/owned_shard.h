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
  Millis RunLease_{30000};     ///< Of a running task.
  Millis RenewInterval_{2000}; ///< Shortest time between lease exchanges.
  Millis ClockError_{250};     ///< Bound between the clocks of two VMs.
  Millis HoldTime_{5000};      ///< For which reserved room waits for a start.
  Millis WorkerTimeout_{1500}; ///< Of one call to a worker.
  policy::ClassGuards Guards_;

  friend bool operator==(const OwnerSettings &,
                         const OwnerSettings &) = default;
};

/// Wall and monotonic time of one moment.
struct Moment {
  Millis Wall_;
  Millis Monotonic_;

  friend bool operator==(const Moment &, const Moment &) = default;
};

inline Moment momentOf(const Clock &Time) {
  return Moment{Time.wall(), Time.monotonic()};
}

/// Where an attempt ended and who has to know.
struct EndedTask {
  std::string Attempt_;
  std::string Job_;
  std::string Home_; ///< Empty if it has to be looked up.
  OwnerStatus Status_;

  friend bool operator==(const EndedTask &, const EndedTask &) = default;
};

/// A lease exchange that is due.
struct RenewalPlan {
  std::string Worker_;
  std::string Address_;
  LeaseRequest Request_;
  Millis Sent_; ///< Monotonic.

  friend bool operator==(const RenewalPlan &, const RenewalPlan &) = default;
};

/// One worker, for operators.
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

/// Whether a worker did what it was asked to start.
struct StartOutcome {
  std::string Worker_;
  bool Ok_ = false;
  Millis RanFor_; ///< Time from the start to the failure.

  friend bool operator==(const StartOutcome &, const StartOutcome &) = default;
};

/// A start to send, and where to.
struct HeldStart {
  std::string Address_;
  std::string Worker_;
  StartRequest Request_;

  friend bool operator==(const HeldStart &, const HeldStart &) = default;
};

/// State of one owned shard under one lock. Does no I/O.
class OwnedShard {
public:
  OwnedShard(std::string Id, std::int64_t Epoch, std::string Owner,
             OwnerSettings Settings, Moment Now);

  const std::string &id() const { return Id_; }
  std::int64_t epoch() const { return Epoch_; }

  void applySettings(const OwnerSettings &Settings);

  /// Replaces the list of workers by what the VM list says.
  void setWorkers(const std::vector<VmEntry> &Workers, Moment Now);

  /// Holds room for as many of the tries as fit, in order. StartBy is the
  /// latest wall time of a start.
  std::vector<Attempt> reserve(const ReserveRequest &Request, Millis StartBy,
                               std::uint64_t Random, Moment Now);
  /// Workers that can make room for the tries by checkpointing, throttling or
  /// stopping less urgent tasks; nothing if that is not possible.
  std::optional<policy::PreemptionPlan>
  planPreemption(const ReserveRequest &Request, std::int64_t MaxTasks) const;
  /// Marks a task before the worker is told to stop it, so that its end is not
  /// taken for an answer.
  void beginPreemption(const policy::PreemptionStep &Step);
  /// The worker refused a step: other ways are planned from now on.
  void refusePreemption(const policy::PreemptionStep &Step);
  /// Records a step that the worker confirmed. The home of a task that was
  /// ended places it again.
  void applyPreemption(const policy::PreemptionStep &Step);
  /// Checkpointed or throttled tasks for which full room is held again.
  std::vector<std::string> beginResumes(Moment Now);
  void endResume(const std::string &Attempt, bool Resumed);
  /// Keeps room free for tasks that do not fit now, by earliest start. Other
  /// work is placed around it. Renewed by each try; ends by itself.
  void block(const ReserveRequest &Request, Moment Now);
  void dropStaleBlocks(Moment Now);

  /// Gives back room that was held but not started. Returns false if the
  /// attempt is not held.
  bool release(const std::string &Attempt);
  /// The start to send for a held attempt. Errors: no_capacity if nothing is
  /// held (the hold expired), start_expired; both not run.
  Result<HeldStart> beginStart(const StartCommand &Command, Moment Now);
  void confirmStart(const std::string &Attempt, Moment Now);
  /// The start may or may not have arrived: a listing will tell.
  void leaveUnresolved(const std::string &Attempt);
  /// Nothing was started: gives the room back.
  void refuseStart(const std::string &Attempt, Reason Why);
  /// Ends an attempt whose answer went back with the call that started it.
  void endWaited(const std::string &Attempt);

  /// The exchange with one worker that is due next, if any.
  std::vector<RenewalPlan> dueRenewals(Moment Now, Millis Interval);
  void applyRenewal(const RenewalPlan &Plan, const LeaseReply &Reply,
                    Moment Now);
  void failRenewal(const RenewalPlan &Plan, Moment Now);
  /// A completion that the worker pushed. Returns false if it runs elsewhere.
  bool applyReport(const std::string &Worker, const AttemptReport &Report);
  void dropExpiredHolds(Moment Now);

  /// Ended attempts whose home has not acknowledged them and is due a notice.
  std::vector<EndedTask> dueNotices(Moment Now, std::size_t Limit);
  void setHome(const std::string &Attempt, const std::string &Home);
  /// The home has recorded the end: lets worker and shard forget it.
  void acknowledge(const std::string &Attempt);

  /// What is known without asking the worker. Empty if the worker must be
  /// asked at the address set in Address.
  std::optional<OwnerStatus> statusOf(const std::string &Job,
                                      const Attempt &Try, Moment Now,
                                      std::string &Address);
  /// Verdict on an attempt that the worker does not know.
  OwnerStatus unknownToWorker(const Attempt &Try, Moment Now) const;
  /// Address of the worker on which an attempt runs; empty if it runs on none.
  std::string addressOf(const std::string &Attempt) const;
  bool hasWorker(const std::string &Worker) const;
  bool setDrained(const std::string &Worker, bool Drained);
  bool setQuarantined(const std::string &Worker, bool Quarantined);
  /// Lets a quarantined worker receive one task.
  void allowTrial(const std::string &Worker);
  /// Starts that failed or succeeded since the last call.
  std::vector<StartOutcome> takeOutcomes();
  void addHeadroom(Headroom &Sum) const;
  void addWorkers(std::vector<WorkerStatus> &Out) const;
  std::size_t taskCount() const;

private:
  enum class Phase { Held, Starting, Unresolved, Running, Ended };
  struct Task {
    Phase Phase_ = Phase::Held;
    std::string Job_;
    std::string Home_;
    std::string Worker_;
    Millis StartBy_;   ///< Wall.
    Millis HoldEnd_;   ///< Monotonic.
    Millis Started_;   ///< Monotonic time of the hold.
    Millis Confirmed_; ///< Monotonic time since which the worker has it.
    OwnerStatus End_;
    Millis NextNotice_; ///< Monotonic.
    int Notices_ = 0;
    bool Preempted_ = false;   ///< Ended by this node, not by itself.
    bool Reduced_ = false;     ///< Checkpointed or throttled.
    bool Reclaimed_ = false;   ///< Full room is held; the resume is due.
    policy::Reservation Full_; ///< To be held again before a resume.
    Millis NextResume_;        ///< Monotonic.
  };
  struct Block {
    policy::BackfillReservation Room_;
    Millis Renewed_; ///< Monotonic.
  };
  struct Link {
    VmEntry Vm_;
    Resources Capacity_;
    Millis LeaseEnd_;    ///< Wall; the latest that was ever sent.
    Millis NextRenewal_; ///< Monotonic.
    int Misses_ = 0;
    int Exchanges_ = 0;
    bool Listed_ = false;
    bool Known_ = false; ///< The capacity is known.
    bool Leaving_ = false;
    bool Drained_ = false;
    bool Quarantined_ = false;
    bool CanCheckpoint_ = true; ///< False once it refused the call.
    bool CanThrottle_ = true;
    bool Trial_ = false;             ///< One task may be placed.
    std::vector<std::string> Acked_; ///< Ended attempts it may forget.
  };
  using TaskMap = std::unordered_map<std::string, Task>;

  std::vector<policy::BackfillReservation>
  blocksOfOthers(const std::string &Job) const;
  void endTrial(const std::string &Worker);
  void noteOutcome(const Task &Entry, const OwnerStatus &Status);
  void putWorker(const Link &Worker);
  void forget(TaskMap::iterator Entry);
  void endTask(const std::string &Attempt, Task &Entry,
               const OwnerStatus &Status);
  void adoptLocked(const RunningTask &Running, const std::string &Worker,
                   Millis Now);
  void applyListing(const RenewalPlan &Plan, const LeaseReply &Reply,
                    Moment Now);
  void applyFinished(const std::string &Worker, const AttemptReport &Report);
  void loseTasks(const std::string &Worker);
  void reclaimRoom(const std::string &Worker);
  bool holdFullRoom(const std::string &Attempt, const Task &Entry);
  bool hasLapsed(const Link &Worker, Moment Now) const;

  const std::string Id_;
  const std::int64_t Epoch_;
  const std::string Owner_;
  const Moment Taken_;

  mutable Mutex Mutex_;
  OwnerSettings Settings_;
  policy::Ledger Ledger_;
  std::map<std::string, Link> Links_;
  TaskMap Tasks_;
  std::map<std::string, Block> Blocks_; ///< By job.
  std::size_t ReducedTasks_ = 0;
  std::vector<StartOutcome> Outcomes_;
};

} // namespace damaskglade::node

#endif
