#include "tests/process/run_record.h"

#include "core/codec.h"

namespace damaskglade::process_tests {

namespace {

Resources sizeOf(const Json::Value &Value) {
  const auto Size = decodeResources(Value, "size");
  return Size ? Size.value() : Resources{};
}

/// The same for the job's part of an attempt id.
std::string callersAttempt(const std::string &Attempt) {
  const std::size_t Dot = Attempt.find('.');
  return Dot == std::string::npos
             ? Attempt
             : callersJob(Attempt.substr(0, Dot)) + Attempt.substr(Dot);
}

} // namespace

std::string callersJob(const std::string &Job) {
  constexpr std::size_t IdSize = 32;
  const bool Prefixed = Job.rfind("lookup-", 0) == 0 && Job.size() > IdSize;
  return Prefixed ? Job.substr(Job.size() - IdSize) : Job;
}

WorkerLog decodeWorkerLog(const Json::Value &Value) {
  WorkerLog Log;
  Log.Worker_ = Value["worker"].asString();
  Log.Capacity_ = sizeOf(Value["capacity"]);
  for (const Json::Value &Entry : Value["events"])
    Log.Entries_.push_back(
        LogEntry{Millis{Entry["t_ms"].asInt64()},
                 callersAttempt(Entry["attempt"].asString()),
                 callersJob(Entry["job"].asString()), Entry["event"].asString(),
                 Entry["epoch"].asInt64(), Entry.get("detail", "").asString(),
                 sizeOf(Entry["size"])});
  return Log;
}

} // namespace damaskglade::process_tests
