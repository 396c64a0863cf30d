// Loading of the rows that a new leader needs before it sends orders.

#include "cell/leader.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

constexpr Millis LoadRetryDelay{100};
// Pages are not made smaller than this after timeouts.
constexpr int MinLoadPageRows = 20;

} // namespace

// The tables are read concurrently. They are consistent with each other, since
// earlier leaders can no longer write: their writes are conditional on the
// previous version of the leader row.
void Leader::loadTable(const std::string &Table, const std::string &From) {
  Ports_.Store_.read(
      RowRange{Table, CellPart, From, LoadPageRows_},
      [Self = shared_from_this(), Table, From,
       SentAt = now()](Result<RowPage> Page) {
        if (Self->Stopped_)
          return;
        if (!Page) {
          Self->Ports_.Log_.write(failureEvent(Page.error(), ""));
          // The page may be too large to be transferred before the timeout.
          if (Page.error().Reason_ == Reason::Timeout)
            Self->LoadPageRows_ =
                std::max(MinLoadPageRows, Self->LoadPageRows_ / 3);
          Self->Ports_.Timers_.after(LoadRetryDelay, [Self, Table, From] {
            Self->loadTable(Table, From);
          });
          return;
        }
        Self->loadPage(Table, Page.value(), SentAt);
        if (Page.value().HasMore_ && !Page.value().Rows_.empty())
          return Self->loadTable(Table,
                                 Page.value().Rows_.back().Name_.Key_ + '\x01');
        if (--Self->TablesLeftToLoad_ == 0)
          Self->finishLoad();
      });
}

void Leader::loadPage(const std::string &Table, const RowPage &Page,
                      Millis SentAt) {
  const StoreClockReading Reading{SentAt, now(), Page.StoreClock_};
  for (const StoredRow &Row : Page.Rows_) {
    const std::string &Id = Row.Name_.Key_;
    if (Table == JobsTable) {
      auto Spec = dispatch::decodeSpec(Id, Row.Value_);
      if (Spec)
        LoadedSpecs_[Id] = std::move(Spec).value();
      else
        Ports_.Log_.write(failureEvent(Spec.error(), Id));
    } else if (Table == WorkersTable) {
      loadWorkerRow(Row, Reading);
    } else if (Table == LeaderTable) {
      if (Id == ResignationKey)
        loadResignation(Row, Reading);
    } else {
      Recorder_.setProgressRowVersion(Id, Row.Version_);
      auto Progress = dispatch::decodeProgress(Row.Value_);
      if (Progress)
        LoadedProgress_[Id] = std::move(Progress).value();
      else
        Ports_.Log_.write(failureEvent(Progress.error(), Id));
    }
  }
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
  Loaded_ = true;
  recordWorkerChanges();
  logEvent(Ports_, LogLevel::Info, "", "lead", "",
           "epoch=" + std::to_string(LeaderRecord_.Epoch_) + " loaded " +
               std::to_string(JobCount) + " jobs and " +
               std::to_string(StateCount) + " job states");
  tick();
}

} // namespace damaskglade::cell
