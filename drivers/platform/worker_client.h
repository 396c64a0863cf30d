#ifndef DAMASKGLADE_DRIVERS_PLATFORM_WORKER_CLIENT_H
#define DAMASKGLADE_DRIVERS_PLATFORM_WORKER_CLIENT_H

#include "ports/worker_client.h"

#include <memory>

namespace damaskglade::drivers {

/// Client of the worker API. An answer whose length or digest does not match
/// gives answer_truncated with Effect::Unknown; in lease replies such a report
/// is left out, and the worker repeats it until it is acknowledged.
std::unique_ptr<WorkerClient> makeWorkerClient();

} // namespace damaskglade::drivers

#endif
