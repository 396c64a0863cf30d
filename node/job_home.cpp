#include "node/job_home.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

constexpr std::size_t MaxQueuedPlacements = 256;
// A write that has not taken effect by then never will.
constexpr Millis UnresolvedWriteTime{30000};

policy::QueuedJob queuedJob(const JobRecord &Record, Millis Now) {
  const JobSpec &Spec = Record.Spec_;
  policy::QueuedJob Out;
  Out.Id_ = Record.Id_;
  Out.Team_ = Spec.Team_;
  Out.Class_ = Spec.Class_;
  Out.Urgency_ = Spec.Urgency_;
  Out.Size_ = Spec.Size_;
  Out.Tasks_ = Spec.Tasks_;
  Out.Run_ = Spec.Run_;
  Out.Enqueued_ = Now;
  if (Spec.Deadline_ > Millis{})
    Out.Deadline_ = Now + Spec.Deadline_;
  return Out;
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
    const config::ClassSettings &Each = Cell.Classes_.at(Class);
    Shares.ClassWeight_.at(Class) = static_cast<double>(Each.Weight_);
    Shares.ClassMinimum_.at(Class) =
        static_cast<double>(Each.MinSharePercent_) * Percent;
    Queue.ClassBounds_.at(Class) = static_cast<std::size_t>(Each.MaxQueued_);
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
  // Before any worker is known nothing can be said.
  if (Largest == Resources{})
    return success();
  const std::string_view Short = firstShortage(Spec.Size_, Largest);
  if (Short.empty())
    return success();
  return Error{Reason::NeverFits, Effect::None, "check size",
               "size." + std::string(Short),
               "no worker has that much \"" + std::string(Short) + "\""};
}

Result<Accepted> JobHome::submit(const JobSpec &Spec) {
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
      noteUnresolved(Record.Id_);
    return Written.error();
  }
  adoptWritten(Written.value());
  return Accepted{Written.value(), true};
}

Result<Accepted> JobHome::resolveConflict(const JobSpec &Spec,
                                          const JobRecord &New) {
  BOOST_OUTCOME_TRY(Present, Store_.read(New.Id_, Settings_.StoreTimeout_));
  if (!Present)
    return Error{
        Reason::TableConflict,           Effect::None, "submit job", New.Id_,
        "the job was removed meanwhile", Millis{1000}};
  if (!(Present->Spec_ == Spec))
    return Error{Reason::IdempotencyKeyReused, Effect::None, "submit job",
                 "key", "the key was used before with other content"};
  // The first submission may have been written without its node learning it.
  if (isOwn(*Present) && !isFinal(Present->State_))
    adoptWritten(*Present);
  return Accepted{*Present, false};
}

bool JobHome::isOwn(const JobRecord &Record) const {
  return Record.Home_ == Self_.Id_ && Record.HomeIncarnation_ == Incarnation_();
}

void JobHome::adoptWritten(const JobRecord &Record) {
  const JobEntry Entry = makeEntry(Record);
  if (Jobs_.add(Entry) && !anyActive(Entry))
    enqueue(Entry);
}

void JobHome::noteUnresolved(const std::string &Id) {
  const MutexLock Lock(QueueMutex_);
  Unresolved_[Id] = Ports_.Clock_.monotonic() + UnresolvedWriteTime;
}

// Reads the rows of submissions whose write had an unknown effect: a row that
// is there has been accepted, although its caller may not know it yet.
void JobHome::resolveWrites() {
  std::map<std::string, Millis> Open;
  {
    const MutexLock Lock(QueueMutex_);
    Open = Unresolved_;
  }
  for (const auto &[Id, End] : Open) {
    const auto Row = Store_.read(Id, Settings_.StoreTimeout_);
    if (!Row)
      return;
    if (Row.value() && isOwn(*Row.value()) && !isFinal(Row.value()->State_))
      adoptWritten(*Row.value());
    if (!Row.value() && Ports_.Clock_.monotonic() < End)
      continue;
    const MutexLock Lock(QueueMutex_);
    Unresolved_.erase(Id);
  }
}

// Refuses before anything is written, and sets a place in the queue aside for
// the time of the write.
Status JobHome::admit(const JobRecord &Record) {
  const Millis Now = Ports_.Clock_.monotonic();
  const MutexLock Lock(QueueMutex_);
  BOOST_OUTCOME_TRYV(Admission_.admit(queuedJob(Record, Now), Now));
  return Queue_.reserve(Record.Spec_.Class_, Record.Spec_.Team_);
}

void JobHome::enqueue(const JobEntry &Entry) {
  const MutexLock Lock(QueueMutex_);
  Queue_.adopt(queuedJob(Entry.Record_, Ports_.Clock_.monotonic()));
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
                                       const JobRecord &Next) {
  auto Written = Store_.update(Next, Settings_.StoreTimeout_);
  if (Written) {
    Job.entry().Record_ = Written.value();
    Job.entry().Stale_ = false;
    return Written;
  }
  if (Written.error().Reason_ == Reason::TableConflict) {
    // Another node has adopted the job; this one has no say in it any more.
    Ports_.Log_.write(failureEvent(Written.error(), Next.Id_));
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
    Admission_.started(queuedJob(Entry.Record_, Now), Now);
    Shares_.start(Spec.Class_, Spec.Team_, Spec.Urgency_, Amount, Now);
  } else {
    Shares_.finish(Spec.Class_, Spec.Team_, Spec.Urgency_, Amount, Now);
  }
  RoundDue_ = true;
}

void JobHome::endJob(JobTable::Guard &Job, JobState State, Reason Why) {
  JobRecord Next = Job.entry().Record_;
  Next.State_ = State;
  Next.Reason_ = Why;
  if (!writeRecord(Job, Next))
    return;
  setCharged(Job.entry(), false);
  Ports_.Metrics_.count("jobs_" + std::string(jobStateName(State)));
  Job.store();
}

bool JobHome::finish(const std::string &Attempt, const OwnerStatus &Status) {
  std::string Id;
  damaskglade::Attempt Try;
  if (!splitAttemptId(Attempt, Id, Try))
    return true;
  JobTable::Guard Job(Jobs_, Id);
  if (!Job)
    return false;
  JobEntry &Entry = Job.entry();
  const auto Member = static_cast<std::size_t>(Try.Member_);
  const bool Current = Member < Entry.Record_.Attempts_.size() &&
                       Entry.Record_.Attempts_[Member].Number_ == Try.Number_;
  if (!Current && Entry.Stale_)
    return false;
  if (!Current || Entry.Members_[Member].Phase_ != MemberState::Phase::Active) {
    Ports_.Metrics_.count("late_completions");
    return true;
  }
  return endMember(Job, Member, Status);
}

bool JobHome::endMember(JobTable::Guard &Job, std::size_t Member,
                        const OwnerStatus &Status) {
  JobEntry &Entry = Job.entry();
  const bool Abandoned = Entry.CancelRequested_ || Entry.Restarting_;
  // A member that finished before its stop arrived must not run again.
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
  JobRecord Next = Entry.Record_;
  Next.Answers_[Member] = Reply;
  const bool Complete =
      std::all_of(Next.Answers_.begin(), Next.Answers_.end(),
                  [](const std::optional<Answer> &Each) { return bool(Each); });
  if (Complete)
    Next.State_ = JobState::Finished;
  const auto Written = writeRecord(Job, Next);
  // After a conflict the owner finds the new home in the job's row.
  if (!Written)
    return false;
  Entry.Members_[Member].Phase_ = MemberState::Phase::Done;
  if (Complete) {
    setCharged(Entry, false);
    Ports_.Metrics_.count("jobs_finished");
  } else if (Entry.CancelRequested_ && !anyActive(Entry)) {
    finishCancel(Job);
  } else if (Entry.Restarting_ && !anyActive(Entry)) {
    restartWaiting(Job);
  }
  Job.store();
  RoundDue_ = true;
  return true;
}

void JobHome::restartWaiting(JobTable::Guard &Job) {
  Job.entry().Restarting_ = false;
  setCharged(Job.entry(), false);
  Job.store();
  enqueue(Job.entry());
}

void JobHome::requeueMember(JobTable::Guard &Job, std::size_t Member) {
  JobEntry &Entry = Job.entry();
  Entry.Members_[Member].Phase_ = MemberState::Phase::Waiting;
  const bool Active = anyActive(Entry);
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
    // The members of a gang run together or not at all.
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
  if (!Job)
    return Error{Reason::NotFound, Effect::None, "cancel job", Id,
                 "this node does not drive the job"};
  JobEntry &Entry = Job.entry();
  if (isFinal(Entry.Record_.State_))
    return Entry.Record_;
  Entry.CancelRequested_ = true;
  Job.store();
  if (!anyActive(Entry)) {
    finishCancel(Job);
    return Entry.Record_;
  }
  for (std::size_t Member = 0; Member < Entry.Members_.size(); ++Member) {
    if (Entry.Members_[Member].Phase_ != MemberState::Phase::Active)
      continue;
    // A stop that is lost is repeated by the next check.
    static_cast<void>(Owners_.stopTask(Id, Entry.Record_.Attempts_.at(Member)));
    Entry.Members_[Member].NextCheck_ = Millis{};
  }
  Job.store();
  return Entry.Record_;
}

bool JobHome::adopt(const JobRecord &Record) {
  JobRecord Next = Record;
  Next.Home_ = Self_.Id_;
  Next.HomeIncarnation_ = Incarnation_();
  const auto Written = Store_.update(Next, Settings_.StoreTimeout_);
  if (!Written)
    return false;
  const JobEntry Entry = makeEntry(Written.value());
  if (!Jobs_.add(Entry)) {
    JobTable::Guard Job(Jobs_, Record.Id_);
    if (!Job)
      return false;
    Job.entry() = Entry;
    Job.store();
  }
  Ports_.Metrics_.count("jobs_adopted");
  const bool Waiting =
      std::any_of(Entry.Members_.begin(), Entry.Members_.end(),
                  [](const MemberState &Each) {
                    return Each.Phase_ == MemberState::Phase::Waiting;
                  });
  if (Waiting && !anyActive(Entry))
    enqueue(Entry);
  return true;
}

} // namespace damaskglade::node
