#ifndef DAMASKGLADE_NODE_JOB_JSON_H
#define DAMASKGLADE_NODE_JOB_JSON_H

#include "core/job.h"
#include "node/owned_shard.h"
#include "ports/http.h"

#include <json/value.h>

namespace damaskglade::node {

/// JSON form of a job in the HTTP interface.
Json::Value describeJob(const JobRecord &Record);
Json::Value describeWorker(const WorkerStatus &Worker);

/// HTTP status for an error: 429 for quota, queue and deadline refusals, other
/// 4xx for requests at fault or in conflict with stored state; for all other
/// errors 503 if the request had no effect, 504 if its effect is unknown.
int httpStatusOf(const Error &Failure);

HttpReply jsonReply(int Status, const Json::Value &Body);
HttpReply errorReply(const Error &Failure);

} // namespace damaskglade::node

#endif
