#include "drivers/log/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace damaskglade::drivers {

namespace {

LogLevel parseLevel(const std::string &Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warning")
    return LogLevel::Warning;
  if (Name == "error")
    return LogLevel::Error;
  return LogLevel::Info;
}

void appendField(std::string &Line, const char *Name,
                 const std::string &Value) {
  if (Value.empty())
    return;
  Line += ' ';
  Line += Name;
  Line += '=';
  // A line break would let one event look like two.
  for (const char Letter : Value)
    Line += Letter == '\n' || Letter == '\r' ? ' ' : Letter;
}

class EasyEventLog : public EventLog {
public:
  EasyEventLog(const std::string &Node, const std::string &Zone,
               LogLevel Minimum)
      : Minimum_(Minimum) {
    appendField(Prefix_, "node", Node);
    appendField(Prefix_, "zone", Zone);
    el::Configurations Defaults;
    Defaults.setToDefault();
    Defaults.setGlobally(el::ConfigurationType::ToFile, "false");
    Defaults.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    Defaults.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level%msg");
    el::Loggers::reconfigureAllLoggers(Defaults);
  }

  void write(const LogEvent &Event) override {
    if (Event.Level_ < Minimum_)
      return;
    std::string Line = Prefix_;
    appendField(Line, "request", Event.Request_);
    appendField(Line, "step", Event.Step_);
    appendField(Line, "peer", Event.Peer_);
    appendField(Line, "event", Event.Message_);
    switch (Event.Level_) {
    case LogLevel::Debug:
      LOG(DEBUG) << Line;
      break;
    case LogLevel::Info:
      LOG(INFO) << Line;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << Line;
      break;
    case LogLevel::Error:
      LOG(ERROR) << Line;
      break;
    }
  }

private:
  const LogLevel Minimum_;
  std::string Prefix_;
};

} // namespace

std::unique_ptr<EventLog> makeEventLog(const std::string &Node,
                                       const std::string &Zone,
                                       const std::string &Level) {
  return std::make_unique<EasyEventLog>(Node, Zone, parseLevel(Level));
}

} // namespace damaskglade::drivers
