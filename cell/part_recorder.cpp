#include "cell/part_recorder.h"

#include "core/codec.h"

#include <algorithm>
#include <utility>

namespace damaskglade::cell {

namespace {

// Maximum number of entries of a transaction; the platform's store accepts 100.
// Each condition, written row and removed row is one entry, and so is the
// condition on the leader row.
constexpr std::size_t MaxEntries = 96;
// Once the last transaction has taken longer than this, the next one is sent
// without waiting for it. A healthy store answers within 10 ms.
constexpr Millis SlowStoreThreshold{40};
constexpr std::size_t MaxBatchesInFlight = 6;
// Changes within this time share a transaction.
constexpr Millis GroupDelay{4};
// A busy event loop delays a transaction by this at most, in addition.
constexpr Millis MaxIdleDelay{16};
// Delay of the next transaction after one has failed.
constexpr Millis RetryDelay{120};
// A transaction without a reply for this long counts as a sign of failure. Its
// timeout is six times longer.
constexpr Millis UnansweredLimit{300};
// A partition to which nothing is written stays marked as failing, so it is
// tried again once its last failure is this long ago.
constexpr Millis RetrialDelay{1000};

} // namespace

PartRecorder::PartRecorder(const CellPorts &Ports,
                           dispatch::Dispatcher &Dispatcher, std::string Part,
                           std::int64_t Epoch, Events Handlers)
    : Ports_(Ports), Dispatcher_(Dispatcher), Part_(std::move(Part)),
      Epoch_(Epoch), Events_(std::move(Handlers)),
      ConfirmedAt_(Ports.Clock_.monotonic()) {}

void PartRecorder::recordJob(const std::string &Id,
                             std::function<void(Status)> Done) {
  NewJobs_.push_back(NewJob{Id, std::move(Done), false});
  scheduleFlush(GroupDelay);
}

void PartRecorder::recordProgress(const std::vector<std::string> &Ids) {
  if (Ids.empty())
    return;
  ++LastChangeNumber_;
  for (const std::string &Id : Ids)
    DirtyJobs_.try_emplace(Id, LastChangeNumber_);
  scheduleFlush(GroupDelay);
}

void PartRecorder::recordRow(const RowName &Name,
                             std::optional<std::string> Value) {
  ++LastChangeNumber_;
  const auto [Entry, Added] =
      NewRows_.try_emplace(Name, RowChange{std::nullopt, LastChangeNumber_});
  Entry->second.Value_ = std::move(Value);
  scheduleFlush(GroupDelay);
}

bool PartRecorder::isOverdue() const {
  return !BatchesInFlight_.empty() &&
         Ports_.Clock_.monotonic() >
             BatchesInFlight_.begin()->second.SentAt_ + UnansweredLimit;
}

bool PartRecorder::isResponsive() const {
  return FailingSince_ == Millis{} && !isOverdue();
}

bool PartRecorder::mayBeServedAgain() const {
  return FailingSince_ > Millis{} && !isOverdue() &&
         Ports_.Clock_.monotonic() > LastFailureAt_ + RetrialDelay;
}

void PartRecorder::handleReadSuccess(Millis SentAt) {
  updateConfirmedAt(SentAt);
  if (BatchesInFlight_.empty() && queuesEmpty())
    endFailure();
}

void PartRecorder::endFailure() {
  const Millis Start = std::exchange(FailingSince_, Millis{});
  if (Start > Millis{})
    logEvent(Ports_, LogLevel::Info, "", "commit", Part_,
             "the store works again, failed_ms=" +
                 std::to_string((Ports_.Clock_.monotonic() - Start).Value_));
}

// Each call of recordProgress() or recordRow() gives its changes the next
// number. A job or row keeps the number of its oldest change that is not
// recorded yet.
std::uint64_t PartRecorder::oldestUnrecordedChange() const {
  std::uint64_t Oldest = LastChangeNumber_ + 1;
  for (const auto &[Id, Number] : DirtyJobs_)
    Oldest = std::min(Oldest, Number);
  for (const auto &[Name, Change] : NewRows_)
    Oldest = std::min(Oldest, Change.OldestChange_);
  for (const auto &[BatchNumber, SentBatch] : BatchesInFlight_) {
    for (const auto &[Id, Change] : SentBatch.Progress_)
      Oldest = std::min(Oldest, Change.OldestChange_);
    for (const auto &[Name, Change] : SentBatch.Rows_)
      Oldest = std::min(Oldest, Change.OldestChange_);
  }
  return Oldest;
}

void PartRecorder::whenRecorded(std::function<void()> Done) {
  if (oldestUnrecordedChange() > LastChangeNumber_)
    return Done();
  Waiters_.push_back(Waiter{LastChangeNumber_, std::move(Done)});
}

void PartRecorder::removeJobs(const std::vector<std::string> &Ids) {
  JobsToRemove_.insert(Ids.begin(), Ids.end());
  if (!Ids.empty())
    scheduleFlush(GroupDelay);
}

void PartRecorder::recordWorkers(
    const std::vector<dispatch::WorkerInfo> &Workers) {
  for (const dispatch::WorkerInfo &Worker : Workers) {
    NewWorkers_[Worker.Id_] = WorkerRow{Worker, std::nullopt, 0};
    RemovedWorkers_.erase(Worker.Id_);
  }
  if (!Workers.empty())
    scheduleFlush(GroupDelay);
}

void PartRecorder::closeWorkers(
    const std::vector<dispatch::LeaseClosing> &Closings) {
  std::vector<std::string> Empty;
  for (const dispatch::LeaseClosing &Closing : Closings) {
    if (!Closing.Leases_) {
      Empty.push_back(Closing.Info_.Id_);
    } else if (auto Row = closedRow(Closing)) {
      NewWorkers_[Closing.Info_.Id_] = std::move(*Row);
      RemovedWorkers_.erase(Closing.Info_.Id_);
    }
  }
  removeWorkers(Empty);
  if (!NewWorkers_.empty())
    scheduleFlush(GroupDelay);
}

std::optional<WorkerRow>
PartRecorder::closedRow(const dispatch::LeaseClosing &Closing) const {
  if (StoreClock_.StoreClock_ == Millis{})
    return std::nullopt;
  WorkerRow Row{Closing.Info_, Closing.Leases_, Epoch_};
  Row.Closed_->Expiry_ = latestStoreTime(StoreClock_, Row.Closed_->Expiry_);
  return Row;
}

void PartRecorder::updateStoreClock(Millis SentAt, Millis StoreClock) {
  if (StoreClock > Millis{})
    StoreClock_ =
        StoreClockReading{SentAt, Ports_.Clock_.monotonic(), StoreClock};
}

// Rows that do not fit into one transaction are written by several. A row whose
// write fails stays open, so the next leader waits longer than it has to.
void PartRecorder::recordResignation(
    Resignation Record, const std::vector<dispatch::LeaseClosing> &Closings,
    const std::function<void()> &Done) {
  if (StoreClock_.StoreClock_ == Millis{})
    return Done();
  Record.LeaseExpiry_ = latestStoreTime(StoreClock_, Record.LeaseExpiry_);
  const RowCondition LeaderCondition{leaderRow(Part_), LeaderRowVersion_};
  std::vector<RowTransaction> Transactions(1);
  Transactions.back().Conditions_ = {LeaderCondition};
  Transactions.back().Puts_ = {
      RowPut{resignationRow(), encodeResignation(Record)}};
  std::size_t EntryCount = MaxEntries;
  for (const dispatch::LeaseClosing &Closing : Closings) {
    const std::string &Id = Closing.Info_.Id_;
    if (isWorkerInFlight(Id))
      continue;
    if (EntryCount >= MaxEntries) {
      Transactions.emplace_back().Conditions_ = {LeaderCondition};
      EntryCount = 1;
    }
    RowTransaction &Transaction = Transactions.back();
    Transaction.Conditions_.push_back(workerCondition(Id));
    if (Closing.Leases_)
      Transaction.Puts_.push_back(
          RowPut{workerRow(Id), encodeWorkerRow(*closedRow(Closing))});
    else
      Transaction.Removes_.push_back(workerRow(Id));
    EntryCount += 2;
  }
  const auto OpenCalls = std::make_shared<std::size_t>(Transactions.size());
  for (const RowTransaction &Transaction : Transactions)
    Ports_.Store_.transact(
        Transaction, [OpenCalls, Done](const Result<TransactionOutcome> &) {
          if (--*OpenCalls == 0)
            Done();
        });
}

void PartRecorder::removeWorkers(const std::vector<std::string> &Ids) {
  for (const std::string &Id : Ids) {
    RemovedWorkers_.insert(Id);
    NewWorkers_.erase(Id);
  }
  if (!Ids.empty())
    scheduleFlush(GroupDelay);
}

// The callbacks may hold the owner of this object.
void PartRecorder::stop() {
  Stopped_ = true;
  NewJobs_.clear();
  BatchesInFlight_.clear();
  Waiters_.clear();
}

bool PartRecorder::queuesEmpty() const {
  return NewJobs_.empty() && DirtyJobs_.empty() && JobsToRemove_.empty() &&
         NewWorkers_.empty() && RemovedWorkers_.empty() && NewRows_.empty();
}

void PartRecorder::scheduleFlush(Millis Delay) {
  if (FlushScheduled_ || Stopped_)
    return;
  FlushScheduled_ = true;
  Ports_.Timers_.after(Delay, [this, Alive = std::weak_ptr<bool>(Alive_)] {
    if (!Alive.expired())
      flushWhenIdle();
  });
}

// Changes that are handled meanwhile share the transaction.
void PartRecorder::flushWhenIdle() {
  Ports_.Timers_.whenIdle(MaxIdleDelay,
                          [this, Alive = std::weak_ptr<bool>(Alive_)] {
                            if (Alive.expired())
                              return;
                            FlushScheduled_ = false;
                            flush();
                          });
}

// Normally one transaction at a time is sent, so that each takes as many
// changes as possible. If the store is slow, or if changes are left that a full
// transaction does not hold, several are in flight.
bool PartRecorder::canFlush() const {
  if (BatchesInFlight_.empty())
    return true;
  const Millis LastSentAt = BatchesInFlight_.rbegin()->second.SentAt_;
  return BatchesInFlight_.size() < MaxBatchesInFlight &&
         FailingSince_ == Millis{} &&
         (LastBatchFull_ ||
          Ports_.Clock_.monotonic() >= LastSentAt + SlowStoreThreshold);
}

bool PartRecorder::isInFlight(const std::string &Id) const {
  return std::any_of(
      BatchesInFlight_.begin(), BatchesInFlight_.end(),
      [&](const auto &Entry) { return Entry.second.Progress_.count(Id) > 0; });
}

void PartRecorder::addProgress(Batch &NewBatch, RowTransaction &Transaction,
                               std::size_t &EntryCount) {
  for (auto Iter = DirtyJobs_.begin();
       Iter != DirtyJobs_.end() && EntryCount < MaxEntries;) {
    const auto &[Id, FirstChange] = *Iter;
    // A transaction in flight changes the version of the row, which would fail
    // the version condition of a second one.
    if (isInFlight(Id)) {
      ++Iter;
      continue;
    }
    const dispatch::JobProgress Progress = Dispatcher_.progressOf(Id);
    const auto KnownVersion = ProgressRowVersions_.find(Id);
    Transaction.Conditions_.push_back(RowCondition{
        progressRow(Id, Part_),
        KnownVersion == ProgressRowVersions_.end() ? 0 : KnownVersion->second});
    Transaction.Puts_.push_back(
        RowPut{progressRow(Id, Part_), dispatch::encodeProgress(Progress)});
    EntryCount += 2;
    // The job row of an ended job is removed, so that a new leader has fewer
    // rows to load; callers can only query the state, which is in the progress
    // row. The job row is kept while tasks are still being stopped, since it
    // has the resources that they use.
    if (dispatch::isTerminal(Progress.State_) && !Dispatcher_.hasRuns(Id)) {
      Transaction.Removes_.push_back(jobRow(Id, Part_));
      ++EntryCount;
    }
    NewBatch.Progress_[Id] =
        SentChange{FirstChange, Progress.State_, Dispatcher_.countCrashes(Id)};
    Iter = DirtyJobs_.erase(Iter);
  }
}

bool PartRecorder::isWorkerInFlight(const std::string &Id) const {
  return std::any_of(BatchesInFlight_.begin(), BatchesInFlight_.end(),
                     [&](const auto &Entry) {
                       return Entry.second.Workers_.count(Id) > 0 ||
                              Entry.second.RemovedWorkers_.count(Id) > 0;
                     });
}

RowCondition PartRecorder::workerCondition(const std::string &Id) const {
  const auto KnownVersion = WorkerRowVersions_.find(Id);
  return RowCondition{workerRow(Id), KnownVersion == WorkerRowVersions_.end()
                                         ? 0
                                         : KnownVersion->second};
}

// A transaction that the store carries out late must not put back the address
// that a worker has left, nor remove a worker that is back. Hence the version
// conditions, and one transaction at a time for each worker.
void PartRecorder::addWorkers(Batch &NewBatch, RowTransaction &Transaction,
                              std::size_t &EntryCount) {
  for (auto Iter = NewWorkers_.begin();
       Iter != NewWorkers_.end() && EntryCount < MaxEntries;) {
    const auto Worker = Iter++;
    if (isWorkerInFlight(Worker->first))
      continue;
    Transaction.Conditions_.push_back(workerCondition(Worker->first));
    Transaction.Puts_.push_back(
        RowPut{workerRow(Worker->first), encodeWorkerRow(Worker->second)});
    EntryCount += 2;
    NewBatch.Workers_.insert(NewWorkers_.extract(Worker));
  }
  for (auto Iter = RemovedWorkers_.begin();
       Iter != RemovedWorkers_.end() && EntryCount < MaxEntries;) {
    const auto Id = Iter++;
    if (isWorkerInFlight(*Id))
      continue;
    Transaction.Conditions_.push_back(workerCondition(*Id));
    Transaction.Removes_.push_back(workerRow(*Id));
    EntryCount += 2;
    NewBatch.RemovedWorkers_.insert(RemovedWorkers_.extract(Id));
  }
}

// Of each row one transaction at a time is in flight, so that they are carried
// out in order.
void PartRecorder::addRows(Batch &NewBatch, RowTransaction &Transaction,
                           std::size_t &EntryCount) {
  const auto IsInFlight = [this](const RowName &Name) {
    return std::any_of(
        BatchesInFlight_.begin(), BatchesInFlight_.end(),
        [&](const auto &Entry) { return Entry.second.Rows_.count(Name) > 0; });
  };
  for (auto Iter = NewRows_.begin();
       Iter != NewRows_.end() && EntryCount < MaxEntries;) {
    const auto Row = Iter++;
    if (IsInFlight(Row->first))
      continue;
    if (Row->second.Value_)
      Transaction.Puts_.push_back(RowPut{Row->first, *Row->second.Value_});
    else
      Transaction.Removes_.push_back(Row->first);
    ++EntryCount;
    NewBatch.Rows_.insert(NewRows_.extract(Row));
  }
}

RowTransaction PartRecorder::buildTransaction(Batch &NewBatch) {
  RowTransaction Transaction;
  Transaction.Conditions_.push_back(
      RowCondition{leaderRow(Part_), LeaderRowVersion_});
  std::size_t EntryCount = 1;
  addWorkers(NewBatch, Transaction, EntryCount);
  addRows(NewBatch, Transaction, EntryCount);
  for (; !NewJobs_.empty() && EntryCount < MaxEntries; EntryCount += 2) {
    NewJob Submission = std::move(NewJobs_.front());
    NewJobs_.pop_front();
    const dispatch::JobRun *Job = Dispatcher_.findJob(Submission.Id_);
    Transaction.Conditions_.push_back(
        RowCondition{jobRow(Submission.Id_, Part_), 0});
    Transaction.Puts_.push_back(RowPut{jobRow(Submission.Id_, Part_),
                                       dispatch::encodeSpec(Job->Spec_)});
    NewBatch.Jobs_.push_back(std::move(Submission));
  }
  addProgress(NewBatch, Transaction, EntryCount);
  for (; !JobsToRemove_.empty() && EntryCount < MaxEntries; EntryCount += 2) {
    const std::string Id = *JobsToRemove_.begin();
    JobsToRemove_.erase(JobsToRemove_.begin());
    Transaction.Removes_.push_back(jobRow(Id, Part_));
    Transaction.Removes_.push_back(progressRow(Id, Part_));
    NewBatch.RemovedJobs_.push_back(Id);
  }
  return Transaction;
}

void PartRecorder::flush() {
  if (Stopped_)
    return;
  Events_.OnFlush_();
  if (queuesEmpty())
    return;
  if (!canFlush())
    return scheduleFlush(GroupDelay);
  bool Sent = true;
  while (Sent && !queuesEmpty() && canFlush())
    Sent = sendBatch();
  // Otherwise all changed jobs are also in transactions in flight.
  if (Sent && !queuesEmpty())
    scheduleFlush(GroupDelay);
}

bool PartRecorder::sendBatch() {
  Batch NewBatch;
  const RowTransaction Transaction = buildTransaction(NewBatch);
  if (Transaction.Puts_.empty() && Transaction.Removes_.empty())
    return false;
  LastBatchFull_ = Transaction.Conditions_.size() + Transaction.Puts_.size() +
                       Transaction.Removes_.size() >=
                   MaxEntries;
  NewBatch.SentAt_ = Ports_.Clock_.monotonic();
  const std::uint64_t BatchNumber = ++LastBatchNumber_;
  BatchesInFlight_.emplace(BatchNumber, std::move(NewBatch));
  Ports_.Store_.transact(
      Transaction, [this, BatchNumber, Alive = std::weak_ptr<bool>(Alive_)](
                       const Result<TransactionOutcome> &Outcome) {
        if (!Alive.expired())
          handleOutcome(BatchNumber, Outcome);
      });
  return true;
}

void PartRecorder::handleOutcome(std::uint64_t BatchNumber,
                                 const Result<TransactionOutcome> &Outcome) {
  if (Stopped_)
    return;
  Batch FinishedBatch =
      std::move(BatchesInFlight_.extract(BatchNumber).mapped());
  if (!Outcome)
    return handleFailure(std::move(FinishedBatch), Outcome.error());
  endFailure();
  AnsweredAt_ = Ports_.Clock_.monotonic();
  updateStoreClock(FinishedBatch.SentAt_, Outcome.value().StoreClock_);
  if (!Outcome.value().Applied_)
    return handleConflict(std::move(FinishedBatch), Outcome.value().Current_);
  updateConfirmedAt(FinishedBatch.SentAt_);
  handleApplied(FinishedBatch, Outcome.value().Version_);
}

void PartRecorder::handleApplied(const Batch &WrittenBatch,
                                 std::int64_t Version) {
  for (const auto &[Id, Change] : WrittenBatch.Progress_) {
    ProgressRowVersions_[Id] = Version;
    Dispatcher_.markJobRecorded(Id, Change.State_, Change.Crashes_);
  }
  for (const std::string &Id : WrittenBatch.RemovedJobs_)
    ProgressRowVersions_.erase(Id);
  for (const auto &[Id, Row] : WrittenBatch.Workers_) {
    WorkerRowVersions_[Id] = Version;
    if (Row.Closed_)
      continue;
    Dispatcher_.markWorkerRecorded(Id, Row.Info_.Address_);
    Events_.OnWorkerOpened_(Id);
  }
  for (const std::string &Id : WrittenBatch.RemovedWorkers_)
    WorkerRowVersions_.erase(Id);
  for (const NewJob &Job : WrittenBatch.Jobs_) {
    Dispatcher_.confirmJob(Job.Id_);
    if (Job.Done_)
      Job.Done_(success());
  }
  notifyWaiters();
  if (!queuesEmpty())
    scheduleFlush(GroupDelay);
}

void PartRecorder::notifyWaiters() {
  const std::uint64_t OldestUnrecorded = oldestUnrecordedChange();
  std::vector<std::function<void()>> DueCallbacks;
  for (auto Iter = Waiters_.begin(); Iter != Waiters_.end();) {
    if (Iter->LastChange_ >= OldestUnrecorded) {
      ++Iter;
      continue;
    }
    DueCallbacks.push_back(std::move(Iter->Done_));
    Iter = Waiters_.erase(Iter);
  }
  for (const auto &Done : DueCallbacks)
    Done();
}

// Puts the changes of a transaction that was not applied back into the queues.
void PartRecorder::requeue(Batch &FailedBatch) {
  for (const auto &[Id, Change] : FailedBatch.Progress_) {
    const auto [Entry, Added] =
        DirtyJobs_.try_emplace(Id, Change.OldestChange_);
    Entry->second = std::min(Entry->second, Change.OldestChange_);
  }
  JobsToRemove_.insert(FailedBatch.RemovedJobs_.begin(),
                       FailedBatch.RemovedJobs_.end());
  // What was queued since then is newer.
  for (const auto &[Name, Change] : FailedBatch.Rows_) {
    const auto [Entry, Added] = NewRows_.try_emplace(Name, Change);
    Entry->second.OldestChange_ =
        std::min(Entry->second.OldestChange_, Change.OldestChange_);
  }
  for (const auto &[Id, Row] : FailedBatch.Workers_)
    if (RemovedWorkers_.count(Id) == 0)
      NewWorkers_.try_emplace(Id, Row);
  for (const std::string &Id : FailedBatch.RemovedWorkers_)
    if (NewWorkers_.count(Id) == 0)
      RemovedWorkers_.insert(Id);
}

// A condition did not match: either an earlier transaction of this leader was
// applied after its timeout, or there is a new leader. The rows that the store
// returns for the conditions show which.
void PartRecorder::handleConflict(Batch RejectedBatch,
                                  const std::vector<StoredRow> &CurrentRows) {
  // The store may omit rows that do not exist.
  for (const auto &[Id, Change] : RejectedBatch.Progress_)
    ProgressRowVersions_.erase(Id);
  for (const auto &[Id, Row] : RejectedBatch.Workers_)
    WorkerRowVersions_.erase(Id);
  for (const std::string &Id : RejectedBatch.RemovedWorkers_)
    WorkerRowVersions_.erase(Id);
  std::set<std::string> PresentJobs;
  for (const StoredRow &Row : CurrentRows) {
    if (Row.Name_ == leaderRow(Part_) && Row.Version_ != LeaderRowVersion_) {
      Stopped_ = true;
      logEvent(Ports_, LogLevel::Warning, "", "commit", "",
               "the leader row has changed, giving up leadership");
      return Events_.OnLeadershipLost_();
    }
    if (Row.Name_.Table_ == ProgressTable)
      ProgressRowVersions_[Row.Name_.Key_] = Row.Version_;
    if (Row.Name_.Table_ == WorkersTable)
      WorkerRowVersions_[Row.Name_.Key_] = Row.Version_;
    if (Row.Name_.Table_ == JobsTable && Row.Version_ != 0)
      PresentJobs.insert(Row.Name_.Key_);
  }
  std::vector<NewJob> RecordedJobs;
  for (NewJob &Job : RejectedBatch.Jobs_) {
    if (PresentJobs.count(Job.Id_) > 0)
      RecordedJobs.push_back(std::move(Job));
    else
      NewJobs_.push_back(std::move(Job));
  }
  requeue(RejectedBatch);
  for (const NewJob &Job : RecordedJobs) {
    Dispatcher_.confirmJob(Job.Id_);
    if (Job.Done_)
      Job.Done_(success());
  }
  Ports_.Metrics_.countRetry(Reason::TableConflict);
  scheduleFlush(GroupDelay);
}

void PartRecorder::handleFailure(Batch FailedBatch, const Error &Failure) {
  LastFailureAt_ = Ports_.Clock_.monotonic();
  if (FailingSince_ == Millis{}) {
    FailingSince_ = LastFailureAt_;
    Ports_.Log_.write(failureEvent(Failure, ""));
  }
  Ports_.Metrics_.countRetry(Failure.Reason_);
  const bool MayBeApplied = Failure.Effect_ != Effect::None;
  std::vector<NewJob> RefusedJobs;
  for (NewJob &Job : FailedBatch.Jobs_) {
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
  requeue(FailedBatch);
  for (const NewJob &Job : RefusedJobs) {
    Error Refusal = Failure;
    Refusal.Effect_ = Effect::None;
    if (Job.Done_)
      Job.Done_(Refusal);
  }
  scheduleFlush(RetryDelay);
}

} // namespace damaskglade::cell
