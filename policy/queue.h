#ifndef DAMASKGLADE_POLICY_QUEUE_H
#define DAMASKGLADE_POLICY_QUEUE_H

#include "core/error.h"
#include "core/job.h"
#include "policy/shares.h"

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskglade::policy {

struct QueueSettings {
  /// Maximum number of queued jobs of each class, over all teams, in order of
  /// TaskClass.
  std::array<std::size_t, TaskClassCount> ClassBounds_{20000, 20000, 20000,
                                                       20000, 20000};
  /// Maximum number of queued jobs of one team in one class.
  std::size_t TeamBound_ = 4000;
  /// Number of jobs that each team may queue in a class even when other teams
  /// have filled the class's queue.
  std::size_t GuaranteedTeamCapacity_ = 64;
  /// Maximum number of teams in one class that have a guaranteed capacity.
  std::size_t MaxTeams_ = 512;
  /// Maximum number of jobs of one team, class and urgency that take()
  /// examines. More than one, so that a job that does not fit does not block
  /// smaller jobs behind it.
  std::size_t ScanDepth_ = 16;
  /// Number of refused placements in one class after which the class is skipped
  /// until the next round. Bounds the time spent on work that does not fit.
  std::size_t MaxRefusalsPerRound_ = 16;
};

/// A job that waits for placement. All times are on the monotonic clock.
struct QueuedJob {
  std::string Id_;
  std::string Team_;
  TaskClass Class_ = TaskClass::Batch;
  Urgency Urgency_ = Urgency::Normal;
  Resources Size_; ///< Planned size of each task.
  std::int64_t Tasks_ = 1;
  Millis Run_{}; ///< Planned run time.
  Millis Enqueued_{};
  Millis Deadline_{}; ///< Zero means none.

  friend bool operator==(const QueuedJob &, const QueuedJob &) = default;
};

/// Total size of all tasks of a job.
Resources totalSize(const QueuedJob &Job);

struct Candidate {
  QueuedJob Job_;
  /// True for urgent work within its guaranteed share: less urgent work may be
  /// checkpointed, throttled or stopped to start it.
  bool MayPreempt_ = false;

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// Why a placement was refused.
enum class Refusal {
  NoRoom,   ///< No worker has enough free capacity.
  Reserved, ///< Capacity is reserved for blocked work; shorter work may fit.
};

/// Queue of the jobs that one node schedules, bounded per class and per team
/// and served in order of fair shares. Not thread-safe: the caller must hold a
/// lock.
class JobQueue {
public:
  /// FairShares must outlive the queue.
  JobQueue(QueueSettings Settings, Shares &FairShares);

  /// Replaces the settings; jobs that are already queued stay.
  void applySettings(const QueueSettings &Settings) { Settings_ = Settings; }

  /// Adds a job. Errors: queue_full with retry-after. A job that is already
  /// queued keeps its position.
  Status push(QueuedJob Job);

  /// Reserves a place in the queue for a new job until it has been written to
  /// the job table. Errors: as push().
  Status reserve(TaskClass Class, const std::string &Team);
  void unreserve(TaskClass Class, const std::string &Team);

  /// Adds a job that has already been accepted: after reserve() and
  /// unreserve(), or during recovery. The bounds are not checked.
  void adopt(QueuedJob Job);

  /// Removes and returns the job to place next. Free is the free capacity that
  /// this node can place jobs on. Work above its class's guaranteed minimum
  /// does not start if that would use the reserve for interactive work. Skips
  /// every job whose placement was refused since beginRound(), and every job of
  /// the same class that is at least as large as a refused one.
  std::optional<Candidate> take(Millis Now, const Resources &Free);

  /// Puts a job back at the front of its queue after its placement was refused.
  void putBack(const Candidate &RefusedCandidate,
               Refusal Cause = Refusal::NoRoom);

  /// Starts a new round, in which refused jobs are candidates again, for
  /// example after a task ended.
  void beginRound();

  /// Removes a job in constant time, independent of the queue's length.
  std::optional<QueuedJob> remove(const std::string &Id);

  /// Removes and returns at most Limit jobs whose deadline has passed.
  std::vector<QueuedJob> takeExpired(Millis Now, std::size_t Limit);

  std::size_t size() const { return Index_.size(); }
  std::size_t size(TaskClass Class) const;
  std::size_t size(TaskClass Class, const std::string &Team) const;

  /// Queued work of this class and team that is served before a new job of this
  /// urgency: the sum of fleet share times run time in milliseconds.
  double workAhead(TaskClass Class, const std::string &Team,
                   Urgency Level) const;

private:
  struct Entry {
    QueuedJob Job_;
    double Work_ = 0.0;
    std::uint64_t Sequence_ = 0;
    /// Latest round in which the job's placement was refused.
    std::uint64_t RefusedRound_ = 0;
  };
  using EntryList = std::list<Entry>;

  /// Jobs of one class, team and urgency, in order of service.
  struct UrgencyQueue {
    EntryList Entries_;
    double Work_ = 0.0;
    /// Latest round in which a scan found no job that could be returned.
    std::uint64_t ExhaustedRound_ = 0;
  };
  struct TeamQueue {
    std::array<UrgencyQueue, UrgencyCount> UrgencyQueues_;
    TeamAccount *Account_ = nullptr;
    std::size_t Size_ = 0;
    std::size_t ReservedPlaces_ = 0;
  };
  // A std::map, because Index_ stores iterators, which must stay valid when
  // other teams are added or removed.
  using TeamMap = std::map<std::string, TeamQueue>;
  struct RefusedShape {
    Resources Size_;
    std::int64_t Tasks_ = 1;
    Millis RunTime_{}; ///< Zero: work of any run time is refused.
  };
  /// Placements refused in a round. Work that is at least as large and as long
  /// is refused as well.
  struct Refusals {
    std::uint64_t Round_ = 0;
    std::vector<RefusedShape> Shapes_;
  };
  struct ClassQueue {
    TeamMap Teams_;
    std::size_t Size_ = 0;
    std::size_t ReservedPlaces_ = 0;
    std::size_t UrgentJobs_ = 0;
    Refusals RefusalsWithoutPreemption_;
    Refusals RefusalsWithPreemption_;
  };
  struct EntryLocation {
    TeamMap::iterator Team_;
    EntryList::iterator Entry_;
  };
  struct Expiry {
    Millis Deadline_;
    std::uint64_t Sequence_ = 0;
    std::string Id_;
  };
  /// Order in which queued work is considered.
  enum class Tier {
    Lookup,     ///< Lookups below their class's minimum.
    Urgent,     ///< Urgent work below the minimum of its class and team.
    Guaranteed, ///< Classes below their minimum.
    Shared,     ///< All other work, by weighted share.
  };
  struct ScanContext {
    Tier Tier_ = Tier::Shared;
    Millis Now_;
    Resources Free_;
    Resources
        FreeBeyondReserve_; ///< Free_ minus the reserve for interactive work.
  };
  using OptionalEntry = std::optional<EntryList::iterator>;

  ClassQueue &classQueue(TaskClass Class);
  const ClassQueue &classQueue(TaskClass Class) const;
  Error queueFullError(TaskClass Class, const std::string &Team,
                       const std::string &Message) const;
  void insert(QueuedJob Job, bool AtFront, std::uint64_t RefusedRound);
  QueuedJob
  erase(std::unordered_map<std::string, EntryLocation>::iterator IndexIt);
  void eraseIfIdle(ClassQueue &Class, TeamMap::iterator TeamIt);
  bool isInTier(TaskClass Class, const ScanContext &Context) const;
  OptionalEntry chooseInTier(const ScanContext &Context);
  OptionalEntry chooseInClass(TaskClass Class, const ScanContext &Context);
  OptionalEntry chooseInTeam(ClassQueue &Class, TeamQueue &Team,
                             const ScanContext &Context);
  OptionalEntry chooseInUrgencyQueue(ClassQueue &Class, UrgencyQueue &Queue,
                                     const ScanContext &Context);
  bool isBlocked(const ClassQueue &Class, const Entry &Queued,
                 const ScanContext &Context) const;
  void compactExpiries();

  QueueSettings Settings_;
  Shares &Shares_;
  std::array<ClassQueue, TaskClassCount> Classes_;
  std::unordered_map<std::string, EntryLocation> Index_;
  std::vector<Expiry> Expiries_; ///< Heap, earliest deadline first.
  /// Buffer of chooseInClass(), kept to avoid an allocation for each call.
  std::vector<std::pair<double, TeamMap::iterator>> TeamRanking_;
  std::uint64_t Round_ = 1;
  std::uint64_t NextSequence_ = 1;
};

} // namespace damaskglade::policy

#endif
