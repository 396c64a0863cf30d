// Callers of a soak run.

#include "core/codec.h"
#include "tests/soak/soak.h"

#include <cstdio>

namespace damaskglade::soak {

namespace {

constexpr Millis PollPeriod{700};
constexpr Millis CallTimeout{3000};

} // namespace

void Soak::call(const std::string &Method, const std::string &Id,
                const std::string &Body, WebReplyHandler Done) {
  const Node &Where = Nodes_[draw(Nodes_.size())];
  WebCall Call;
  Call.Address_ = local(Where.CallerPort_);
  Call.Method_ = Method;
  Call.Target_ = QueuePrefix + Id;
  Call.Headers_ = {{"Host", QueueHost},
                   {"Authorization", std::string("Bearer ") + StableKey},
                   {"Deadline-Ms", std::to_string(CallTimeout.Value_)}};
  Call.Body_ = Body;
  Call.Timeout_ = CallTimeout;
  Callers_->call(Call, std::move(Done));
}

void Soak::submitLater() {
  constexpr std::size_t MostGap = 200;
  Loop_.after(Millis{static_cast<std::int64_t>(draw(MostGap))}, [this] {
    if (TrafficOver_)
      return;
    submit();
    submitLater();
  });
}

void Soak::submit() {
  constexpr std::size_t IdBytes = 17;
  char Id[IdBytes];
  std::snprintf(Id, sizeof Id, "%08x%08x", Settings_.Seed_, ++Jobs_);
  CallerJob Job;
  Job.Payload_ = "payload " + std::to_string(draw(1000000));
  Job.MilliCpus_ = static_cast<std::int64_t>(500 + draw(2000));
  constexpr int LongRunningJobs = 6;
  Job.LongRunning_ = Jobs_ <= LongRunningJobs;
  Job.Deadly_ = !Job.LongRunning_ && Settings_.DeadlyShare_ > 0 &&
                !faultsOver() && draw(Settings_.DeadlyShare_) == 0;
  if (Job.Deadly_)
    Job.Payload_ = "deadly " + Job.Payload_;
  Json::Value Body;
  Body["spec"] = Job.Payload_;
  const std::size_t Steps = Job.LongRunning_ || Job.Deadly_ ? 1 : 1 + draw(3);
  for (std::size_t Number = 0; Number < Steps; ++Number) {
    Job.Widths_.push_back(Job.Deadly_ ? 1 : static_cast<int>(1 + draw(5)));
    Json::Value Step;
    Step["count"] = Job.Widths_.back();
    Step["cpu"] = Json::Int64(Job.MilliCpus_);
    Step["memMb"] = 100;
    Step["estimateMs"] = 500;
    if (Job.LongRunning_)
      Step["longRunning"] = true;
    if (Number > 0)
      Step["after"].append(Json::Int(Number - 1));
    Body["phases"].append(Step);
  }
  Watch_.jobSent(Id, Job);
  constexpr int Tries = 5;
  send(Id, writeJson(Body), Tries);
}

void Soak::send(const std::string &Id, const std::string &Body, int TriesLeft) {
  call("POST", Id, Body,
       [this, Id, Body, TriesLeft](const Result<WebReply> &Reply) {
         constexpr int Ok = 200;
         constexpr int TooMany = 429;
         constexpr int Unavailable = 503;
         if (Reply && Reply.value().Status_ == Ok) {
           Watch_.jobAccepted(Id);
           poll(Id);
           if (draw(8) == 0)
             Loop_.after(Millis{static_cast<std::int64_t>(draw(800))},
                         [this, Id] { cancel(Id); });
           return;
         }
         const bool Refused = Reply && (Reply.value().Status_ == TooMany ||
                                        Reply.value().Status_ == Unavailable);
         if (!Refused && (Reply || Reply.error().Effect_ != Effect::None))
           Watch_.jobUnclear(Id);
         constexpr Millis RetryAfter{400};
         if (TriesLeft > 1)
           Loop_.after(RetryAfter, [this, Id, Body, TriesLeft] {
             send(Id, Body, TriesLeft - 1);
           });
       });
}

void Soak::poll(const std::string &Id) {
  call("GET", Id, "", [this, Id](const Result<WebReply> &Reply) {
    constexpr int Ok = 200;
    constexpr int Gone = 410;
    if (Reply && Reply.value().Status_ == Gone)
      Watch_.jobShown(Id, "");
    if (Reply && Reply.value().Status_ == Ok) {
      const auto Body = parseJson(Reply.value().Body_, "decode state");
      const std::string State =
          Body ? Body.value()["state"].asString() : "unreadable";
      Watch_.jobShown(Id, State);
      if (State == "complete" || State == "cancelled" ||
          Watch_.jobs().at(Id).Failed_)
        return;
    }
    Loop_.after(PollPeriod, [this, Id] { poll(Id); });
  });
}

void Soak::cancel(const std::string &Id) {
  Watch_.cancelSent(Id);
  call("DELETE", Id, "", [this, Id](const Result<WebReply> &Reply) {
    constexpr int Ok = 200;
    constexpr int Gone = 410;
    if (Reply && (Reply.value().Status_ == Ok || Reply.value().Status_ == Gone))
      return Watch_.cancelAcked(Id);
    Loop_.after(PollPeriod, [this, Id] { cancel(Id); });
  });
}

} // namespace damaskglade::soak
