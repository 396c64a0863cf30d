#ifndef DAMASKGLADE_REVIEW_WORKER_H
#define DAMASKGLADE_REVIEW_WORKER_H

#include "review/stand_ins/platform.h"

namespace damaskglade::review {

/// What workers have seen of the tasks. Finds the breaks of the rule TWICE.
class TaskHistory {
public:
  explicit TaskHistory(Record &Log) : Log_(Log) {}
  void started(const std::string &Worker, const std::string &Task,
               std::int64_t Attempt);
  void ended(const std::string &Worker, const std::string &Task,
             std::int64_t Attempt, const std::string &How);
  /// The end of a run was taken note of.
  void noted(const std::string &Worker, const std::string &Task,
             std::int64_t Attempt);
  int starts(const std::string &Job);
  /// Tasks of the job that have ended `done`.
  int doneTasks(const std::string &Job);
  /// When a task of the job first started; zero if none has.
  std::int64_t firstStart(const std::string &Job);
  int failedEnds(const std::string &Job);
  int running(const std::string &Job);
  /// Since when the job has had no running task.
  std::int64_t idleSince(const std::string &Job);
  /// A sentence for each task that ran twice at a time, or again after a run
  /// that has ended `done` and was taken note of.
  std::vector<std::string> twice();

private:
  struct Run {
    std::string Worker_;
    std::int64_t Attempt_ = 0;
    std::int64_t StartedAt_ = 0;
    std::int64_t EndedAt_ = -1;
    std::string How_;
    bool Noted_ = false;
  };

  std::vector<std::pair<std::string, Run *>> runsOf(const std::string &Job);

  Record &Log_;
  std::mutex Lock_;
  std::map<std::string, std::vector<Run>> Runs_; ///< By task.
};

/// Stand-in for a worker. It starts whatever it is told to start. A task runs
/// for the milliseconds that its spec tells.
class Worker {
public:
  Worker(Store &Platform, TaskHistory &History, Record &Log, std::string Id,
         std::string Label);
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  /// Writes to the registry at each heartbeat from now on.
  void join();
  /// The entry in the registry.
  Json::Value entry();
  /// The machine loses power and is back after the given time, with a new
  /// process under the same id and at the same address.
  void losePower(std::int64_t DownMs);
  /// The next start order for the job is carried out late, and so is the reply
  /// to polls without a wait until then.
  void delayNext(const std::string &Job, std::int64_t OrderMs,
                 std::int64_t ReplyMs);
  HttpServer &server() { return Server_; }
  const std::string &id() const { return Id_; }
  /// When the latest poll that waits for an end arrived.
  std::int64_t longPollAt() const { return LongPollAt_; }
  /// When the worker last wrote to the registry.
  std::int64_t beatAt() const { return BeatAt_; }
  /// Number of ends that were not taken note of yet.
  std::size_t unseenEnds();

private:
  struct Run {
    std::int64_t Attempt_ = 0;
    std::int64_t StartedAt_ = 0;
    std::int64_t EndsAt_ = 0;
    bool Stopping_ = false;
    bool LongRunning_ = false;
  };
  struct End {
    std::int64_t Number_ = 0;
    std::string Task_;
    std::int64_t Attempt_ = 0;
    std::string How_;
  };

  std::optional<HttpReply> handle(const HttpRequest &Request);
  std::optional<HttpReply> carryOut(const HttpRequest &Request);
  HttpReply start(const Json::Value &Body);
  HttpReply stop(const Json::Value &Body);
  HttpReply refuse(const char *Reason) const;
  HttpReply lists();
  void extend(const Json::Value &Body);
  void end(const std::string &Task, const std::string &How);
  void runTasks();
  void beat();
  std::int64_t clock() const { return nowMs() - BootedAt_ + 1000; }

  Store &Platform_;
  TaskHistory &History_;
  Record &Log_;
  const std::string Id_;
  const std::string Label_;
  std::mutex Lock_;
  std::condition_variable Ended_;
  std::int64_t BootedAt_ = 0;
  std::int64_t Born_ = 0;
  std::int64_t Boots_ = 1;
  std::int64_t Fence_ = 0;
  std::int64_t LeaseEnd_ = 0;
  std::int64_t LastEnd_ = 0;
  std::int64_t Sequence_ = 0;
  bool Up_ = true;
  std::map<std::string, Run> Running_;
  std::map<std::string, std::int64_t> Highest_; ///< Ended or stopped runs.
  std::vector<End> Ends_;
  std::atomic<std::int64_t> LongPollAt_{0};
  std::atomic<std::int64_t> BeatAt_{0};
  std::string LateJob_; ///< Its next order is late; empty: none.
  std::int64_t LateOrderMs_ = 0;
  std::int64_t LateReplyMs_ = 0;
  bool OrderIsLate_ = false; ///< The late order is under way.
  HttpServer Server_;
};

} // namespace damaskglade::review

#endif
