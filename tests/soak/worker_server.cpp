#include "tests/soak/worker_server.h"

#include "core/codec.h"
#include "ports/task_worker.h"

#include <algorithm>

namespace damaskglade::soak {

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int WrongWorker = 421;
constexpr Millis MostLease{10000};
constexpr Millis StopTime{150};
constexpr Millis ExpiryPeriod{50};
constexpr Millis DeadlyTime{10};
constexpr Millis GangCheckPeriod{50};
constexpr Millis GangTime{400};
constexpr Millis GangTimeout{5000};
constexpr Millis ClockStart{100000};
// One in so many tasks fails by its own fault.
constexpr unsigned FailingShare = 50;
// Milliseconds.
constexpr std::int64_t ShortestTask = 100;
constexpr std::int64_t LongestTask = 1000;
constexpr std::int64_t LeastDelay = 2000;
constexpr std::int64_t MostDelay = 5000;

} // namespace

WorkerServer::WorkerServer(drivers::EventLoop &Loop, const Clock &Time,
                           Observer &Watch, std::string Name,
                           std::int64_t Capacity, unsigned Seed)
    : Loop_(Loop), Time_(Time), Watch_(Watch), Name_(std::move(Name)),
      Id_(Name_), FullCapacity_(Capacity), Capacity_(Capacity),
      Limit_(Capacity), Random_(Seed), Born_(Time.wall()),
      StartedAt_(Time.monotonic()) {}

Status WorkerServer::listen(const std::string &Address) {
  expire();
  return Loop_.listen(
      Address, drivers::ListenerLimits{},
      [this](const WebRequest &Request, const WebReplier &Reply) {
        handle(Request, Reply);
      });
}

Millis WorkerServer::draw(std::int64_t From, std::int64_t To) {
  return Millis{std::uniform_int_distribution<std::int64_t>(From, To)(Random_)};
}

std::int64_t WorkerServer::clock() const {
  return (Time_.monotonic() - StartedAt_ + ClockStart).Value_;
}

void WorkerServer::crash() {
  for (const auto &[Task, Each] : Running_)
    Watch_.crashed(Id_, Task);
  Running_.clear();
  Ended_.clear();
  Highest_.clear();
  Fence_ = 0;
  LastEnd_ = 0;
  LeaseEnd_ = Millis{};
  Waiting_.clear();
  StartedAt_ = Time_.monotonic();
  Born_ = std::max(Time_.wall(), Born_ + Millis{1});
}

void WorkerServer::crashAndChangeId() {
  crash();
  Id_ = Name_ + "-" + std::to_string(++Processes_);
}

void WorkerServer::setCapacity(std::int64_t MilliCpus) {
  Capacity_ = MilliCpus;
  Limit_ = std::max(Limit_, MilliCpus);
  Loop_.after(ContactTime + Heartbeat, [this, Change = ++CapacityChanges_] {
    if (Change == CapacityChanges_)
      Limit_ = Capacity_;
  });
}

void WorkerServer::expire() {
  if (!Running_.empty() && clock() > LeaseEnd_.Value_) {
    std::vector<std::pair<std::string, std::int64_t>> Lapsed;
    for (const auto &[Task, Each] : Running_)
      Lapsed.emplace_back(Task, Each.Attempt_);
    for (const auto &[Task, Attempt] : Lapsed)
      end(Task, Attempt, "lapsed");
  }
  Loop_.after(ExpiryPeriod, [this] { expire(); });
}

void WorkerServer::extend(const Json::Value &Body) {
  if (!Body.isMember("deadlineMs"))
    return;
  const Millis Most{clock() + MostLease.Value_};
  const Millis Asked{Body["deadlineMs"].asInt64()};
  LeaseEnd_ = std::max(LeaseEnd_, std::min(Asked, Most));
}

WebReply WorkerServer::refuse(const char *Reason) const {
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  Out["reason"] = Reason;
  return WebReply{Conflict, writeJson(Out)};
}

void WorkerServer::handle(const WebRequest &Request, const WebReplier &Reply) {
  const auto Intended = Request.Headers_.find("expected-instance");
  if (Intended != Request.Headers_.end() && Intended->second != Id_)
    return Reply(WebReply{WrongWorker, "{}"});
  const auto Parsed = parseJson(Request.Body_, "stand-in worker");
  if (!Parsed)
    return Reply(WebReply{NotFound, "{}"});
  const Json::Value &Body = Parsed.value();
  if (LateOrders_ && Request.Target_ == "/api/run-start") {
    return Loop_.after(draw(LeastDelay, MostDelay), [this, Body, Id = Id_] {
      if (Id == Id_)
        (void)start(Body, true);
    });
  }
  const std::int64_t Fence = Body.get("fencingToken", 0).asInt64();
  if (Fence < Fence_)
    return Reply(refuse("fence"));
  if (Request.Target_ == "/api/run-start")
    return Reply(start(Body, false));
  Fence_ = Fence;
  if (Request.Target_ == "/api/run-stop")
    return Reply(stop(Body));
  if (Request.Target_ == "/api/hold")
    return hold(Body, Reply);
  Reply(WebReply{NotFound, "{}"});
}

WebReply WorkerServer::start(const Json::Value &Body, bool Late) {
  if (Body.get("fencingToken", 0).asInt64() < Fence_)
    return refuse("fence");
  Fence_ = Body["fencingToken"].asInt64();
  const std::string Task = Body["task"].asString();
  const std::int64_t Attempt = Body["attempt"].asInt64();
  const auto Known = Running_.find(Task);
  const auto Highest = Highest_.find(Task);
  extend(Body);
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  if (Known != Running_.end())
    return Known->second.Attempt_ == Attempt ? WebReply{Ok, writeJson(Out)}
                                             : refuse("old");
  if (Highest != Highest_.end() && Attempt <= Highest->second)
    return refuse("old");
  if (Body["deadlineMs"].asInt64() <= clock())
    return refuse("late");
  const auto Job = Watch_.jobs().find(Task.substr(0, Task.find('.')));
  Run New;
  New.Attempt_ = Attempt;
  New.MilliCpus_ = Job == Watch_.jobs().end() ? 0 : Job->second.MilliCpus_;
  New.MemoryMb_ = Job == Watch_.jobs().end() ? 0 : Job->second.MemoryMb_;
  New.StartedAt_ = Time_.monotonic();
  New.Length_ = draw(ShortestTask, LongestTask);
  Running_[Task] = New;
  Watch_.started(Id_, Task, Body["spec"].asString(), Late);
  std::int64_t Used = 0;
  std::int64_t UsedMemory = 0;
  int OfStep = 0;
  const std::string Step = Task.substr(0, Task.rfind('.') + 1);
  for (const auto &[Name, Each] : Running_) {
    Used += Each.MilliCpus_;
    UsedMemory += Each.MemoryMb_;
    OfStep += Name.rfind(Step, 0) == 0 ? 1 : 0;
  }
  Watch_.usedRoom(Id_, UsedMemory, WorkerMemoryMb);
  if (Job != Watch_.jobs().end())
    Watch_.tasksTogether(Id_, Task, OfStep);
  // A late order was placed before its worker shrank.
  Watch_.usedRoom(Id_, Used, Late ? FullCapacity_ : Limit_);
  if (Job != Watch_.jobs().end() && Job->second.Deadly_)
    Loop_.after(DeadlyTime, [this, Born = Born_] {
      if (Born == Born_)
        OnDeadlyTask_();
    });
  if (Job != Watch_.jobs().end() &&
      (Job->second.LongRunning_ || Job->second.Deadly_))
    return WebReply{Ok, writeJson(Out)};
  if (Job != Watch_.jobs().end() && Job->second.Gang_) {
    runGangMember(Task, Attempt);
    return WebReply{Ok, writeJson(Out)};
  }
  const bool Fails = Random_() % FailingShare == 0 && Attempt % 3 == 1;
  Loop_.after(New.Length_, [this, Task, Attempt, Fails, Born = Born_] {
    if (Born == Born_)
      end(Task, Attempt, Fails ? "failed" : "done");
  });
  return WebReply{Ok, writeJson(Out)};
}

// The members of a gang work only while all of them run, and end together.
void WorkerServer::runGangMember(const std::string &Task,
                                 std::int64_t Attempt) {
  Loop_.after(GangCheckPeriod, [this, Task, Attempt, Born = Born_] {
    const auto Known = Running_.find(Task);
    if (Born != Born_ || Known == Running_.end() ||
        Known->second.Attempt_ != Attempt)
      return;
    if (Watch_.isGangPresent(Task))
      return Loop_.after(GangTime, [this, Task, Attempt, Born] {
        if (Born == Born_)
          end(Task, Attempt, Watch_.isGangPresent(Task) ? "done" : "broken");
      });
    if (Time_.monotonic() > Known->second.StartedAt_ + GangTimeout)
      return end(Task, Attempt, "alone");
    runGangMember(Task, Attempt);
  });
}

WebReply WorkerServer::stop(const Json::Value &Body) {
  const std::string Task = Body["task"].asString();
  const std::int64_t Attempt = Body["attempt"].asInt64();
  const auto Known = Running_.find(Task);
  if (Known != Running_.end() && Known->second.Attempt_ <= Attempt)
    Loop_.after(StopTime,
                [this, Task, Running = Known->second.Attempt_, Born = Born_] {
                  if (Born == Born_)
                    end(Task, Running, "stopped");
                });
  Highest_[Task] = std::max(Highest_[Task], Attempt);
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  return WebReply{Ok, writeJson(Out)};
}

void WorkerServer::end(const std::string &Task, std::int64_t Attempt,
                       const std::string &How) {
  const auto Known = Running_.find(Task);
  if (Known == Running_.end() || Known->second.Attempt_ != Attempt)
    return;
  Running_.erase(Known);
  Highest_[Task] = std::max(Highest_[Task], Attempt);
  Ended_.push_back(End{++LastEnd_, Task, Attempt, How});
  if (How == "done")
    Watch_.done(Id_, Task);
  else
    Watch_.gone(Id_, Task);
  for (const WebReplier &Each : std::exchange(Waiting_, {}))
    Each(WebReply{Ok, writeJson(lists())});
}

Json::Value WorkerServer::lists() const {
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  Out["born"] = Json::Int64(Born_.Value_);
  Out["running"] = Json::arrayValue;
  Out["finished"] = Json::arrayValue;
  for (const auto &[Task, Each] : Running_) {
    constexpr std::int64_t Whole = 100;
    const Millis Elapsed = Time_.monotonic() - Each.StartedAt_;
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
    if (Out["finished"].size() == MaxListedEnds)
      break;
    Json::Value Row(Json::arrayValue);
    Row.append(Json::Int64(Each.Number_));
    Row.append(Each.Task_);
    Row.append(Json::Int64(Each.Attempt_));
    Row.append(Each.How_);
    Row.append("");
    Out["finished"].append(Row);
  }
  return Out;
}

void WorkerServer::hold(const Json::Value &Body, const WebReplier &Reply) {
  extend(Body);
  const std::int64_t Noted = Body.get("lastSeen", 0).asInt64();
  std::erase_if(Ended_, [&](const End &Each) {
    if (Each.Number_ > Noted)
      return false;
    if (Each.How_ == "done")
      Watch_.noted(Each.Task_);
    return true;
  });
  const Millis Wait{Body.get("waitMs", 0).asInt64()};
  if (!Ended_.empty() || Wait == Millis{})
    return Reply(WebReply{Ok, writeJson(lists())});
  // A reply that was sent meanwhile leaves nothing to do.
  const auto Answered = std::make_shared<bool>(false);
  const WebReplier Once = [Answered, Reply](WebReply Answer) {
    if (!std::exchange(*Answered, true))
      Reply(std::move(Answer));
  };
  Waiting_.push_back(Once);
  Loop_.after(Wait, [this, Once, Born = Born_] {
    if (Born == Born_)
      Once(WebReply{Ok, writeJson(lists())});
  });
}

} // namespace damaskglade::soak
