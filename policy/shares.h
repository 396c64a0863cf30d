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
  /// Weight of each class, in order of TaskClass, for capacity beyond the
  /// guaranteed minimums.
  std::array<double, TaskClassCount> ClassWeight_{4, 4, 2, 2, 2};
  /// Share of the fleet guaranteed to each class; the sum is at most 1.
  std::array<double, TaskClassCount> ClassMinimum_{0.25, 0.25, 0.15, 0.15,
                                                   0.15};
  /// Teams not listed have weight 1.
  std::unordered_map<std::string, double> TeamWeight_;
  /// Time in which past usage loses half of its weight.
  Millis HalfLife_{10000};
  /// Capacity that is kept free for interactive work beyond its average usage,
  /// in standard deviations of the number of its running jobs.
  double ReserveDeviations_ = 2.0;
};

/// Usage of one class or team: the tasks that run now and a decaying average of
/// past usage.
class UsageAccount {
public:
  void start(const Resources &Amount, const Resources &Fleet, Millis HalfLife,
             Millis Now);
  void finish(const Resources &Amount, const Resources &Fleet, Millis HalfLife,
              Millis Now);
  /// Share of the fleet: the larger of the current and the average usage.
  double share(Millis HalfLife, Millis Now) const;
  const Resources &running() const { return RunningSize_; }
  /// Recomputes the current share for a new fleet size.
  void setFleet(const Resources &Fleet);

private:
  double averageAt(Millis HalfLife, Millis Now) const;

  Resources RunningSize_;
  double CurrentShare_ = 0.0;
  double AverageShare_ = 0.0;
  Millis LastUpdate_{};
};

/// Usage of one team within one class.
struct TeamAccount {
  UsageAccount Usage_;
  UsageAccount UrgentUsage_;
  double Weight_ = 1.0;
  std::size_t QueuedJobs_ = 0;
  std::size_t RunningJobs_ = 0;
};

/// Dominant resource shares of the fleet by class and by team within a class.
/// Not thread-safe: the caller must hold a lock.
class Shares {
public:
  explicit Shares(ShareSettings Settings);

  /// Replaces weights and minimums; recorded usage is kept.
  void applySettings(const ShareSettings &Settings);

  /// Sets the capacity that counts as a share of 1. Each node passes an equal
  /// part of the cell's capacity, because it counts only the jobs that it
  /// schedules itself.
  void setFleet(const Resources &Fleet);
  const Resources &fleet() const { return Fleet_; }
  const ShareSettings &settings() const { return Settings_; }

  /// Records the start or the end of a job. Amount is the sum over all its
  /// tasks and must be the same in both calls.
  void start(TaskClass Class, const std::string &Team, Urgency Level,
             const Resources &Amount, Millis Now);
  void finish(TaskClass Class, const std::string &Team, Urgency Level,
              const Resources &Amount, Millis Now);

  /// Counts queued jobs, so that a class's minimum is divided among active
  /// teams only.
  TeamAccount &addQueuedJob(TaskClass Class, const std::string &Team);
  void removeQueuedJob(TaskClass Class, const std::string &Team);

  /// Share of the fleet that this amount takes, 0 to 1.
  double shareOf(const Resources &Amount) const;
  double classShare(TaskClass Class, Millis Now) const;
  double urgentShare(TaskClass Class, Millis Now) const;
  double teamShare(const TeamAccount &Account, Millis Now) const;
  double teamShare(TaskClass Class, const std::string &Team, Millis Now) const;
  double teamUrgentShare(const TeamAccount &Account, Millis Now) const;

  /// Guaranteed minimum share of the fleet.
  double classMinimum(TaskClass Class) const;
  double teamMinimum(TaskClass Class, const TeamAccount &Account) const;
  double teamMinimum(TaskClass Class, const std::string &Team) const;

  /// Share divided by weight; the lowest rank is served first.
  double classRank(TaskClass Class, Millis Now) const;
  double teamRank(const TeamAccount &Account, Millis Now) const;

  /// Capacity to keep free for lookups and requests: their average usage plus a
  /// margin, at most their guaranteed minimum, minus their current usage.
  Resources interactiveReserve(Millis Now) const;
  /// False if hardly any lookups and requests ran recently; no capacity needs
  /// to be kept free for them then.
  bool hasInteractiveWork(Millis Now) const;

private:
  using TeamMap = std::unordered_map<std::string, TeamAccount>;
  /// Decaying averages of the running jobs of a class and of their resources.
  struct RunningAverage {
    double MilliCpus_ = 0.0;
    double MemoryMib_ = 0.0;
    double Accelerators_ = 0.0;
    double Slots_ = 0.0;
    double Connections_ = 0.0;
    double Jobs_ = 0.0;
    Millis LastUpdate_{};
  };
  struct ClassAccount {
    UsageAccount Usage_;
    UsageAccount UrgentUsage_;
    TeamMap Teams_;
    double ActiveWeight_ = 0.0; ///< Sum over teams with queued or running jobs.
    RunningAverage RunningAverage_;
    std::int64_t RunningJobs_ = 0;
  };

  ClassAccount &classAccount(TaskClass Class);
  const ClassAccount &classAccount(TaskClass Class) const;
  TeamAccount &activate(TaskClass Class, const std::string &Team);
  void deactivateIfIdle(ClassAccount &Class, TeamMap::iterator TeamIt);
  double weightOf(const std::string &Team) const;
  RunningAverage averageAt(const ClassAccount &Class, Millis Now) const;

  ShareSettings Settings_;
  Resources Fleet_;
  std::array<ClassAccount, TaskClassCount> Classes_;
};

/// Total size of the given number of tasks.
Resources timesTasks(const Resources &Size, std::int64_t Tasks);

} // namespace damaskglade::policy

#endif
