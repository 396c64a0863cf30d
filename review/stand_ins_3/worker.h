#ifndef DAMASKGLADE_REVIEW_STAND_INS_3_WORKER_H
#define DAMASKGLADE_REVIEW_STAND_INS_3_WORKER_H

#include "drivers/beast/event_loop.h"
#include "review/stand_ins_3/record.h"

#include <json/value.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace damaskglade::review {

/// What a worker is told at its start.
struct WorkerSettings {
  std::string Id_;
  std::string Address_;
  std::string Store_;
  std::string Zone_;
};

/// Stand-in for a worker: fences, attempts, leases and ends as the users' pages
/// tell them. A task runs for as many milliseconds as its `spec` begins with.
class Worker {
public:
  Worker(drivers::EventLoop &Loop, WorkerSettings Settings, Record Log);

  Status listen();

private:
  struct Run {
    std::int64_t Attempt_ = 0;
    Millis StartedAt_{};
    Millis Length_{};
  };
  struct End {
    std::int64_t Number_ = 0;
    std::string Task_;
    std::int64_t Attempt_ = 0;
    std::string How_;
  };

  void beat();
  void expire();
  void handle(const WebRequest &Request, const WebReplier &Reply);
  WebReply start(const Json::Value &Body);
  WebReply stop(const Json::Value &Body);
  void hold(const Json::Value &Body, const WebReplier &Reply);
  void extend(const Json::Value &Body);
  void end(const std::string &Task, std::int64_t Attempt,
           const std::string &How);
  std::int64_t clock() const;
  WebReply accept() const;
  WebReply reject(const char *Reason) const;
  WebReply lists() const;

  drivers::EventLoop &Loop_;
  const WorkerSettings Settings_;
  const Record Log_;
  const SystemClock Clock_;
  const std::unique_ptr<WebClient> Http_;
  const Millis StartedAt_;
  const Millis Born_;
  std::int64_t Beats_ = 0;
  std::int64_t Fence_ = 0;
  std::int64_t LeaseEnd_ = 0; ///< On the clock of the worker.
  std::int64_t LastEnd_ = 0;
  std::map<std::string, Run> Running_;
  std::map<std::string, std::int64_t> Highest_; ///< Stopped or ended attempts.
  std::vector<End> Ended_;
  std::vector<WebReplier> Waiting_;
};

} // namespace damaskglade::review

#endif
