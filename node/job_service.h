#ifndef DAMASKGLADE_NODE_JOB_SERVICE_H
#define DAMASKGLADE_NODE_JOB_SERVICE_H

#include "node/job_home.h"
#include "node/lookup_service.h"

#include <string>

namespace damaskglade::node {

/// Jobs of the whole cell, for callers of any node. A job of another home is
/// read from its row, or from its home while the table is unavailable; waits
/// and cancellations are forwarded to the home. Thread-safe.
class JobService {
public:
  JobService(NodeIdentity Self, Services &Ports, JobHome &Home,
             LookupService &Lookups, records::JobStore &Store, Router &Routes)
      : Self_(std::move(Self)), Ports_(Ports), Home_(Home), Lookups_(Lookups),
        Store_(Store), Routes_(Routes) {}

  /// Runs a lookup immediately; submits any other job to the home on this node.
  Result<SubmitResult> submit(const JobSpec &Spec);
  // Errors of the following: not_found, table_unavailable, and those of a call
  // to the home.
  Result<JobRecord> status(const std::string &Id);
  Result<JobRecord> wait(const std::string &Id, Millis Timeout);
  Result<JobRecord> cancel(const std::string &Id);

private:
  Result<JobRecord> readRow(const std::string &Id);
  Result<JobRecord> queryPeers(const std::string &Id);
  Result<JobRecord> callHome(const JobRecord &Row, const std::string &Method,
                             Millis Timeout);

  const NodeIdentity Self_;
  Services &Ports_;
  JobHome &Home_;
  LookupService &Lookups_;
  records::JobStore &Store_;
  Router &Routes_;
};

/// Parameters of the peer methods jobStatus, waitJob and cancelJob.
struct JobQuery {
  std::string Id_;
  Millis Timeout_{};

  friend bool operator==(const JobQuery &, const JobQuery &) = default;
};
Json::Value encode(const JobQuery &Query);
Result<JobQuery> decodeJobQuery(const Json::Value &Value);
Json::Value encodeJobReply(const JobRecord &Record);
Result<JobRecord> decodeJobReply(const Json::Value &Value);

} // namespace damaskglade::node

#endif
