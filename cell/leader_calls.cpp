#include "cell/leader.h"

namespace damaskglade::cell {

namespace {

Error notReady(const std::string &Operation) {
  return Error{Reason::NotReady, Effect::None, Operation, "",
               "the leader is still loading or has lost leadership"};
}

// Jobs that were submitted without a key, and ended jobs whose row is removed,
// have no workspace.
bool isOfOtherWorkspace(const dispatch::JobRun &Job,
                        const std::string &Workspace) {
  return !Job.Spec_.Workspace_.empty() && !Workspace.empty() &&
         Job.Spec_.Workspace_ != Workspace;
}

} // namespace

void Leader::submit(const dispatch::JobSpec &Spec, const RpcReply &Reply) {
  const WorkMeter::Scope Callers(WorkMeter_, Work::Callers);
  if (!active())
    return Reply(notReady("submit"));
  const dispatch::JobRun *Known = Dispatcher_.findJob(Spec.Id_);
  if (Known && isOfOtherWorkspace(*Known, Spec.Workspace_))
    return Reply(Error{Reason::IdempotencyKeyReused, Effect::None, "submit", "",
                       "another workspace has a job with this id"});
  const auto EarlierSubmission = PendingSubmissions_.find(Spec.Id_);
  if (EarlierSubmission != PendingSubmissions_.end()) {
    EarlierSubmission->second.push_back(Reply);
    return;
  }
  if (Known) {
    if (Dispatcher_.isConfirmed(Spec.Id_))
      return Reply(Json::Value(Json::objectValue));
    return Reply(Error{Reason::AnswerLost, Effect::Unknown, "submit", "",
                       "an earlier write of the job was not answered"});
  }
  const Status FitStatus = Dispatcher_.checkFits(Spec);
  if (!FitStatus)
    return Reply(FitStatus.error());
  if (shouldReject(LoopDelay_, Dispatcher_.priorityOf(Spec.Queue_)))
    return Reply(Error{Reason::QueueFull, Effect::None, "submit", "",
                       "the leader has fallen behind"});
  const dispatch::ShareDecision Share = Dispatcher_.decideJobShare(Spec, now());
  if (Share.Verdict_ == dispatch::ShareVerdict::Rejected) {
    Ports_.Metrics_.count("jobs_rejected_over_share");
    return Reply(Error{Reason::QuotaExceeded, Effect::None, "submit", "",
                       "workspace " + Spec.Workspace_ +
                           " is over its share and the fleet is full",
                       Share.RetryAfter_});
  }
  Dispatcher_.addJob(Spec, now());
  if (Share.Verdict_ == dispatch::ShareVerdict::OverShare) {
    Ports_.Metrics_.count("jobs_accepted_over_share");
    Dispatcher_.markOverShare(Spec.Id_);
  }
  PendingSubmissions_[Spec.Id_].push_back(Reply);
  Recorder_.recordJob(
      Spec.Id_, [Self = shared_from_this(), Id = Spec.Id_](Status Outcome) {
        const auto Submission = Self->PendingSubmissions_.find(Id);
        if (Submission == Self->PendingSubmissions_.end())
          return;
        const std::vector<RpcReply> Replies = std::move(Submission->second);
        Self->PendingSubmissions_.erase(Submission);
        logEvent(Self->Ports_, LogLevel::Info, Id, "accept job", "",
                 Outcome ? "recorded" : describe(Outcome.error()));
        for (const RpcReply &SubmitterReply : Replies) {
          if (Outcome)
            SubmitterReply(Json::Value(Json::objectValue));
          else
            SubmitterReply(Outcome.error());
        }
        Self->scheduleDecision();
      });
}

void Leader::state(const std::string &Id, const std::string &Workspace,
                   const RpcReply &Reply) const {
  if (!active())
    return Reply(notReady("state"));
  const dispatch::JobRun *Job = Dispatcher_.findJob(Id);
  if (!Job || isOfOtherWorkspace(*Job, Workspace))
    return Reply(
        Error{Reason::NotFound, Effect::None, "state", "", "no such job"});
  dispatch::JobState ReportedState = Job->State_;
  // A final state is only reported once it is recorded: if this leader failed
  // before, the next one would not know that the job has ended.
  if (dispatch::isTerminal(ReportedState) &&
      Job->RecordedState_ != ReportedState)
    ReportedState = dispatch::JobState::Active;
  Json::Value Body;
  Body["state"] = static_cast<int>(ReportedState);
  Reply(std::move(Body));
}

void Leader::cancel(const std::string &Id, const std::string &Workspace,
                    const RpcReply &Reply) {
  const WorkMeter::Scope Callers(WorkMeter_, Work::Callers);
  if (!active())
    return Reply(notReady("cancel"));
  const dispatch::JobRun *Job = Dispatcher_.findJob(Id);
  if (Job && isOfOtherWorkspace(*Job, Workspace))
    Job = nullptr;
  if (Job && !Dispatcher_.isConfirmed(Id))
    return Reply(notReady("cancel"));
  if (!Job)
    return Reply(
        Error{Reason::NotFound, Effect::None, "cancel", "", "no such job"});
  if (Dispatcher_.cancelJob(Id, now()))
    scheduleDecision();
  Recorder_.collectChanges();
  Recorder_.whenJobRecorded(Id,
                            [Reply] { Reply(Json::Value(Json::objectValue)); });
}

void Leader::countPendingJobs(const std::string &Queue,
                              const RpcReply &Reply) const {
  if (!active())
    return Reply(notReady("pending"));
  Json::Value Body;
  Body["pending"] = Dispatcher_.pendingJobs(Queue);
  Reply(std::move(Body));
}

} // namespace damaskglade::cell
