#include "records/sweep.h"

#include <utility>

namespace damaskglade::records {

namespace {

// A finished job takes two removals: its job row and its index row.
constexpr std::size_t MaxRowsPerPass = MaxTransactionWrites / 2;

} // namespace

Sweep::Sweep(SweepOptions Options, TableStore &Table, TableBudget &Budget,
             RowReader &Rows, const Clock &Time, MetricsSink &Metrics)
    : Options_(std::move(Options)), Table_(Table), Budget_(Budget), Rows_(Rows),
      Time_(Time), Metrics_(Metrics), Random_(std::random_device{}()) {}

Sweep::~Sweep() { stop(); }

void Sweep::start() {
  const MutexLock Lock(Mutex_);
  if (Started_ || Stopping_)
    return;
  Started_ = true;
  Thread_ = Thread([this] { run(); });
}

void Sweep::stop() {
  {
    const MutexLock Lock(Mutex_);
    Stopping_ = true;
    Wake_.notifyAll();
  }
  Thread_.join();
}

bool Sweep::isStopping() {
  const MutexLock Lock(Mutex_);
  return Stopping_;
}

void Sweep::run() {
  while (true) {
    // Nodes that sweep at the same time conflict on the same rows, so the
    // interval is randomized for each pass.
    const std::int64_t Interval = Options_.Interval_.Value_;
    const Millis WakeTime =
        Time_.monotonic() + Millis{std::uniform_int_distribution<std::int64_t>(
                                Interval / 2, Interval * 3 / 2)(Random_)};
    {
      const MutexLock Lock(Mutex_);
      while (!Stopping_ && Time_.monotonic() < WakeTime)
        Wake_.waitFor(Mutex_, WakeTime - Time_.monotonic());
      if (Stopping_)
        return;
    }
    sweepOnce();
  }
}

void Sweep::sweepOnce() {
  const Millis Deadline = Time_.monotonic() + Options_.Interval_;
  const auto Page = Rows_.list(DoneKind, "", Cursor_, MaxRowsPerPass, Deadline);
  if (!Page)
    return;
  std::vector<TableWrite> Removals;
  std::string LastExamined;
  bool ReachedRetained = Page.value().size() < MaxRowsPerPass;
  for (const TableRow &Index : Page.value()) {
    if (isStopping())
      return;
    const auto EndTime = endTimeOfDoneIndexId(Index.Key_.Id_);
    if (EndTime && *EndTime + Options_.Retention_ > Time_.wall()) {
      ReachedRetained = true;
      break;
    }
    LastExamined = Index.Key_.Id_;
    for (TableWrite &Removal : makeRemovals(Index, Deadline))
      Removals.push_back(std::move(Removal));
  }
  // The cursor also moves past rows that could not be removed, so that they do
  // not block the rows after them.
  Cursor_ = ReachedRetained ? "" : LastExamined;
  if (Removals.empty() || !Budget_.waitForWrite(Deadline))
    return;
  const std::string Token =
      digestOf(Options_.Writer_ + "/sweep") + "-" + std::to_string(++Passes_);
  // After a failed transaction, a later pass finds the same rows again.
  if (Table_.commit(Removals, Token, Options_.CallTimeout_))
    Metrics_.count("record_rows_swept", static_cast<double>(Removals.size()));
}

std::vector<TableWrite> Sweep::makeRemovals(const TableRow &Index,
                                            Millis Deadline) {
  const TableWrite RemoveIndex{Index.Key_, Index.Version_, "", true};
  const auto Row = Rows_.readJob(jobIdOfIndex(Index.Key_), Deadline);
  if (!Row)
    return {};
  if (!Row.value() || Row.value()->Meta_.Index_ != Index.Key_)
    return {RemoveIndex};
  return {{{JobKind, Row.value()->Record_.Id_},
           Row.value()->Meta_.Version_,
           "",
           true},
          RemoveIndex};
}

} // namespace damaskglade::records
