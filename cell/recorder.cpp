#include "cell/recorder.h"

#include "core/codec.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// The platform's store accepts 100 entries in a transaction. Conditions,
// written rows and removed rows each count as one, including the leader row
// condition.
constexpr std::size_t MaxEntries = 96;
// A healthy store answers within 10 ms. Once the last transaction has taken
// this long, another one is sent without waiting for it.
constexpr Millis SlowStoreThreshold{40};
constexpr std::size_t MaxBatchesInFlight = 6;
// Changes within this time share a transaction.
constexpr Millis GroupDelay{4};
constexpr Millis RetryDelay{120};

std::string encodeWorkerRow(const dispatch::WorkerInfo &Info) {
  Json::Value Row;
  Row["a"] = Info.Address_;
  Row["s"] = Info.Service_;
  return writeJson(Row);
}

} // namespace

Result<dispatch::WorkerInfo> decodeWorkerRow(const StoredRow &Row) {
  BOOST_OUTCOME_TRY(Value, parseJson(Row.Value_, "decode worker row"));
  dispatch::WorkerInfo Info;
  Info.Id_ = Row.Name_.Key_;
  Info.Address_ = Value["a"].asString();
  Info.Service_ = Value["s"].asString();
  return Info;
}

Recorder::Recorder(const CellPorts &Ports, dispatch::Dispatcher &Jobs,
                   LeaderView Leader, std::function<void()> OnLeadershipLost)
    : Ports_(Ports), Jobs_(Jobs), Leader_(std::move(Leader)),
      OnLeadershipLost_(std::move(OnLeadershipLost)),
      ConfirmedAt_(Ports.Clock_.monotonic()) {}

void Recorder::recordJob(const std::string &Id,
                         std::function<void(Status)> Done) {
  NewJobs_.push_back(NewJob{Id, std::move(Done), false});
  schedule(GroupDelay);
}

void Recorder::collectChanges() {
  const std::vector<std::string> Changed = Jobs_.takeChangedJobs();
  if (Changed.empty())
    return;
  ++LastChangeNumber_;
  for (const std::string &Id : Changed)
    DirtyJobs_.try_emplace(Id, LastChangeNumber_);
  schedule(GroupDelay);
}

// Changes are numbered. A job keeps the number of its oldest change that is not
// recorded yet.
std::uint64_t Recorder::firstUnrecordedChange() const {
  std::uint64_t First = LastChangeNumber_ + 1;
  for (const auto &[Id, Number] : DirtyJobs_)
    First = std::min(First, Number);
  for (const auto &[Number, Sent] : InFlight_)
    for (const auto &[Id, Change] : Sent.Progress_)
      First = std::min(First, Change.FirstChange_);
  return First;
}

void Recorder::whenRecorded(std::function<void()> Done) {
  if (firstUnrecordedChange() > LastChangeNumber_)
    return Done();
  Waiters_.push_back(Waiter{LastChangeNumber_, std::move(Done)});
}

void Recorder::removeJobs(const std::vector<std::string> &Ids) {
  JobsToRemove_.insert(Ids.begin(), Ids.end());
  if (!Ids.empty())
    schedule(GroupDelay);
}

void Recorder::recordWorkers(const std::vector<dispatch::WorkerInfo> &Workers) {
  for (const dispatch::WorkerInfo &Worker : Workers)
    NewWorkers_[Worker.Id_] = Worker;
  if (!Workers.empty())
    schedule(GroupDelay);
}

void Recorder::removeWorkers(const std::vector<std::string> &Ids) {
  RemovedWorkers_.insert(Ids.begin(), Ids.end());
  if (!Ids.empty())
    schedule(GroupDelay);
}

bool Recorder::queuesEmpty() const {
  return NewJobs_.empty() && DirtyJobs_.empty() && JobsToRemove_.empty() &&
         NewWorkers_.empty() && RemovedWorkers_.empty();
}

void Recorder::schedule(Millis Delay) {
  if (Scheduled_ || Stopped_)
    return;
  Scheduled_ = true;
  Ports_.Timers_.after(Delay, [this] {
    Scheduled_ = false;
    flush();
  });
}

// One transaction at a time gives the largest groups, but several are sent if
// the store is slow.
bool Recorder::canFlush() const {
  if (InFlight_.empty())
    return true;
  const Millis LastSentAt = InFlight_.rbegin()->second.SentAt_;
  return InFlight_.size() < MaxBatchesInFlight && FailingSince_ == Millis{} &&
         Ports_.Clock_.monotonic() >= LastSentAt + SlowStoreThreshold;
}

bool Recorder::isInFlight(const std::string &Id) const {
  return std::any_of(
      InFlight_.begin(), InFlight_.end(),
      [&](const auto &Entry) { return Entry.second.Progress_.count(Id) > 0; });
}

void Recorder::addProgress(Batch &NewBatch, RowTransaction &Change,
                           std::size_t &Entries) {
  for (auto Iter = DirtyJobs_.begin();
       Iter != DirtyJobs_.end() && Entries < MaxEntries;) {
    const auto &[Id, FirstChange] = *Iter;
    // Two transactions with the same row would fail each other's conditions.
    if (isInFlight(Id)) {
      ++Iter;
      continue;
    }
    const dispatch::JobProgress Progress = Jobs_.progressOf(Id);
    const auto KnownVersion = Versions_.find(Id);
    Change.Conditions_.push_back(RowCondition{
        progressRow(Id),
        KnownVersion == Versions_.end() ? 0 : KnownVersion->second});
    Change.Puts_.push_back(
        RowPut{progressRow(Id), dispatch::encodeProgress(Progress)});
    Entries += 2;
    // Only the state of an ended job can be queried, and removing its job row
    // leaves fewer rows for a new leader to load. While tasks are still being
    // stopped the job row is kept, since it has their sizes.
    if (dispatch::isTerminal(Progress.State_) && !Jobs_.hasRuns(Id)) {
      Change.Removes_.push_back(jobRow(Id));
      ++Entries;
    }
    NewBatch.Progress_[Id] = SentChange{FirstChange, Progress.State_};
    Iter = DirtyJobs_.erase(Iter);
  }
}

RowTransaction Recorder::buildTransaction(Batch &NewBatch) {
  RowTransaction Change;
  Change.Conditions_.push_back(RowCondition{leaderRow(), Leader_.Version_});
  std::size_t Entries = 1;
  for (; !NewWorkers_.empty() && Entries < MaxEntries; ++Entries) {
    const auto First = NewWorkers_.begin();
    Change.Puts_.push_back(
        RowPut{workerRow(First->first), encodeWorkerRow(First->second)});
    NewBatch.Workers_.insert(NewWorkers_.extract(First));
  }
  for (; !RemovedWorkers_.empty() && Entries < MaxEntries; ++Entries) {
    const auto First = RemovedWorkers_.begin();
    Change.Removes_.push_back(workerRow(*First));
    NewBatch.RemovedWorkers_.insert(RemovedWorkers_.extract(First));
  }
  for (; !NewJobs_.empty() && Entries < MaxEntries; Entries += 2) {
    NewJob Next = std::move(NewJobs_.front());
    NewJobs_.pop_front();
    const dispatch::JobRun *Job = Jobs_.findJob(Next.Id_);
    Change.Conditions_.push_back(RowCondition{jobRow(Next.Id_), 0});
    Change.Puts_.push_back(
        RowPut{jobRow(Next.Id_), dispatch::encodeSpec(Job->Spec_)});
    NewBatch.Jobs_.push_back(std::move(Next));
  }
  addProgress(NewBatch, Change, Entries);
  for (; !JobsToRemove_.empty() && Entries < MaxEntries; Entries += 2) {
    const std::string Id = *JobsToRemove_.begin();
    JobsToRemove_.erase(JobsToRemove_.begin());
    Change.Removes_.push_back(jobRow(Id));
    Change.Removes_.push_back(progressRow(Id));
    NewBatch.Removals_.push_back(Id);
  }
  return Change;
}

void Recorder::flush() {
  if (Stopped_)
    return;
  collectChanges();
  if (queuesEmpty())
    return;
  if (!canFlush())
    return schedule(GroupDelay);
  Batch NewBatch;
  const RowTransaction Change = buildTransaction(NewBatch);
  if (Change.Puts_.empty() && Change.Removes_.empty())
    return; // Older states of all changed jobs are still in flight.
  NewBatch.SentAt_ = Ports_.Clock_.monotonic();
  const std::uint64_t Number = ++LastBatchNumber_;
  InFlight_.emplace(Number, std::move(NewBatch));
  Ports_.Store_.transact(
      Change, [this, Number](const Result<TransactionOutcome> &Outcome) {
        handleOutcome(Number, Outcome);
      });
  if (!queuesEmpty())
    schedule(GroupDelay);
}

void Recorder::handleOutcome(std::uint64_t Number,
                             const Result<TransactionOutcome> &Outcome) {
  if (Stopped_)
    return;
  Batch Finished = std::move(InFlight_.extract(Number).mapped());
  if (!Outcome)
    return handleFailure(std::move(Finished), Outcome.error());
  FailingSince_ = Millis{};
  if (!Outcome.value().Applied_)
    return handleConflict(std::move(Finished), Outcome.value().Current_);
  noteConfirmed(Finished.SentAt_);
  handleApplied(Finished, Outcome.value().Version_);
}

void Recorder::handleApplied(const Batch &Written, std::int64_t Version) {
  for (const auto &[Id, Change] : Written.Progress_) {
    Versions_[Id] = Version;
    Jobs_.markJobRecorded(Id, Change.State_);
  }
  for (const std::string &Id : Written.Removals_)
    Versions_.erase(Id);
  for (const auto &[Id, Info] : Written.Workers_)
    Jobs_.markWorkerRecorded(Id);
  for (const NewJob &Job : Written.Jobs_) {
    Jobs_.confirmJob(Job.Id_);
    if (Job.Done_)
      Job.Done_(success());
  }
  notifyWaiters();
  if (!queuesEmpty())
    schedule(GroupDelay);
}

void Recorder::notifyWaiters() {
  const std::uint64_t FirstUnrecorded = firstUnrecordedChange();
  std::vector<std::function<void()>> Due;
  for (auto Iter = Waiters_.begin(); Iter != Waiters_.end();) {
    if (Iter->LastChange_ >= FirstUnrecorded) {
      ++Iter;
      continue;
    }
    Due.push_back(std::move(Iter->Done_));
    Iter = Waiters_.erase(Iter);
  }
  for (const auto &Done : Due)
    Done();
}

// Puts the changes of a transaction that was not applied back into the queues.
void Recorder::requeue(Batch &Unwritten) {
  for (const auto &[Id, Change] : Unwritten.Progress_) {
    const auto [Entry, Added] = DirtyJobs_.try_emplace(Id, Change.FirstChange_);
    Entry->second = std::min(Entry->second, Change.FirstChange_);
  }
  JobsToRemove_.insert(Unwritten.Removals_.begin(), Unwritten.Removals_.end());
  NewWorkers_.merge(Unwritten.Workers_);
  RemovedWorkers_.merge(Unwritten.RemovedWorkers_);
}

// Either an earlier transaction of this leader was applied late, or there is a
// new leader. The current rows of the conditions tell which.
void Recorder::handleConflict(Batch Rejected,
                              const std::vector<StoredRow> &Current) {
  std::set<std::string> PresentJobs;
  for (const StoredRow &Row : Current) {
    if (Row.Name_ == leaderRow() && Row.Version_ != Leader_.Version_) {
      Stopped_ = true;
      logEvent(Ports_, LogLevel::Warning, "", "commit", "",
               "the leader row has changed, giving up leadership");
      return OnLeadershipLost_();
    }
    if (Row.Name_.Table_ == ProgressTable)
      Versions_[Row.Name_.Key_] = Row.Version_;
    if (Row.Name_.Table_ == JobsTable && Row.Version_ != 0)
      PresentJobs.insert(Row.Name_.Key_);
  }
  std::vector<NewJob> RecordedJobs;
  for (NewJob &Job : Rejected.Jobs_) {
    if (PresentJobs.count(Job.Id_) > 0)
      RecordedJobs.push_back(std::move(Job));
    else
      NewJobs_.push_back(std::move(Job));
  }
  requeue(Rejected);
  for (const NewJob &Job : RecordedJobs) {
    Jobs_.confirmJob(Job.Id_);
    if (Job.Done_)
      Job.Done_(success());
  }
  Ports_.Metrics_.countRetry(Reason::TableConflict);
  schedule(GroupDelay);
}

void Recorder::handleFailure(Batch Unwritten, const Error &Failure) {
  const Millis Now = Ports_.Clock_.monotonic();
  if (FailingSince_ == Millis{}) {
    FailingSince_ = Now;
    Ports_.Log_.write(failureEvent(Failure, ""));
  }
  Ports_.Metrics_.countRetry(Failure.Reason_);
  const bool MayBeApplied = Failure.Effect_ != Effect::None;
  std::vector<NewJob> RefusedJobs;
  for (NewJob &Job : Unwritten.Jobs_) {
    Job.MayBeRecorded_ = Job.MayBeRecorded_ || MayBeApplied;
    if (Job.MayBeRecorded_) {
      if (Job.Done_)
        Job.Done_(Failure);
      Job.Done_ = nullptr;
      NewJobs_.push_front(std::move(Job));
    } else {
      RefusedJobs.push_back(std::move(Job));
    }
  }
  requeue(Unwritten);
  for (const NewJob &Job : RefusedJobs) {
    Jobs_.dropJob(Job.Id_);
    Error Refusal = Failure;
    Refusal.Effect_ = Effect::None;
    if (Job.Done_)
      Job.Done_(Refusal);
  }
  schedule(RetryDelay);
}

} // namespace damaskglade::cell
