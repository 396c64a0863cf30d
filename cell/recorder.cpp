#include "cell/recorder.h"

#include "core/codec.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

// The platform takes 100 entries in a transaction; a row that is written takes
// one for the row and one for its condition.
constexpr std::size_t MaxRows = 45;
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
  Dirty_.insert(Changed.begin(), Changed.end());
  schedule(GroupDelay);
}

void Recorder::whenRecorded(std::function<void()> Done) {
  if (Recorded_ >= Latest_)
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

std::size_t Recorder::sentRows() const {
  return SentJobs_.size() + SentProgress_.size() + SentRemovals_.size() +
         SentWorkers_.size() + SentOldWorkers_.size();
}

void Recorder::schedule(Millis Delay) {
  if (Scheduled_ || InFlight_ || Stopped_)
    return;
  Scheduled_ = true;
  Ports_.Timers_.after(Delay, [this] {
    Scheduled_ = false;
    flush();
  });
}

RowTransaction Recorder::build() {
  RowTransaction Out;
  Out.Conditions_.push_back(RowCondition{leaderRow(), Leader_.Version_});
  while (!NewWorkers_.empty() && sentRows() < MaxRows) {
    const auto First = NewWorkers_.begin();
    Out.Puts_.push_back(
        RowPut{workerRow(First->first), encodeWorkerRow(First->second)});
    SentWorkers_.insert(NewWorkers_.extract(First));
  }
  while (!OldWorkers_.empty() && sentRows() < MaxRows) {
    const auto First = OldWorkers_.begin();
    Out.Removes_.push_back(workerRow(*First));
    SentOldWorkers_.insert(OldWorkers_.extract(First));
  }
  while (!NewJobs_.empty() && sentRows() < MaxRows) {
    NewJob Next = std::move(NewJobs_.front());
    NewJobs_.pop_front();
    const dispatch::JobRun *Job = Jobs_.findJob(Next.Id_);
    Out.Conditions_.push_back(RowCondition{jobRow(Next.Id_), 0});
    Out.Puts_.push_back(
        RowPut{jobRow(Next.Id_), dispatch::encodeSpec(Job->Spec_)});
    SentJobs_.push_back(std::move(Next));
  }
  while (!Dirty_.empty() && sentRows() < MaxRows) {
    const std::string Id = *Dirty_.begin();
    Dirty_.erase(Dirty_.begin());
    const dispatch::JobProgress Progress = Jobs_.progressOf(Id);
    const auto Known = Versions_.find(Id);
    Out.Conditions_.push_back(RowCondition{
        progressRow(Id), Known == Versions_.end() ? 0 : Known->second});
    Out.Puts_.push_back(
        RowPut{progressRow(Id), dispatch::encodeProgress(Progress)});
    SentProgress_[Id] = Progress.State_;
  }
  while (!Removing_.empty() && sentRows() < MaxRows) {
    const std::string Id = *Removing_.begin();
    Removing_.erase(Removing_.begin());
    Out.Removes_.push_back(jobRow(Id));
    Out.Removes_.push_back(progressRow(Id));
    SentRemovals_.push_back(Id);
  }
  return Out;
}

void Recorder::flush() {
  if (InFlight_ || Stopped_)
    return;
  touch();
  if (idle())
    return;
  InFlight_ = true;
  SentLatest_ = Latest_;
  const RowTransaction Change = build();
  SentAll_ = Dirty_.empty();
  const Millis SentAt = Ports_.Clock_.monotonic();
  Ports_.Store_.transact(
      Change, [this, SentAt](const Result<TransactionOutcome> &Outcome) {
        finish(Outcome, SentAt);
      });
}

void Recorder::finish(const Result<TransactionOutcome> &Outcome,
                      Millis SentAt) {
  if (Stopped_)
    return;
  if (!Outcome)
    return failed(Outcome.error());
  FailingSince_ = Millis{};
  InFlight_ = false;
  if (!Outcome.value().Applied_)
    return conflicted(Outcome.value().Current_);
  confirm(SentAt);
  applied(Outcome.value().Version_);
}

void Recorder::applied(std::int64_t Version) {
  for (const auto &[Id, State] : SentProgress_) {
    Versions_[Id] = Version;
    Jobs_.noteRecorded(Id, State);
  }
  for (const std::string &Id : SentRemovals_)
    Versions_.erase(Id);
  for (const auto &[Id, Info] : SentWorkers_)
    Jobs_.noteWorkerRecorded(Id);
  SentWorkers_.clear();
  SentOldWorkers_.clear();
  if (SentAll_)
    Recorded_ = SentLatest_;
  const std::vector<NewJob> Done = std::move(SentJobs_);
  SentJobs_.clear();
  SentProgress_.clear();
  SentRemovals_.clear();
  for (const NewJob &Each : Done) {
    Jobs_.confirmJob(Each.Id_);
    if (Each.Done_)
      Each.Done_(success());
  }
  callWaiters();
  if (!idle())
    schedule(GroupDelay);
}

void Recorder::callWaiters() {
  std::vector<std::function<void()>> Due;
  for (auto At = Waiters_.begin(); At != Waiters_.end();) {
    if (At->Until_ > Recorded_) {
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
void Recorder::keepUnsent() {
  for (const auto &[Id, State] : SentProgress_)
    Dirty_.insert(Id);
  Removing_.insert(SentRemovals_.begin(), SentRemovals_.end());
  SentJobs_.clear();
  SentProgress_.clear();
  SentRemovals_.clear();
  NewWorkers_.merge(SentWorkers_);
  OldWorkers_.merge(SentOldWorkers_);
  SentWorkers_.clear();
  SentOldWorkers_.clear();
}

// Another transaction of this leader was applied late, or there is a new
// leader. The rows of the conditions say which.
void Recorder::conflicted(const std::vector<StoredRow> &Current) {
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
  for (NewJob &Each : SentJobs_) {
    if (Present.count(Each.Id_) > 0)
      Recorded.push_back(std::move(Each));
    else
      NewJobs_.push_back(std::move(Each));
  }
  keepUnsent();
  for (const NewJob &Each : Recorded) {
    Jobs_.confirmJob(Each.Id_);
    if (Each.Done_)
      Each.Done_(success());
  }
  Ports_.Metrics_.countRetry(Reason::TableConflict);
  schedule(GroupDelay);
}

void Recorder::failed(const Error &Failure) {
  const Millis Now = Ports_.Clock_.monotonic();
  if (FailingSince_ == Millis{}) {
    FailingSince_ = Now;
    Ports_.Log_.write(failureEvent(Failure, ""));
  }
  Ports_.Metrics_.countRetry(Failure.Reason_);
  InFlight_ = false;
  const bool Unclear = Failure.Effect_ != Effect::None;
  std::vector<NewJob> Refused;
  for (NewJob &Each : SentJobs_) {
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
  keepUnsent();
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
