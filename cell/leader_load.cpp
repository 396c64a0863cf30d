// What a new leader reads before it gives orders.

#include "cell/leader.h"

#include <algorithm>

namespace damaskglade::cell {

namespace {

constexpr Millis LoadRetry{100};
constexpr int FewestLoadRows = 20;

} // namespace

// A new leader has a fence in the store already, so tables that are read at the
// same time fit together.
void Leader::load(const std::string &Table, const std::string &From) {
  Ports_.Store_.read(
      RowRange{Table, CellPart, From, LoadRows_},
      [Self = shared_from_this(), Table, From](Result<RowPage> Page) {
        if (Self->Stopped_)
          return;
        if (!Page) {
          Self->Ports_.Log_.write(failureEvent(Page.error(), ""));
          // A page that does not arrive in time may be too large for the link.
          if (Page.error().Reason_ == Reason::Timeout)
            Self->LoadRows_ = std::max(FewestLoadRows, Self->LoadRows_ / 3);
          Self->Ports_.Timers_.after(
              LoadRetry, [Self, Table, From] { Self->load(Table, From); });
          return;
        }
        Self->loadRows(Table, Page.value());
        if (Page.value().More_ && !Page.value().Rows_.empty())
          return Self->load(Table,
                            Page.value().Rows_.back().Name_.Key_ + '\x01');
        if (--Self->TablesLoading_ == 0)
          Self->finishLoad();
      });
}

void Leader::loadRows(const std::string &Table, const RowPage &Page) {
  for (const StoredRow &Row : Page.Rows_) {
    const std::string &Id = Row.Name_.Key_;
    if (Table == JobsTable) {
      auto Spec = dispatch::decodeSpec(Id, Row.Value_);
      if (Spec)
        LoadedSpecs_[Id] = std::move(Spec).value();
      else
        Ports_.Log_.write(failureEvent(Spec.error(), Id));
    } else if (Table == WorkersTable) {
      const auto Info = decodeWorkerRow(Row);
      if (Info)
        Dispatcher_.restoreWorker(Info.value());
      else
        Ports_.Log_.write(failureEvent(Info.error(), ""));
    } else {
      Recorder_.setVersion(Id, Row.Version_);
      auto Progress = dispatch::decodeProgress(Row.Value_);
      if (Progress)
        LoadedProgress_[Id] = std::move(Progress).value();
      else
        Ports_.Log_.write(failureEvent(Progress.error(), Id));
    }
  }
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
      note(Ports_, LogLevel::Error, Id, "load", "",
           "progress of a job that has no row and has not ended");
  }
  const std::size_t Jobs = LoadedSpecs_.size();
  const std::size_t Ended = LoadedProgress_.size();
  LoadedSpecs_.clear();
  LoadedProgress_.clear();
  Loaded_ = true;
  takeWorkers();
  note(Ports_, LogLevel::Info, "", "lead", "",
       "epoch=" + std::to_string(View_.Epoch_) + " has loaded " +
           std::to_string(Jobs) + " jobs and " + std::to_string(Ended) +
           " states");
  tick();
}

} // namespace damaskglade::cell
