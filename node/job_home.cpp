#include "node/job_home.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

constexpr std::size_t MaxQueuedPlacements = 256;

policy::QueuedJob makeQueuedJob(const JobRecord &Record, Millis Now) {
  const JobSpec &Spec = Record.Spec_;
  policy::QueuedJob Queued;
  Queued.Id_ = Record.Id_;
  Queued.Team_ = Spec.Team_;
  Queued.Class_ = Spec.Class_;
  Queued.Urgency_ = Spec.Urgency_;
  Queued.Size_ = Spec.Size_;
  Queued.Tasks_ = Spec.Tasks_;
  Queued.Run_ = Spec.Run_;
  Queued.Enqueued_ = Now;
  if (Spec.Deadline_ > Millis{})
    Queued.Deadline_ = Now + Spec.Deadline_;
  return Queued;
}

} // namespace

JobHome::JobHome(NodeIdentity Self, HomeSettings Settings, Services &Ports,
                 records::JobStore &Store, OwnerGateway &Owners,
                 ShardOwner &Local, Router &Routes,
                 std::function<std::int64_t()> Incarnation)
    : Self_(std::move(Self)), Settings_(std::move(Settings)), Ports_(Ports),
      Store_(Store), Owners_(Owners), Local_(Local), Routes_(Routes),
      Incarnation_(std::move(Incarnation)), Shares_(Settings_.Shares_),
      Queue_(Settings_.Queue_, Shares_),
      Admission_(policy::AdmissionSettings{}, Queue_, Shares_),
      Placements_(Settings_.PlacementThreads_, MaxQueuedPlacements) {}

JobHome::~JobHome() { stop(); }

void JobHome::start() {
  Dispatch_ = Thread([this] { runDispatch(); });
  Monitor_ = Thread([this] { runMonitor(); });
}

void JobHome::stop() {
  Stopping_ = true;
  Dispatch_.join();
  Monitor_.join();
  Placements_.stop();
}

void JobHome::applySettings(const config::CellSettings &Cell) {
  constexpr double Percent = 0.01;
  policy::QueueSettings Queue = Settings_.Queue_;
  policy::ShareSettings Shares = Settings_.Shares_;
  for (std::size_t Class = 0; Class < TaskClassCount; ++Class) {
    const config::ClassSettings &ClassConfig = Cell.Classes_.at(Class);
    Shares.ClassWeight_.at(Class) = static_cast<double>(ClassConfig.Weight_);
    Shares.ClassMinimum_.at(Class) =
        static_cast<double>(ClassConfig.MinSharePercent_) * Percent;
    Queue.ClassBounds_.at(Class) =
        static_cast<std::size_t>(ClassConfig.MaxQueued_);
  }
  Shares.TeamWeight_.clear();
  for (const auto &[Name, Team] : Cell.Teams_)
    Shares.TeamWeight_[Name] = static_cast<double>(Team.Weight_) /
                               static_cast<double>(Cell.TeamDefault_.Weight_);
  const MutexLock Lock(QueueMutex_);
  Shares_.applySettings(Shares);
  Queue_.applySettings(Queue);
}

Status JobHome::checkFits(const JobSpec &Spec) const {
  const Resources Largest =
      Routes_.cellHeadroom(Local_.headroom()).LargestTotal_;
  // Sizes cannot be checked before any worker is known.
  if (Largest == Resources{})
    return success();
  const std::string_view ExceededResource = firstShortage(Spec.Size_, Largest);
  if (ExceededResource.empty())
    return success();
  return Error{Reason::NeverFits, Effect::None, "check size",
               "size." + std::string(ExceededResource),
               "no worker has enough \"" + std::string(ExceededResource) +
                   "\""};
}

Result<SubmitResult> JobHome::submit(const JobSpec &Spec) {
  BOOST_OUTCOME_TRYV(checkFits(Spec));
  JobRecord Record;
  Record.Id_ = jobIdFor(Spec);
  Record.Spec_ = Spec;
  Record.Home_ = Self_.Id_;
  Record.HomeIncarnation_ = Incarnation_();
  Record.Submitted_ = Ports_.Clock_.wall();
  Record.Answers_.resize(static_cast<std::size_t>(Spec.Tasks_));
  BOOST_OUTCOME_TRYV(admit(Record));
  const auto Written = Store_.create(Record, Settings_.StoreTimeout_);
  {
    const MutexLock Lock(QueueMutex_);
    Queue_.unreserve(Spec.Class_, Spec.Team_);
  }
  if (!Written && Written.error().Reason_ == Reason::TableConflict)
    return resolveConflict(Spec, Record);
  if (!Written) {
    if (Written.error().Effect_ == Effect::Unknown)
      trackUnresolvedWrite(Record.Id_);
    return Written.error();
  }
  addRecordedJob(Written.value());
  return SubmitResult{Written.value(), true};
}

Result<SubmitResult> JobHome::resolveConflict(const JobSpec &Spec,
                                              const JobRecord &New) {
  BOOST_OUTCOME_TRY(Existing, Store_.read(New.Id_, Settings_.StoreTimeout_));
  if (!Existing)
    return Error{
        Reason::TableConflict,           Effect::None, "submit job", New.Id_,
        "the row was removed meanwhile", Millis{1000}};
  if (!(Existing->Spec_ == Spec))
    return Error{Reason::IdempotencyKeyReused, Effect::None, "submit job",
                 "key", "the key was already used with different content"};
  // The first submission may have written the row without this node learning
  // of it.
  if (isHomeOf(*Existing) && !isFinal(Existing->State_))
    addRecordedJob(*Existing);
  return SubmitResult{*Existing, false};
}

bool JobHome::isHomeOf(const JobRecord &Record) const {
  return Record.Home_ == Self_.Id_ && Record.HomeIncarnation_ == Incarnation_();
}

void JobHome::addRecordedJob(const JobRecord &Record) {
  const JobEntry Entry = makeEntry(Record);
  if (Jobs_.add(Entry) && !hasActiveMember(Entry))
    enqueue(Entry);
}

// Refuses a job before anything is written; otherwise reserves a place in the
// queue until the write has ended.
Status JobHome::admit(const JobRecord &Record) {
  const Millis Now = Ports_.Clock_.monotonic();
  const MutexLock Lock(QueueMutex_);
  BOOST_OUTCOME_TRYV(Admission_.admit(makeQueuedJob(Record, Now), Now));
  return Queue_.reserve(Record.Spec_.Class_, Record.Spec_.Team_);
}

void JobHome::enqueue(const JobEntry &Entry) {
  const MutexLock Lock(QueueMutex_);
  Queue_.adopt(makeQueuedJob(Entry.Record_, Ports_.Clock_.monotonic()));
  RoundDue_ = true;
}

std::optional<JobRecord> JobHome::find(const std::string &Id) const {
  return Jobs_.find(Id);
}

std::optional<JobRecord> JobHome::waitFinal(const std::string &Id,
                                            Millis Timeout) const {
  return Jobs_.waitFinal(Id, Timeout, Ports_.Clock_);
}

std::size_t JobHome::queued() const {
  const MutexLock Lock(QueueMutex_);
  return Queue_.size();
}

Result<JobRecord> JobHome::writeRecord(JobTable::Guard &Job,
                                       const JobRecord &Updated) {
  auto Written = Store_.update(Updated, Settings_.StoreTimeout_);
  if (Written) {
    Job.entry().Record_ = Written.value();
    Job.entry().Stale_ = false;
    return Written;
  }
  if (Written.error().Reason_ == Reason::TableConflict) {
    // Another node has adopted the job and is its home now.
    Ports_.Log_.write(failureEvent(Written.error(), Updated.Id_));
    Ports_.Metrics_.count("jobs_lost_to_another_home");
    setCharged(Job.entry(), false);
    Job.erase();
    return Written;
  }
  if (Written.error().Effect_ == Effect::Unknown)
    Job.entry().Stale_ = true;
  return Written;
}

void JobHome::setCharged(JobEntry &Entry, bool Charged) {
  if (Entry.Charged_ == Charged)
    return;
  Entry.Charged_ = Charged;
  const JobSpec &Spec = Entry.Record_.Spec_;
  const Resources Amount = policy::timesTasks(Spec.Size_, Spec.Tasks_);
  const Millis Now = Ports_.Clock_.monotonic();
  const MutexLock Lock(QueueMutex_);
  if (Charged) {
    Admission_.started(makeQueuedJob(Entry.Record_, Now), Now);
    Shares_.start(Spec.Class_, Spec.Team_, Spec.Urgency_, Amount, Now);
  } else {
    Shares_.finish(Spec.Class_, Spec.Team_, Spec.Urgency_, Amount, Now);
  }
  RoundDue_ = true;
}

void JobHome::endJob(JobTable::Guard &Job, JobState State, Reason EndReason) {
  JobRecord Updated = Job.entry().Record_;
  Updated.State_ = State;
  Updated.Reason_ = EndReason;
  if (!writeRecord(Job, Updated))
    return;
  setCharged(Job.entry(), false);
  Ports_.Metrics_.count("jobs_" + std::string(jobStateName(State)));
  Job.store();
}

bool JobHome::finish(const std::string &AttemptId, const OwnerStatus &Status) {
  std::string Id;
  damaskglade::Attempt Try;
  if (!splitAttemptId(AttemptId, Id, Try))
    return true;
  JobTable::Guard Job(Jobs_, Id);
  if (!Job)
    return false;
  JobEntry &Entry = Job.entry();
  const auto Member = static_cast<std::size_t>(Try.Member_);
  const bool IsCurrent = Member < Entry.Record_.Attempts_.size() &&
                         Entry.Record_.Attempts_[Member].Number_ == Try.Number_;
  if (!IsCurrent && Entry.Stale_)
    return false;
  if (!IsCurrent ||
      Entry.Members_[Member].Phase_ != MemberState::Phase::Active) {
    Ports_.Metrics_.count("late_completions");
    return true;
  }
  return endMember(Job, Member, Status);
}

bool JobHome::endMember(JobTable::Guard &Job, std::size_t Member,
                        const OwnerStatus &Status) {
  JobEntry &Entry = Job.entry();
  const bool Abandoned = Entry.CancelRequested_ || Entry.Restarting_;
  // A task that finished before its stop arrived must not run again.
  if (Status.Verdict_ == OwnerVerdict::Finished &&
      (Status.Answer_.Ok_ || !Abandoned))
    return recordAnswer(Job, Member, Status.Answer_);
  if (Status.Verdict_ == OwnerVerdict::Lost && !Abandoned &&
      !Entry.Record_.Spec_.Idempotent_) {
    endJob(Job, JobState::Unknown, Reason::AttemptLost);
    return !Job || isFinal(Entry.Record_.State_);
  }
  if (!Abandoned)
    Ports_.Metrics_.countRetry(Status.Verdict_ == OwnerVerdict::NotRun
                                   ? Reason::StartFailed
                                   : Reason::AttemptLost);
  requeueMember(Job, Member);
  return true;
}

bool JobHome::recordAnswer(JobTable::Guard &Job, std::size_t Member,
                           const Answer &Reply) {
  JobEntry &Entry = Job.entry();
  JobRecord Updated = Entry.Record_;
  Updated.Answers_[Member] = Reply;
  const bool Complete = std::all_of(
      Updated.Answers_.begin(), Updated.Answers_.end(),
      [](const std::optional<Answer> &TaskAnswer) { return bool(TaskAnswer); });
  if (Complete)
    Updated.State_ = JobState::Finished;
  const auto Written = writeRecord(Job, Updated);
  // After a conflict the shard owner finds the new home in the job's row.
  if (!Written)
    return false;
  Entry.Members_[Member].Phase_ = MemberState::Phase::Done;
  if (Complete) {
    setCharged(Entry, false);
    Ports_.Metrics_.count("jobs_finished");
  } else if (Entry.CancelRequested_ && !hasActiveMember(Entry)) {
    finishCancel(Job);
  } else if (Entry.Restarting_ && !hasActiveMember(Entry)) {
    finishRestart(Job);
  }
  Job.store();
  RoundDue_ = true;
  return true;
}

void JobHome::finishRestart(JobTable::Guard &Job) {
  Job.entry().Restarting_ = false;
  setCharged(Job.entry(), false);
  Job.store();
  enqueue(Job.entry());
}

void JobHome::requeueMember(JobTable::Guard &Job, std::size_t Member) {
  JobEntry &Entry = Job.entry();
  Entry.Members_[Member].Phase_ = MemberState::Phase::Waiting;
  const bool Active = hasActiveMember(Entry);
  if (!Active && Entry.CancelRequested_) {
    finishCancel(Job);
    return;
  }
  const bool WaitsForOthers =
      Active && Entry.Record_.Spec_.Class_ == TaskClass::Gang;
  if (!Active) {
    Entry.Restarting_ = false;
    setCharged(Entry, false);
  }
  Job.store();
  if (WaitsForOthers) {
    // The tasks of a gang run together or not at all.
    stopPartialGang(Job);
    return;
  }
  enqueue(Entry);
}

void JobHome::finishCancel(JobTable::Guard &Job) {
  endJob(Job, JobState::Canceled, Reason::Canceled);
}

Result<JobRecord> JobHome::cancel(const std::string &Id) {
  {
    const MutexLock Lock(QueueMutex_);
    Queue_.remove(Id);
  }
  JobTable::Guard Job(Jobs_, Id);
  const Error NotHome{Reason::NotFound, Effect::None, "cancel job", Id,
                      "this node is not the home of the job"};
  if (!Job)
    return NotHome;
  JobEntry &Entry = Job.entry();
  if (!isFinal(Entry.Record_.State_) && !confirmHome(Job))
    return NotHome;
  if (isFinal(Entry.Record_.State_))
    return Entry.Record_;
  Entry.CancelRequested_ = true;
  Job.store();
  if (!hasActiveMember(Entry)) {
    finishCancel(Job);
    if (!Job)
      return NotHome;
    return Entry.Record_;
  }
  for (std::size_t Member = 0; Member < Entry.Members_.size(); ++Member) {
    if (Entry.Members_[Member].Phase_ != MemberState::Phase::Active)
      continue;
    // The next check repeats a stop that was lost.
    static_cast<void>(Owners_.stopTask(Id, Entry.Record_.Attempts_.at(Member)));
    Entry.Members_[Member].NextCheck_ = Millis{};
  }
  Job.store();
  return Entry.Record_;
}

} // namespace damaskglade::node
