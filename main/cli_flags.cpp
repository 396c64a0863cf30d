#include "main/cli_flags.h"

#include "config/values.h"
#include "core/codec.h"

#include <gflags/gflags.h>

DEFINE_string(server, "127.0.0.1:7000",
              "nodes as ip:port, separated by commas; the next one is tried if "
              "a connection is refused");
DEFINE_string(output, "table", "output format: table or json");
DEFINE_int64(timeout_ms, 10000, "time to wait for an answer, in ms");
DEFINE_string(team, "", "team that the job belongs to");
DEFINE_string(key, "", "idempotency key; submissions of one key are one job");
DEFINE_string(class, "", "lookup, request, batch, gang or service");
DEFINE_string(urgency, "normal", "urgent, normal or low");
DEFINE_int64(milli_cpus, 100, "thousandths of a core for each task");
DEFINE_int64(memory_mib, 64, "memory for each task, in MiB");
DEFINE_int64(accelerators, 0, "accelerators for each task");
DEFINE_int64(slots, 1, "slots for each task");
DEFINE_int64(connections, 1, "connections for each task");
DEFINE_int64(tasks, 1, "number of tasks, for class gang and service");
DEFINE_int64(run_ms, 1000, "expected run time of a task, in ms");
DEFINE_int64(deadline_ms, 0, "deadline after submission, in ms; 0 for none");
DEFINE_bool(non_idempotent, false, "the job must not run more than once");
DEFINE_string(payload, "", "text that is passed to the worker");
DEFINE_bool(wait, false, "wait for the end of the job");
DEFINE_int64(based_on, -1,
             "configuration version that the push is based on; 0 if none");

namespace damaskglade::cli {

namespace {

std::string defaultText(const gflags::CommandLineFlagInfo &Info) {
  return Info.default_value.empty() ? "" : "; default " + Info.default_value;
}

// Sets one flag. Argument is without its dashes. Uses the next argument as the
// value if the flag takes one and has none; returns whether it did.
bool setFlag(const std::string &Argument, const std::string *Next,
             ParsedLine &Line) {
  const auto Equals = Argument.find('=');
  const std::string Name = Argument.substr(0, Equals);
  gflags::CommandLineFlagInfo Info;
  // The flags of gflags itself, such as --flagfile, are not offered.
  if (!gflags::GetCommandLineFlagInfo(Name.c_str(), &Info) ||
      Info.filename != __FILE__) {
    Line.Problem_ = "unknown flag --" + Name;
    return false;
  }
  bool UsesNext = false;
  std::string Value;
  if (Equals != std::string::npos) {
    Value = Argument.substr(Equals + 1);
  } else if (Info.type == "bool") {
    Value = "true";
  } else if (Next != nullptr) {
    Value = *Next;
    UsesNext = true;
  } else {
    Line.Problem_ = "flag --" + Name + " needs a value";
    return false;
  }
  Line.Flags_.push_back(Name);
  if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
    Line.Problem_ =
        "flag --" + Name + ": \"" + Value + "\" is not of type " + Info.type;
  return UsesNext;
}

} // namespace

ParsedLine parseLine(const std::vector<std::string> &Arguments) {
  ParsedLine Line;
  for (std::size_t Index = 0; Index < Arguments.size() && Line.Problem_.empty();
       ++Index) {
    const std::string &Each = Arguments[Index];
    if (Each == "--help" || Each == "-h") {
      Line.Help_ = true;
    } else if (Each.starts_with("-") && Each != "-") {
      const std::string *Next =
          Index + 1 < Arguments.size() ? &Arguments[Index + 1] : nullptr;
      if (setFlag(Each.substr(Each.starts_with("--") ? 2 : 1), Next, Line))
        ++Index;
    } else {
      Line.Words_.push_back(Each);
    }
  }
  return Line;
}

std::string describeFlag(const std::string &Name) {
  gflags::CommandLineFlagInfo Info;
  if (!gflags::GetCommandLineFlagInfo(Name.c_str(), &Info))
    return "--" + Name;
  constexpr std::size_t Column = 18;
  std::string Text = "--" + Name;
  Text.resize(std::max(Column, Text.size() + 1), ' ');
  return Text + Info.description + defaultText(Info);
}

Result<std::vector<config::Endpoint>> serversFromFlags() {
  std::vector<config::Endpoint> Servers;
  for (const std::string &Part : config::splitList(FLAGS_server)) {
    const auto Server = config::parseEndpoint(Part);
    if (!Server)
      return invalidField("read flags", "server",
                          "must be a comma list of ip:port; \"" + Part +
                              "\" is not one");
    Servers.push_back(*Server);
  }
  if (Servers.empty())
    return invalidField("read flags", "server", "must name a node");
  return Servers;
}

Result<OutputFormat> outputFromFlags() {
  if (FLAGS_output == "table")
    return OutputFormat::Table;
  if (FLAGS_output == "json")
    return OutputFormat::Json;
  return invalidField("read flags", "output", "must be table or json");
}

Millis timeoutFromFlags() { return Millis{FLAGS_timeout_ms}; }

Result<JobSpec> jobFromFlags() {
  const auto Number = [](std::int64_t Value) {
    return Json::Value(static_cast<Json::Int64>(Value));
  };
  Json::Value Body;
  Body["team"] = FLAGS_team;
  Body["key"] = FLAGS_key;
  Body["class"] = FLAGS_class;
  Body["urgency"] = FLAGS_urgency;
  Body["size"]["milli_cpus"] = Number(FLAGS_milli_cpus);
  Body["size"]["memory_mib"] = Number(FLAGS_memory_mib);
  Body["size"]["accelerators"] = Number(FLAGS_accelerators);
  Body["size"]["slots"] = Number(FLAGS_slots);
  Body["size"]["connections"] = Number(FLAGS_connections);
  Body["tasks"] = Number(FLAGS_tasks);
  Body["run_ms"] = Number(FLAGS_run_ms);
  Body["deadline_ms"] = Number(FLAGS_deadline_ms);
  Body["idempotent"] = !FLAGS_non_idempotent;
  Body["payload"] = FLAGS_payload;
  return decodeJobSpec(Body);
}

bool waitFromFlags() { return FLAGS_wait; }

std::int64_t basedOnFromFlags() { return FLAGS_based_on; }

} // namespace damaskglade::cli
