#include "tests/process/caller.h"

#include "core/codec.h"

#include <algorithm>

namespace damaskglade::process_tests {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpAccepted = 202;
constexpr Millis CallTimeout{6000};
constexpr Millis RetryPause{100};
constexpr const char *JobsPath = "/v1/jobs";

bool isSuccess(int Status) {
  return Status == HttpOk || Status == HttpAccepted;
}

/// Takes over the state and the answers that a node reports.
void applyDescription(JobResult &Job, const Json::Value &Description) {
  const auto State = jobStateFromName(Description.get("state", "").asString());
  if (!State || !isFinal(*State))
    return;
  Job.Final_ = true;
  Job.State_ = *State;
  Job.Reason_ = Description.isMember("reason")
                    ? reasonFromName(Description["reason"].asString())
                    : Reason::None;
  Job.Answers_.clear();
  for (const Json::Value &Task : Description["tasks"])
    if (Task.isObject() && Task.isMember("answer"))
      Job.Answers_.push_back(decodeAnswer(Task));
}

/// True for refusals that another try may not meet.
bool mayPass(Reason Why) {
  return Why != Reason::InvalidField && Why != Reason::BodyTooLarge &&
         Why != Reason::IdempotencyKeyReused && Why != Reason::NeverFits;
}

} // namespace

void EntryNodes::add(const std::string &Zone, const std::string &Address) {
  const MutexLock Held(Mutex_);
  Nodes_[Zone].push_back(Address);
}

void EntryNodes::remove(const std::string &Address) {
  const MutexLock Held(Mutex_);
  for (auto &[Zone, Addresses] : Nodes_)
    std::erase(Addresses, Address);
}

std::string EntryNodes::next(const std::string &Zone) {
  const MutexLock Held(Mutex_);
  const std::vector<std::string> &Addresses = Nodes_[Zone];
  return Addresses.empty() ? std::string()
                           : Addresses[Turn_++ % Addresses.size()];
}

// Returns false if the submission must not be repeated.
bool Caller::submitOnce(JobResult &Job, const std::string &Zone) {
  const drivers::HttpCall Call{"POST",
                               JobsPath,
                               writeJson(encodeJobSpec(Job.Spec_)),
                               "application/json",
                               {}};
  const auto Reply = Pool_.call(Nodes_.next(Zone), Call, CallTimeout, "submit");
  if (!Reply) {
    Job.Ambiguous_ = Job.Ambiguous_ || Reply.error().Effect_ != Effect::None;
    Job.State_ = Job.Ambiguous_ ? JobState::Unknown : JobState::NotRun;
    Job.Reason_ = Reply.error().Reason_;
    return true;
  }
  const auto Body = parseJson(Reply.value().Body_, "submit");
  if (!Body) {
    Job.Ambiguous_ = true;
    Job.State_ = JobState::Unknown;
    return true;
  }
  if (isSuccess(Reply.value().Status_)) {
    Job.Accepted_ = true;
    applyDescription(Job, Body.value());
    return false;
  }
  const Error Refusal = decodeError(Body.value()["error"]);
  Job.Ambiguous_ = Job.Ambiguous_ || Refusal.Effect_ != Effect::None;
  Job.State_ = Job.Ambiguous_ ? JobState::Unknown : JobState::NotRun;
  Job.Reason_ = Refusal.Reason_;
  return mayPass(Refusal.Reason_);
}

JobResult Caller::submit(const JobSpec &Spec, const std::string &Zone,
                         Millis Arrival) {
  JobResult Job;
  Job.Id_ = jobIdFor(Spec);
  Job.Spec_ = Spec;
  Job.Submitted_ = Arrival;
  const bool Lookup = Spec.Class_ == TaskClass::Lookup;
  const Millis End = Arrival + (Lookup ? Limits_.Lookup_ : Limits_.Acceptance_);
  while (submitOnce(Job, Zone) && Clock_.wall() < End)
    sleepFor(RetryPause);
  // What was refused or given up is final for the caller.
  Job.Final_ = Job.Final_ || !Job.Accepted_;
  return Job;
}

JobResult Caller::run(const JobSpec &Spec, const std::string &Zone,
                      Millis Arrival, Millis OnTime) {
  JobResult Job = submit(Spec, Zone, Arrival);
  if (!Job.Final_)
    waitForOutcome(Job, Zone, Arrival + Limits_.Outcome_);
  Job.Ended_ = Clock_.wall();
  Job.OnTime_ = Job.Final_ && Job.State_ == JobState::Finished &&
                Job.Ended_ - Arrival <= OnTime;
  return Job;
}

void Caller::await(JobResult &Job, const std::string &Zone) {
  waitForOutcome(Job, Zone, Clock_.wall() + Limits_.Outcome_);
  Job.Ended_ = Clock_.wall();
}

void Caller::waitForOutcome(JobResult &Job, const std::string &Zone,
                            Millis End) {
  const drivers::HttpCall Call{"GET",
                               std::string(JobsPath) + "/" + Job.Id_ +
                                   "/wait?timeout_ms=2000",
                               "",
                               "",
                               {}};
  while (!Job.Final_ && Clock_.wall() < End) {
    const auto Reply = Pool_.call(Nodes_.next(Zone), Call, CallTimeout, "wait");
    const auto Body = Reply && Reply.value().Status_ == HttpOk
                          ? parseJson(Reply.value().Body_, "wait")
                          : Result<Json::Value>(Error{});
    if (Body)
      applyDescription(Job, Body.value());
    else
      sleepFor(RetryPause);
  }
}

std::optional<Json::Value> Caller::status(const std::string &Id,
                                          const std::string &Zone) {
  const drivers::HttpCall Call{
      "GET", std::string(JobsPath) + "/" + Id, "", "", {}};
  const auto Reply = Pool_.call(Nodes_.next(Zone), Call, CallTimeout, "status");
  if (!Reply || Reply.value().Status_ != HttpOk)
    return std::nullopt;
  const auto Body = parseJson(Reply.value().Body_, "status");
  return Body ? std::optional(Body.value()) : std::nullopt;
}

bool Caller::cancel(const std::string &Id, const std::string &Zone) {
  const drivers::HttpCall Call{"POST",
                               std::string(JobsPath) + "/" + Id + "/cancel",
                               "{}",
                               "application/json",
                               {}};
  const auto Reply = Pool_.call(Nodes_.next(Zone), Call, CallTimeout, "cancel");
  return Reply && Reply.value().Status_ == HttpOk;
}

} // namespace damaskglade::process_tests
