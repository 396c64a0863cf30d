#include "cell/worker_rows.h"

#include "core/codec.h"

namespace damaskglade::cell {

namespace {

// A row with more runs than this does not list them.
constexpr std::size_t MaxListedRuns = 200;

} // namespace

// The store read its clock after the request was sent.
Millis latestStoreTime(const StoreClockReading &Reading, Millis LocalTime) {
  return Reading.StoreClock_ + (LocalTime - Reading.SentAt_);
}

// The store read its clock before the reply arrived.
Millis latestLocalTime(const StoreClockReading &Reading, Millis StoreTime) {
  return Reading.ReceivedAt_ + (StoreTime - Reading.StoreClock_);
}

std::string encodeWorkerRow(const WorkerRow &Row) {
  Json::Value Value;
  Value["a"] = Row.Info_.Address_;
  Value["s"] = Row.Info_.Service_;
  if (Row.Info_.ProcessStart_ != 0)
    Value["born"] = Json::Int64(Row.Info_.ProcessStart_);
  if (Row.Closed_) {
    Value["closed_in"] = Json::Int64(Row.ClosedInEpoch_);
    Value["expiry"] = Json::Int64(Row.Closed_->Expiry_.Value_);
    if (Row.Closed_->RunsKnown_ && Row.Closed_->Runs_.size() <= MaxListedRuns) {
      Value["runs"] = Json::arrayValue;
      for (const std::string &Task : Row.Closed_->Runs_)
        Value["runs"].append(Task);
    }
  }
  return writeJson(Value);
}

Result<WorkerRow> decodeWorkerRow(const StoredRow &Row) try {
  BOOST_OUTCOME_TRY(Value, parseJson(Row.Value_, "decode worker row"));
  WorkerRow Decoded;
  Decoded.Info_.Id_ = Row.Name_.Key_;
  Decoded.Info_.Address_ = Value["a"].asString();
  Decoded.Info_.Service_ = Value["s"].asString();
  // Leaders of earlier releases do not store it.
  Decoded.Info_.ProcessStart_ = Value.get("born", 0).asInt64();
  if (!Value.isMember("closed_in"))
    return Decoded;
  Decoded.ClosedInEpoch_ = Value["closed_in"].asInt64();
  dispatch::ClosedLeases Leases;
  Leases.Expiry_ = Millis{Value["expiry"].asInt64()};
  Leases.RunsKnown_ = Value.isMember("runs");
  for (const Json::Value &Task : Value["runs"])
    Leases.Runs_.push_back(Task.asString());
  Decoded.Closed_ = std::move(Leases);
  return Decoded;
} catch (const Json::Exception &Failure) {
  return invalidField("decode worker row", Row.Name_.Key_, Failure.what());
}

std::string encodeResignation(const Resignation &Record) {
  Json::Value Value;
  Value["epoch"] = Json::Int64(Record.Epoch_);
  Value["expiry"] = Json::Int64(Record.LeaseExpiry_.Value_);
  Value["waiting"] = Json::objectValue;
  for (const dispatch::TaskRange &Range : Record.Waiting_)
    for (const int Number : {Range.Step_, Range.First_, Range.Last_})
      Value["waiting"][Range.Job_].append(Number);
  return writeJson(Value);
}

Result<Resignation> decodeResignation(const StoredRow &Row) try {
  BOOST_OUTCOME_TRY(Value, parseJson(Row.Value_, "decode resignation"));
  Resignation Record;
  Record.Epoch_ = Value["epoch"].asInt64();
  Record.LeaseExpiry_ = Millis{Value["expiry"].asInt64()};
  const Json::Value &Waiting = Value["waiting"];
  constexpr Json::ArrayIndex NumbersPerRange = 3;
  for (const std::string &Job : Waiting.getMemberNames())
    for (Json::ArrayIndex I = 0; I + NumbersPerRange <= Waiting[Job].size();
         I += NumbersPerRange)
      Record.Waiting_.push_back(dispatch::TaskRange{
          Job, Waiting[Job][I].asInt(), Waiting[Job][I + 1].asInt(),
          Waiting[Job][I + 2].asInt()});
  return Record;
} catch (const Json::Exception &Failure) {
  return invalidField("decode resignation", Row.Name_.Key_, Failure.what());
}

} // namespace damaskglade::cell
