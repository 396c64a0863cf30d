// Callers of a soak run.

#include "core/codec.h"
#include "tests/soak/soak.h"

#include <csignal>
#include <cstdio>

namespace damaskglade::soak {

namespace {

constexpr Millis PollPeriod{700};
constexpr Millis CallTimeout{3000};

Json::Value encodeJob(const CallerJob &Job) {
  Json::Value Body;
  Body["spec"] = Job.Payload_;
  for (std::size_t Number = 0; Number < Job.Widths_.size(); ++Number) {
    Json::Value Step;
    Step["count"] = Job.Widths_[Number];
    Step["cpu"] = Json::Int64(Job.MilliCpus_);
    Step["memMb"] = Json::Int64(Job.MemoryMb_);
    Step["estimateMs"] = 500;
    if (Job.LongRunning_)
      Step["longRunning"] = true;
    if (Job.Gang_)
      Step["gang"] = true;
    if (Job.MaxPerWorker_ > 0)
      Step["antiAffinity"] = Job.MaxPerWorker_;
    for (const int Earlier : Job.Dependencies_[Number])
      Step["after"].append(Earlier);
    Body["phases"].append(Step);
  }
  return Body;
}

} // namespace

void Soak::call(const std::string &Method, const std::string &Id,
                const std::string &Body, WebReplyHandler Done) {
  callNode(Nodes_[draw(Nodes_.size())], Method, Id, Body, std::move(Done));
}

void Soak::callNode(const Node &Where, const std::string &Method,
                    const std::string &Id, const std::string &Body,
                    WebReplyHandler Done) {
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

std::string Soak::nextJobId() {
  constexpr std::size_t IdBytes = 17;
  char Id[IdBytes];
  std::snprintf(Id, sizeof Id, "%08x%08x", Settings_.Seed_, ++Jobs_);
  return Id;
}

// Gives some jobs a shape that few callers use.
void Soak::shapeJob(CallerJob &Job) {
  constexpr std::size_t OddShare = 8;
  constexpr std::size_t LeastSteps = 4;
  constexpr std::size_t MoreSteps = 4;
  constexpr std::size_t LeastTasks = 3;
  constexpr std::size_t MoreTasks = 8;
  constexpr std::int64_t MuchMemoryMb = 30000;
  const auto Draw = [this](std::size_t Below) {
    return ShapeRandom_() % Below;
  };
  enum class Shape { Deep, Dense, Gang, Apart, Large, HopelessGang, Count };
  if (Draw(OddShare) != 0)
    return;
  const auto Chosen =
      static_cast<Shape>(Draw(static_cast<std::size_t>(Shape::Count)));
  const std::size_t Steps = LeastSteps + Draw(MoreSteps);
  switch (Chosen) {
  case Shape::Deep:
    Job.Widths_.assign(Steps, 1);
    break;
  case Shape::Dense:
    Job.Widths_.assign(Steps, 2);
    break;
  default:
    Job.Widths_ = {static_cast<int>(LeastTasks + Draw(MoreTasks))};
  }
  Job.Dependencies_.assign(Job.Widths_.size(), {});
  for (int Step = 1; Step < static_cast<int>(Job.Widths_.size()); ++Step)
    for (int Earlier = Chosen == Shape::Deep ? Step - 1 : 0; Earlier < Step;
         ++Earlier)
      Job.Dependencies_[static_cast<std::size_t>(Step)].push_back(Earlier);
  Job.Gang_ = Chosen == Shape::Gang || Chosen == Shape::HopelessGang;
  if (Chosen == Shape::HopelessGang)
    Job.Widths_.front() = 1000;
  if (Chosen == Shape::Apart)
    Job.MaxPerWorker_ = 1;
  if (Chosen == Shape::Large)
    Job.MemoryMb_ = MuchMemoryMb;
}

CallerJob Soak::drawJob() {
  CallerJob Job;
  Job.Payload_ = "payload " + std::to_string(draw(1000000));
  Job.MilliCpus_ = static_cast<std::int64_t>(500 + draw(2000));
  Job.MemoryMb_ = 100;
  constexpr int LongRunningJobs = 6;
  Job.LongRunning_ = Jobs_ <= LongRunningJobs;
  Job.Deadly_ = !Job.LongRunning_ && Settings_.DeadlyShare_ > 0 &&
                !faultsOver() && draw(Settings_.DeadlyShare_) == 0;
  if (Job.Deadly_)
    Job.Payload_ = "deadly " + Job.Payload_;
  const std::size_t Steps = Job.LongRunning_ || Job.Deadly_ ? 1 : 1 + draw(3);
  for (std::size_t Number = 0; Number < Steps; ++Number) {
    Job.Widths_.push_back(Job.Deadly_ ? 1 : static_cast<int>(1 + draw(5)));
    Job.Dependencies_.emplace_back();
    if (Number > 0)
      Job.Dependencies_.back().push_back(static_cast<int>(Number) - 1);
  }
  if (!Job.LongRunning_ && !Job.Deadly_)
    shapeJob(Job);
  return Job;
}

void Soak::submit() {
  const std::string Id = nextJobId();
  const CallerJob Job = drawJob();
  Watch_.jobSent(Id, Job);
  constexpr int Tries = 5;
  send(Id, writeJson(encodeJob(Job)), Tries);
}

// A node is stopped before it has read a submission. Its caller gives up and
// cancels the job at the other nodes.
void Soak::submitLate(Node &Each) {
  constexpr Millis ShortestPause{1000};
  constexpr std::size_t MostMore = 3500;
  constexpr std::size_t LongestPatience = 800;
  const auto Draw = [this](std::size_t Below) {
    return Millis{static_cast<std::int64_t>(LateRandom_() % Below)};
  };
  const Millis Pause = ShortestPause + Draw(MostMore);
  const Millis Patience = Draw(LongestPatience);
  const std::string What = "late request " + Each.Name_;
  if (Each.Down_ || Each.Paused_ || Disturbances_[What] > 0)
    return;
  ++Disturbances_[What];
  report(What);
  Each.Paused_ = true;
  Each.Process_->signal(SIGSTOP);
  CallerJob Job;
  Job.Payload_ = "late";
  Job.MilliCpus_ = 500;
  Job.MemoryMb_ = 100;
  Job.LongRunning_ = true;
  Job.Widths_ = {2};
  Job.Dependencies_.emplace_back();
  const std::string Id = nextJobId();
  Watch_.jobSent(Id, Job);
  callNode(
      Each, "POST", Id, writeJson(encodeJob(Job)),
      [this, Id](const Result<WebReply> &Reply) { noteSubmission(Id, Reply); });
  Loop_.after(Patience, [this, Id] { cancel(Id); });
  Loop_.after(Pause, [this, &Each, What] {
    Each.Process_->signal(SIGCONT);
    Each.Paused_ = false;
    Configs_.excuse(Each.Name_, Time_.monotonic());
    Watch_.disturbed();
    --Disturbances_[What];
  });
}

void Soak::submitLateLater() {
  constexpr std::size_t MostGap = 6000;
  Loop_.after(Millis{static_cast<std::int64_t>(LateRandom_() % MostGap)},
              [this] {
                if (faultsOver())
                  return;
                submitLateLater();
                submitLate(Nodes_[LateRandom_() % Nodes_.size()]);
              });
}

bool Soak::noteSubmission(const std::string &Id,
                          const Result<WebReply> &Reply) {
  constexpr int Ok = 200;
  constexpr int TooMany = 429;
  constexpr int Unavailable = 503;
  if (Reply && Reply.value().Status_ == Ok) {
    Watch_.jobAccepted(Id);
    return true;
  }
  const bool Refused = Reply && (Reply.value().Status_ == TooMany ||
                                 Reply.value().Status_ == Unavailable);
  if (!Refused && (Reply || Reply.error().Effect_ != Effect::None))
    Watch_.jobUnclear(Id);
  return false;
}

void Soak::send(const std::string &Id, const std::string &Body, int TriesLeft) {
  call("POST", Id, Body,
       [this, Id, Body, TriesLeft](const Result<WebReply> &Reply) {
         if (noteSubmission(Id, Reply)) {
           poll(Id);
           if (draw(8) == 0)
             Loop_.after(Millis{static_cast<std::int64_t>(draw(800))},
                         [this, Id] { cancel(Id); });
           return;
         }
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
