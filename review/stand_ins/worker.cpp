#include "review/stand_ins/worker.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <thread>

namespace damaskglade::review {

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int OtherBoot = 421;
constexpr std::int64_t MaxLeaseMs = 10000;
constexpr std::int64_t StopMs = 150;
constexpr std::int64_t HeartbeatMs = 1500;
constexpr std::int64_t TickMs = 2;
constexpr std::size_t MaxListedEnds = 500;
constexpr std::int64_t WholeRun = 100;
// A task with a longer time is one that lasts.
constexpr std::int64_t LastingMs = 100000;
constexpr std::int64_t StartupMs = 400;

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

void TaskHistory::started(const std::string &Worker, const std::string &Task,
                          std::int64_t Attempt) {
  Log_.write(Worker + " starts " + Task +
             " attempt=" + std::to_string(Attempt));
  const std::lock_guard<std::mutex> Guard(Lock_);
  Runs_[Task].push_back(Run{Worker, Attempt, nowMs(), -1, "", false});
}

void TaskHistory::ended(const std::string &Worker, const std::string &Task,
                        std::int64_t Attempt, const std::string &How) {
  Log_.write(Worker + " ends " + Task + " attempt=" + std::to_string(Attempt) +
             " how=" + How);
  const std::lock_guard<std::mutex> Guard(Lock_);
  for (Run &Each : Runs_[Task])
    if (Each.Worker_ == Worker && Each.Attempt_ == Attempt &&
        Each.EndedAt_ < 0) {
      Each.EndedAt_ = nowMs();
      Each.How_ = How;
    }
}

void TaskHistory::noted(const std::string &Worker, const std::string &Task,
                        std::int64_t Attempt) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  for (Run &Each : Runs_[Task])
    if (Each.Worker_ == Worker && Each.Attempt_ == Attempt)
      Each.Noted_ = true;
}

std::vector<std::pair<std::string, TaskHistory::Run *>>
TaskHistory::runsOf(const std::string &Job) {
  std::vector<std::pair<std::string, Run *>> Found;
  for (auto &[Task, Runs] : Runs_)
    if (Task.compare(0, Job.size(), Job) == 0)
      for (Run &Each : Runs)
        Found.emplace_back(Task, &Each);
  return Found;
}

int TaskHistory::starts(const std::string &Job) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  return static_cast<int>(runsOf(Job).size());
}

int TaskHistory::doneTasks(const std::string &Job) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  std::set<std::string> Done;
  for (const auto &[Task, Each] : runsOf(Job))
    if (Each->How_ == "done")
      Done.insert(Task);
  return static_cast<int>(Done.size());
}

std::int64_t TaskHistory::firstStart(const std::string &Job) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  std::int64_t First = 0;
  for (const auto &[Task, Each] : runsOf(Job))
    First = First == 0 ? Each->StartedAt_ : std::min(First, Each->StartedAt_);
  return First;
}

int TaskHistory::failedEnds(const std::string &Job) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  int Count = 0;
  for (const auto &[Task, Each] : runsOf(Job))
    Count += Each->How_ == "failed" ? 1 : 0;
  return Count;
}

int TaskHistory::running(const std::string &Job) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  int Count = 0;
  for (const auto &[Task, Each] : runsOf(Job))
    Count += Each->EndedAt_ < 0 ? 1 : 0;
  return Count;
}

std::int64_t TaskHistory::idleSince(const std::string &Job) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  std::int64_t Since = 0;
  for (const auto &[Task, Each] : runsOf(Job))
    Since = std::max(Since, Each->EndedAt_ < 0 ? nowMs() : Each->EndedAt_);
  return Since;
}

std::vector<std::string> TaskHistory::twice() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  std::vector<std::string> Found;
  for (const auto &[Task, Runs] : Runs_)
    for (std::size_t Later = 1; Later < Runs.size(); ++Later)
      for (std::size_t Earlier = 0; Earlier < Later; ++Earlier) {
        const Run &First = Runs[Earlier];
        const Run &Second = Runs[Later];
        const std::string Both =
            Task + " attempt=" + std::to_string(First.Attempt_) + " on " +
            First.Worker_ + " and attempt=" + std::to_string(Second.Attempt_) +
            " on " + Second.Worker_ + " at " +
            std::to_string(Second.StartedAt_) + " ms";
        const bool Ended =
            First.EndedAt_ >= 0 && First.EndedAt_ <= Second.StartedAt_;
        if (!Ended)
          Found.push_back("TWICE, both at a time: " + Both);
        else if (First.How_ == "done" && First.Noted_)
          Found.push_back("TWICE, again after it was done: " + Both);
      }
  return Found;
}

Worker::Worker(Store &Platform, TaskHistory &History, Record &Log,
               std::string Id, std::string Label)
    : Platform_(Platform), History_(History), Log_(Log), Id_(std::move(Id)),
      Label_(std::move(Label)), BootedAt_(nowMs()), Born_(wallMs()),
      Server_([this](const HttpRequest &Request) { return handle(Request); }) {}

void Worker::join() {
  std::thread([this] {
    for (;;) {
      beat();
      sleepMs(HeartbeatMs);
    }
  }).detach();
  std::thread([this] { runTasks(); }).detach();
}

Json::Value Worker::entry() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  Json::Value Entry;
  Entry["service"] = "desk";
  Entry["addr"] = Server_.address();
  Entry["zone"] = "z0";
  Entry["version"] = "1";
  Entry["slots"] = 8;
  Entry["state"] = "ready";
  Entry["coldLeftMs"] = 0;
  Entry["seq"] = Json::Int64(++Sequence_);
  Entry["capacity"]["cpu"] = 16000;
  Entry["capacity"]["memMb"] = 65536;
  Entry["capacity"]["gpu"] = 0;
  Entry["labels"].append(Label_);
  Entry["labels"].append("r0-0");
  Entry["born"] = Json::Int64(Born_);
  return Entry;
}

void Worker::beat() {
  {
    const std::lock_guard<std::mutex> Guard(Lock_);
    if (!Up_)
      return;
  }
  Platform_.put("servers", Id_, writeText(entry()));
  BeatAt_ = nowMs();
}

void Worker::losePower(std::int64_t DownMs) {
  Server_.powerOff();
  {
    const std::lock_guard<std::mutex> Guard(Lock_);
    Log_.write(Id_ +
               " loses power, running=" + std::to_string(Running_.size()));
    Up_ = false;
    for (const auto &[Task, Each] : Running_)
      History_.ended(Id_, Task, Each.Attempt_, "lost with the worker");
    Running_.clear();
    Ends_.clear();
    Highest_.clear();
    Fence_ = 0;
    LeaseEnd_ = 0;
    LastEnd_ = 0;
    Sequence_ = 0;
  }
  sleepMs(DownMs);
  {
    const std::lock_guard<std::mutex> Guard(Lock_);
    BootedAt_ = nowMs();
    Born_ = wallMs();
    ++Boots_;
    Up_ = true;
  }
  Server_.powerOn();
  Log_.write(Id_ + " is back under its id and at its address, born=" +
             std::to_string(Born_));
  beat();
}

std::size_t Worker::unseenEnds() {
  const std::lock_guard<std::mutex> Guard(Lock_);
  return Ends_.size();
}

void Worker::runTasks() {
  for (;;) {
    sleepMs(TickMs);
    const std::lock_guard<std::mutex> Guard(Lock_);
    std::vector<std::pair<std::string, std::string>> Due;
    for (const auto &[Task, Each] : Running_) {
      if (clock() > LeaseEnd_)
        Due.emplace_back(Task, "lapsed");
      else if (nowMs() >= Each.EndsAt_)
        Due.emplace_back(Task, Each.Stopping_ ? "stopped" : "done");
    }
    for (const auto &[Task, How] : Due)
      end(Task, How);
  }
}

void Worker::end(const std::string &Task, const std::string &How) {
  const std::int64_t Attempt = Running_.at(Task).Attempt_;
  Running_.erase(Task);
  Highest_[Task] = std::max(Highest_[Task], Attempt);
  Ends_.push_back(End{++LastEnd_, Task, Attempt, How});
  History_.ended(Id_, Task, Attempt, How);
  Ended_.notify_all();
}

void Worker::extend(const Json::Value &Body) {
  if (Body.isMember("deadlineMs"))
    LeaseEnd_ = std::max(LeaseEnd_, std::min(Body["deadlineMs"].asInt64(),
                                             clock() + MaxLeaseMs));
}

HttpReply Worker::refuse(const char *Reason) const {
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  Out["reason"] = Reason;
  return HttpReply{Conflict, writeText(Out)};
}

void Worker::delayNext(const std::string &Job, std::int64_t OrderMs,
                       std::int64_t ReplyMs) {
  const std::lock_guard<std::mutex> Guard(Lock_);
  LateJob_ = Job;
  LateOrderMs_ = OrderMs;
  LateReplyMs_ = ReplyMs;
}

// Each connection has a thread of its own, so calls and replies on different
// connections overtake each other.
std::optional<HttpReply> Worker::handle(const HttpRequest &Request) {
  std::int64_t OrderMs = 0;
  {
    const std::lock_guard<std::mutex> Guard(Lock_);
    if (!LateJob_.empty() && Request.Target_ == "/api/run-start" &&
        Request.Body_.find(LateJob_) != std::string::npos) {
      LateJob_.clear();
      OrderIsLate_ = true;
      OrderMs = LateOrderMs_;
    }
  }
  if (OrderMs > 0) {
    Log_.write(Id_ + ": an order is " + std::to_string(OrderMs) + " ms late");
    sleepMs(OrderMs);
    const std::lock_guard<std::mutex> Guard(Lock_);
    OrderIsLate_ = false;
  }
  auto Reply = carryOut(Request);
  std::int64_t ReplyMs = 0;
  {
    const std::lock_guard<std::mutex> Guard(Lock_);
    if (OrderIsLate_ && Request.Target_ == "/api/hold" &&
        Request.Body_.find("waitMs") == std::string::npos)
      ReplyMs = LateReplyMs_;
  }
  if (ReplyMs > 0) {
    Log_.write(Id_ + ": the reply to a poll is " + std::to_string(ReplyMs) +
               " ms late");
    sleepMs(ReplyMs);
  }
  return Reply;
}

std::optional<HttpReply> Worker::carryOut(const HttpRequest &Request) {
  std::unique_lock<std::mutex> Guard(Lock_);
  if (!Up_)
    return std::nullopt;
  const auto Intended = Request.Headers_.find("expected-instance");
  if (Intended != Request.Headers_.end() && Intended->second != Id_)
    return HttpReply{OtherBoot, "{}"};
  const Json::Value Body = readText(Request.Body_);
  if (!Body.isObject())
    return HttpReply{BadRequest, "{}"};
  const std::int64_t Fence = Body.get("fencingToken", 0).asInt64();
  if (Fence < Fence_)
    return refuse("fence");
  Fence_ = Fence;
  if (Request.Target_ == "/api/run-start")
    return start(Body);
  if (Request.Target_ == "/api/run-stop")
    return stop(Body);
  if (Request.Target_ != "/api/hold")
    return HttpReply{NotFound, "{}"};
  extend(Body);
  const std::int64_t LastSeen = Body.get("lastSeen", 0).asInt64();
  const std::int64_t Until = nowMs() + Body.get("waitMs", 0).asInt64();
  if (Body.get("waitMs", 0).asInt64() > 0)
    LongPollAt_ = nowMs();
  std::erase_if(Ends_, [&](const End &Each) {
    if (Each.Number_ <= LastSeen)
      History_.noted(Id_, Each.Task_, Each.Attempt_);
    return Each.Number_ <= LastSeen;
  });
  const std::int64_t Boot = Boots_;
  while (Ends_.empty() && nowMs() < Until && Boot == Boots_ && Up_)
    Ended_.wait_for(Guard, std::chrono::milliseconds(Until - nowMs()));
  if (Boot != Boots_ || !Up_)
    return std::nullopt;
  return lists();
}

HttpReply Worker::lists() {
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  Out["born"] = Json::Int64(Born_);
  Out["running"] = Json::arrayValue;
  Out["finished"] = Json::arrayValue;
  for (const auto &[Task, Each] : Running_) {
    // A task that lasts is at work after a short startup.
    const std::int64_t Length =
        Each.EndsAt_ - Each.StartedAt_ >= LastingMs
            ? StartupMs
            : std::max<std::int64_t>(Each.EndsAt_ - Each.StartedAt_, 1);
    Json::Value Row(Json::arrayValue);
    Row.append(Task);
    Row.append(Json::Int64(Each.Attempt_));
    Row.append("");
    Row.append(Json::Int64(
        std::min(WholeRun, (nowMs() - Each.StartedAt_) * WholeRun / Length)));
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
    Row.append(Each.How_);
    Row.append("");
    Out["finished"].append(Row);
  }
  return HttpReply{Ok, writeText(Out)};
}

HttpReply Worker::start(const Json::Value &Body) {
  const std::string Task = Body["task"].asString();
  const std::int64_t Attempt = Body["attempt"].asInt64();
  extend(Body);
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  const auto Known = Running_.find(Task);
  if (Known != Running_.end())
    return Known->second.Attempt_ == Attempt ? HttpReply{Ok, writeText(Out)}
                                             : refuse("old");
  const auto Highest = Highest_.find(Task);
  if (Highest != Highest_.end() && Attempt <= Highest->second)
    return refuse("old");
  if (Body["deadlineMs"].asInt64() <= clock())
    return refuse("late");
  Run New;
  New.Attempt_ = Attempt;
  New.StartedAt_ = nowMs();
  New.EndsAt_ = nowMs() + std::atoll(Body["spec"].asString().c_str());
  Running_[Task] = New;
  History_.started(Id_, Task, Attempt);
  return HttpReply{Ok, writeText(Out)};
}

HttpReply Worker::stop(const Json::Value &Body) {
  const std::string Task = Body["task"].asString();
  const std::int64_t Attempt = Body["attempt"].asInt64();
  Log_.write(Id_ + " is told to stop " + Task +
             " attempt=" + std::to_string(Attempt));
  const auto Known = Running_.find(Task);
  if (Known != Running_.end() && Known->second.Attempt_ <= Attempt) {
    Known->second.Stopping_ = true;
    Known->second.EndsAt_ = std::min(Known->second.EndsAt_, nowMs() + StopMs);
  } else {
    Highest_[Task] = std::max(Highest_[Task], Attempt);
  }
  Json::Value Out;
  Out["clockMs"] = Json::Int64(clock());
  return HttpReply{Ok, writeText(Out)};
}

} // namespace damaskglade::review
