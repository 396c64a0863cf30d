#ifndef DAMASKGLADE_TESTS_STAND_INS_WORKER_SERVICE_H
#define DAMASKGLADE_TESTS_STAND_INS_WORKER_SERVICE_H

#include "core/thread.h"
#include "core/worker.h"
#include "tests/stand_ins/http_server.h"
#include "tests/stand_ins/timer_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace damaskglade::stand_ins {

struct WorkerOptions {
  std::string Id_;
  Resources Capacity_{16000, 65536, 0, 8, 64};
  Millis ClockOffset_{};  ///< Added to the wall clock.
  Millis UsageLag_{1000}; ///< Age of the reported usage.
};

/// Faults of a worker.
struct WorkerFaults {
  bool FailStarts_ = false;
  bool Pause_ = false; ///< Requests wait until cleared; tasks go on.
  bool TruncateAnswers_ = false;
  bool Leaving_ = false;
  Millis Delay_{};
  double OutgrowFactor_ = 1.0; ///< Usage of tasks started from now on.
};

/// Entry of the worker's own log, from which the checker judges a run.
struct WorkerEvent {
  Millis Time_; ///< Wall time.
  std::string Attempt_;
  std::string Job_;
  /// started, finished, lapsed, stopped, refused, over_limit, checkpointed,
  /// throttled or resumed.
  std::string Event_;
  std::int64_t Epoch_ = 0;
  std::string Detail_; ///< Reason of a refusal.
};

/// Sends a completion report to a URL; may block.
using ReportSender =
    std::function<void(const std::string &Url, const std::string &Body)>;

/// Stand-in for one worker. A task that is lapsed or stopped is reported as
/// finished with ok = false and the answer "lapsed" or "stopped": "unknown"
/// would say that it never started. Tasks with run_ms 0 run until stopped.
class WorkerService {
public:
  WorkerService(WorkerOptions Options, TimerQueue &Timers, ReportSender Report);

  HttpResponse handle(const HttpRequest &Request);
  std::vector<WorkerEvent> log();

private:
  struct Task {
    StartRequest Request_;
    Resources Used_; ///< Measured usage, above the size if it outgrew it.
    Millis LeaseEnd_{};
    Millis Left_{};  ///< Run time left at Since_; meaningless for services.
    Millis Since_{}; ///< Monotonic.
    bool Checkpointed_ = false;
    bool Throttled_ = false;
    std::int64_t Change_ = 0; ///< Makes earlier end timers stale.
    AttemptState State_ = AttemptState::Running;
    Answer Answer_;
    bool Acked_ = false;
  };

  Millis wall() const { return Clock_.wall() + Options_.ClockOffset_; }
  HttpResponse route(const HttpRequest &Request);
  HttpResponse setFaults(const std::string &Body);
  HttpResponse start(const StartRequest &Request);
  HttpResponse renew(const LeaseRequest &Request);
  HttpResponse state(const std::string &Attempt);
  HttpResponse control(const std::string &Attempt, const std::string &Action);
  HttpResponse dumpLog();

  // The callers of all functions below hold the mutex.
  Reason refusalOf(const StartRequest &Request);
  HttpResponse waitForAnswer(const std::string &Attempt);
  void record(const StartRequest &Request, const std::string &Event,
              const std::string &Detail = {});
  void end(Task &Ended, const std::string &Event, Answer Result);
  void scheduleFinish(const std::string &Attempt);
  void scheduleLapse(const std::string &Attempt);
  void changeSpeed(Task &Changed, bool Checkpointed, bool Throttled);
  Resources reserved() const;
  Resources used() const;
  Resources laggedUsage();
  AttemptReport reportOf(const Task &Of) const;

  const WorkerOptions Options_;
  TimerQueue &Timers_;
  const ReportSender Report_;
  SystemClock Clock_;
  Mutex Mutex_;
  Condition Changed_;
  WorkerFaults Faults_;
  std::map<std::string, Task> Tasks_; ///< By attempt id; never removed.
  std::vector<WorkerEvent> Log_;
  std::int64_t HighestEpoch_ = 0;
  Resources Usage_;
  Millis UsageTime_{};
};

} // namespace damaskglade::stand_ins

#endif
