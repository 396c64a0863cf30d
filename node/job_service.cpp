#include "node/job_service.h"

#include "core/codec.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

constexpr Millis ReadTimeout{2000};
constexpr Millis PeerTimeout{1500};
// Longest wait of one waitJob call; shorter than the connection's read timeout.
constexpr Millis WaitSlice{2000};
constexpr Millis RowPollInterval{250};

} // namespace

Result<SubmitResult> JobService::submit(const JobSpec &Spec) {
  if (Spec.Class_ != TaskClass::Lookup)
    return Home_.submit(Spec);
  BOOST_OUTCOME_TRY(Reply, Lookups_.run(Spec));
  JobRecord Record;
  Record.Id_ = jobIdFor(Spec);
  Record.Spec_ = Spec;
  Record.State_ = JobState::Finished;
  Record.Home_ = Self_.Id_;
  Record.Submitted_ = Ports_.Clock_.wall();
  Record.Answers_ = {Reply};
  return SubmitResult{Record, false};
}

Result<JobRecord> JobService::readRow(const std::string &Id) {
  BOOST_OUTCOME_TRY(Row, Store_.read(Id, ReadTimeout));
  if (!Row)
    return Error{Reason::NotFound, Effect::None, "find job", Id,
                 "no job has this id"};
  return *Row;
}

// Used while the table is unavailable: homes hold their jobs in memory.
Result<JobRecord> JobService::queryPeers(const std::string &Id) {
  for (const PeerState &Peer : Routes_.peers()) {
    const auto Reply = Ports_.Peers_.call(
        Peer.Address_, "jobStatus", encode(JobQuery{Id, {}}), PeerTimeout);
    if (Reply)
      return decodeJobReply(Reply.value());
  }
  return Error{Reason::TableUnavailable,
               Effect::Unknown,
               "find job",
               Id,
               "the table is unavailable and no peer is the home of the job",
               Millis{1000}};
}

Result<JobRecord> JobService::status(const std::string &Id) {
  if (const auto Local = Home_.find(Id))
    return *Local;
  auto Row = readRow(Id);
  if (Row || Row.error().Reason_ == Reason::NotFound)
    return Row;
  return queryPeers(Id);
}

Result<JobRecord> JobService::callHome(const JobRecord &Row,
                                       const std::string &Method,
                                       Millis Timeout) {
  const std::string Address = Routes_.addressOf(Row.Home_);
  if (Address.empty())
    return Error{Reason::NotFound, Effect::None, Method, Row.Home_,
                 "the address of the job home is unknown"};
  BOOST_OUTCOME_TRY(Reply,
                    Ports_.Peers_.call(Address, Method,
                                       encode(JobQuery{Row.Id_, Timeout}),
                                       Timeout + PeerTimeout));
  return decodeJobReply(Reply);
}

Result<JobRecord> JobService::wait(const std::string &Id, Millis Timeout) {
  const Millis Deadline = Ports_.Clock_.monotonic() + Timeout;
  for (;;) {
    const Millis Remaining = Deadline - Ports_.Clock_.monotonic();
    const Millis Slice = std::clamp(Remaining, Millis{}, WaitSlice);
    if (const auto Local = Home_.waitFinal(Id, Slice)) {
      if (isFinal(Local->State_) || Remaining <= WaitSlice)
        return *Local;
      continue;
    }
    auto Found = status(Id);
    if (!Found)
      return Found;
    if (isFinal(Found.value().State_) || Remaining <= Millis{})
      return Found;
    // While a failed home is being replaced, no node answers for its jobs.
    if (!callHome(Found.value(), "waitJob", Slice))
      sleepFor(std::min(RowPollInterval, Slice));
  }
}

Result<JobRecord> JobService::cancel(const std::string &Id) {
  auto Local = Home_.cancel(Id);
  if (Local || Local.error().Reason_ != Reason::NotFound)
    return Local;
  BOOST_OUTCOME_TRY(Row, status(Id));
  if (isFinal(Row.State_))
    return Row;
  return callHome(Row, "cancelJob", PeerTimeout);
}

Json::Value encode(const JobQuery &Query) {
  Json::Value Message;
  Message["id"] = Query.Id_;
  Message["timeout_ms"] = static_cast<Json::Int64>(Query.Timeout_.Value_);
  return Message;
}

Result<JobQuery> decodeJobQuery(const Json::Value &Value) {
  if (!Value.isObject() || !Value["id"].isString() ||
      !Value["timeout_ms"].isInt64())
    return invalidField("decode job query", "id", "is missing");
  return JobQuery{Value["id"].asString(),
                  Millis{Value["timeout_ms"].asInt64()}};
}

Json::Value encodeJobReply(const JobRecord &Record) {
  Json::Value Message;
  Message["record"] = encodeJobRecord(Record);
  Message["version"] = static_cast<Json::Int64>(Record.Version_);
  return Message;
}

Result<JobRecord> decodeJobReply(const Json::Value &Value) {
  if (!Value.isObject() || !Value["record"].isString())
    return invalidField("decode job reply", "record", "is missing");
  return decodeJobRecord(Value["record"].asString(),
                         Value["version"].asInt64());
}

} // namespace damaskglade::node
