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

// A final state is only reported once it is recorded: if this leader failed
// before, the next one would not know that the job has ended.
Json::Value encodeJobState(const dispatch::JobRun &Job) {
  const bool IsReported =
      !dispatch::isTerminal(Job.State_) || Job.RecordedState_ == Job.State_;
  Json::Value Body;
  Body["state"] =
      static_cast<int>(IsReported ? Job.State_ : dispatch::JobState::Active);
  return Body;
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
  if (CanceledIds_.contains(Spec.Id_, Spec.Workspace_))
    return Reply(Error{Reason::Canceled, Effect::None, "submit", "",
                       "the job was canceled before it was submitted"});
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

const dispatch::JobRun *Leader::findJob(const std::string &Id,
                                        const std::string &Workspace) const {
  const dispatch::JobRun *Job = Dispatcher_.findJob(Id);
  return Job && !isOfOtherWorkspace(*Job, Workspace) ? Job : nullptr;
}

void Leader::state(const std::string &Id, const std::string &Workspace,
                   const RpcReply &Reply) {
  if (!active())
    return Reply(notReady("state"));
  if (const dispatch::JobRun *Job = findJob(Id, Workspace))
    return Reply(encodeJobState(*Job));
  UnknownJobQueries_.push_back({now(), Id, Workspace, Reply});
  if (OpenConfirmReads_ == 0)
    confirmLeadership();
}

// A leader that was replaced without knowing it, for instance while it was
// paused, does not know the jobs of the next one. It must not deny them.
void Leader::answerUnknownJobQueries() {
  constexpr Millis ConfirmTimeout{1000};
  while (!UnknownJobQueries_.empty()) {
    const UnknownJobQuery &Oldest = UnknownJobQueries_.front();
    const bool IsConfirmed = Recorder_.confirmedAt() >= Oldest.AskedAt_;
    const bool IsOver = Stopped_ || now() >= Oldest.AskedAt_ + ConfirmTimeout;
    if (!IsConfirmed && !IsOver)
      break;
    const UnknownJobQuery Query = std::move(UnknownJobQueries_.front());
    UnknownJobQueries_.pop_front();
    const dispatch::JobRun *Job = findJob(Query.Id_, Query.Workspace_);
    if (Stopped_ || !IsConfirmed)
      Query.Reply_(notReady("state"));
    else if (Job)
      Query.Reply_(encodeJobState(*Job));
    else
      Query.Reply_(
          Error{Reason::NotFound, Effect::None, "state", "", "no such job"});
  }
  if (!UnknownJobQueries_.empty() && OpenConfirmReads_ == 0)
    confirmLeadership();
}

void Leader::cancel(const std::string &Id, const std::string &Workspace,
                    const RpcReply &Reply) {
  const WorkMeter::Scope Callers(WorkMeter_, Work::Callers);
  if (!active())
    return Reply(notReady("cancel"));
  if (!findJob(Id, Workspace))
    return cancelUnknownJob(Id, Workspace, Reply);
  if (!Dispatcher_.isConfirmed(Id))
    return Reply(notReady("cancel"));
  if (Dispatcher_.cancelJob(Id, now()))
    scheduleDecision();
  Recorder_.collectChanges();
  Recorder_.whenJobRecorded(Id, [Done = replyToCancel(Reply)] {
    Done(Json::Value(Json::objectValue));
  });
}

// The submission may arrive later than the cancellation: a node that was paused
// hands it in when it resumes, and one that did not reach the leader tries
// again. The row keeps the job from starting under the next leader as well, and
// its transaction shows that this one has not been replaced.
void Leader::cancelUnknownJob(const std::string &Id,
                              const std::string &Workspace,
                              const RpcReply &Reply) {
  const Error NoSuchJob{Reason::NotFound, Effect::None, "cancel", "",
                        "no such job"};
  if (!dispatch::isJobId(Id))
    return Reply(NoSuchJob);
  Ports_.Metrics_.count("cancels_of_unknown_jobs");
  Recorder_.recordRow(canceledRow(CanceledIds::keyOf(Id, Workspace)), "{}");
  if (const auto Displaced = CanceledIds_.add(Id, Workspace, now()))
    Recorder_.recordRow(canceledRow(*Displaced), std::nullopt);
  Recorder_.whenMainRecorded(
      [Done = replyToCancel(Reply), NoSuchJob] { Done(NoSuchJob); });
}

RpcReply Leader::replyToCancel(const RpcReply &Reply) {
  const std::uint64_t Number = ++LastCancel_;
  PendingCancels_.emplace(Number, Reply);
  return
      [Self = shared_from_this(), Number](const Result<Json::Value> &Outcome) {
        if (const auto Pending = Self->PendingCancels_.extract(Number))
          Pending.mapped()(Outcome);
      };
}

void Leader::removeExpiredCancels() {
  for (const std::string &Key : CanceledIds_.removeExpired(now()))
    Recorder_.recordRow(canceledRow(Key), std::nullopt);
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
