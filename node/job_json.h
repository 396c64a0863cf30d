#ifndef DAMASKGLADE_NODE_JOB_JSON_H
#define DAMASKGLADE_NODE_JOB_JSON_H

#include "core/job.h"
#include "node/owned_shard.h"
#include "ports/http.h"

#include <json/value.h>

namespace damaskglade::node {

/// A job as callers see it.
Json::Value describeJob(const JobRecord &Record);
Json::Value describeWorker(const WorkerStatus &Worker);

/// HTTP status for a refusal: 4xx if the caller must change something, 5xx if
/// a later try may succeed, 504 if the outcome is unknown.
int httpStatusOf(const Error &Failure);

HttpReply jsonReply(int Status, const Json::Value &Body);
HttpReply errorReply(const Error &Failure);

} // namespace damaskglade::node

#endif
