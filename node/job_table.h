#ifndef DAMASKGLADE_NODE_JOB_TABLE_H
#define DAMASKGLADE_NODE_JOB_TABLE_H

#include "core/job.h"
#include "core/thread.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskglade::node {

/// State of one task that the home keeps in memory beyond the job's row.
struct MemberState {
  enum class Phase { Waiting, Active, Done };
  Phase Phase_ = Phase::Waiting;
  Millis NextCheck_{};          ///< Monotonic time at which to query the owner.
  std::int64_t OwnerEpoch_ = 0; ///< Epoch at the last confirmation.

  friend bool operator==(const MemberState &, const MemberState &) = default;
};

/// A job whose home is this node.
struct JobEntry {
  JobRecord Record_; ///< As last read or written.
  std::vector<MemberState> Members_;
  bool CancelRequested_ = false;
  bool Restarting_ = false; ///< A partially started gang is being stopped.
  bool Charged_ = false;    ///< The fair shares count it as running.
  bool Stale_ = false;      ///< The row may be newer; read it before use.
  int FailedPlacements_ = 0;

  friend bool operator==(const JobEntry &, const JobEntry &) = default;
};

/// An entry for a row just read or written: tasks with an answer are done,
/// tasks with an attempt are active, the others wait.
JobEntry makeEntry(const JobRecord &Record);

/// True if a worker runs or may be running one of the tasks.
bool hasActiveMember(const JobEntry &Entry);

/// Jobs of one home, striped over several locks. Only one thread at a time
/// changes an entry; it holds no stripe lock meanwhile, so it may do I/O.
class JobTable {
public:
  /// Locks one entry and holds a copy of it. store() writes the copy back;
  /// changes that are not stored are lost.
  class Guard {
  public:
    Guard(JobTable &Table, const std::string &Id);
    ~Guard();
    Guard(const Guard &) = delete;
    Guard &operator=(const Guard &) = delete;

    /// False if the table does not hold the job or the guard erased it.
    explicit operator bool() const { return Entry_.has_value() && !Erased_; }
    JobEntry &entry() { return *Entry_; }
    /// Makes the changed entry visible to readers and wakes waiting threads.
    void store();
    void erase();

  private:
    JobTable &Table_;
    const std::string Id_;
    std::optional<JobEntry> Entry_;
    bool Erased_ = false;
  };

  /// Adds an entry. Returns false, and changes nothing, if one with the same
  /// id is present.
  bool add(const JobEntry &Entry);
  std::optional<JobRecord> find(const std::string &Id) const;
  /// Waits until the job has ended or the timeout has passed; returns its
  /// state then, or nothing if the table does not hold the job.
  std::optional<JobRecord> waitFinal(const std::string &Id, Millis Timeout,
                                     const Clock &Time) const;
  /// Ids of unfinished, unlocked jobs for which IsDue returns true.
  std::vector<std::string>
  jobsDueForCheck(const std::function<bool(const JobEntry &)> &IsDue) const;
  /// Removes the ended jobs that ended first, so that each stripe lists at most
  /// MaxKept / StripeCount of them. Entries that are locked stay.
  void evictEnded(std::size_t MaxKept);
  std::size_t size() const;

private:
  struct Slot {
    JobEntry Entry_;
    bool Locked_ = false;
  };
  struct LockStripe {
    mutable Mutex Mutex_;
    mutable Condition Changed_;
    std::unordered_map<std::string, Slot> Slots_;
    std::vector<std::string> Ended_; ///< Ids of ended jobs, oldest first.
  };
  static constexpr std::size_t StripeCount = 16;

  LockStripe &stripeOf(const std::string &Id);
  const LockStripe &stripeOf(const std::string &Id) const;

  std::array<LockStripe, StripeCount> Stripes_;
};

} // namespace damaskglade::node

#endif
