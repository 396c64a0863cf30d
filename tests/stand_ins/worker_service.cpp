#include "tests/stand_ins/worker_service.h"

#include "core/codec.h"

#include <algorithm>
#include <optional>

namespace damaskglade::stand_ins {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpAccepted = 202;
constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpConflict = 409;
constexpr int HttpUnavailable = 503;
constexpr const char *TasksPath = "/v1/tasks";
// A throttled task runs at a quarter of its speed and processors.
constexpr std::int64_t ThrottleDivisor = 4;

HttpResponse reasonResponse(int Status, Reason Why) {
  Json::Value Body;
  Body["reason"] = std::string(reasonName(Why));
  return jsonResponse(Status, Body);
}

Resources scaled(const Resources &Size, double Factor) {
  Resources Out = Size;
  Out.MilliCpus_ =
      static_cast<std::int64_t>(static_cast<double>(Size.MilliCpus_) * Factor);
  Out.MemoryMib_ =
      static_cast<std::int64_t>(static_cast<double>(Size.MemoryMib_) * Factor);
  return Out;
}

std::int64_t int64Or(const Json::Value &Value, std::int64_t Default) {
  return Value.isNumeric() ? Value.asInt64() : Default;
}

bool flag(const Json::Value &Value) { return Value.isBool() && Value.asBool(); }

} // namespace

WorkerService::WorkerService(WorkerOptions Options, TimerQueue &Timers,
                             ReportSender Report)
    : Options_(std::move(Options)), Timers_(Timers),
      Report_(std::move(Report)) {}

HttpResponse WorkerService::handle(const HttpRequest &Request) {
  if (Request.Path_ == "/_fault")
    return setFaults(Request.Body_);
  if (Request.Path_ == "/_log")
    return dumpLog();
  constexpr Millis Step{50};
  Millis Delay;
  {
    const MutexLock Held(Mutex_);
    while (Faults_.Pause_)
      Changed_.waitFor(Mutex_, Step);
    Delay = Faults_.Delay_;
  }
  if (Delay > Millis{})
    sleepFor(Delay);
  // jsoncpp throws on members of an unexpected type.
  try {
    return route(Request);
  } catch (const std::exception &) {
    return reasonResponse(HttpBadRequest, Reason::InvalidField);
  }
}

HttpResponse WorkerService::route(const HttpRequest &Request) {
  const bool Post = Request.Method_ == "POST";
  const std::string Prefix = std::string(TasksPath) + "/";
  if (Post && Request.Path_ == TasksPath) {
    const auto Body = parseJson(Request.Body_, "start task");
    if (!Body)
      return reasonResponse(HttpBadRequest, Reason::InvalidField);
    const auto Start = decodeStartRequest(Body.value());
    return Start ? start(Start.value())
                 : reasonResponse(HttpBadRequest, Reason::InvalidField);
  }
  if (Post && Request.Path_ == "/v1/lease") {
    const auto Body = parseJson(Request.Body_, "renew leases");
    return Body ? renew(decodeLeaseRequest(Body.value()))
                : reasonResponse(HttpBadRequest, Reason::InvalidField);
  }
  if (Request.Path_.rfind(Prefix, 0) != 0)
    return reasonResponse(HttpNotFound, Reason::NotFound);
  const std::string Rest = Request.Path_.substr(Prefix.size());
  const std::size_t Slash = Rest.find('/');
  if (!Post)
    return state(Rest);
  if (Slash == std::string::npos)
    return reasonResponse(HttpNotFound, Reason::NotFound);
  return control(Rest.substr(0, Slash), Rest.substr(Slash + 1));
}

HttpResponse WorkerService::setFaults(const std::string &Body) {
  const auto Parsed = parseJson(Body, "set faults");
  if (!Parsed)
    return jsonResponse(HttpBadRequest, encodeError(Parsed.error()));
  const Json::Value &Value = Parsed.value();
  const MutexLock Held(Mutex_);
  Faults_ = WorkerFaults{};
  Faults_.FailStarts_ = flag(Value["fail_starts"]);
  Faults_.Pause_ = flag(Value["pause"]);
  Faults_.TruncateAnswers_ = flag(Value["truncate_answers"]);
  Faults_.Leaving_ = flag(Value["leaving"]);
  Faults_.Delay_ = Millis{int64Or(Value["delay_ms"], 0)};
  if (Value["outgrow_factor"].isNumeric())
    Faults_.OutgrowFactor_ = Value["outgrow_factor"].asDouble();
  Changed_.notifyAll();
  return jsonResponse(HttpOk, Json::objectValue);
}

Reason WorkerService::refusalOf(const StartRequest &Request) {
  if (Request.Epoch_ < HighestEpoch_)
    return Reason::StaleEpoch;
  HighestEpoch_ = Request.Epoch_;
  if (wall() > Request.StartBy_ || wall() >= Request.LeaseEnd_)
    return Reason::StartExpired;
  if (Faults_.Leaving_)
    return Reason::WorkerLeaving;
  if (Faults_.FailStarts_)
    return Reason::StartFailed;
  // Sizes that were reserved beyond the capacity are the owner's fault; usage
  // beyond the reserved size is not known to the owner at once.
  if (!fits(reserved() + Request.Size_, Options_.Capacity_)) {
    record(Request, "over_limit",
           std::string(
               firstShortage(reserved() + Request.Size_, Options_.Capacity_)));
    return Reason::WorkerFull;
  }
  if (!fits(largerOf(used(), reserved()) + Request.Size_, Options_.Capacity_))
    return Reason::WorkerFull;
  return Reason::None;
}

HttpResponse WorkerService::start(const StartRequest &Request) {
  const MutexLock Held(Mutex_);
  const auto Known = Tasks_.find(Request.Attempt_);
  if (Known == Tasks_.end()) {
    const Reason Why = refusalOf(Request);
    if (Why != Reason::None) {
      record(Request, "refused", std::string(reasonName(Why)));
      const bool Conflict =
          Why == Reason::StaleEpoch || Why == Reason::StartExpired;
      return reasonResponse(Conflict ? HttpConflict : HttpUnavailable, Why);
    }
    Task Started;
    Started.Request_ = Request;
    Started.Used_ = scaled(Request.Size_, Faults_.OutgrowFactor_);
    Started.LeaseEnd_ = Request.LeaseEnd_;
    Started.Left_ = Request.Run_;
    Started.Since_ = Clock_.monotonic();
    Tasks_.emplace(Request.Attempt_, std::move(Started));
    record(Request, "started");
    scheduleFinish(Request.Attempt_);
    scheduleLapse(Request.Attempt_);
  }
  if (Request.Wait_)
    return waitForAnswer(Request.Attempt_);
  const AttemptReport Report = reportOf(Tasks_.at(Request.Attempt_));
  return jsonResponse(Report.State_ == AttemptState::Finished ? HttpOk
                                                              : HttpAccepted,
                      encodeAttemptReport(Report));
}

HttpResponse WorkerService::waitForAnswer(const std::string &Attempt) {
  constexpr Millis Step{1000};
  const Task &Waited = Tasks_.at(Attempt);
  while (Waited.State_ == AttemptState::Running)
    Changed_.waitFor(Mutex_, Step);
  return jsonResponse(HttpOk, encodeAttemptReport(reportOf(Waited)));
}

HttpResponse WorkerService::renew(const LeaseRequest &Request) {
  const MutexLock Held(Mutex_);
  if (Request.Epoch_ < HighestEpoch_)
    return reasonResponse(HttpConflict, Reason::StaleEpoch);
  HighestEpoch_ = Request.Epoch_;
  for (const std::string &Attempt : Request.Acked_) {
    const auto Known = Tasks_.find(Attempt);
    if (Known != Tasks_.end() && Known->second.State_ == AttemptState::Finished)
      Known->second.Silent_ = true;
  }
  LeaseReply Reply;
  Reply.Worker_ = Options_.Id_;
  Reply.Capacity_ = Options_.Capacity_;
  Reply.Used_ = laggedUsage();
  Reply.Leaving_ = Faults_.Leaving_;
  for (auto &[Attempt, Known] : Tasks_) {
    if (Known.State_ == AttemptState::Finished) {
      // The reply to a waiting start carried the answer already.
      if (!Known.Silent_ && !Known.Request_.Wait_)
        Reply.Finished_.push_back(reportOf(Known));
      continue;
    }
    // A renewal that was delayed on its way must not shorten a lease.
    Known.LeaseEnd_ = std::max(Known.LeaseEnd_, Request.LeaseEnd_);
    if (Request.List_)
      Reply.Running_.push_back(
          RunningTask{Attempt, Known.Request_.Size_, Known.Checkpointed_});
  }
  return jsonResponse(HttpOk, encodeLeaseReply(Reply));
}

HttpResponse WorkerService::state(const std::string &Attempt) {
  const MutexLock Held(Mutex_);
  const auto Known = Tasks_.find(Attempt);
  return jsonResponse(
      HttpOk, encodeAttemptReport(
                  Known == Tasks_.end()
                      ? AttemptReport{Attempt, AttemptState::Unknown, Answer{}}
                      : reportOf(Known->second)));
}

HttpResponse WorkerService::control(const std::string &Attempt,
                                    const std::string &Action) {
  const MutexLock Held(Mutex_);
  const auto Known = Tasks_.find(Attempt);
  if (Known == Tasks_.end())
    return reasonResponse(HttpNotFound, Reason::NotFound);
  Task &Target = Known->second;
  if (Target.State_ == AttemptState::Running) {
    if (Action == "stop") {
      end(Target, "stopped", makeAnswer(false, "stopped"));
    } else if (Action == "checkpoint") {
      changeSpeed(Target, true, Target.Throttled_);
      record(Target.Request_, "checkpointed");
    } else if (Action == "throttle") {
      changeSpeed(Target, Target.Checkpointed_, true);
      record(Target.Request_, "throttled");
    } else if (Action == "resume") {
      if (Target.Checkpointed_ &&
          !fits(reserved() + Target.Request_.Size_, Options_.Capacity_)) {
        record(Target.Request_, "over_limit", "resume");
        return reasonResponse(HttpUnavailable, Reason::WorkerFull);
      }
      changeSpeed(Target, false, false);
      record(Target.Request_, "resumed");
    } else {
      return reasonResponse(HttpNotFound, Reason::NotFound);
    }
  }
  return jsonResponse(HttpOk, encodeAttemptReport(reportOf(Target)));
}

void WorkerService::record(const StartRequest &Request,
                           const std::string &Event,
                           const std::string &Detail) {
  Log_.push_back(WorkerEvent{wall(), Request.Attempt_, Request.Job_, Event,
                             Request.Epoch_, Detail, Request.Size_});
}

void WorkerService::end(Task &Ended, const std::string &Event, Answer Result) {
  Ended.State_ = AttemptState::Finished;
  Ended.Answer_ = std::move(Result);
  Ended.Silent_ = Event == "lapsed";
  record(Ended.Request_, Event);
  Changed_.notifyAll();
  const std::string &Url = Ended.Request_.ReportUrl_;
  if (Ended.Silent_ || Ended.Request_.Wait_ || Url.empty() || !Report_)
    return;
  Json::Value Body = encodeAttemptReport(reportOf(Ended));
  Body["worker"] = Options_.Id_;
  Report_(Url, writeJson(Body));
}

void WorkerService::scheduleFinish(const std::string &Attempt) {
  const Task &Timed = Tasks_.at(Attempt);
  if (Timed.Request_.Run_ == Millis{} || Timed.Checkpointed_)
    return;
  const Millis Left =
      Timed.Throttled_ ? Timed.Left_ * ThrottleDivisor : Timed.Left_;
  Timers_.runAfter(Left, [this, Attempt, Change = Timed.Change_] {
    const MutexLock Held(Mutex_);
    Task &Done = Tasks_.at(Attempt);
    if (Done.State_ != AttemptState::Running || Done.Change_ != Change)
      return;
    // A paused process runs its timers late; the lease may have ended first.
    if (wall() >= Done.LeaseEnd_) {
      end(Done, "lapsed", makeAnswer(false, "lapsed"));
      return;
    }
    const StartRequest &Request = Done.Request_;
    end(Done, "finished",
        makeAnswer(true, Request.Job_ + ":" + Request.Payload_));
  });
}

void WorkerService::scheduleLapse(const std::string &Attempt) {
  const Millis Left = Tasks_.at(Attempt).LeaseEnd_ - wall();
  Timers_.runAfter(std::max(Left, Millis{1}), [this, Attempt] {
    const MutexLock Held(Mutex_);
    Task &Leased = Tasks_.at(Attempt);
    if (Leased.State_ != AttemptState::Running)
      return;
    if (wall() >= Leased.LeaseEnd_)
      end(Leased, "lapsed", makeAnswer(false, "lapsed"));
    else
      scheduleLapse(Attempt);
  });
}

void WorkerService::changeSpeed(Task &Changed, bool Checkpointed,
                                bool Throttled) {
  const Millis Now = Clock_.monotonic();
  Millis Progress = Now - Changed.Since_;
  if (Changed.Checkpointed_)
    Progress = Millis{};
  else if (Changed.Throttled_)
    Progress = Progress / ThrottleDivisor;
  Changed.Left_ = std::max(Changed.Left_ - Progress, Millis{1});
  Changed.Since_ = Now;
  Changed.Checkpointed_ = Checkpointed;
  Changed.Throttled_ = Throttled;
  ++Changed.Change_;
  scheduleFinish(Changed.Request_.Attempt_);
}

Resources WorkerService::reserved() const {
  Resources Sum;
  for (const auto &[Attempt, Known] : Tasks_)
    if (Known.State_ == AttemptState::Running && !Known.Checkpointed_)
      Sum = Sum + Known.Request_.Size_;
  return Sum;
}

Resources WorkerService::used() const {
  Resources Sum;
  for (const auto &[Attempt, Known] : Tasks_) {
    if (Known.State_ != AttemptState::Running || Known.Checkpointed_)
      continue;
    Resources Part = Known.Used_;
    if (Known.Throttled_)
      Part.MilliCpus_ /= ThrottleDivisor;
    Sum = Sum + Part;
  }
  return Sum;
}

Resources WorkerService::laggedUsage() {
  const Millis Now = Clock_.monotonic();
  const Resources Reported = Usage_;
  if (Now - UsageTime_ >= Options_.UsageLag_) {
    Usage_ = used();
    UsageTime_ = Now;
  }
  return Reported;
}

AttemptReport WorkerService::reportOf(const Task &Of) const {
  Answer Reply = Of.Answer_;
  if (Faults_.TruncateAnswers_)
    Reply.Body_.resize(Reply.Body_.size() / 2);
  return AttemptReport{Of.Request_.Attempt_, Of.State_, Reply};
}

std::vector<WorkerEvent> WorkerService::log() {
  const MutexLock Held(Mutex_);
  return Log_;
}

HttpResponse WorkerService::dumpLog() {
  Json::Value Out;
  Out["worker"] = Options_.Id_;
  Out["capacity"] = encodeResources(Options_.Capacity_);
  Out["events"] = Json::arrayValue;
  for (const WorkerEvent &Event : log()) {
    Json::Value Entry;
    Entry["t_ms"] = static_cast<Json::Int64>(Event.Time_.Value_);
    Entry["attempt"] = Event.Attempt_;
    Entry["job"] = Event.Job_;
    Entry["event"] = Event.Event_;
    Entry["epoch"] = static_cast<Json::Int64>(Event.Epoch_);
    Entry["size"] = encodeResources(Event.Size_);
    if (!Event.Detail_.empty())
      Entry["detail"] = Event.Detail_;
    Out["events"].append(Entry);
  }
  return jsonResponse(HttpOk, Out);
}

} // namespace damaskglade::stand_ins
