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

/// What the home knows of one task beyond the job's row.
struct MemberState {
  enum class Phase { Waiting, Active, Done };
  Phase Phase_ = Phase::Waiting;
  Millis NextCheck_{};          ///< Monotonic; when to ask the owner.
  std::int64_t OwnerEpoch_ = 0; ///< Of the shard when it was last confirmed.

  friend bool operator==(const MemberState &, const MemberState &) = default;
};

/// A job that this node is the home of.
struct JobEntry {
  JobRecord Record_; ///< As last written.
  std::vector<MemberState> Members_;
  bool CancelRequested_ = false;
  bool Restarting_ = false; ///< A gang is stopped after a partial start.
  bool Charged_ = false;    ///< Counted as running in the shares.
  bool Stale_ = false;      ///< The row may have moved; read it first.
  int Tries_ = 0;           ///< Placements that failed, for the retry delay.

  friend bool operator==(const JobEntry &, const JobEntry &) = default;
};

/// An entry without attempts or answers for a record just written.
JobEntry makeEntry(const JobRecord &Record);

/// True if a worker runs or may run one of the tasks.
bool anyActive(const JobEntry &Entry);

/// Jobs of a home in shards, each under its own lock. An entry is changed by
/// one thread at a time, which may do I/O meanwhile.
class JobTable {
public:
  /// Exclusive right to one entry. Put the changed entry back with store().
  class Guard {
  public:
    Guard(JobTable &Table, const std::string &Id);
    ~Guard();
    Guard(const Guard &) = delete;
    Guard &operator=(const Guard &) = delete;

    /// False if the job is not here, or not any more.
    explicit operator bool() const { return Entry_.has_value() && !Erased_; }
    JobEntry &entry() { return *Entry_; }
    /// Makes the entry visible to readers and wakes waiters.
    void store();
    void erase();

  private:
    JobTable &Table_;
    const std::string Id_;
    std::optional<JobEntry> Entry_;
    bool Erased_ = false;
  };

  /// Adds an entry; one that is present stays. Returns false then.
  bool add(const JobEntry &Entry);
  std::optional<JobRecord> find(const std::string &Id) const;
  /// Waits until the job has ended or the time has passed.
  std::optional<JobRecord> waitFinal(const std::string &Id, Millis Timeout,
                                     const Clock &Time) const;
  /// Jobs with active members whose check is due.
  std::vector<std::string>
  dueChecks(const std::function<bool(const JobEntry &)> &IsDue) const;
  /// Drops ended jobs that ended before the time, at most Limit.
  void dropEnded(std::size_t Keep);
  std::size_t size() const;

private:
  struct Slot {
    JobEntry Entry_;
    bool Locked_ = false;
  };
  struct Shard {
    mutable Mutex Mutex_;
    mutable Condition Changed_;
    std::unordered_map<std::string, Slot> Slots_;
    std::vector<std::string> Ended_;
  };
  static constexpr std::size_t ShardCount = 16;

  Shard &shardOf(const std::string &Id);
  const Shard &shardOf(const std::string &Id) const;

  std::array<Shard, ShardCount> Shards_;
};

} // namespace damaskglade::node

#endif
