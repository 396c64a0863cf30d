// Loading of the rows that a new leader needs before it sends orders.

#include "cell/leader.h"

#include <algorithm>
#include <array>

namespace damaskglade::cell {

namespace {

constexpr Millis LoadRetryDelay{100};
// Pages are not made smaller than this after timeouts.
constexpr int MinLoadPageRows = 20;
constexpr std::array JobTables{JobsTable, ProgressTable};
constexpr std::array MainTables{JobsTable, ProgressTable, WorkersTable,
                                LeaderTable, CanceledTable};

} // namespace

void Leader::loadParts() {
  TablesLeftToLoad_ = static_cast<int>(MainTables.size() +
                                       JobTables.size() * SpareParts.size());
  for (const char *Table : MainTables)
    loadTable(RowRange{Table, MainPart, "", LoadPageRows_});
  for (const char *Part : SpareParts)
    claimPart(Part);
}

// The election has written the leader row of the main partition, so earlier
// leaders can no longer write there. The same has to hold for the spare ones
// before their rows are read.
void Leader::claimPart(const std::string &Part) {
  Ports_.Store_.read(
      RowRange{LeaderTable, Part, LeaderKey, 1},
      [Self = shared_from_this(), Part](const Result<RowPage> &Page) {
        if (Self->Stopped_)
          return;
        if (!Page)
          return Self->retryClaim(Part, Page.error());
        if (Page.value().Rows_.empty())
          return Self->writeClaim(Part, 0);
        const StoredRow &Row = Page.value().Rows_.front();
        const auto Record = decodeLeaderRecord(Row);
        if (!Record)
          Self->Ports_.Log_.write(failureEvent(Record.error(), ""));
        const std::int64_t Epoch = Record ? Record.value().Epoch_ : 0;
        if (Epoch > Self->LeaderRecord_.Epoch_)
          return Self->loseLeadership();
        // The reply to an earlier write was lost.
        if (Epoch == Self->LeaderRecord_.Epoch_)
          return Self->loadSparePart(Part, Row.Version_);
        Self->writeClaim(Part, Row.Version_);
      });
}

void Leader::writeClaim(const std::string &Part, std::int64_t Version) {
  RowTransaction Transaction;
  Transaction.Conditions_.push_back(RowCondition{leaderRow(Part), Version});
  Transaction.Puts_.push_back(
      RowPut{leaderRow(Part), encodeLeaderRecord(LeaderRecord_)});
  Ports_.Store_.transact(Transaction,
                         [Self = shared_from_this(),
                          Part](const Result<TransactionOutcome> &Outcome) {
                           if (Self->Stopped_)
                             return;
                           if (!Outcome)
                             return Self->retryClaim(Part, Outcome.error());
                           if (!Outcome.value().Applied_)
                             return Self->claimPart(Part);
                           Self->loadSparePart(Part, Outcome.value().Version_);
                         });
}

void Leader::retryClaim(const std::string &Part, const Error &Failure) {
  Ports_.Log_.write(failureEvent(Failure, ""));
  Ports_.Metrics_.countRetry(Failure.Reason_);
  Ports_.Timers_.after(LoadRetryDelay, [Self = shared_from_this(), Part] {
    if (!Self->Stopped_)
      Self->claimPart(Part);
  });
}

void Leader::loadSparePart(const std::string &Part,
                           std::int64_t LeaderRowVersion) {
  Recorder_.setLeaderRowVersion(Part, LeaderRowVersion);
  for (const char *Table : JobTables)
    loadTable(RowRange{Table, Part, "", LoadPageRows_});
}

// The tables are read concurrently. They are consistent with each other, since
// earlier leaders can no longer write: their writes are conditional on the
// previous version of the leader row.
void Leader::loadTable(RowRange Range) {
  Range.Limit_ = LoadPageRows_;
  Ports_.Store_.read(Range, [Self = shared_from_this(), Range,
                             SentAt = now()](const Result<RowPage> &Page) {
    if (Self->Stopped_)
      return;
    if (!Page) {
      Self->Ports_.Log_.write(failureEvent(Page.error(), ""));
      // The page may be too large to be transferred before the timeout.
      if (Page.error().Reason_ == Reason::Timeout)
        Self->LoadPageRows_ =
            std::max(MinLoadPageRows, Self->LoadPageRows_ / 3);
      Self->Ports_.Timers_.after(LoadRetryDelay,
                                 [Self, Range] { Self->loadTable(Range); });
      return;
    }
    Self->loadPage(Range, Page.value(), SentAt);
    if (Page.value().HasMore_ && !Page.value().Rows_.empty()) {
      RowRange Next = Range;
      Next.FirstKey_ = Page.value().Rows_.back().Name_.Key_ + '\x01';
      return Self->loadTable(Next);
    }
    if (--Self->TablesLeftToLoad_ == 0)
      Self->finishLoad();
  });
}

void Leader::loadPage(const RowRange &Range, const RowPage &Page,
                      Millis SentAt) {
  const StoreClockReading Reading{SentAt, now(), Page.StoreClock_};
  for (const StoredRow &Row : Page.Rows_) {
    const std::string &Id = Row.Name_.Key_;
    if (Range.Table_ == WorkersTable) {
      loadWorkerRow(Row, Reading);
    } else if (Range.Table_ == CanceledTable) {
      CanceledIds_.restore(Id, now());
    } else if (Range.Table_ == LeaderTable) {
      if (Id == ResignationKey)
        loadResignation(Row, Reading);
    } else {
      loadJobRow(Range, Row);
    }
  }
}

void Leader::loadJobRow(const RowRange &Range, const StoredRow &Row) {
  const std::string &Id = Row.Name_.Key_;
  const auto [Part, IsNew] = LoadedParts_.emplace(Id, Range.Partition_);
  if (Part->second != Range.Partition_)
    logEvent(Ports_, LogLevel::Error, Id, "load", Range.Partition_,
             "the job also has rows in the partition " + Part->second);
  Recorder_.setPart(Id, Range.Partition_);
  if (Range.Table_ == JobsTable) {
    auto Spec = dispatch::decodeSpec(Id, Row.Value_);
    if (Spec)
      LoadedSpecs_[Id] = std::move(Spec).value();
    else
      Ports_.Log_.write(failureEvent(Spec.error(), Id));
    return;
  }
  Recorder_.setProgressRowVersion(Id, Row.Version_);
  auto Progress = dispatch::decodeProgress(Row.Value_);
  if (Progress)
    LoadedProgress_[Id] = std::move(Progress).value();
  else
    Ports_.Log_.write(failureEvent(Progress.error(), Id));
}

void Leader::loadWorkerRow(const StoredRow &Row,
                           const StoreClockReading &Reading) {
  Recorder_.setWorkerRowVersion(Row.Name_.Key_, Row.Version_);
  auto Decoded = decodeWorkerRow(Row);
  if (!Decoded) {
    Ports_.Log_.write(failureEvent(Decoded.error(), ""));
    return;
  }
  WorkerRow &Worker = Decoded.value();
  const bool IsClosed = Worker.Closed_ && Reading.StoreClock_ > Millis{} &&
                        Worker.ClosedInEpoch_ >= LeaderRecord_.LeaseRowsSince_;
  if (!IsClosed)
    return Dispatcher_.restoreWorker(Worker.Info_);
  Worker.Closed_->Expiry_ = latestLocalTime(Reading, Worker.Closed_->Expiry_);
  Dispatcher_.restoreClosedWorker(Worker.Info_, *Worker.Closed_);
}

void Leader::loadResignation(const StoredRow &Row,
                             const StoreClockReading &Reading) {
  const auto Record = decodeResignation(Row);
  if (!Record) {
    Ports_.Log_.write(failureEvent(Record.error(), ""));
    return;
  }
  const bool IsOfLastLeader = Record.value().Epoch_ == LeaderRecord_.Epoch_ - 1;
  if (!IsOfLastLeader || Reading.StoreClock_ == Millis{})
    return;
  Dispatcher_.limitEarlierLeases(
      latestLocalTime(Reading, Record.value().LeaseExpiry_));
  LoadedWaitingTasks_ = Record.value().Waiting_;
}

void Leader::finishLoad() {
  for (const auto &[Id, Spec] : LoadedSpecs_)
    Dispatcher_.restoreJob(Spec, LoadedProgress_[Id], now());
  for (const auto &[Id, Progress] : LoadedProgress_) {
    if (LoadedSpecs_.count(Id) > 0)
      continue;
    if (dispatch::isTerminal(Progress.State_))
      Dispatcher_.restoreEnded(Id, Progress.State_, now());
    else
      logEvent(Ports_, LogLevel::Error, Id, "load", "",
               "progress row of an unfinished job without a job row");
  }
  for (const dispatch::TaskRange &Range :
       std::exchange(LoadedWaitingTasks_, {}))
    Dispatcher_.markWaiting(Range);
  Dispatcher_.finishRestore();
  const std::size_t JobCount = LoadedSpecs_.size();
  const std::size_t StateCount = LoadedProgress_.size();
  LoadedSpecs_.clear();
  LoadedProgress_.clear();
  LoadedParts_.clear();
  Loaded_ = true;
  recordWorkerChanges();
  logEvent(Ports_, LogLevel::Info, "", "lead", "",
           "epoch=" + std::to_string(LeaderRecord_.Epoch_) + " loaded " +
               std::to_string(JobCount) + " jobs and " +
               std::to_string(StateCount) + " job states");
  tick();
}

} // namespace damaskglade::cell
