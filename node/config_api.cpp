#include "node/config_api.h"

#include "core/codec.h"
#include "node/job_json.h"

#include <charconv>
#include <optional>

namespace damaskglade::node {

namespace {

constexpr int Ok = 200;
constexpr Millis PushTimeout{8000};
constexpr Millis ReadTimeout{2000};
constexpr std::size_t HistoryLength = 50;

Json::Value int64Value(std::int64_t Value) {
  return Json::Value(static_cast<Json::Int64>(Value));
}

Json::Value describeVersion(const config::VersionInfo &Info) {
  Json::Value Out;
  Out["version"] = int64Value(Info.Version_);
  Out["hash"] = Info.Hash_;
  Out["previous"] = int64Value(Info.Previous_);
  Out["pushed_ms"] = int64Value(Info.Pushed_.Value_);
  return Out;
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

HttpReply ConfigApi::refuse(const Error &Failure) {
  Ports_.Metrics_.countRefusal(Failure.Reason_);
  return errorReply(Failure);
}

HttpReply ConfigApi::handle(const HttpRequest &Request,
                            const std::string &Rest) {
  if (Rest.empty() && Request.Method_ == "GET")
    return show();
  if (Rest.empty() && Request.Method_ == "PUT")
    return push(Request);
  if (Rest == "/history" && Request.Method_ == "GET")
    return history();
  if (Rest == "/rollback" && Request.Method_ == "POST")
    return rollback(Request);
  return refuse(Error{Reason::NotFound, Effect::None, "route request",
                      Request.Path_, "no such path or method"});
}

HttpReply ConfigApi::show() {
  const config::VersionInForce Version = Follower_.inForce();
  Json::Value Out;
  Out["version"] = int64Value(Version.Version_);
  Out["hash"] = Version.Hash_;
  Out["known"] = Follower_.current() != nullptr;
  Out["text"] = Follower_.body(Version.Hash_).value_or("");
  if (!Follower_.problem().empty())
    Out["problem"] = Follower_.problem();
  return jsonReply(Ok, Out);
}

HttpReply ConfigApi::history() {
  const auto Versions = Versions_.history(HistoryLength, ReadTimeout);
  if (!Versions)
    return refuse(Versions.error());
  Json::Value Out;
  Out["versions"] = Json::Value(Json::arrayValue);
  for (const config::VersionInfo &Info : Versions.value())
    Out["versions"].append(describeVersion(Info));
  return jsonReply(Ok, Out);
}

HttpReply ConfigApi::push(const HttpRequest &Request) {
  const auto BasedOn = readNumber(Request, "based_on");
  if (!BasedOn)
    return refuse(BasedOn.error());
  return pushed(Versions_.push(Request.Body_, BasedOn.value(), PushTimeout));
}

HttpReply ConfigApi::rollback(const HttpRequest &Request) {
  const auto Version = readNumber(Request, "version");
  if (!Version)
    return refuse(Version.error());
  const auto BasedOn = readNumber(Request, "based_on");
  if (!BasedOn)
    return refuse(BasedOn.error());
  return pushed(
      Versions_.rollback(Version.value(), BasedOn.value(), PushTimeout));
}

HttpReply ConfigApi::pushed(const Result<config::VersionInfo> &Done) {
  if (!Done) {
    Ports_.Log_.write(failureEvent(Done.error(), ""));
    return refuse(Done.error());
  }
  Follower_.offer(Done.value().Version_, Done.value().Hash_);
  Ports_.Log_.write(LogEvent{LogLevel::Info,
                             "configuration version " +
                                 std::to_string(Done.value().Version_) +
                                 " accepted",
                             "", "push configuration", ""});
  return jsonReply(Ok, describeVersion(Done.value()));
}

} // namespace damaskglade::node
