#include "node/election.h"
#include "node/job_home.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

constexpr Millis DispatchInterval{10};
// Refused jobs are tried again after this even if no event is seen here: room
// may have become free on a peer.
constexpr Millis RoundInterval{200};
constexpr std::size_t MaxExpiredPerRound = 100;
// Hops of one placement: this node's own shards, then the owners that
// advertise most room.
constexpr std::size_t MaxRemoteOwners = 2;
// Work that was refused this often is large for the room that comes free, and
// would starve behind smaller work.
constexpr int TriesUntilRoomIsKept = 10;
constexpr Millis ConfirmedCheckInterval{300000};
constexpr Millis UnresolvedCheckInterval{1000};

std::vector<Attempt> nextTries(const JobEntry &Entry) {
  std::vector<Attempt> Out;
  for (std::size_t Member = 0; Member < Entry.Members_.size(); ++Member) {
    if (Entry.Members_[Member].Phase_ != MemberState::Phase::Waiting)
      continue;
    const std::int64_t Last = Member < Entry.Record_.Attempts_.size()
                                  ? Entry.Record_.Attempts_[Member].Number_
                                  : 0;
    Out.push_back(
        Attempt{static_cast<std::int64_t>(Member), Last + 1, {}, {}, {}});
  }
  return Out;
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
      Shares_.setFleet(ownPart(Cell.Total_));
      Queue_.beginRound();
    }
    expireQueued(Now);
    dispatchRound();
    sleepFor(DispatchInterval);
  }
}

// Every home counts only its own jobs, so it counts on an equal part of the
// cell.
Resources JobHome::ownPart(const Resources &Total) const {
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
  for (const policy::QueuedJob &Each : Expired) {
    Ports_.Metrics_.countRefusal(Reason::DeadlineUnreachable);
    JobTable::Guard Job(Jobs_, Each.Id_);
    if (!Job || isFinal(Job.entry().Record_.State_))
      continue;
    endJob(Job, JobState::NotRun, Reason::DeadlineUnreachable);
    // Without the table the end can't be recorded yet.
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
    if (!Placements_.submit([this, Job = *Chosen] { place(Job); }))
      putBack(*Chosen);
  }
}

void JobHome::putBack(const policy::Candidate &Chosen) {
  const MutexLock Lock(QueueMutex_);
  Queue_.putBack(Chosen);
}

void JobHome::place(const policy::Candidate &Chosen) {
  JobTable::Guard Job(Jobs_, Chosen.Job_.Id_);
  if (!Job || isFinal(Job.entry().Record_.State_) ||
      Job.entry().CancelRequested_)
    return;
  if (Job.entry().Stale_ && !refreshStale(Job)) {
    putBack(Chosen);
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
  Request.MayBlock_ =
      Spec.Class_ == TaskClass::Gang || Entry.Tries_ >= TriesUntilRoomIsKept;
  Request.Tries_ = nextTries(Entry);
  if (Request.Tries_.empty())
    return;
  const std::vector<Attempt> Held = reserveRoom(Request, Entry.Tries_);
  const bool NeedsAll = Spec.Class_ == TaskClass::Gang;
  if (Held.empty() || (NeedsAll && Held.size() < Request.Tries_.size())) {
    Owners_.release(Request.Job_, Held);
    Ports_.Metrics_.countRetry(Reason::NoCapacity);
    ++Entry.Tries_;
    Job.store();
    putBack(Chosen);
    return;
  }
  if (!recordAttempts(Job, Held)) {
    Owners_.release(Request.Job_, Held);
    putBack(Chosen);
    return;
  }
  startMembers(Job, Held);
  if (Held.size() < Request.Tries_.size())
    enqueue(Entry);
}

std::vector<std::string>
JobHome::ownersFor(const ReserveRequest &Request) const {
  // A gang visits all owners in order of id, so that two gangs that compete
  // for the same room do not each hold half of it.
  const bool IsGang = Request.Class_ == TaskClass::Gang;
  const bool Spreads = IsGang || Request.Class_ == TaskClass::Service;
  std::vector<std::string> Order{Self_.Id_};
  const std::vector<std::string> Remote =
      Routes_.pickOwners(Request.Size_, Spreads ? SIZE_MAX : MaxRemoteOwners,
                         Ports_.Clock_.monotonic());
  Order.insert(Order.end(), Remote.begin(), Remote.end());
  if (IsGang)
    std::sort(Order.begin(), Order.end());
  return Order;
}

// Free room anywhere comes before preemption, which one owner does.
std::vector<Attempt> JobHome::reserveRoom(const ReserveRequest &Request,
                                          int Tries) {
  ReserveRequest Rest = Request;
  Rest.MayPreempt_ = false;
  std::vector<Attempt> Held;
  const std::vector<std::string> Order = ownersFor(Request);
  const std::string Blocker = elect(Request.Job_, Order);
  // The first pass takes an equal part of a service from each owner, so that
  // it spreads over availability zones; the second takes what is left.
  const int Passes = Request.Class_ == TaskClass::Service ? 2 : 1;
  for (int Pass = 0; Pass < Passes; ++Pass) {
    for (std::size_t Index = 0; Index < Order.size(); ++Index) {
      if (Rest.Tries_.empty())
        return Held;
      ReserveRequest Part = Rest;
      Part.MayBlock_ = Request.MayBlock_ && Order[Index] == Blocker;
      const std::size_t OwnersLeft = Order.size() - Index;
      if (Pass + 1 < Passes)
        Part.Tries_.resize((Rest.Tries_.size() + OwnersLeft - 1) / OwnersLeft);
      takeRoom(Order[Index], Part, Rest, Held);
    }
  }
  if (!Rest.Tries_.empty() && Request.MayPreempt_) {
    ReserveRequest Preempting = Rest;
    Preempting.MayPreempt_ = true;
    // The number of the try is part of the subject, so that the next try goes
    // to another owner if this one can't make room.
    const std::string Owner = Routes_.pickCapableOwner(
        Request.Job_ + std::to_string(Tries), Request.Size_,
        fits(Request.Size_, Local_.headroom().LargestTotal_),
        Ports_.Clock_.monotonic());
    if (!Owner.empty())
      takeRoom(Owner, Preempting, Rest, Held);
  }
  return Held;
}

void JobHome::takeRoom(const std::string &Node, const ReserveRequest &Part,
                       ReserveRequest &Rest, std::vector<Attempt> &Held) {
  const auto Reply = Owners_.reserve(Node, Part);
  if (!Reply) {
    Ports_.Metrics_.countRetry(Reply.error().Reason_);
    return;
  }
  if (Reply.value().Held_.empty() && Node != Self_.Id_)
    Routes_.recordRefusal(Node);
  for (const Attempt &Try : Reply.value().Held_) {
    Held.push_back(Try);
    std::erase_if(Rest.Tries_, [&](const Attempt &Each) {
      return Each.Member_ == Try.Member_;
    });
    Routes_.recordUse(Node, Part.Size_);
  }
}

bool JobHome::recordAttempts(JobTable::Guard &Job,
                             const std::vector<Attempt> &Held) {
  JobRecord Next = Job.entry().Record_;
  Next.Attempts_.resize(static_cast<std::size_t>(Next.Spec_.Tasks_));
  for (const Attempt &Try : Held)
    Next.Attempts_.at(static_cast<std::size_t>(Try.Member_)) = Try;
  for (std::size_t Member = 0; Member < Next.Attempts_.size(); ++Member)
    Next.Attempts_[Member].Member_ = static_cast<std::int64_t>(Member);
  Next.State_ = JobState::Running;
  const auto Written = writeRecord(Job, Next);
  if (!Written) {
    Ports_.Metrics_.countRetry(Written.error().Reason_);
    Job.store();
    return false;
  }
  for (const Attempt &Try : Held)
    Job.entry().Members_.at(static_cast<std::size_t>(Try.Member_)) =
        MemberState{MemberState::Phase::Active, Millis{}, 0};
  setCharged(Job.entry(), true);
  Job.store();
  return true;
}

bool JobHome::refreshStale(JobTable::Guard &Job) {
  const auto Row =
      Store_.read(Job.entry().Record_.Id_, Settings_.StoreTimeout_);
  if (!Row || !Row.value())
    return false;
  const JobRecord &Present = *Row.value();
  if (Present.Home_ != Self_.Id_) {
    setCharged(Job.entry(), false);
    Job.erase();
    return false;
  }
  // Attempts that were recorded but never started are resolved like any other
  // whose state is unknown.
  const bool Charged = Job.entry().Charged_;
  Job.entry() = makeEntry(Present);
  Job.entry().Charged_ = Charged;
  Job.store();
  return true;
}

void JobHome::startMembers(JobTable::Guard &Job,
                           const std::vector<Attempt> &Held) {
  const Millis Now = Ports_.Clock_.monotonic();
  std::vector<std::size_t> NotRun;
  JobEntry &Entry = Job.entry();
  for (const Attempt &Try : Held) {
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
    // The rest of a gang is not started only to be stopped again.
    if (Entry.Record_.Spec_.Class_ == TaskClass::Gang) {
      for (auto Rest = Held.begin() + (&Try - Held.data()) + 1;
           Rest != Held.end(); ++Rest)
        NotRun.push_back(static_cast<std::size_t>(Rest->Member_));
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
