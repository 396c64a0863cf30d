#ifndef DAMASKGLADE_NODE_JOB_HOME_H
#define DAMASKGLADE_NODE_JOB_HOME_H

#include "config/settings.h"
#include "core/work_pool.h"
#include "node/job_table.h"
#include "node/owner_gateway.h"
#include "policy/admission.h"
#include "policy/queue.h"
#include "records/job_store.h"

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace damaskglade::node {

struct HomeSettings {
  policy::QueueSettings Queue_;
  policy::ShareSettings Shares_;
  Millis StoreTimeout_{4000}; ///< Of one read or write of a row.
  std::size_t PlacementThreads_ = 16;
  std::size_t MaxEndedJobs_ = 4096; ///< Ended jobs that stay in memory.
};

/// Reply to a submission that was accepted.
struct SubmitResult {
  JobRecord Record_;
  bool Created_ = false; ///< False if the key was submitted before.

  friend bool operator==(const SubmitResult &, const SubmitResult &) = default;
};

/// Manages the durable jobs whose home is this node: admits, records, places
/// and finishes them. Thread-safe.
class JobHome {
public:
  JobHome(NodeIdentity Self, HomeSettings Settings, Services &Ports,
          records::JobStore &Store, OwnerGateway &Owners, ShardOwner &Local,
          Router &Routes, std::function<std::int64_t()> Incarnation);
  ~JobHome();
  JobHome(const JobHome &) = delete;
  JobHome &operator=(const JobHome &) = delete;

  void start();
  /// Stops the threads. The rows of unfinished jobs stay as they are, for other
  /// nodes to adopt.
  void stop();

  /// Accepts a job once its row is written. Errors: never_fits, queue_full,
  /// idempotency_key_reused, table_unavailable and others; Effect_ tells
  /// whether the job may have been accepted nevertheless.
  Result<SubmitResult> submit(const JobSpec &Spec);
  /// Errors: not_found if this node does not hold the job.
  Result<JobRecord> cancel(const std::string &Id);
  std::optional<JobRecord> find(const std::string &Id) const;
  /// Waits until the job has ended or the timeout has passed. Empty if this
  /// node does not hold the job.
  std::optional<JobRecord> waitFinal(const std::string &Id,
                                     Millis Timeout) const;

  /// Records how an attempt ended. Returns true if the shard owner may discard
  /// the attempt.
  bool finish(const std::string &AttemptId, const OwnerStatus &Status);
  /// Makes this node the home of an unfinished job. Returns false if the row
  /// was not updated, for example because another node adopted the job first.
  bool adopt(const JobRecord &Record);
  /// Applies the queue bounds, minimum shares and weights of the cell settings.
  void applySettings(const config::CellSettings &Cell);
  std::size_t queued() const;
  std::size_t size() const { return Jobs_.size(); }

private:
  // job_home.cpp
  Result<SubmitResult> resolveConflict(const JobSpec &Spec,
                                       const JobRecord &New);
  Status checkFits(const JobSpec &Spec) const;
  Status admit(const JobRecord &Record);
  bool isHomeOf(const JobRecord &Record) const;
  void addRecordedJob(const JobRecord &Record);
  void finishRestart(JobTable::Guard &Job);
  void enqueue(const JobEntry &Entry);
  Result<JobRecord> writeRecord(JobTable::Guard &Job, const JobRecord &Updated);
  void finishCancel(JobTable::Guard &Job);
  void endJob(JobTable::Guard &Job, JobState State, Reason EndReason);
  bool endMember(JobTable::Guard &Job, std::size_t Member,
                 const OwnerStatus &Status);
  bool recordAnswer(JobTable::Guard &Job, std::size_t Member,
                    const Answer &Reply);
  void requeueMember(JobTable::Guard &Job, std::size_t Member);
  void setCharged(JobEntry &Entry, bool Charged);

  // job_placement.cpp
  void runDispatch();
  void dispatchRound();
  void expireQueued(Millis Now);
  void placeJob(const policy::Candidate &Chosen);
  std::vector<std::string> ownersFor(const ReserveRequest &Request) const;
  std::vector<Attempt> reserveCapacity(const ReserveRequest &Request,
                                       int FailedPlacements);
  Resources capacityPerHome(const Resources &Total) const;
  void reserveFrom(const std::string &Node, const ReserveRequest &Part,
                   ReserveRequest &Remaining, std::vector<Attempt> &Reserved);
  bool recordAttempts(JobTable::Guard &Job,
                      const std::vector<Attempt> &Reserved);
  void startMembers(JobTable::Guard &Job, const std::vector<Attempt> &Reserved);
  void stopPartialGang(JobTable::Guard &Job);
  void requeue(const policy::Candidate &Chosen);

  // job_takeover.cpp
  void trackUnresolvedWrite(const std::string &Id);
  void resolveUnknownWrites();
  bool confirmHome(JobTable::Guard &Job);
  bool refreshStale(JobTable::Guard &Job);
  bool applyRow(JobTable::Guard &Job, const JobRecord &Current);

  // job_monitor.cpp
  void runMonitor();
  void checkJob(const std::string &Id);
  bool checkMember(JobTable::Guard &Job, std::size_t Member);
  bool isCheckDue(const JobEntry &Entry, Millis Now) const;

  const NodeIdentity Self_;
  const HomeSettings Settings_;
  Services &Ports_;
  records::JobStore &Store_;
  OwnerGateway &Owners_;
  ShardOwner &Local_;
  Router &Routes_;
  const std::function<std::int64_t()> Incarnation_;

  JobTable Jobs_;
  mutable Mutex QueueMutex_;
  policy::Shares Shares_;
  policy::JobQueue Queue_;
  policy::Admission Admission_;
  /// Writes of unknown effect: monotonic end of their checks, by job id.
  std::map<std::string, Millis> UnresolvedWrites_;

  WorkPool Placements_;
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> RoundDue_{true};
  Thread Dispatch_;
  Thread Monitor_;
};

} // namespace damaskglade::node

#endif
