#ifndef DAMASKGLADE_REVIEW_STAND_INS_2_WORKER_H
#define DAMASKGLADE_REVIEW_STAND_INS_2_WORKER_H

#include "review/stand_ins_2/ledger.h"
#include "review/stand_ins_2/store.h"

#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>

namespace damaskglade::review {

/// What a task is like; the stand-in reads it from the "spec" of its job.
struct TaskTraits {
  Millis Length_{};
  std::int64_t MilliCpus_ = 0;
  std::string Label_; ///< Worker label that the task requires.
  /// The first run of each task of the job ends "failed".
  bool FailsFirst_ = false;
};

std::string encodeTraits(const TaskTraits &Traits);
TaskTraits decodeTraits(const std::string &Spec);

/// Kind and size of a worker's host in one boot.
struct HostKind {
  std::string Label_;
  std::int64_t MilliCpus_ = 16000;
};

/// Stand-in for a worker: boots, fences, leases, runs and ends.
class Worker {
public:
  Worker(boost::asio::io_context &Loop, Store &Registry, Ledger &Log,
         std::string Id, int Port, std::string Zone, HostKind Kind);

  const std::string &id() const { return Id_; }
  const HostKind &kind() const { return Kind_; }
  std::size_t running() const { return Runs_.size(); }
  /// When the latest poll that waits for an end was received.
  Millis longPollAt() const { return LongPollAt_; }
  /// When the registry entry was last written.
  Millis registeredAt() const { return RegisteredAt_; }
  std::int64_t lastSeen() const { return LastSeen_; }
  const std::string &address() const { return Address_; }

  /// The host loses power; all that runs is lost.
  void loseHost();
  /// The host starts again under its id.
  void restoreHost();
  /// The process ends and resets its connections.
  void stop();
  /// A process starts again under the same id and address.
  void restart(HostKind Kind);

  /// Ends the runs of a job of which a gang member has ended elsewhere.
  void breakGang(const std::string &Job);
  bool runs(const std::string &Job) const;

  /// While unhealthy, the worker rejects all starts, and has done nothing then.
  void setHealthy(bool Healthy);

  /// Starts that break LIMIT or ROUTE in this worker's boots.
  const std::vector<std::string> &misplaced() const { return Misplaced_; }

private:
  struct Running {
    std::int64_t Attempt_ = 0;
    TaskTraits Traits_;
    RunRecord *Record_ = nullptr;
  };
  struct End {
    std::int64_t Number_ = 0;
    std::string Task_;
    std::int64_t Attempt_ = 0;
    RunRecord *Record_ = nullptr;
    int Lapses_ = 0;
  };

  std::int64_t clock() const;
  void boot();
  void loseRuns();
  void writeEntry();
  void beat(int Boot);
  void expire(int Boot);
  void handle(const Request &Call, const Replier &Answer);
  Reply start(const Json::Value &Body);
  Reply stopRun(const Json::Value &Body);
  void hold(const Json::Value &Body, const Replier &Answer);
  void extend(const Json::Value &Body);
  void endRun(const std::string &Task, std::int64_t Attempt,
              const std::string &How);
  Json::Value stamp() const;
  Json::Value lists() const;
  Reply refuse(const char *Reason) const;

  boost::asio::io_context &Loop_;
  Store &Registry_;
  Ledger &Log_;
  const std::string Id_;
  const std::string Address_;
  const std::string Zone_;
  HostKind Kind_;
  SystemClock Clock_;
  Millis BootedAt_{};
  Millis Born_{};
  int Boot_ = 0;
  bool Up_ = true;
  bool Healthy_ = true;
  std::int64_t Sequence_ = 0;
  std::int64_t Fence_ = 0;
  std::int64_t LeaseEnd_ = 0;
  int Lapses_ = 0;
  std::int64_t LastEnd_ = 0;
  std::int64_t LastSeen_ = 0;
  Millis LongPollAt_{};
  Millis RegisteredAt_{};
  std::map<std::string, Running> Runs_;
  std::map<std::string, std::int64_t> Highest_; ///< Stopped or ended attempts.
  std::list<End> Ends_;
  std::list<std::pair<int, Replier>> Waiting_;
  int LastWaiting_ = 0;
  std::set<std::string> FailedOnce_;
  std::vector<std::string> Misplaced_;
  Server Server_;
};

} // namespace damaskglade::review

#endif
