#include "tests/process/run_record.h"

#include "core/codec.h"

namespace damaskglade::process_tests {

namespace {

Resources sizeOf(const Json::Value &Value) {
  const auto Size = decodeResources(Value, "size");
  return Size ? Size.value() : Resources{};
}

} // namespace

WorkerLog decodeWorkerLog(const Json::Value &Value) {
  WorkerLog Log;
  Log.Worker_ = Value["worker"].asString();
  Log.Capacity_ = sizeOf(Value["capacity"]);
  for (const Json::Value &Entry : Value["events"])
    Log.Entries_.push_back(
        LogEntry{Millis{Entry["t_ms"].asInt64()}, Entry["attempt"].asString(),
                 Entry["job"].asString(), Entry["event"].asString(),
                 Entry["epoch"].asInt64(), Entry.get("detail", "").asString(),
                 sizeOf(Entry["size"])});
  return Log;
}

} // namespace damaskglade::process_tests
