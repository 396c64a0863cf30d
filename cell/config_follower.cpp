#include "cell/config_follower.h"

namespace damaskglade::cell {

namespace {

constexpr Millis RetryDelay{200};
constexpr Millis FailureLogPeriod{1000};
constexpr double MillisPerSecond = 1000;
constexpr double BytesPerKib = 1024;

} // namespace

void ConfigFollower::start() {
  ConfirmedAt_ = now();
  request();
}

void ConfigFollower::reportAge() const {
  Ports_.Metrics_.gauge("config_age_seconds",
                        static_cast<double>((now() - ConfirmedAt_).Value_) /
                            MillisPerSecond);
}

void ConfigFollower::request() {
  Ports_.Source_.next(
      [this](const Result<ConfigRead> &Read) { handleRead(Read); });
}

void ConfigFollower::handleRead(const Result<ConfigRead> &Read) {
  if (!Read) {
    handleFailure(Read.error());
    return Ports_.Timers_.after(RetryDelay, [this] { request(); });
  }
  endFailures();
  ConfirmedAt_ = now();
  if (Read.value().HistoryLost_) {
    Ports_.Metrics_.count("config_history_lost");
    log(LogLevel::Info, "read again, history lost");
  }
  // A read after lost history may return what is already in force.
  const auto &Config = Read.value().Config_;
  if (Config && Config->Version_ > Version_) {
    Version_ = Config->Version_;
    Ports_.Metrics_.gauge("config_version", static_cast<double>(Version_));
    Ports_.Metrics_.observe("config_read_kib",
                            static_cast<double>(Config->Bytes_) / BytesPerKib);
    log(LogLevel::Info, "in force, version=" + std::to_string(Version_) +
                            " bytes=" + std::to_string(Config->Bytes_));
    Apply_(*Config);
  }
  Ports_.Timers_.after(Millis{}, [this] { request(); });
}

void ConfigFollower::handleFailure(const Error &Failure) {
  Ports_.Metrics_.countReason("config_read_failures", Failure.Reason_);
  if (Failures_++ == 0)
    FailingSince_ = now();
  else if (now() < FailureLoggedAt_ + FailureLogPeriod)
    return;
  FailureLoggedAt_ = now();
  log(LogLevel::Warning,
      "read failed, failures=" + std::to_string(Failures_) +
          " version=" + std::to_string(Version_) +
          " age_ms=" + std::to_string((now() - ConfirmedAt_).Value_) + ": " +
          describe(Failure));
}

void ConfigFollower::endFailures() {
  if (Failures_ == 0)
    return;
  log(LogLevel::Info,
      "read works again, failures=" + std::to_string(Failures_) +
          " failed_ms=" + std::to_string((now() - FailingSince_).Value_));
  Failures_ = 0;
}

void ConfigFollower::log(LogLevel Level, const std::string &Message) const {
  Ports_.Log_.write(LogEvent{Level, Message, "", "configuration", ""});
}

} // namespace damaskglade::cell
