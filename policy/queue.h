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
  /// Queued jobs of each class, over all teams, in order of TaskClass.
  std::array<std::size_t, TaskClassCount> ClassBounds_{20000, 20000, 20000,
                                                       20000, 20000};
  /// Queued jobs of one team in one class.
  std::size_t TeamBound_ = 4000;
  /// Places of each team that other teams of a class cannot fill.
  std::size_t TeamPlaces_ = 64;
  /// Teams in one class that have places of their own.
  std::size_t MaxTeams_ = 512;
  /// Jobs of one team, class and urgency that are examined for one candidate,
  /// so that a job that does not fit holds up no smaller one behind it.
  std::size_t ScanDepth_ = 16;
  /// Refusals in one class after which it is left alone until the next round.
  /// Bounds the time that is spent on work that does not fit.
  std::size_t RoundRefusals_ = 16;
};

/// A job that waits for a placement. Times are monotonic.
struct QueuedJob {
  std::string Id_;
  std::string Team_;
  TaskClass Class_ = TaskClass::Batch;
  Urgency Urgency_ = Urgency::Normal;
  Resources Size_; ///< Of each task, as planned.
  std::int64_t Tasks_ = 1;
  Millis Run_{}; ///< As planned.
  Millis Enqueued_{};
  Millis Deadline_{}; ///< Zero means none.

  friend bool operator==(const QueuedJob &, const QueuedJob &) = default;
};

/// Size of all tasks of a job together.
Resources totalSize(const QueuedJob &Job);

struct Candidate {
  QueuedJob Job_;
  /// Urgent work within its guaranteed share, for which less urgent work may
  /// be checkpointed, throttled or stopped.
  bool MayPreempt_ = false;

  friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// Why a placement was refused.
enum class Refusal {
  NoRoom,   ///< No worker has room.
  Reserved, ///< Room is kept for blocked work; a shorter task may fit.
};

/// Queue of one job home, bounded by class and team and served by fair shares.
/// Not thread-safe: the caller holds a lock.
class JobQueue {
public:
  /// Accounts outlives the queue.
  JobQueue(QueueSettings Settings, Shares &Accounts);

  /// Changes the bounds; jobs that are queued stay.
  void applySettings(const QueueSettings &Settings) { Settings_ = Settings; }

  /// Adds a job. Errors: queue_full with retry-after. A job that is queued
  /// already stays where it is.
  Status push(QueuedJob Job);

  /// Sets a place aside while the job's row is written. Errors: as push().
  Status reserve(TaskClass Class, const std::string &Team);
  void unreserve(TaskClass Class, const std::string &Team);

  /// Adds a job that has been accepted before: after reserve() and
  /// unreserve(), or on recovery. Bounds do not apply.
  void adopt(QueuedJob Job);

  /// Removes and returns the job to place next. Free is the capacity that this
  /// home may count on; work above its class's minimum does not start if that
  /// would take the reserve for interactive work. Jobs put back since
  /// beginRound(), and jobs that cannot fit either, are passed over.
  std::optional<Candidate> take(Millis Now, const Resources &Free);

  /// Puts a job whose placement was refused at the front of its queue.
  void putBack(const Candidate &Refused, Refusal Why = Refusal::NoRoom);

  /// Makes refused jobs candidates again, for example after a task ended.
  void beginRound();

  /// Removes a job in constant time, whatever the queue's length.
  std::optional<QueuedJob> remove(const std::string &Id);

  /// Removes jobs whose deadline has passed, at most Limit.
  std::vector<QueuedJob> takeExpired(Millis Now, std::size_t Limit);

  std::size_t size() const { return Index_.size(); }
  std::size_t size(TaskClass Class) const;
  std::size_t size(TaskClass Class, const std::string &Team) const;

  /// Queued work of the same class and team that is served before a new job
  /// of this urgency, as share of the fleet times milliseconds.
  double workAhead(TaskClass Class, const std::string &Team,
                   Urgency Level) const;

private:
  struct Entry {
    QueuedJob Job_;
    double Work_ = 0.0;
    std::uint64_t Sequence_ = 0;
    std::uint64_t RefusedRound_ = 0; ///< Latest round that refused the job.
  };
  using EntryList = std::list<Entry>;

  /// Jobs of one class, team and urgency, in order of service.
  struct Lane {
    EntryList Entries_;
    double Work_ = 0.0;
    std::uint64_t ExhaustedRound_ = 0; ///< Latest round without a candidate.
  };
  struct TeamQueue {
    std::array<Lane, UrgencyCount> Lanes_;
    TeamAccount *Account_ = nullptr;
    std::size_t Size_ = 0;
    std::size_t Reserved_ = 0;
  };
  // Iterators must stay valid while other teams come and go.
  using TeamMap = std::map<std::string, TeamQueue>;
  struct RefusedShape {
    Resources Size_;
    std::int64_t Tasks_ = 1;
    Millis Run_{}; ///< Zero if work of any run time is refused.
  };
  /// What was refused in a round; work at least as large and as long is too.
  struct Refusals {
    std::uint64_t Round_ = 0;
    std::vector<RefusedShape> Shapes_;
  };
  struct ClassQueue {
    TeamMap Teams_;
    std::size_t Size_ = 0;
    std::size_t Reserved_ = 0;
    std::size_t Urgent_ = 0; ///< Queued urgent jobs.
    Refusals Refused_;
    Refusals RefusedPreempting_;
  };
  struct Place {
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
    Lookup,     ///< Lookups within their class's minimum.
    Urgent,     ///< Urgent work within the minimum of class and team.
    Guaranteed, ///< Classes below their minimum.
    Shared,     ///< Everything else, by weighted share.
  };
  struct Scan {
    Tier Tier_ = Tier::Shared;
    Millis Now_;
    Resources Free_;
    Resources Unreserved_; ///< Free_ less the reserve for interactive work.
  };
  using Found = std::optional<EntryList::iterator>;

  ClassQueue &classQueue(TaskClass Class);
  const ClassQueue &classQueue(TaskClass Class) const;
  Error fullError(TaskClass Class, const std::string &Team,
                  const std::string &Message) const;
  void insert(QueuedJob Job, bool AtFront, std::uint64_t RefusedRound);
  QueuedJob erase(std::unordered_map<std::string, Place>::iterator Position);
  void eraseIfIdle(ClassQueue &Class, TeamMap::iterator Team);
  bool isInTier(TaskClass Class, const Scan &Context) const;
  Found chooseInTier(const Scan &Context);
  Found chooseInClass(TaskClass Class, const Scan &Context);
  Found chooseInTeam(ClassQueue &Class, TeamQueue &Team, const Scan &Context);
  Found chooseInLane(ClassQueue &Class, Lane &From, const Scan &Context);
  bool isBlocked(const ClassQueue &Class, const Entry &Job,
                 const Scan &Context) const;
  void compactExpiries();

  QueueSettings Settings_;
  Shares &Accounts_;
  std::array<ClassQueue, TaskClassCount> Classes_;
  std::unordered_map<std::string, Place> Index_;
  std::vector<Expiry> Expiries_; ///< Heap, earliest deadline first.
  std::vector<std::pair<double, TeamMap::iterator>> Ranking_; ///< Reused.
  std::uint64_t Round_ = 1;
  std::uint64_t NextSequence_ = 1;
};

} // namespace damaskglade::policy

#endif
