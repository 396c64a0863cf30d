#include "review/stand_ins_2/worker.h"

#include "core/codec.h"

#include <algorithm>
#include <utility>

namespace damaskglade::review {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int WrongWorker = 421;
constexpr int Unhealthy = 503;
// holdMaxMs, heartbeatMs and a stop time below stopMs.
constexpr std::int64_t MaxLease = 10000;
constexpr Millis Heartbeat{1500};
constexpr Millis StopTime{100};
constexpr Millis ExpiryPeriod{20};
constexpr std::size_t MaxListedEnds = 500;
constexpr std::int64_t MemoryMib = 65536;

} // namespace

std::string encodeTraits(const TaskTraits &Traits) {
  Json::Value Out;
  Out["ms"] = Json::Int64(Traits.Length_.Value_);
  Out["cpu"] = Json::Int64(Traits.MilliCpus_);
  Out["label"] = Traits.Label_;
  Out["fails"] = Traits.FailsFirst_;
  return writeJson(Out);
}

TaskTraits decodeTraits(const std::string &Spec) {
  const auto Parsed = parseJson(Spec, "stand-in spec");
  TaskTraits Traits;
  if (!Parsed)
    return Traits;
  Traits.Length_ = Millis{Parsed.value()["ms"].asInt64()};
  Traits.MilliCpus_ = Parsed.value()["cpu"].asInt64();
  Traits.Label_ = Parsed.value()["label"].asString();
  Traits.FailsFirst_ = Parsed.value()["fails"].asBool();
  return Traits;
}

Worker::Worker(boost::asio::io_context &Loop, Store &Registry, Ledger &Log,
               std::string Id, int Port, std::string Zone, HostKind Kind)
    : Loop_(Loop), Registry_(Registry), Log_(Log), Id_(std::move(Id)),
      Address_("127.0.0.1:" + std::to_string(Port)), Zone_(std::move(Zone)),
      Kind_(std::move(Kind)),
      Server_(Loop, Port, [this](const Request &Call, const Replier &Answer) {
        handle(Call, Answer);
      }) {
  boot();
}

std::int64_t Worker::clock() const {
  constexpr std::int64_t ClockAtBoot = 1000;
  return (Clock_.monotonic() - BootedAt_).Value_ + ClockAtBoot;
}

void Worker::boot() {
  ++Boot_;
  Up_ = true;
  BootedAt_ = Clock_.monotonic();
  Born_ = std::max(Clock_.wall(), Born_ + Millis{1});
  Sequence_ = 0;
  Fence_ = 0;
  LeaseEnd_ = 0;
  LastEnd_ = 0;
  LastSeen_ = 0;
  Highest_.clear();
  Ends_.clear();
  Waiting_.clear();
  Log_.write("worker " + Id_ + " boots, boot=" + std::to_string(Boot_) +
             " label=" + Kind_.Label_ +
             " milli_cpus=" + std::to_string(Kind_.MilliCpus_));
  beat(Boot_);
  expire(Boot_);
}

void Worker::loseRuns() {
  Up_ = false;
  for (const auto &[Task, Each] : Runs_)
    Log_.endRun(*Each.Record_, "lost");
  Runs_.clear();
  Waiting_.clear();
  ++Boot_; // Timers of this boot do nothing any more.
}

void Worker::loseHost() {
  Log_.write("worker " + Id_ + " loses power");
  Server_.loseHost();
  loseRuns();
}

void Worker::restoreHost() {
  Server_.restoreHost();
  boot();
}

void Worker::stop() {
  Log_.write("worker " + Id_ + " ends, its connections are reset");
  Server_.stop();
  loseRuns();
}

void Worker::restart(HostKind Kind) {
  Kind_ = std::move(Kind);
  Server_.listen();
  boot();
}

void Worker::setHealthy(bool Healthy) {
  Log_.write("worker " + Id_ +
             (Healthy ? " is healthy again" : " rejects all starts"));
  Healthy_ = Healthy;
}

bool Worker::runs(const std::string &Job) const {
  return std::any_of(Runs_.begin(), Runs_.end(), [&](const auto &Each) {
    return Each.first.find(Job) == 0;
  });
}

void Worker::breakGang(const std::string &Job) {
  std::vector<std::pair<std::string, std::int64_t>> Broken;
  for (const auto &[Task, Each] : Runs_)
    if (Task.find(Job) == 0)
      Broken.emplace_back(Task, Each.Attempt_);
  for (const auto &[Task, Attempt] : Broken)
    endRun(Task, Attempt, "broken");
}

void Worker::writeEntry() {
  Json::Value Entry;
  Entry["service"] = "depot-desk";
  Entry["addr"] = Address_;
  Entry["zone"] = Zone_;
  Entry["version"] = "v1";
  Entry["slots"] = 8;
  Entry["state"] = "ready";
  Entry["coldLeftMs"] = 0;
  Entry["capacity"]["cpu"] = Json::Int64(Kind_.MilliCpus_);
  Entry["capacity"]["memMb"] = Json::Int64(MemoryMib);
  Entry["capacity"]["gpu"] = 0;
  Entry["labels"].append(Kind_.Label_);
  Entry["labels"].append("r1");
  Entry["born"] = Json::Int64(Born_.Value_);
  Entry["clockMs"] = Json::Int64(clock());
  Entry["seq"] = Json::Int64(++Sequence_);
  Registry_.put("servers", Id_, Entry);
  RegisteredAt_ = Log_.now();
}

void Worker::beat(int Boot) {
  if (Boot != Boot_)
    return;
  writeEntry();
  after(Loop_, Heartbeat, [this, Boot] { beat(Boot); });
}

void Worker::expire(int Boot) {
  if (Boot != Boot_)
    return;
  if (!Runs_.empty() && clock() > LeaseEnd_) {
    ++Lapses_;
    std::vector<std::pair<std::string, std::int64_t>> Lapsed;
    for (const auto &[Task, Each] : Runs_)
      Lapsed.emplace_back(Task, Each.Attempt_);
    for (const auto &[Task, Attempt] : Lapsed)
      endRun(Task, Attempt, "lapsed");
  }
  after(Loop_, ExpiryPeriod, [this, Boot] { expire(Boot); });
}

Json::Value Worker::stamp() const {
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  Out["born"] = Json::Int64(Born_.Value_);
  return Out;
}

Reply Worker::refuse(const char *Reason) const {
  Json::Value Out = stamp();
  Out["reason"] = Reason;
  return Reply{Conflict, writeJson(Out)};
}

void Worker::handle(const Request &Call, const Replier &Answer) {
  const auto Intended = Call.Headers_.find("expected-instance");
  if (Intended != Call.Headers_.end() && Intended->second != Id_)
    return Answer(Reply{WrongWorker, writeJson(stamp())});
  const auto Parsed = parseJson(Call.Body_, "stand-in worker");
  if (!Parsed)
    return Answer(Reply{BadRequest, writeJson(stamp())});
  const Json::Value &Body = Parsed.value();
  const std::int64_t Fence = Body.get("fencingToken", 0).asInt64();
  if (Fence < Fence_)
    return Answer(refuse("fence"));
  Fence_ = Fence;
  if (Call.Target_ == "/api/run-start")
    return Answer(start(Body));
  if (Call.Target_ == "/api/run-stop")
    return Answer(stopRun(Body));
  if (Call.Target_ == "/api/hold")
    return hold(Body, Answer);
  if (Call.Target_ == "/api/pace")
    return Answer(Reply{Ok, writeJson(stamp())});
  Answer(Reply{NotFound, writeJson(stamp())});
}

void Worker::extend(const Json::Value &Body) {
  if (Body.isMember("deadlineMs"))
    LeaseEnd_ = std::max(
        LeaseEnd_, std::min(Body["deadlineMs"].asInt64(), clock() + MaxLease));
}

Reply Worker::start(const Json::Value &Body) {
  const std::string Task = Body["task"].asString();
  const std::int64_t Attempt = Body["attempt"].asInt64();
  if (!Healthy_) {
    Log_.write("worker " + Id_ + " rejects the start of task " + Task);
    return Reply{Unhealthy, writeJson(stamp())};
  }
  if (Body["deadlineMs"].asInt64() <= clock())
    return refuse("late");
  extend(Body);
  const auto Known = Runs_.find(Task);
  if (Known != Runs_.end())
    return Known->second.Attempt_ == Attempt ? Reply{Ok, writeJson(stamp())}
                                             : refuse("old");
  const auto Highest = Highest_.find(Task);
  if (Highest != Highest_.end() && Attempt <= Highest->second)
    return refuse("old");
  Running New;
  New.Attempt_ = Attempt;
  New.Traits_ = decodeTraits(Body["spec"].asString());
  RunRecord Record;
  Record.Task_ = Task;
  Record.Worker_ = Id_;
  Record.Boot_ = Boot_;
  Record.Attempt_ = Attempt;
  New.Record_ = &Log_.addRun(Record);
  Runs_[Task] = New;
  std::int64_t Used = 0;
  for (const auto &[Name, Each] : Runs_)
    Used += Each.Traits_.MilliCpus_;
  const std::string Where = "task=" + Task + " worker=" + Id_ +
                            " boot=" + std::to_string(Boot_) +
                            " label=" + Kind_.Label_;
  if (Used > Kind_.MilliCpus_)
    Misplaced_.push_back(
        "over the capacity, milli_cpus=" + std::to_string(Used) + " of " +
        std::to_string(Kind_.MilliCpus_) + ": " + Where);
  if (!New.Traits_.Label_.empty() && New.Traits_.Label_ != Kind_.Label_)
    Misplaced_.push_back("without the label " + New.Traits_.Label_ + ": " +
                         Where);
  const bool Fails = New.Traits_.FailsFirst_ && FailedOnce_.insert(Task).second;
  after(Loop_, New.Traits_.Length_, [this, Task, Attempt, Fails, Boot = Boot_] {
    if (Boot == Boot_)
      endRun(Task, Attempt, Fails ? "failed" : "done");
  });
  return Reply{Ok, writeJson(stamp())};
}

Reply Worker::stopRun(const Json::Value &Body) {
  const std::string Task = Body["task"].asString();
  const std::int64_t Attempt = Body["attempt"].asInt64();
  const auto Known = Runs_.find(Task);
  if (Known != Runs_.end() && Known->second.Attempt_ <= Attempt)
    after(Loop_, StopTime,
          [this, Task, Run = Known->second.Attempt_, Boot = Boot_] {
            if (Boot == Boot_)
              endRun(Task, Run, "stopped");
          });
  else
    Highest_[Task] = std::max(Highest_[Task], Attempt);
  return Reply{Ok, writeJson(stamp())};
}

void Worker::endRun(const std::string &Task, std::int64_t Attempt,
                    const std::string &How) {
  const auto Known = Runs_.find(Task);
  if (Known == Runs_.end() || Known->second.Attempt_ != Attempt)
    return;
  Log_.endRun(*Known->second.Record_, How);
  Ends_.push_back(
      End{++LastEnd_, Task, Attempt, Known->second.Record_, Lapses_});
  Runs_.erase(Known);
  Highest_[Task] = std::max(Highest_[Task], Attempt);
  for (const auto &[Number, Answer] : std::exchange(Waiting_, {}))
    Answer(Reply{Ok, writeJson(lists())});
}

Json::Value Worker::lists() const {
  Json::Value Out = stamp();
  Out["running"] = Json::arrayValue;
  Out["finished"] = Json::arrayValue;
  for (const auto &[Task, Each] : Runs_) {
    constexpr std::int64_t Whole = 100;
    const Millis Elapsed = Log_.now() - Each.Record_->StartedAt_;
    const std::int64_t Length =
        std::max<std::int64_t>(Each.Traits_.Length_.Value_, 1);
    Json::Value Row(Json::arrayValue);
    Row.append(Task);
    Row.append(Json::Int64(Each.Attempt_));
    Row.append("");
    Row.append(Json::Int64(std::min(Whole, Elapsed.Value_ * Whole / Length)));
    Row.append(0);
    Out["running"].append(Row);
  }
  for (const End &Each : Ends_) {
    if (Out["finished"].size() == MaxListedEnds)
      break;
    Json::Value Row(Json::arrayValue);
    Row.append(Json::Int64(Each.Number_));
    Row.append(Each.Task_);
    Row.append(Json::Int64(Each.Attempt_));
    Row.append(Each.Record_->How_);
    Row.append("");
    Out["finished"].append(Row);
  }
  return Out;
}

void Worker::hold(const Json::Value &Body, const Replier &Answer) {
  extend(Body);
  const std::int64_t Seen = Body.get("lastSeen", 0).asInt64();
  if (Seen > LastSeen_)
    Log_.write("worker " + Id_ + " boot=" + std::to_string(Boot_) +
               " is told lastSeen=" + std::to_string(Seen) +
               ", its last end is " + std::to_string(LastEnd_));
  LastSeen_ = std::max(LastSeen_, Seen);
  Ends_.remove_if([&](const End &Each) {
    if (Each.Number_ > Seen)
      return false;
    if (Each.Lapses_ == Lapses_ && clock() <= LeaseEnd_)
      Log_.noteEnd(*Each.Record_);
    return true;
  });
  const Millis Wait{Body.get("waitMs", 0).asInt64()};
  if (!Ends_.empty() || Wait == Millis{})
    return Answer(Reply{Ok, writeJson(lists())});
  LongPollAt_ = Log_.now();
  const int Number = ++LastWaiting_;
  Waiting_.emplace_back(Number, Answer);
  after(Loop_, Wait, [this, Number] {
    const auto Open =
        std::find_if(Waiting_.begin(), Waiting_.end(),
                     [&](const auto &Each) { return Each.first == Number; });
    if (Open == Waiting_.end())
      return;
    const Replier Late = Open->second;
    Waiting_.erase(Open);
    Late(Reply{Ok, writeJson(lists())});
  });
}

} // namespace damaskglade::review
