#ifndef DAMASKGLADE_NODE_JOB_SERVICE_H
#define DAMASKGLADE_NODE_JOB_SERVICE_H

#include "node/job_home.h"
#include "node/lookup_service.h"

#include <string>

namespace damaskglade::node {

/// Jobs of the whole cell as a caller of any node sees them: finds the home of
/// a job, and the row if the home does not answer. Thread-safe.
class JobService {
public:
  JobService(NodeIdentity Self, Services &Ports, JobHome &Home,
             LookupService &Lookups, records::JobStore &Store, Router &Routes)
      : Self_(std::move(Self)), Ports_(Ports), Home_(Home), Lookups_(Lookups),
        Store_(Store), Routes_(Routes) {}

  /// Runs a lookup at once; accepts any other job.
  Result<Accepted> submit(const JobSpec &Spec);
  // Errors of all: not_found, table_unavailable, and those of a call to the
  // home.
  Result<JobRecord> status(const std::string &Id);
  Result<JobRecord> wait(const std::string &Id, Millis Timeout);
  Result<JobRecord> cancel(const std::string &Id);

private:
  Result<JobRecord> readRow(const std::string &Id);
  Result<JobRecord> askPeers(const std::string &Id);
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
