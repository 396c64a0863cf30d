#ifndef DAMASKGLADE_CORE_CODEC_H
#define DAMASKGLADE_CORE_CODEC_H

#include "core/error.h"
#include "core/job.h"
#include "core/worker.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace damaskglade {

/// Parses a JSON object. Errors: invalid_field with the parser's message.
Result<Json::Value> parseJson(const std::string &Text, const std::string &Step);

/// Bounds of a JSON text, checked before it is parsed.
struct JsonLimits {
  std::size_t Depth_ = 0;
  std::size_t Values_ = 0;

  friend bool operator==(const JsonLimits &, const JsonLimits &) = default;
};

/// True if no bound is exceeded. The text need not be valid.
bool isWithin(const JsonLimits &Limits, const std::string &Text);

/// JSON on one line, without a trailing newline.
std::string writeJson(const Json::Value &Value);

/// Error about a field of a caller's input; nothing was run.
Error invalidField(const std::string &Step, const std::string &Field,
                   const std::string &Problem);

/// Decodes a submission. Errors: invalid_field naming an unknown, missing,
/// mistyped or out-of-range field in Peer_.
Result<JobSpec> decodeJobSpec(const Json::Value &Value);
Json::Value encodeJobSpec(const JobSpec &Spec);

Json::Value encodeResources(const Resources &Value);
Result<Resources> decodeResources(const Json::Value &Value,
                                  const std::string &Field);

Json::Value encodeAnswer(const Answer &Value);
Answer decodeAnswer(const Json::Value &Value);

/// The table row of a job; Version_ is not part of the body.
std::string encodeJobRecord(const JobRecord &Record);
Result<JobRecord> decodeJobRecord(const std::string &Body,
                                  std::int64_t Version);

Json::Value encodeError(const Error &Failure);
Error decodeError(const Json::Value &Value);

Json::Value encodeStartRequest(const StartRequest &Request);
Result<StartRequest> decodeStartRequest(const Json::Value &Value);
Json::Value encodeLeaseRequest(const LeaseRequest &Request);
LeaseRequest decodeLeaseRequest(const Json::Value &Value);
Json::Value encodeLeaseReply(const LeaseReply &Reply);
Result<LeaseReply> decodeLeaseReply(const Json::Value &Value);
Json::Value encodeAttemptReport(const AttemptReport &Report);
Result<AttemptReport> decodeAttemptReport(const Json::Value &Value);
Json::Value encodeAttempt(const Attempt &Value);
Attempt decodeAttempt(const Json::Value &Value);

std::string_view taskControlName(TaskControl Value);

} // namespace damaskglade

#endif
