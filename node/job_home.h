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
  Millis StoreTimeout_{4000}; ///< Of one write to the table.
  std::size_t PlacementThreads_ = 16;
  std::size_t KeepEnded_ = 4096; ///< Ended jobs that stay in memory.
};

/// Answer to a submission.
struct Accepted {
  JobRecord Record_;
  bool Created_ = false; ///< False: the key had been submitted before.

  friend bool operator==(const Accepted &, const Accepted &) = default;
};

/// Durable jobs of which this node is the home: admits, records, places and
/// finishes them. Thread-safe.
class JobHome {
public:
  JobHome(NodeIdentity Self, HomeSettings Settings, Services &Ports,
          records::JobStore &Store, OwnerGateway &Owners, ShardOwner &Local,
          Router &Routes, std::function<std::int64_t()> Incarnation);
  ~JobHome();
  JobHome(const JobHome &) = delete;
  JobHome &operator=(const JobHome &) = delete;

  void start();
  /// Ends the threads. Rows stay as they are and are adopted by other nodes.
  void stop();

  /// Accepts a job once its row is written. Errors: never_fits, queue_full,
  /// idempotency_key_reused, table_unavailable and others, with their effect.
  Result<Accepted> submit(const JobSpec &Spec);
  /// Errors: not_found if this node is not the home.
  Result<JobRecord> cancel(const std::string &Id);
  std::optional<JobRecord> find(const std::string &Id) const;
  std::optional<JobRecord> waitFinal(const std::string &Id,
                                     Millis Timeout) const;

  /// Records how an attempt ended. Returns true if the owner may forget it.
  bool finish(const std::string &Attempt, const OwnerStatus &Status);
  /// Takes over an unfinished job. Returns false if another node was first.
  bool adopt(const JobRecord &Record);
  /// Takes over queue bounds, shares and weights.
  void applySettings(const config::CellSettings &Cell);
  std::size_t queued() const;
  std::size_t size() const { return Jobs_.size(); }

private:
  // job_home.cpp
  Result<Accepted> resolveConflict(const JobSpec &Spec, const JobRecord &New);
  Status checkFits(const JobSpec &Spec) const;
  Status admit(const JobRecord &Record);
  bool isOwn(const JobRecord &Record) const;
  void adoptWritten(const JobRecord &Record);
  void noteUnresolved(const std::string &Id);
  void resolveWrites();
  void restartWaiting(JobTable::Guard &Job);
  void enqueue(const JobEntry &Entry);
  Result<JobRecord> writeRecord(JobTable::Guard &Job, const JobRecord &Next);
  void finishCancel(JobTable::Guard &Job);
  void endJob(JobTable::Guard &Job, JobState State, Reason Why);
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
  void place(const policy::Candidate &Chosen);
  std::vector<std::string> ownersFor(const ReserveRequest &Request) const;
  std::vector<Attempt> reserveRoom(const ReserveRequest &Request, int Tries);
  Resources ownPart(const Resources &Total) const;
  void takeRoom(const std::string &Node, const ReserveRequest &Part,
                ReserveRequest &Rest, std::vector<Attempt> &Held);
  bool recordAttempts(JobTable::Guard &Job, const std::vector<Attempt> &Held);
  bool refreshStale(JobTable::Guard &Job);
  void startMembers(JobTable::Guard &Job, const std::vector<Attempt> &Held);
  void stopPartialGang(JobTable::Guard &Job);
  void putBack(const policy::Candidate &Chosen);

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
  std::map<std::string, Millis> Unresolved_; ///< End of the check, by job.

  WorkPool Placements_;
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> RoundDue_{true};
  Thread Dispatch_;
  Thread Monitor_;
};

} // namespace damaskglade::node

#endif
