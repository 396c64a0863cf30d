#include "cell/recorder.h"

#include "core/codec.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// The platform takes 100 entries in a transaction; conditions, rows and removed
// rows count alike, and the leader row is one.
constexpr std::size_t MaxEntries = 96;
// The store answers within 10 ms on a good day; from then on a further
// transaction does not wait for the last one.
constexpr Millis SlowStore{40};
constexpr std::size_t MaxInFlight = 6;
// Changes that come within this time share a transaction.
constexpr Millis GroupDelay{4};
constexpr Millis RetryDelay{120};

std::string encodeWorkerRow(const dispatch::WorkerInfo &Info) {
  Json::Value Out;
  Out["a"] = Info.Address_;
  Out["s"] = Info.Service_;
  return writeJson(Out);
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
                   LeaderView Leader, std::function<void()> LostLead)
    : Ports_(Ports), Jobs_(Jobs), Leader_(std::move(Leader)),
      LostLead_(std::move(LostLead)), ConfirmedAt_(Ports.Clock_.monotonic()) {}

void Recorder::recordJob(const std::string &Id,
                         std::function<void(Status)> Done) {
  NewJobs_.push_back(NewJob{Id, std::move(Done), false});
  schedule(GroupDelay);
}

void Recorder::touch() {
  const std::vector<std::string> Changed = Jobs_.takeChangedJobs();
  if (Changed.empty())
    return;
  ++Latest_;
  for (const std::string &Each : Changed)
    Dirty_.try_emplace(Each, Latest_);
  schedule(GroupDelay);
}

// Changes are numbered, and a job keeps the number of its first change that is
// in no row yet.
std::uint64_t Recorder::firstUnrecorded() const {
  std::uint64_t First = Latest_ + 1;
  for (const auto &[Id, Number] : Dirty_)
    First = std::min(First, Number);
  for (const auto &[Number, Sent] : InFlight_)
    for (const auto &[Id, Change] : Sent.Progress_)
      First = std::min(First, Change.First_);
  return First;
}

void Recorder::whenRecorded(std::function<void()> Done) {
  if (firstUnrecorded() > Latest_)
    return Done();
  Waiters_.push_back(Waiter{Latest_, std::move(Done)});
}

void Recorder::forget(const std::vector<std::string> &Ids) {
  Removing_.insert(Ids.begin(), Ids.end());
  if (!Ids.empty())
    schedule(GroupDelay);
}

void Recorder::recordWorkers(const std::vector<dispatch::WorkerInfo> &Workers) {
  for (const dispatch::WorkerInfo &Each : Workers)
    NewWorkers_[Each.Id_] = Each;
  if (!Workers.empty())
    schedule(GroupDelay);
}

void Recorder::forgetWorkers(const std::vector<std::string> &Ids) {
  OldWorkers_.insert(Ids.begin(), Ids.end());
  if (!Ids.empty())
    schedule(GroupDelay);
}

bool Recorder::idle() const {
  return NewJobs_.empty() && Dirty_.empty() && Removing_.empty() &&
         NewWorkers_.empty() && OldWorkers_.empty();
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

// One transaction at a time groups best; a slow store gets more of them.
bool Recorder::mayFlush() const {
  if (InFlight_.empty())
    return true;
  const Millis Last = InFlight_.rbegin()->second.SentAt_;
  return InFlight_.size() < MaxInFlight && FailingSince_ == Millis{} &&
         Ports_.Clock_.monotonic() >= Last + SlowStore;
}

bool Recorder::isOnItsWay(const std::string &Id) const {
  return std::any_of(InFlight_.begin(), InFlight_.end(), [&](const auto &Each) {
    return Each.second.Progress_.count(Id) > 0;
  });
}

void Recorder::addProgress(Batch &Out, RowTransaction &Change,
                           std::size_t &Entries) {
  for (auto At = Dirty_.begin(); At != Dirty_.end() && Entries < MaxEntries;) {
    const auto &[Id, First] = *At;
    // Two transactions with one row would fail each other's conditions.
    if (isOnItsWay(Id)) {
      ++At;
      continue;
    }
    const dispatch::JobProgress Progress = Jobs_.progressOf(Id);
    const auto Known = Versions_.find(Id);
    Change.Conditions_.push_back(RowCondition{
        progressRow(Id), Known == Versions_.end() ? 0 : Known->second});
    Change.Puts_.push_back(
        RowPut{progressRow(Id), dispatch::encodeProgress(Progress)});
    Entries += 2;
    // Of a job that has ended only its state is asked for, and rows that a new
    // leader has to load are kept few. The sizes of tasks that are still being
    // stopped have to be known.
    if (dispatch::isTerminal(Progress.State_) && !Jobs_.holdsRoom(Id)) {
      Change.Removes_.push_back(jobRow(Id));
      ++Entries;
    }
    Out.Progress_[Id] = SentChange{First, Progress.State_};
    At = Dirty_.erase(At);
  }
}

RowTransaction Recorder::build(Batch &Out) {
  RowTransaction Change;
  Change.Conditions_.push_back(RowCondition{leaderRow(), Leader_.Version_});
  std::size_t Entries = 1;
  for (; !NewWorkers_.empty() && Entries < MaxEntries; ++Entries) {
    const auto First = NewWorkers_.begin();
    Change.Puts_.push_back(
        RowPut{workerRow(First->first), encodeWorkerRow(First->second)});
    Out.Workers_.insert(NewWorkers_.extract(First));
  }
  for (; !OldWorkers_.empty() && Entries < MaxEntries; ++Entries) {
    const auto First = OldWorkers_.begin();
    Change.Removes_.push_back(workerRow(*First));
    Out.OldWorkers_.insert(OldWorkers_.extract(First));
  }
  for (; !NewJobs_.empty() && Entries < MaxEntries; Entries += 2) {
    NewJob Next = std::move(NewJobs_.front());
    NewJobs_.pop_front();
    const dispatch::JobRun *Job = Jobs_.findJob(Next.Id_);
    Change.Conditions_.push_back(RowCondition{jobRow(Next.Id_), 0});
    Change.Puts_.push_back(
        RowPut{jobRow(Next.Id_), dispatch::encodeSpec(Job->Spec_)});
    Out.Jobs_.push_back(std::move(Next));
  }
  addProgress(Out, Change, Entries);
  for (; !Removing_.empty() && Entries < MaxEntries; Entries += 2) {
    const std::string Id = *Removing_.begin();
    Removing_.erase(Removing_.begin());
    Change.Removes_.push_back(jobRow(Id));
    Change.Removes_.push_back(progressRow(Id));
    Out.Removals_.push_back(Id);
  }
  return Change;
}

void Recorder::flush() {
  if (Stopped_)
    return;
  touch();
  if (idle())
    return;
  if (!mayFlush())
    return schedule(GroupDelay);
  Batch Sent;
  const RowTransaction Change = build(Sent);
  if (Change.Puts_.empty() && Change.Removes_.empty())
    return; // All that waits is on its way already, in an older state.
  Sent.SentAt_ = Ports_.Clock_.monotonic();
  const std::uint64_t Number = ++LastBatch_;
  InFlight_.emplace(Number, std::move(Sent));
  Ports_.Store_.transact(
      Change, [this, Number](const Result<TransactionOutcome> &Outcome) {
        finish(Number, Outcome);
      });
  if (!idle())
    schedule(GroupDelay);
}

void Recorder::finish(std::uint64_t Number,
                      const Result<TransactionOutcome> &Outcome) {
  if (Stopped_)
    return;
  Batch Sent = std::move(InFlight_.extract(Number).mapped());
  if (!Outcome)
    return failed(std::move(Sent), Outcome.error());
  FailingSince_ = Millis{};
  if (!Outcome.value().Applied_)
    return conflicted(std::move(Sent), Outcome.value().Current_);
  confirm(Sent.SentAt_);
  applied(Sent, Outcome.value().Version_);
}

void Recorder::applied(const Batch &Sent, std::int64_t Version) {
  for (const auto &[Id, Change] : Sent.Progress_) {
    Versions_[Id] = Version;
    Jobs_.noteRecorded(Id, Change.State_);
  }
  for (const std::string &Id : Sent.Removals_)
    Versions_.erase(Id);
  for (const auto &[Id, Info] : Sent.Workers_)
    Jobs_.noteWorkerRecorded(Id);
  for (const NewJob &Each : Sent.Jobs_) {
    Jobs_.confirmJob(Each.Id_);
    if (Each.Done_)
      Each.Done_(success());
  }
  callWaiters();
  if (!idle())
    schedule(GroupDelay);
}

void Recorder::callWaiters() {
  const std::uint64_t First = firstUnrecorded();
  std::vector<std::function<void()>> Due;
  for (auto At = Waiters_.begin(); At != Waiters_.end();) {
    if (At->Until_ >= First) {
      ++At;
      continue;
    }
    Due.push_back(std::move(At->Done_));
    At = Waiters_.erase(At);
  }
  for (const auto &Each : Due)
    Each();
}

// Puts what a transaction did not write back into the queues.
void Recorder::keepUnsent(Batch &Sent) {
  for (const auto &[Id, Change] : Sent.Progress_) {
    const auto [At, Added] = Dirty_.try_emplace(Id, Change.First_);
    At->second = std::min(At->second, Change.First_);
  }
  Removing_.insert(Sent.Removals_.begin(), Sent.Removals_.end());
  NewWorkers_.merge(Sent.Workers_);
  OldWorkers_.merge(Sent.OldWorkers_);
}

// Another transaction of this leader was applied late, or there is a new
// leader. The rows of the conditions say which.
void Recorder::conflicted(Batch Sent, const std::vector<StoredRow> &Current) {
  std::set<std::string> Present;
  for (const StoredRow &Row : Current) {
    if (Row.Name_ == leaderRow() && Row.Version_ != Leader_.Version_) {
      Stopped_ = true;
      note(Ports_, LogLevel::Warning, "", "commit", "",
           "the leader row has changed, giving up the lead");
      return LostLead_();
    }
    if (Row.Name_.Table_ == ProgressTable)
      Versions_[Row.Name_.Key_] = Row.Version_;
    if (Row.Name_.Table_ == JobsTable && Row.Version_ != 0)
      Present.insert(Row.Name_.Key_);
  }
  std::vector<NewJob> Recorded;
  for (NewJob &Each : Sent.Jobs_) {
    if (Present.count(Each.Id_) > 0)
      Recorded.push_back(std::move(Each));
    else
      NewJobs_.push_back(std::move(Each));
  }
  keepUnsent(Sent);
  for (const NewJob &Each : Recorded) {
    Jobs_.confirmJob(Each.Id_);
    if (Each.Done_)
      Each.Done_(success());
  }
  Ports_.Metrics_.countRetry(Reason::TableConflict);
  schedule(GroupDelay);
}

void Recorder::failed(Batch Sent, const Error &Failure) {
  const Millis Now = Ports_.Clock_.monotonic();
  if (FailingSince_ == Millis{}) {
    FailingSince_ = Now;
    Ports_.Log_.write(failureEvent(Failure, ""));
  }
  Ports_.Metrics_.countRetry(Failure.Reason_);
  const bool Unclear = Failure.Effect_ != Effect::None;
  std::vector<NewJob> Refused;
  for (NewJob &Each : Sent.Jobs_) {
    Each.Unclear_ = Each.Unclear_ || Unclear;
    if (Each.Unclear_) {
      if (Each.Done_)
        Each.Done_(Failure);
      Each.Done_ = nullptr;
      NewJobs_.push_front(std::move(Each));
    } else {
      Refused.push_back(std::move(Each));
    }
  }
  keepUnsent(Sent);
  for (const NewJob &Each : Refused) {
    Jobs_.dropJob(Each.Id_);
    Error Answer = Failure;
    Answer.Effect_ = Effect::None;
    if (Each.Done_)
      Each.Done_(Answer);
  }
  schedule(RetryDelay);
}

} // namespace damaskglade::cell
