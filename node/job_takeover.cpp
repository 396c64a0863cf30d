#include "node/job_home.h"

#include <algorithm>

namespace damaskglade::node {

namespace {

// A write that has not taken effect within this time never will.
constexpr Millis UnresolvedWriteTimeout{30000};
// Shorter than a peer's call, so that a cancellation stops the tasks in time
// while the table does not answer.
constexpr Millis HomeCheckTimeout{1000};

} // namespace

void JobHome::trackUnresolvedWrite(const std::string &Id) {
  const MutexLock Lock(QueueMutex_);
  UnresolvedWrites_[Id] = Ports_.Clock_.monotonic() + UnresolvedWriteTimeout;
}

// Reads the rows of submissions and adoptions whose write had an unknown
// effect. A row that names this home is a job to manage, although the caller of
// the submission may not know it yet.
void JobHome::resolveUnknownWrites() {
  std::map<std::string, Millis> Writes;
  {
    const MutexLock Lock(QueueMutex_);
    Writes = UnresolvedWrites_;
  }
  for (const auto &[Id, CheckEnd] : Writes) {
    const auto Row = Store_.read(Id, Settings_.StoreTimeout_);
    if (!Row)
      return;
    if (Row.value() && isHomeOf(*Row.value()) && !isFinal(Row.value()->State_))
      addRecordedJob(*Row.value());
    const bool Decided =
        Row.value() && (isHomeOf(*Row.value()) || isFinal(Row.value()->State_));
    if (!Decided && Ports_.Clock_.monotonic() < CheckEnd)
      continue;
    const MutexLock Lock(QueueMutex_);
    UnresolvedWrites_.erase(Id);
  }
}

// A home that was paused past its lease may hold a job that another node has
// adopted. Returns false, and drops the job, if its row names another home.
bool JobHome::confirmHome(JobTable::Guard &Job) {
  const auto Row = Store_.read(Job.entry().Record_.Id_, HomeCheckTimeout);
  if (!Row || !Row.value() ||
      Row.value()->Version_ == Job.entry().Record_.Version_)
    return true;
  return applyRow(Job, *Row.value());
}

bool JobHome::refreshStale(JobTable::Guard &Job) {
  const auto Row =
      Store_.read(Job.entry().Record_.Id_, Settings_.StoreTimeout_);
  if (!Row || !Row.value())
    return false;
  return applyRow(Job, *Row.value());
}

// Returns false, and drops the job, if the row names another home.
bool JobHome::applyRow(JobTable::Guard &Job, const JobRecord &Current) {
  if (Current.Home_ != Self_.Id_) {
    Ports_.Metrics_.count("jobs_lost_to_another_home");
    setCharged(Job.entry(), false);
    Job.erase();
    return false;
  }
  // Attempts that were recorded but never started are resolved like all others
  // whose state is unknown: by a status query to the shard owner.
  const bool Charged = Job.entry().Charged_;
  Job.entry() = makeEntry(Current);
  Job.entry().Charged_ = Charged;
  Job.store();
  return true;
}

bool JobHome::adopt(const JobRecord &Record) {
  JobRecord Updated = Record;
  Updated.Home_ = Self_.Id_;
  Updated.HomeIncarnation_ = Incarnation_();
  const auto Written = Store_.update(Updated, Settings_.StoreTimeout_);
  if (!Written) {
    if (Written.error().Effect_ == Effect::Unknown)
      trackUnresolvedWrite(Record.Id_);
    return false;
  }
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
                  [](const MemberState &State) {
                    return State.Phase_ == MemberState::Phase::Waiting;
                  });
  if (Waiting && !hasActiveMember(Entry))
    enqueue(Entry);
  return true;
}

} // namespace damaskglade::node
