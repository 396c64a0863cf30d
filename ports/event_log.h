#ifndef DAMASKGLADE_PORTS_EVENT_LOG_H
#define DAMASKGLADE_PORTS_EVENT_LOG_H

#include "core/error.h"

#include <string>

namespace damaskglade {

enum class LogLevel { Debug, Info, Warning, Error };

/// One event. Empty fields are left out of the line.
struct LogEvent {
  LogLevel Level_ = LogLevel::Info;
  std::string Message_;
  std::string Request_; ///< Job or request id.
  std::string Step_;
  std::string Peer_;

  friend bool operator==(const LogEvent &, const LogEvent &) = default;
};

/// Writes events, one per line. Thread-safe.
class EventLog {
public:
  virtual ~EventLog() = default;
  virtual void write(const LogEvent &Event) = 0;
};

/// Discards everything; for tests.
class NullEventLog : public EventLog {
public:
  void write(const LogEvent &) override {}
};

/// Makes a warning event from an error.
inline LogEvent failureEvent(const Error &Failure, const std::string &Request) {
  return LogEvent{LogLevel::Warning,
                  std::string(reasonName(Failure.Reason_)) + ": " +
                      Failure.Message_,
                  Request, Failure.Step_, Failure.Peer_};
}

} // namespace damaskglade

#endif
