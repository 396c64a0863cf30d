#ifndef DAMASKGLADE_PORTS_WORKER_CLIENT_H
#define DAMASKGLADE_PORTS_WORKER_CLIENT_H

#include "core/error.h"
#include "core/worker.h"

#include <string>

namespace damaskglade {

/// Calls to workers. Address is "ip:port". Errors: a refusal by the worker has
/// the worker's reason and Effect::None; a connection that fails before the
/// request is sent has connect_failed and Effect::None; later failures have
/// Effect::Unknown.
class WorkerClient {
public:
  virtual ~WorkerClient() = default;
  virtual Result<AttemptReport> start(const std::string &Address,
                                      const StartRequest &Request,
                                      Millis Timeout) = 0;
  virtual Result<LeaseReply> renew(const std::string &Address,
                                   const LeaseRequest &Request,
                                   Millis Timeout) = 0;
  virtual Result<AttemptReport> state(const std::string &Address,
                                      const std::string &Attempt,
                                      Millis Timeout) = 0;
  virtual Status control(const std::string &Address, const std::string &Attempt,
                         TaskControl Action, Millis Timeout) = 0;
};

} // namespace damaskglade

#endif
