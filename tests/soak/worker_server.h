#ifndef DAMASKGLADE_TESTS_SOAK_WORKER_SERVER_H
#define DAMASKGLADE_TESTS_SOAK_WORKER_SERVER_H

#include "drivers/beast/event_loop.h"
#include "tests/soak/observer.h"

#include <functional>
#include <json/value.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace damaskglade::soak {

/// Memory of each worker.
inline constexpr std::int64_t WorkerMemoryMb = 64000;
/// How often a worker writes to the registry.
inline constexpr Millis Heartbeat{1500};

/// Stand-in for one worker: fences, leases, attempts and ends as the users'
/// workers keep them. It starts whatever it is told to start.
class WorkerServer {
public:
  WorkerServer(drivers::EventLoop &Loop, const Clock &Time, Observer &Watch,
               std::string Name, std::int64_t Capacity, unsigned Seed);

  Status listen(const std::string &Address);
  /// All that runs is lost, and the worker starts anew under its id, with a
  /// clock of its own. Its connections are to be closed with it.
  void crash();
  /// The same, but the new process has an id of its own.
  void crashAndChangeId();
  /// Calls the handler, which is to crash the worker, shortly after a deadly
  /// task has started.
  void onDeadlyTask(std::function<void()> Handler) {
    OnDeadlyTask_ = std::move(Handler);
  }
  /// Changes the capacity while tasks run. Starts may exceed a smaller one
  /// until it can be known from the registry.
  void setCapacity(std::int64_t MilliCpus);
  /// Starts are carried out late and not answered.
  void setLateOrders(bool Late) { LateOrders_ = Late; }
  /// Stays the same when the id changes.
  const std::string &name() const { return Name_; }
  const std::string &id() const { return Id_; }
  std::int64_t capacity() const { return Capacity_; }
  bool isShrunk() const { return Capacity_ < FullCapacity_; }
  std::int64_t fullCapacity() const { return FullCapacity_; }

private:
  struct Run {
    std::int64_t Attempt_ = 0;
    std::int64_t MilliCpus_ = 0;
    std::int64_t MemoryMb_ = 0;
    Millis StartedAt_{};
    Millis Length_{};
  };
  struct End {
    std::int64_t Number_ = 0;
    std::string Task_;
    std::int64_t Attempt_ = 0;
    std::string How_;
  };

  void handle(const WebRequest &Request, const WebReplier &Reply);
  WebReply start(const Json::Value &Body, bool Late);
  void runGangMember(const std::string &Task, std::int64_t Attempt);
  WebReply stop(const Json::Value &Body);
  void hold(const Json::Value &Body, const WebReplier &Reply);
  void end(const std::string &Task, std::int64_t Attempt,
           const std::string &How);
  void expire();
  void extend(const Json::Value &Body);
  std::int64_t clock() const;
  Millis draw(std::int64_t From, std::int64_t To);
  Json::Value lists() const;
  WebReply refuse(const char *Reason) const;

  drivers::EventLoop &Loop_;
  const Clock &Time_;
  Observer &Watch_;
  const std::string Name_;
  std::string Id_;
  int Processes_ = 1;
  const std::int64_t FullCapacity_;
  std::int64_t Capacity_;
  std::int64_t Limit_; ///< What starts must not exceed.
  int CapacityChanges_ = 0;
  std::minstd_rand Random_;
  std::int64_t Fence_ = 0;
  Millis Born_{};
  Millis StartedAt_{}; ///< When the process started.
  Millis LeaseEnd_{};
  std::int64_t LastEnd_ = 0;
  std::map<std::string, Run> Running_;
  std::map<std::string, std::int64_t> Highest_; ///< Stopped or ended attempts.
  std::vector<End> Ended_;
  std::vector<WebReplier> Waiting_;
  std::function<void()> OnDeadlyTask_;
  bool LateOrders_ = false;
};

} // namespace damaskglade::soak

#endif
