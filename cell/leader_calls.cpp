#include "cell/leader.h"

namespace damaskglade::cell {

namespace {

Error notReady(const std::string &Step) {
  return Error{Reason::NotReady, Effect::None, Step, "",
               "the leader is loading or has lost the lead"};
}

} // namespace

void Leader::submit(const dispatch::JobSpec &Spec, const RpcReply &Reply) {
  if (!active())
    return Reply(notReady("submit"));
  const auto Open = Submitting_.find(Spec.Id_);
  if (Open != Submitting_.end()) {
    Open->second.push_back(Reply);
    return;
  }
  if (Dispatcher_.findJob(Spec.Id_)) {
    if (Dispatcher_.isConfirmed(Spec.Id_))
      return Reply(Json::Value(Json::objectValue));
    return Reply(Error{Reason::AnswerLost, Effect::Unknown, "submit", "",
                       "an earlier write of the job got no answer"});
  }
  const Status Fits = Dispatcher_.checkFits(Spec);
  if (!Fits)
    return Reply(Fits.error());
  Dispatcher_.addJob(Spec, now());
  Submitting_[Spec.Id_].push_back(Reply);
  Recorder_.recordJob(
      Spec.Id_, [Self = shared_from_this(), Id = Spec.Id_](Status Outcome) {
        const auto Found = Self->Submitting_.find(Id);
        if (Found == Self->Submitting_.end())
          return;
        const std::vector<RpcReply> Replies = std::move(Found->second);
        Self->Submitting_.erase(Found);
        note(Self->Ports_, LogLevel::Info, Id, "accept job", "",
             Outcome ? "recorded" : describe(Outcome.error()));
        for (const RpcReply &Each : Replies) {
          if (Outcome)
            Each(Json::Value(Json::objectValue));
          else
            Each(Outcome.error());
        }
        Self->wake();
      });
}

void Leader::state(const std::string &Id, const RpcReply &Reply) const {
  if (!active())
    return Reply(notReady("state"));
  const dispatch::JobRun *Job = Dispatcher_.findJob(Id);
  if (!Job)
    return Reply(
        Error{Reason::NotFound, Effect::None, "state", "", "no such job"});
  dispatch::JobState Shown = Job->State_;
  // An end that is not recorded could be forgotten with this leader.
  if (dispatch::isTerminal(Shown) && Job->RecordedState_ != Shown)
    Shown = dispatch::JobState::Active;
  Json::Value Out;
  Out["state"] = static_cast<int>(Shown);
  Reply(std::move(Out));
}

void Leader::cancel(const std::string &Id, const RpcReply &Reply) {
  if (!active())
    return Reply(notReady("cancel"));
  const dispatch::JobRun *Job = Dispatcher_.findJob(Id);
  if (Job && !Dispatcher_.isConfirmed(Id))
    return Reply(notReady("cancel"));
  if (!Job)
    return Reply(
        Error{Reason::NotFound, Effect::None, "cancel", "", "no such job"});
  if (Dispatcher_.cancelJob(Id, now()))
    wake();
  Recorder_.touch();
  Recorder_.whenRecorded([Reply] { Reply(Json::Value(Json::objectValue)); });
}

void Leader::pending(const std::string &Queue, const RpcReply &Reply) const {
  if (!active())
    return Reply(notReady("pending"));
  Json::Value Out;
  Out["pending"] = Dispatcher_.pendingJobs(Queue);
  Reply(std::move(Out));
}

} // namespace damaskglade::cell
