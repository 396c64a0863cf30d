#include "main/cli_jobs.h"

#include "core/codec.h"
#include "main/cli_output.h"

#include <algorithm>

namespace damaskglade::cli {

namespace {

constexpr const char *JsonType = "application/json";
// A node may answer a wait before the job ends; the pause keeps a node that
// answers at once from being asked without end.
constexpr Millis WaitPause{100};
// Longest wait that a node accepts; a longer one is made of several.
constexpr Millis MaxNodeWait{60000};
// Time that a node's answer may take beyond the time it was asked to wait.
constexpr Millis AnswerMargin{2000};

std::string jobPath(const std::string &JobId) {
  return "/v1/jobs/" + encodePath(JobId);
}

// Answers of the tasks that have one.
std::vector<Answer> answersOf(const Json::Value &Job) {
  std::vector<Answer> Answers;
  if (!Job["tasks"].isArray())
    return Answers;
  for (const Json::Value &Task : Job["tasks"])
    if (Task.isObject() && Task.isMember("answer"))
      Answers.push_back(decodeAnswer(Task));
  return Answers;
}

ExitCode outcomeOf(const Context &Ctx, const Json::Value &Job) {
  const std::vector<Answer> Answers = answersOf(Job);
  if (!std::all_of(Answers.begin(), Answers.end(), isWhole))
    return printError(Ctx, Error{Reason::AnswerTruncated, Effect::Unknown,
                                 "read answer", "",
                                 "an answer does not match its length and "
                                 "digest"});
  const auto State = jobStateFromName(memberText(Job, "state"));
  if (!State || !isFinal(*State) || memberText(Job, "ran") == "unknown")
    return ExitCode::OutcomeUnknown;
  if (*State == JobState::Unknown)
    return ExitCode::OutcomeUnknown;
  const bool Good = std::all_of(Answers.begin(), Answers.end(),
                                [](const Answer &Each) { return Each.Ok_; });
  return *State == JobState::Finished && Good ? ExitCode::Ok : ExitCode::Failed;
}

bool hasEnded(const Json::Value &Job) {
  const auto State = jobStateFromName(memberText(Job, "state"));
  return State && isFinal(*State);
}

} // namespace

ExitCode submitJob(const Context &Ctx, const JobSpec &Spec, bool Wait) {
  const std::string JobId = jobIdFor(Spec);
  ExitCode Code = ExitCode::Ok;
  const auto Reply = readReply(Ctx,
                               Ctx.Api_.send("POST", "/v1/jobs",
                                             writeJson(encodeJobSpec(Spec)),
                                             JsonType, Ctx.Timeout_),
                               Code);
  if (!Reply) {
    if (Code == ExitCode::OutcomeUnknown && isDurable(Spec))
      Ctx.Err_ << "damaskglade: the job, if accepted, has id " << JobId
               << "; submitting it again with the same key is safe\n";
    return Code;
  }
  if (Wait && !hasEnded(*Reply))
    return waitForJob(Ctx, JobId);
  printValue(Ctx, *Reply);
  return hasEnded(*Reply) ? outcomeOf(Ctx, *Reply) : Code;
}

ExitCode showJob(const Context &Ctx, const std::string &JobId) {
  return printReply(Ctx, Ctx.Api_.get(jobPath(JobId), Ctx.Timeout_));
}

ExitCode waitForJob(const Context &Ctx, const std::string &JobId) {
  const SystemClock Time;
  const Millis Deadline = Time.monotonic() + Ctx.Timeout_;
  while (true) {
    const Millis Left =
        std::clamp(Deadline - Time.monotonic(), Millis{}, MaxNodeWait);
    ExitCode Code = ExitCode::Ok;
    const auto Job =
        readReply(Ctx,
                  Ctx.Api_.get(jobPath(JobId) + "/wait?timeout_ms=" +
                                   std::to_string(Left.Value_),
                               Left + AnswerMargin),
                  Code);
    if (!Job)
      return Code;
    if (hasEnded(*Job)) {
      printValue(Ctx, *Job);
      return outcomeOf(Ctx, *Job);
    }
    if (Time.monotonic() + WaitPause >= Deadline) {
      printValue(Ctx, *Job);
      Ctx.Err_ << "damaskglade: the job has not ended within "
               << Ctx.Timeout_.Value_ << " ms\n";
      return ExitCode::OutcomeUnknown;
    }
    sleepFor(WaitPause);
  }
}

ExitCode cancelJob(const Context &Ctx, const std::string &JobId) {
  return printReply(Ctx, Ctx.Api_.send("POST", jobPath(JobId) + "/cancel", "{}",
                                       JsonType, Ctx.Timeout_));
}

} // namespace damaskglade::cli
