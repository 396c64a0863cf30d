#include "records/sweep.h"

#include <utility>

namespace damaskglade::records {

namespace {

// Each takes two items of one transaction.
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

bool Sweep::stopping() {
  const MutexLock Lock(Mutex_);
  return Stopping_;
}

void Sweep::run() {
  while (true) {
    // Nodes that sweep at the same moment conflict over the same rows, so the
    // interval is drawn anew each time.
    const std::int64_t Interval = Options_.Interval_.Value_;
    const Millis End =
        Time_.monotonic() + Millis{std::uniform_int_distribution<std::int64_t>(
                                Interval / 2, Interval * 3 / 2)(Random_)};
    {
      const MutexLock Lock(Mutex_);
      while (!Stopping_ && Time_.monotonic() < End)
        Wake_.waitFor(Mutex_, End - Time_.monotonic());
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
  std::string Last;
  bool ReachedYoung = Page.value().size() < MaxRowsPerPass;
  for (const TableRow &Index : Page.value()) {
    if (stopping())
      return;
    const auto Ended = endOfDoneId(Index.Key_.Id_);
    if (Ended && *Ended + Options_.Retention_ > Time_.wall()) {
      ReachedYoung = true;
      break;
    }
    Last = Index.Key_.Id_;
    for (TableWrite &Each : removalsFor(Index, Deadline))
      Removals.push_back(std::move(Each));
  }
  // The cursor passes rows that cannot be removed, so they don't hold up
  // those behind them.
  Cursor_ = ReachedYoung ? "" : Last;
  if (Removals.empty() || !Budget_.waitForWrite(Deadline))
    return;
  const std::string Token =
      digestOf(Options_.Writer_ + "/sweep") + "-" + std::to_string(++Passes_);
  // A failed removal is found again by a later pass.
  if (Table_.commit(Removals, Token, Options_.CallTimeout_))
    Metrics_.count("record_rows_swept", static_cast<double>(Removals.size()));
}

std::vector<TableWrite> Sweep::removalsFor(const TableRow &Index,
                                           Millis Deadline) {
  const TableWrite RemoveIndex{Index.Key_, Index.Version_, "", true};
  const auto Found = Rows_.readJob(jobIdOfIndex(Index.Key_), Deadline);
  if (!Found)
    return {};
  if (!Found.value() || Found.value()->Meta_.Index_ != Index.Key_)
    return {RemoveIndex};
  return {{{JobKind, Found.value()->Record_.Id_},
           Found.value()->Meta_.Version_,
           "",
           true},
          RemoveIndex};
}

} // namespace damaskglade::records
