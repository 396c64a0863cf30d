#include "node/config_api.h"

#include "core/codec.h"
#include "node/job_json.h"

#include <charconv>
#include <optional>

namespace damaskglade::node {

namespace {

constexpr int HttpOk = 200;
constexpr Millis PushTimeout{8000};
constexpr Millis ReadTimeout{2000};
constexpr std::size_t HistoryLength = 50;

Json::Value int64Value(std::int64_t Value) {
  return Json::Value(static_cast<Json::Int64>(Value));
}

Json::Value describeVersion(const config::VersionInfo &Info) {
  Json::Value Description;
  Description["version"] = int64Value(Info.Version_);
  Description["hash"] = Info.Hash_;
  Description["previous"] = int64Value(Info.Previous_);
  Description["pushed_ms"] = int64Value(Info.Pushed_.Value_);
  return Description;
}

Result<std::int64_t> readNumber(const HttpRequest &Request,
                                const std::string &Name) {
  const auto Found = Request.Query_.find(Name);
  std::int64_t Value = -1;
  if (Found != Request.Query_.end()) {
    const std::string &Text = Found->second;
    const auto [End, Code] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    if (Code != std::errc{} || End != Text.data() + Text.size())
      Value = -1;
  }
  if (Value < 0)
    return invalidField("push configuration", Name, "must be a version number");
  return Value;
}

} // namespace

HttpReply ConfigApi::refusalReply(const Error &Failure) {
  Ports_.Metrics_.countRefusal(Failure.Reason_);
  return errorReply(Failure);
}

HttpReply ConfigApi::handle(const HttpRequest &Request,
                            const std::string &SubPath) {
  if (SubPath.empty() && Request.Method_ == "GET")
    return showCurrent();
  if (SubPath.empty() && Request.Method_ == "PUT")
    return push(Request);
  if (SubPath == "/history" && Request.Method_ == "GET")
    return history();
  if (SubPath == "/rollback" && Request.Method_ == "POST")
    return rollback(Request);
  return refusalReply(Error{Reason::NotFound, Effect::None, "route request",
                            Request.Path_, "no such path or method"});
}

HttpReply ConfigApi::showCurrent() {
  const config::VersionInForce Version = Follower_.inForce();
  Json::Value Reply;
  Reply["version"] = int64Value(Version.Version_);
  Reply["hash"] = Version.Hash_;
  Reply["known"] = Follower_.current() != nullptr;
  Reply["text"] = Follower_.body(Version.Hash_).value_or("");
  if (!Follower_.problem().empty())
    Reply["problem"] = Follower_.problem();
  return jsonReply(HttpOk, Reply);
}

HttpReply ConfigApi::history() {
  const auto Versions = Versions_.history(HistoryLength, ReadTimeout);
  if (!Versions)
    return refusalReply(Versions.error());
  Json::Value Reply;
  Reply["versions"] = Json::Value(Json::arrayValue);
  for (const config::VersionInfo &Info : Versions.value())
    Reply["versions"].append(describeVersion(Info));
  return jsonReply(HttpOk, Reply);
}

HttpReply ConfigApi::push(const HttpRequest &Request) {
  const auto BasedOn = readNumber(Request, "based_on");
  if (!BasedOn)
    return refusalReply(BasedOn.error());
  return pushReply(Versions_.push(Request.Body_, BasedOn.value(), PushTimeout));
}

HttpReply ConfigApi::rollback(const HttpRequest &Request) {
  const auto Version = readNumber(Request, "version");
  if (!Version)
    return refusalReply(Version.error());
  const auto BasedOn = readNumber(Request, "based_on");
  if (!BasedOn)
    return refusalReply(BasedOn.error());
  return pushReply(
      Versions_.rollback(Version.value(), BasedOn.value(), PushTimeout));
}

HttpReply ConfigApi::pushReply(const Result<config::VersionInfo> &NewVersion) {
  if (!NewVersion) {
    Ports_.Log_.write(failureEvent(NewVersion.error(), ""));
    return refusalReply(NewVersion.error());
  }
  Follower_.offer(NewVersion.value().Version_, NewVersion.value().Hash_);
  Ports_.Log_.write(LogEvent{LogLevel::Info,
                             "configuration version " +
                                 std::to_string(NewVersion.value().Version_) +
                                 " accepted",
                             "", "push configuration", ""});
  return jsonReply(HttpOk, describeVersion(NewVersion.value()));
}

} // namespace damaskglade::node
