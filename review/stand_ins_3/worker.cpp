#include "review/stand_ins_3/worker.h"

#include "core/codec.h"

#include <algorithm>
#include <cstdlib>

namespace damaskglade::review {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int Misdirected = 421;
constexpr Millis Heartbeat{1500};    // `heartbeatMs`
constexpr Millis LongestHold{10000}; // `holdMaxMs`
constexpr Millis StopTime{200};      // At most `stopMs`, 900.
constexpr Millis ExpiryPeriod{20};
constexpr Millis ClockStart{100000};
constexpr std::size_t ListedEnds = 500;

} // namespace

Worker::Worker(drivers::EventLoop &Loop, WorkerSettings Settings, Record Log)
    : Loop_(Loop), Settings_(std::move(Settings)), Log_(std::move(Log)),
      Http_(Loop.makeClient()), StartedAt_(Clock_.monotonic()),
      Born_(Clock_.wall()) {}

Status Worker::listen() {
  BOOST_OUTCOME_TRYV(
      Loop_.listen(Settings_.Address_, drivers::ListenerLimits{},
                   [this](const WebRequest &Request, const WebReplier &Reply) {
                     handle(Request, Reply);
                   }));
  Log_.write("is up, born=" + std::to_string(Born_.Value_));
  beat();
  expire();
  return success();
}

std::int64_t Worker::clock() const {
  return (Clock_.monotonic() - StartedAt_ + ClockStart).Value_;
}

void Worker::beat() {
  constexpr int MilliCpus = 16000;
  constexpr int MemoryMib = 65536;
  Json::Value Body;
  Body["table"] = "servers";
  Body["key"] = Settings_.Id_;
  Json::Value &Entry = Body["value"];
  Entry["service"] = "desk";
  Entry["addr"] = Settings_.Address_;
  Entry["zone"] = Settings_.Zone_;
  Entry["version"] = "v1";
  Entry["slots"] = 8;
  Entry["state"] = "ready";
  Entry["coldLeftMs"] = 0;
  Entry["capacity"]["cpu"] = MilliCpus;
  Entry["capacity"]["memMb"] = MemoryMib;
  Entry["capacity"]["gpu"] = 0;
  Entry["labels"].append("a");
  Entry["labels"].append("r1-1");
  Entry["clockMs"] = Json::Int64(clock());
  Entry["seq"] = Json::Int64(++Beats_);
  Entry["born"] = Json::Int64(Born_.Value_);
  WebCall Call;
  Call.Address_ = Settings_.Store_;
  Call.Method_ = "POST";
  Call.Target_ = "/stand-in/put";
  Call.Body_ = writeJson(Body);
  Http_->call(Call, [](const Result<WebReply> &) {});
  Loop_.after(Heartbeat, [this] { beat(); });
}

void Worker::expire() {
  if (!Running_.empty() && clock() > LeaseEnd_) {
    const std::map<std::string, Run> Lapsed = Running_;
    for (const auto &[Task, Each] : Lapsed)
      end(Task, Each.Attempt_, "lapsed");
  }
  Loop_.after(ExpiryPeriod, [this] { expire(); });
}

void Worker::extend(const Json::Value &Body) {
  if (Body.isMember("deadlineMs"))
    LeaseEnd_ = std::max(LeaseEnd_, std::min(Body["deadlineMs"].asInt64(),
                                             clock() + LongestHold.Value_));
}

WebReply Worker::accept() const {
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  return WebReply{Ok, writeJson(Out)};
}

WebReply Worker::reject(const char *Reason) const {
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  Out["reason"] = Reason;
  return WebReply{Conflict, writeJson(Out)};
}

void Worker::handle(const WebRequest &Request, const WebReplier &Reply) {
  const auto Intended = Request.Headers_.find("expected-instance");
  if (Intended != Request.Headers_.end() && Intended->second != Settings_.Id_)
    return Reply(WebReply{Misdirected, "{}"});
  const auto Parsed = parseJson(Request.Body_, "stand-in worker");
  if (!Parsed)
    return Reply(WebReply{BadRequest, "{}"});
  const Json::Value &Body = Parsed.value();
  const std::int64_t Fence = Body.get("fencingToken", 0).asInt64();
  if (Fence < Fence_)
    return Reply(reject("fence"));
  Fence_ = Fence;
  if (Request.Target_ == "/api/run-start")
    return Reply(start(Body));
  if (Request.Target_ == "/api/run-stop")
    return Reply(stop(Body));
  if (Request.Target_ == "/api/hold")
    return hold(Body, Reply);
  Reply(WebReply{NotFound, "{}"});
}

WebReply Worker::start(const Json::Value &Body) {
  const std::string Task = Body["task"].asString();
  const std::int64_t Attempt = Body["attempt"].asInt64();
  extend(Body);
  const auto Known = Running_.find(Task);
  if (Known != Running_.end())
    return Known->second.Attempt_ == Attempt ? accept() : reject("old");
  const auto Highest = Highest_.find(Task);
  if (Highest != Highest_.end() && Attempt <= Highest->second)
    return reject("old");
  if (Body["deadlineMs"].asInt64() <= clock())
    return reject("late");
  Run New;
  New.Attempt_ = Attempt;
  New.StartedAt_ = Clock_.monotonic();
  New.Length_ = Millis{std::max(std::atoll(Body["spec"].asCString()), 1LL)};
  Running_[Task] = New;
  Log_.write("start " + Task + " attempt=" + std::to_string(Attempt));
  Loop_.after(New.Length_,
              [this, Task, Attempt] { end(Task, Attempt, "done"); });
  return accept();
}

WebReply Worker::stop(const Json::Value &Body) {
  const std::string Task = Body["task"].asString();
  const std::int64_t Attempt = Body["attempt"].asInt64();
  const auto Known = Running_.find(Task);
  if (Known != Running_.end() && Known->second.Attempt_ <= Attempt)
    Loop_.after(StopTime, [this, Task, Running = Known->second.Attempt_] {
      end(Task, Running, "stopped");
    });
  Highest_[Task] = std::max(Highest_[Task], Attempt);
  Log_.write("stop " + Task + " attempt=" + std::to_string(Attempt));
  return accept();
}

void Worker::end(const std::string &Task, std::int64_t Attempt,
                 const std::string &How) {
  const auto Known = Running_.find(Task);
  if (Known == Running_.end() || Known->second.Attempt_ != Attempt)
    return;
  Running_.erase(Known);
  Highest_[Task] = std::max(Highest_[Task], Attempt);
  Ended_.push_back(End{++LastEnd_, Task, Attempt, How});
  Log_.write("end " + Task + " attempt=" + std::to_string(Attempt) + " " + How +
             " number=" + std::to_string(LastEnd_));
  for (const WebReplier &Each : std::exchange(Waiting_, {}))
    Each(lists());
}

WebReply Worker::lists() const {
  constexpr std::int64_t Whole = 100;
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  Out["born"] = Json::Int64(Born_.Value_);
  Out["running"] = Json::arrayValue;
  Out["finished"] = Json::arrayValue;
  for (const auto &[Task, Each] : Running_) {
    const Millis Elapsed = Clock_.monotonic() - Each.StartedAt_;
    Json::Value Row(Json::arrayValue);
    Row.append(Task);
    Row.append(Json::Int64(Each.Attempt_));
    Row.append("");
    Row.append(Json::Int64(
        std::min(Whole, Elapsed.Value_ * Whole / Each.Length_.Value_)));
    Row.append(0);
    Out["running"].append(Row);
  }
  for (const End &Each : Ended_) {
    if (Out["finished"].size() == ListedEnds)
      break;
    Json::Value Row(Json::arrayValue);
    Row.append(Json::Int64(Each.Number_));
    Row.append(Each.Task_);
    Row.append(Json::Int64(Each.Attempt_));
    Row.append(Each.How_);
    Row.append("");
    Out["finished"].append(Row);
  }
  return WebReply{Ok, writeJson(Out)};
}

void Worker::hold(const Json::Value &Body, const WebReplier &Reply) {
  extend(Body);
  const std::int64_t LastSeen = Body.get("lastSeen", 0).asInt64();
  std::erase_if(Ended_, [&](const End &Each) {
    if (Each.Number_ > LastSeen)
      return false;
    Log_.write("noted end number=" + std::to_string(Each.Number_));
    return true;
  });
  const Millis Wait{Body.get("waitMs", 0).asInt64()};
  if (!Ended_.empty() || Wait == Millis{})
    return Reply(lists());
  const auto Answered = std::make_shared<bool>(false);
  const WebReplier Once = [Answered, Reply](WebReply Answer) {
    if (!std::exchange(*Answered, true))
      Reply(std::move(Answer));
  };
  Waiting_.push_back(Once);
  Loop_.after(Wait, [this, Once] { Once(lists()); });
}

} // namespace damaskglade::review
