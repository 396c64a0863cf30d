#ifndef DAMASKGLADE_POLICY_SHARES_H
#define DAMASKGLADE_POLICY_SHARES_H

#include "core/clock.h"
#include "core/job.h"
#include "core/resources.h"

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace damaskglade::policy {

struct ShareSettings {
  /// Weight of each class, in order of TaskClass, for capacity above the
  /// guaranteed minima.
  std::array<double, TaskClassCount> ClassWeight_{4, 4, 2, 2, 2};
  /// Share of the fleet guaranteed to each class; the sum is at most 1.
  std::array<double, TaskClassCount> ClassMinimum_{0.25, 0.25, 0.15, 0.15,
                                                   0.15};
  /// Teams not listed have weight 1.
  std::unordered_map<std::string, double> TeamWeight_;
  /// Time in which past use loses half of its effect.
  Millis HalfLife_{10000};
  /// Standard deviations above the average use of interactive work, as of
  /// random arrivals, up to which capacity is kept free for it.
  double ReserveDeviations_ = 2.0;
};

/// What one class or team uses: the tasks that run now and a decaying average
/// of the past.
class UsageAccount {
public:
  void start(const Resources &Amount, const Resources &Fleet, Millis HalfLife,
             Millis Now);
  void finish(const Resources &Amount, const Resources &Fleet, Millis HalfLife,
              Millis Now);
  /// Share of the fleet, the larger of present and recent use.
  double share(Millis HalfLife, Millis Now) const;
  const Resources &running() const { return Running_; }
  /// Recomputes the present share for another fleet size.
  void setFleet(const Resources &Fleet);

private:
  double averageAt(Millis HalfLife, Millis Now) const;

  Resources Running_;
  double Present_ = 0.0;
  double Average_ = 0.0;
  Millis Updated_{};
};

/// Use of one team within one class.
struct TeamAccount {
  UsageAccount All_;
  UsageAccount Urgent_;
  double Weight_ = 1.0;
  std::size_t Backlog_ = 0; ///< Queued jobs of the team in this class.
  std::size_t Running_ = 0; ///< Running jobs of the team in this class.
};

/// Shares of the fleet by class, then by team, as dominant resource shares.
/// Not thread-safe: the caller holds a lock.
class Shares {
public:
  explicit Shares(ShareSettings Settings);

  /// Changes weights and minima; use so far stays.
  void applySettings(const ShareSettings &Settings);

  /// Sets the capacity that shares are fractions of: the part of the cell's
  /// fleet that this home may count on.
  void setFleet(const Resources &Fleet);
  const Resources &fleet() const { return Fleet_; }
  const ShareSettings &settings() const { return Settings_; }

  /// Records the start or the end of work. Amount is the sum over all tasks
  /// and must be the same in both calls.
  void start(TaskClass Class, const std::string &Team, Urgency Level,
             const Resources &Amount, Millis Now);
  void finish(TaskClass Class, const std::string &Team, Urgency Level,
              const Resources &Amount, Millis Now);

  /// Counts queued jobs, so that only active teams divide a class's minimum.
  TeamAccount &queued(TaskClass Class, const std::string &Team);
  void unqueued(TaskClass Class, const std::string &Team);

  /// Share of the fleet that a job of this size takes, 0 to 1.
  double shareOf(const Resources &Amount) const;
  double classShare(TaskClass Class, Millis Now) const;
  double urgentShare(TaskClass Class, Millis Now) const;
  double teamShare(const TeamAccount &Account, Millis Now) const;
  double teamShare(TaskClass Class, const std::string &Team, Millis Now) const;
  double teamUrgentShare(const TeamAccount &Account, Millis Now) const;

  /// Guaranteed minimum shares of the fleet.
  double classMinimum(TaskClass Class) const;
  double teamMinimum(TaskClass Class, const TeamAccount &Account) const;
  double teamMinimum(TaskClass Class, const std::string &Team) const;

  /// Share divided by weight; the lowest is served next.
  double classRank(TaskClass Class, Millis Now) const;
  double teamRank(const TeamAccount &Account, Millis Now) const;

  /// Capacity to keep free for lookups and requests: their average use and a
  /// margin, up to their minimum, less what they use now.
  Resources interactiveReserve(Millis Now) const;
  /// False if there were no lookups and requests for some time; shard owners
  /// then need not keep anything free for them.
  bool hasInteractiveWork(Millis Now) const;

private:
  using TeamMap = std::unordered_map<std::string, TeamAccount>;
  /// Decaying averages of what a class runs.
  struct RunningAverage {
    double MilliCpus_ = 0.0;
    double MemoryMib_ = 0.0;
    double Accelerators_ = 0.0;
    double Slots_ = 0.0;
    double Connections_ = 0.0;
    double Jobs_ = 0.0;
    Millis Updated_{};
  };
  struct ClassAccount {
    UsageAccount All_;
    UsageAccount Urgent_;
    TeamMap Teams_;
    double ActiveWeight_ = 0.0; ///< Of teams with queued or running jobs.
    RunningAverage Average_;
    std::int64_t Running_ = 0; ///< Running jobs.
  };

  ClassAccount &classAccount(TaskClass Class);
  const ClassAccount &classAccount(TaskClass Class) const;
  TeamAccount &activate(TaskClass Class, const std::string &Team);
  void deactivate(ClassAccount &Class, TeamMap::iterator Team);
  double weightOf(const std::string &Team) const;
  RunningAverage averageAt(const ClassAccount &Class, Millis Now) const;

  ShareSettings Settings_;
  Resources Fleet_;
  std::array<ClassAccount, TaskClassCount> Classes_;
};

/// Size of all tasks of a job together.
Resources timesTasks(const Resources &Size, std::int64_t Tasks);

} // namespace damaskglade::policy

#endif
