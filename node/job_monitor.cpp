#include "node/job_home.h"

namespace damaskglade::node {

namespace {

constexpr Millis MonitorInterval{500};
constexpr Millis ConfirmedCheckInterval{300000};
constexpr Millis RecheckInterval{2000};

} // namespace

void JobHome::runMonitor() {
  while (!Stopping_) {
    const Millis Now = Ports_.Clock_.monotonic();
    const std::vector<std::string> Due = Jobs_.jobsDueForCheck(
        [&](const JobEntry &Entry) { return isCheckDue(Entry, Now); });
    for (const std::string &Id : Due) {
      if (Stopping_)
        return;
      checkJob(Id);
    }
    resolveUnknownWrites();
    Jobs_.evictEnded(Settings_.MaxEndedJobs_);
    sleepFor(MonitorInterval);
  }
}

// The shard owner reports every end by itself, so the status of a task is
// queried only if its start is unresolved, if its shard has a new owner, or
// every ConfirmedCheckInterval. Polling 3,000 tasks more often would exceed the
// budget for control traffic.
bool JobHome::isCheckDue(const JobEntry &Entry, Millis Now) const {
  if (Entry.CancelRequested_ && !hasActiveMember(Entry))
    return true;
  for (std::size_t Member = 0; Member < Entry.Members_.size(); ++Member) {
    const MemberState &State = Entry.Members_[Member];
    if (State.Phase_ != MemberState::Phase::Active ||
        Member >= Entry.Record_.Attempts_.size())
      continue;
    if (Now >= State.NextCheck_)
      return true;
    const std::string &Shard = Entry.Record_.Attempts_[Member].Shard_;
    if (Routes_.ownerOf(Shard).Epoch_ != State.OwnerEpoch_ &&
        State.NextCheck_ > Now + RecheckInterval)
      return true;
  }
  return false;
}

void JobHome::checkJob(const std::string &Id) {
  JobTable::Guard Job(Jobs_, Id);
  if (!Job)
    return;
  // An earlier attempt to record the end of the canceled job failed.
  if (Job.entry().CancelRequested_ && !hasActiveMember(Job.entry()) &&
      !isFinal(Job.entry().Record_.State_)) {
    endJob(Job, JobState::Canceled, Reason::Canceled);
    return;
  }
  const std::size_t Members = Job.entry().Members_.size();
  for (std::size_t Member = 0; Member < Members; ++Member)
    if (!checkMember(Job, Member))
      return;
}

// Returns false once this node is no longer the home or the job has ended.
bool JobHome::checkMember(JobTable::Guard &Job, std::size_t Member) {
  JobEntry &Entry = Job.entry();
  if (isFinal(Entry.Record_.State_))
    return false;
  MemberState &State = Entry.Members_[Member];
  if (State.Phase_ != MemberState::Phase::Active ||
      Member >= Entry.Record_.Attempts_.size())
    return true;
  const Attempt Try = Entry.Record_.Attempts_[Member];
  const Millis Now = Ports_.Clock_.monotonic();
  const std::int64_t Epoch = Routes_.ownerOf(Try.Shard_).Epoch_;
  if (Now < State.NextCheck_ && Epoch == State.OwnerEpoch_)
    return true;
  State.NextCheck_ = Now + RecheckInterval;
  Job.store();
  const auto Reply = Owners_.status(Entry.Record_.Id_, Try);
  if (!Reply) {
    Ports_.Metrics_.countRetry(Reply.error().Reason_);
    return true;
  }
  switch (Reply.value().Verdict_) {
  case OwnerVerdict::Pending:
    return true;
  case OwnerVerdict::Running:
    if (Entry.CancelRequested_ || Entry.Restarting_) {
      static_cast<void>(Owners_.stopTask(Entry.Record_.Id_, Try));
      return true;
    }
    State.OwnerEpoch_ = Epoch;
    State.NextCheck_ = Now + ConfirmedCheckInterval;
    Job.store();
    return true;
  case OwnerVerdict::Finished:
  case OwnerVerdict::NotRun:
  case OwnerVerdict::Lost:
    break;
  }
  endMember(Job, Member, Reply.value());
  return static_cast<bool>(Job) && !isFinal(Entry.Record_.State_);
}

} // namespace damaskglade::node
