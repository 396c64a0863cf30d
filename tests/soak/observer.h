#ifndef DAMASKGLADE_TESTS_SOAK_OBSERVER_H
#define DAMASKGLADE_TESTS_SOAK_OBSERVER_H

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::soak {

/// A job as a caller handed it in.
struct CallerJob {
  std::string Payload_;
  std::vector<int> Widths_; ///< Tasks of each step.
  /// The steps that each step waits for.
  std::vector<std::vector<int>> Dependencies_;
  std::int64_t MilliCpus_ = 0;
  std::int64_t MemoryMb_ = 0;
  int MaxPerWorker_ = 0; ///< Tasks of a step on one worker; zero: no limit.
  bool Gang_ = false;    ///< The tasks of each step run together.
  bool LongRunning_ = false;
  bool Deadly_ = false; ///< Its task crashes the workers that start it.
  bool Failed_ = false; ///< Shown so, with cause.
  bool Accepted_ = false;
  bool Unclear_ = false; ///< A try got neither acceptance nor refusal.
  bool Complete_ = false;
  Millis CancelSentAt_{};
  Millis CancelAckAt_{};
};

/// Bounds on time do not hold for so long after a disturbance.
inline constexpr Millis ContactTime{3000};
/// How long a worker that a deadly task has crashed is away.
inline constexpr Millis DeadlyDownTime{3000};
/// A long-running task has to run again within RestartBound after its last run,
/// unless something was disturbed within the last RestartCalm.
inline constexpr Millis RestartBound{9000};
inline constexpr Millis RestartCalm{7000};

/// Checks what callers and workers see against the promises. Findings are
/// kept as sentences.
class Observer {
public:
  explicit Observer(const Clock &Time) : Time_(Time) {}

  void jobSent(const std::string &Id, const CallerJob &Job);
  void jobAccepted(const std::string &Id);
  void jobUnclear(const std::string &Id);
  void cancelSent(const std::string &Id);
  void cancelAcked(const std::string &Id);
  /// State as shown to a caller; empty if the job is said not to exist.
  void jobShown(const std::string &Id, const std::string &State);

  /// A worker begins a task. LateOrder: the order was carried out late.
  void started(const std::string &Worker, const std::string &Task,
               const std::string &Payload, bool LateOrder);
  void gone(const std::string &Worker, const std::string &Task);
  void done(const std::string &Worker, const std::string &Task);
  /// Whether all members of the task's gang run, or one of them is done.
  bool isGangPresent(const std::string &Task) const;
  /// The worker crashes while it runs the task.
  void crashed(const std::string &Worker, const std::string &Task);
  /// The end of a task was acknowledged to the worker.
  void noted(const std::string &Task);
  void usedRoom(const std::string &Worker, std::int64_t MilliCpus,
                std::int64_t Capacity);
  /// A worker runs so many tasks of a step.
  void tasksTogether(const std::string &Worker, const std::string &Task,
                     int Count);
  /// While something is disturbed, and a while after it, bounds on time do not
  /// hold.
  void disturbed() { DisturbedAt_ = Time_.monotonic(); }
  /// Whether nothing has been disturbed for so long that bounds on time hold,
  /// and have held for this time.
  bool calm(Millis Length = {}) const;
  /// Checks that long-running tasks that have lost their run run again in time;
  /// to be called often.
  void checkLongRunning();

  /// Jobs that were accepted, not canceled, and are not shown as ended.
  std::vector<std::string> openJobs() const;
  /// Checks that hold once all faults are over and all work has ended.
  void finish();
  const std::vector<std::string> &findings() const { return Findings_; }
  const std::map<std::string, CallerJob> &jobs() const { return Jobs_; }
  int starts() const { return Starts_; }

private:
  void find(const std::string &What) { Findings_.push_back(What); }
  /// The tasks of a gang; otherwise only the task itself.
  std::vector<std::string> membersOf(const std::string &Task) const;
  void checkBudget(const std::string &Task);
  bool allDone(const std::string &Id, std::size_t Step) const;

  const Clock &Time_;
  std::map<std::string, CallerJob> Jobs_;
  std::map<std::string, std::string> RunsOn_;    ///< Worker by task.
  std::map<std::string, Millis> LostAt_;         ///< Long-running tasks.
  std::map<std::string, int> Crashes_;           ///< Deadly tasks.
  std::map<std::string, int> StartsPastCrashes_; ///< Deadly tasks.
  Millis DeadlyCrashAt_{};
  std::set<std::string> Done_;
  std::set<std::string> Noted_;
  std::set<std::string> Started_; ///< Ids of jobs.
  std::vector<std::string> Findings_;
  Millis DisturbedAt_{};
  int Starts_ = 0;
};

} // namespace damaskglade::soak

#endif
