#ifndef DAMASKGLADE_NODE_CALLER_API_H
#define DAMASKGLADE_NODE_CALLER_API_H

#include "node/config_api.h"
#include "node/job_service.h"
#include "ports/http.h"

#include <functional>
#include <string>

namespace damaskglade::node {

/// HTTP interface for callers and operators. Thread-safe.
class CallerApi {
public:
  CallerApi(NodeIdentity Self, Services &Ports, JobService &Jobs,
            ShardOwner &Owner, Router &Routes, ownership::Agent &Ownership,
            ConfigApi &Config)
      : Self_(std::move(Self)), Ports_(Ports), Jobs_(Jobs), Owner_(Owner),
        Routes_(Routes), Ownership_(Ownership), Config_(Config) {}

  /// Replies to every path except /metrics, /rpc, /healthz and /readyz.
  HttpReply handle(const HttpRequest &Request);

private:
  HttpReply handleJobs(const HttpRequest &Request, const std::string &Subpath);
  HttpReply submit(const HttpRequest &Request);
  HttpReply wait(const HttpRequest &Request, const std::string &Id);
  HttpReply report(const HttpRequest &Request);
  HttpReply listNodes();
  HttpReply listWorkers(const HttpRequest &Request);
  HttpReply controlWorker(const HttpRequest &Request,
                          const std::string &Subpath);
  HttpReply refuse(const Error &Failure);

  const NodeIdentity Self_;
  Services &Ports_;
  JobService &Jobs_;
  ShardOwner &Owner_;
  Router &Routes_;
  ownership::Agent &Ownership_;
  ConfigApi &Config_;
};

/// Applies drain, undrain, quarantine or release to a worker of this node.
/// Errors: not_owner, invalid_field.
Status controlOwnWorker(ShardOwner &Owner, const std::string &Worker,
                        const std::string &Action);

} // namespace damaskglade::node

#endif
