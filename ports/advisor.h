#ifndef DAMASKGLADE_PORTS_ADVISOR_H
#define DAMASKGLADE_PORTS_ADVISOR_H

#include "core/error.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace damaskglade {

/// A worker that may run a step, with the ticket to send with each start.
struct AdvisedWorker {
  std::string Worker_;
  std::string Ticket_;

  friend bool operator==(const AdvisedWorker &,
                         const AdvisedWorker &) = default;
};

/// Client of the advice service, which selects the workers that may run a step.
/// The service handles one call at a time for each calling VM.
class Advisor {
public:
  virtual ~Advisor() = default;
  virtual void
  ask(const std::string &Step, const std::vector<std::string> &Workers,
      Millis Timeout,
      std::function<void(Result<std::vector<AdvisedWorker>>)> Done) = 0;
};

} // namespace damaskglade

#endif
