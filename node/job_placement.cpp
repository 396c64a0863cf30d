#include "node/election.h"
#include "node/job_home.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

constexpr Millis DispatchInterval{10};
// Refused jobs are tried again at this interval even without a local event,
// because capacity may have become free on a peer.
constexpr Millis RoundInterval{200};
constexpr std::size_t MaxExpiredPerRound = 100;
// Peers that one placement asks after this node's own shards, in the order of
// Router::pickOwners().
constexpr std::size_t MaxRemoteOwners = 2;
// Work that was refused this often is large for the capacity that becomes free
// and would starve behind smaller work, so owners keep capacity free for it.
constexpr int FailuresBeforeBlocking = 10;
constexpr Millis ConfirmedCheckInterval{300000};
constexpr Millis UnresolvedCheckInterval{1000};

std::vector<Attempt> nextAttempts(const JobEntry &Entry) {
  std::vector<Attempt> Attempts;
  for (std::size_t Member = 0; Member < Entry.Members_.size(); ++Member) {
    if (Entry.Members_[Member].Phase_ != MemberState::Phase::Waiting)
      continue;
    const std::int64_t LastNumber =
        Member < Entry.Record_.Attempts_.size()
            ? Entry.Record_.Attempts_[Member].Number_
            : 0;
    Attempts.push_back(
        Attempt{static_cast<std::int64_t>(Member), LastNumber + 1, {}, {}, {}});
  }
  return Attempts;
}

} // namespace

void JobHome::runDispatch() {
  Millis NextRound{};
  while (!Stopping_) {
    const Millis Now = Ports_.Clock_.monotonic();
    if (RoundDue_.exchange(false) || Now >= NextRound) {
      NextRound = Now + RoundInterval;
      const Headroom Cell = Routes_.cellHeadroom(Local_.headroom());
      const MutexLock Lock(QueueMutex_);
      Shares_.setFleet(capacityPerHome(Cell.Total_));
      Queue_.beginRound();
    }
    expireQueued(Now);
    dispatchRound();
    sleepFor(DispatchInterval);
  }
}

// Each home accounts only for its own jobs, so it assumes an equal part of the
// cell's capacity.
Resources JobHome::capacityPerHome(const Resources &Total) const {
  const auto Homes = static_cast<std::int64_t>(Routes_.peers().size()) + 1;
  return Resources{Total.MilliCpus_ / Homes, Total.MemoryMib_ / Homes,
                   Total.Accelerators_ / Homes, Total.Slots_ / Homes,
                   Total.Connections_ / Homes};
}

void JobHome::expireQueued(Millis Now) {
  std::vector<policy::QueuedJob> Expired;
  {
    const MutexLock Lock(QueueMutex_);
    Expired = Queue_.takeExpired(Now, MaxExpiredPerRound);
  }
  for (const policy::QueuedJob &Queued : Expired) {
    Ports_.Metrics_.countRefusal(Reason::DeadlineUnreachable);
    JobTable::Guard Job(Jobs_, Queued.Id_);
    if (!Job || isFinal(Job.entry().Record_.State_))
      continue;
    endJob(Job, JobState::NotRun, Reason::DeadlineUnreachable);
    // While the table is unavailable the end cannot be recorded; the job stays
    // queued and is tried again.
    if (Job && !isFinal(Job.entry().Record_.State_))
      enqueue(Job.entry());
  }
}

void JobHome::dispatchRound() {
  while (!Stopping_ && Placements_.load() < Settings_.PlacementThreads_) {
    const Headroom Cell = Routes_.cellHeadroom(Local_.headroom());
    std::optional<policy::Candidate> Chosen;
    {
      const MutexLock Lock(QueueMutex_);
      Chosen = Queue_.take(Ports_.Clock_.monotonic(), Cell.Free_);
    }
    if (!Chosen)
      return;
    if (!Placements_.submit([this, Job = *Chosen] { placeJob(Job); }))
      requeue(*Chosen);
  }
}

void JobHome::requeue(const policy::Candidate &Chosen) {
  const MutexLock Lock(QueueMutex_);
  Queue_.putBack(Chosen);
}

void JobHome::placeJob(const policy::Candidate &Chosen) {
  JobTable::Guard Job(Jobs_, Chosen.Job_.Id_);
  if (!Job || isFinal(Job.entry().Record_.State_) ||
      Job.entry().CancelRequested_)
    return;
  if (Job.entry().Stale_ && !refreshStale(Job)) {
    requeue(Chosen);
    return;
  }
  JobEntry &Entry = Job.entry();
  const JobSpec &Spec = Entry.Record_.Spec_;
  ReserveRequest Request;
  Request.Job_ = Entry.Record_.Id_;
  Request.Home_ = Self_.Id_;
  Request.Team_ = Spec.Team_;
  Request.Class_ = Spec.Class_;
  Request.Urgency_ = Spec.Urgency_;
  Request.Size_ = Spec.Size_;
  Request.Run_ = Spec.Run_;
  Request.Idempotent_ = Spec.Idempotent_;
  Request.MayPreempt_ = Chosen.MayPreempt_;
  Request.MayBlock_ = Spec.Class_ == TaskClass::Gang ||
                      Entry.FailedPlacements_ >= FailuresBeforeBlocking;
  Request.Tries_ = nextAttempts(Entry);
  if (Request.Tries_.empty())
    return;
  const std::vector<Attempt> Reserved =
      reserveCapacity(Request, Entry.FailedPlacements_);
  const bool NeedsAll = Spec.Class_ == TaskClass::Gang;
  if (Reserved.empty() ||
      (NeedsAll && Reserved.size() < Request.Tries_.size())) {
    Owners_.release(Request.Job_, Reserved);
    Ports_.Metrics_.countRetry(Reason::NoCapacity);
    ++Entry.FailedPlacements_;
    Job.store();
    requeue(Chosen);
    return;
  }
  if (!recordAttempts(Job, Reserved)) {
    Owners_.release(Request.Job_, Reserved);
    requeue(Chosen);
    return;
  }
  startMembers(Job, Reserved);
  if (Reserved.size() < Request.Tries_.size())
    enqueue(Entry);
}

std::vector<std::string>
JobHome::ownersFor(const ReserveRequest &Request) const {
  // A gang asks all owners in order of id, so that two gangs that compete for
  // the same capacity do not each reserve half of it.
  const bool IsGang = Request.Class_ == TaskClass::Gang;
  const bool AsksAllOwners = IsGang || Request.Class_ == TaskClass::Service;
  std::vector<std::string> OwnerIds{Self_.Id_};
  const std::vector<std::string> RemoteOwners = Routes_.pickOwners(
      Request.Size_, AsksAllOwners ? SIZE_MAX : MaxRemoteOwners,
      Ports_.Clock_.monotonic());
  OwnerIds.insert(OwnerIds.end(), RemoteOwners.begin(), RemoteOwners.end());
  if (IsGang)
    std::sort(OwnerIds.begin(), OwnerIds.end());
  return OwnerIds;
}

// Tries free capacity on all chosen owners before preemption, which a single
// owner performs.
std::vector<Attempt> JobHome::reserveCapacity(const ReserveRequest &Request,
                                              int FailedPlacements) {
  ReserveRequest Remaining = Request;
  Remaining.MayPreempt_ = false;
  std::vector<Attempt> Reserved;
  const std::vector<std::string> OwnerIds = ownersFor(Request);
  const std::string BlockingOwner = elect(Request.Job_, OwnerIds);
  // The first pass takes an equal part of a service from each owner, so that
  // its tasks spread over availability zones; the second places the others.
  const int Passes = Request.Class_ == TaskClass::Service ? 2 : 1;
  for (int Pass = 0; Pass < Passes; ++Pass) {
    for (std::size_t Index = 0; Index < OwnerIds.size(); ++Index) {
      if (Remaining.Tries_.empty())
        return Reserved;
      ReserveRequest Part = Remaining;
      Part.MayBlock_ = Request.MayBlock_ && OwnerIds[Index] == BlockingOwner;
      const std::size_t OwnersLeft = OwnerIds.size() - Index;
      if (Pass + 1 < Passes)
        Part.Tries_.resize((Remaining.Tries_.size() + OwnersLeft - 1) /
                           OwnersLeft);
      reserveFrom(OwnerIds[Index], Part, Remaining, Reserved);
    }
  }
  if (!Remaining.Tries_.empty() && Request.MayPreempt_) {
    ReserveRequest PreemptingRequest = Remaining;
    PreemptingRequest.MayPreempt_ = true;
    // The number of failed placements is part of the hashed subject, so that
    // the next placement goes to another owner if this one cannot preempt.
    const std::string Owner = Routes_.pickCapableOwner(
        Request.Job_ + std::to_string(FailedPlacements), Request.Size_,
        fits(Request.Size_, Local_.headroom().LargestTotal_),
        Ports_.Clock_.monotonic());
    if (!Owner.empty())
      reserveFrom(Owner, PreemptingRequest, Remaining, Reserved);
  }
  return Reserved;
}

void JobHome::reserveFrom(const std::string &Node, const ReserveRequest &Part,
                          ReserveRequest &Remaining,
                          std::vector<Attempt> &Reserved) {
  const auto Reply = Owners_.reserve(Node, Part);
  if (!Reply) {
    Ports_.Metrics_.countRetry(Reply.error().Reason_);
    return;
  }
  if (Reply.value().Held_.empty() && Node != Self_.Id_)
    Routes_.recordRefusal(Node);
  for (const Attempt &Try : Reply.value().Held_) {
    Reserved.push_back(Try);
    std::erase_if(Remaining.Tries_, [&](const Attempt &Unreserved) {
      return Unreserved.Member_ == Try.Member_;
    });
    Routes_.recordUse(Node, Part.Size_);
  }
}

bool JobHome::recordAttempts(JobTable::Guard &Job,
                             const std::vector<Attempt> &Reserved) {
  JobRecord Updated = Job.entry().Record_;
  Updated.Attempts_.resize(static_cast<std::size_t>(Updated.Spec_.Tasks_));
  for (const Attempt &Try : Reserved)
    Updated.Attempts_.at(static_cast<std::size_t>(Try.Member_)) = Try;
  for (std::size_t Member = 0; Member < Updated.Attempts_.size(); ++Member)
    Updated.Attempts_[Member].Member_ = static_cast<std::int64_t>(Member);
  Updated.State_ = JobState::Running;
  const auto Written = writeRecord(Job, Updated);
  if (!Written) {
    Ports_.Metrics_.countRetry(Written.error().Reason_);
    Job.store();
    return false;
  }
  for (const Attempt &Try : Reserved)
    Job.entry().Members_.at(static_cast<std::size_t>(Try.Member_)) =
        MemberState{MemberState::Phase::Active, Millis{}, 0};
  setCharged(Job.entry(), true);
  Job.store();
  return true;
}

void JobHome::startMembers(JobTable::Guard &Job,
                           const std::vector<Attempt> &Reserved) {
  const Millis Now = Ports_.Clock_.monotonic();
  std::vector<std::size_t> NotRun;
  JobEntry &Entry = Job.entry();
  for (const Attempt &Try : Reserved) {
    const auto Member = static_cast<std::size_t>(Try.Member_);
    const Status Started = Owners_.startTask(
        StartCommand{Entry.Record_.Id_, Try, Entry.Record_.Spec_.Run_,
                     Entry.Record_.Spec_.Payload_});
    MemberState &State = Entry.Members_.at(Member);
    State.OwnerEpoch_ = Routes_.ownerOf(Try.Shard_).Epoch_;
    State.NextCheck_ =
        Now + (Started ? ConfirmedCheckInterval : UnresolvedCheckInterval);
    if (Started)
      continue;
    Ports_.Metrics_.countRetry(Started.error().Reason_);
    Ports_.Log_.write(failureEvent(Started.error(), Entry.Record_.Id_));
    if (Started.error().Effect_ == Effect::None)
      NotRun.push_back(Member);
    // The other tasks of a gang would only be started to be stopped again.
    if (Entry.Record_.Spec_.Class_ == TaskClass::Gang) {
      for (auto Skipped = Reserved.begin() + (&Try - Reserved.data()) + 1;
           Skipped != Reserved.end(); ++Skipped)
        NotRun.push_back(static_cast<std::size_t>(Skipped->Member_));
      break;
    }
  }
  if (NotRun.empty())
    Ports_.Metrics_.observeWait(Entry.Record_.Spec_.Class_,
                                Ports_.Clock_.wall() -
                                    Entry.Record_.Submitted_);
  Job.store();
  for (const std::size_t Member : NotRun)
    if (Job)
      requeueMember(Job, Member);
}

void JobHome::stopPartialGang(JobTable::Guard &Job) {
  JobEntry &Entry = Job.entry();
  Entry.Restarting_ = true;
  for (std::size_t Member = 0; Member < Entry.Members_.size(); ++Member) {
    if (Entry.Members_[Member].Phase_ != MemberState::Phase::Active)
      continue;
    static_cast<void>(Owners_.stopTask(Entry.Record_.Id_,
                                       Entry.Record_.Attempts_.at(Member)));
    Entry.Members_[Member].NextCheck_ = Millis{};
  }
  Job.store();
}

} // namespace damaskglade::node
