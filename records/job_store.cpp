#include "records/job_store.h"

#include "records/commit_queue.h"
#include "records/job_row.h"
#include "records/row_cache.h"
#include "records/sweep.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <utility>

namespace damaskglade::records {

namespace {

constexpr std::size_t ListPage = 500;
// Reads of one row before a listing fails.
constexpr int ListReadTries = 3;

Error conflict(const JobRecord &Record) {
  return Error{Reason::TableConflict, Effect::None, "commit job row",
               Record.Id_, "the row has moved on"};
}

// A restarted node must not take the writes of its earlier start for its own.
std::string uniqueWriter(const std::string &Node) {
  std::random_device Device;
  const std::uint64_t High = Device();
  return Node + "." + std::to_string((High << 32U) | Device());
}

} // namespace

class JobStore::State {
public:
  State(StoreOptions Options, TableStore &Table, const Clock &Time,
        MetricsSink &Metrics)
      : Options_(std::move(Options)), Time_(Time),
        Writer_(uniqueWriter(Options_.Writer_)),
        Budget_(Options_.WritesPerSecond_, Options_.ReadsPerSecond_, Time),
        Rows_(Table, Budget_, Time, Options_.CallTimeout_),
        Queue_({Writer_, Options_.MaxPending_, Options_.CallTimeout_,
                Options_.RetryDelay_},
               Table, Budget_, Rows_, Time, Metrics),
        Sweep_({Writer_, Options_.Retention_, Options_.SweepInterval_,
                Options_.CallTimeout_},
               Table, Budget_, Rows_, Time, Metrics) {}

  Millis deadlineFor(Millis Timeout) const {
    return Time_.monotonic() + std::min(Timeout, Options_.GiveUpAfter_);
  }

  RowChange changeFor(const JobRecord &Record,
                      const std::optional<RowMeta> &Before) {
    const std::string Stamp = Writer_ + "#" + std::to_string(++Sequence_);
    return makeRowChange(Record, Before, Stamp, Time_.wall());
  }

  // State of the row that an update replaces.
  Result<RowMeta> stateBefore(const JobRecord &Record, Millis Deadline) {
    if (const auto Known = Cache_.find(Record.Id_, Record.Version_))
      return *Known;
    BOOST_OUTCOME_TRY(Row, Rows_.readJob(Record.Id_, Deadline));
    if (!Row || Row->Meta_.Version_ != Record.Version_)
      return conflict(Record);
    return Row->Meta_;
  }

  std::vector<Result<JobRecord>> commit(const std::vector<RowChange> &Changes,
                                        Millis Deadline) {
    const std::vector<Status> Outcomes = Queue_.commit(Changes, Deadline);
    std::vector<Result<JobRecord>> Results;
    for (std::size_t Index = 0; Index < Changes.size(); ++Index) {
      const RowChange &Change = Changes[Index];
      if (Outcomes[Index]) {
        Cache_.store(Change.After_.Id_, Change.MetaAfter_);
        Results.emplace_back(Change.After_);
      } else {
        Cache_.forget(Change.After_.Id_);
        Results.emplace_back(Outcomes[Index].error());
      }
    }
    return Results;
  }

  Result<std::optional<JobRow>> readForList(const std::string &JobId,
                                            Millis Deadline) {
    auto Row = Rows_.readJob(JobId, Deadline);
    for (int Try = 1; Try < ListReadTries && !Row; ++Try)
      Row = Rows_.readJob(JobId, Deadline);
    return Row;
  }

  const StoreOptions Options_;
  const Clock &Time_;
  const std::string Writer_;
  std::atomic<std::int64_t> Sequence_ = 0;
  RowCache Cache_;
  TableBudget Budget_;
  RowReader Rows_;
  CommitQueue Queue_;
  Sweep Sweep_;
};

JobStore::JobStore(StoreOptions Options, TableStore &Table, const Clock &Time,
                   MetricsSink &Metrics)
    : State_(
          std::make_unique<State>(std::move(Options), Table, Time, Metrics)) {}

JobStore::~JobStore() { stop(); }

void JobStore::start() {
  State_->Queue_.start();
  State_->Sweep_.start();
}

void JobStore::stop() {
  State_->Sweep_.stop();
  State_->Queue_.stop();
}

Result<JobRecord> JobStore::create(const JobRecord &Record, Millis Timeout) {
  const Millis Deadline = State_->deadlineFor(Timeout);
  return State_->commit({State_->changeFor(Record, std::nullopt)}, Deadline)
      .front();
}

Result<JobRecord> JobStore::update(const JobRecord &Record, Millis Timeout) {
  const Millis Deadline = State_->deadlineFor(Timeout);
  BOOST_OUTCOME_TRY(Before, State_->stateBefore(Record, Deadline));
  return State_->commit({State_->changeFor(Record, Before)}, Deadline).front();
}

std::vector<Result<JobRecord>>
JobStore::updateEach(const std::vector<JobRecord> &Records, Millis Timeout) {
  const Millis Deadline = State_->deadlineFor(Timeout);
  std::vector<std::optional<Error>> Refused(Records.size());
  std::vector<RowChange> Changes;
  for (std::size_t Index = 0; Index < Records.size(); ++Index) {
    const auto Before = State_->stateBefore(Records[Index], Deadline);
    if (Before)
      Changes.push_back(State_->changeFor(Records[Index], Before.value()));
    else
      Refused[Index] = Before.error();
  }
  const auto Written = State_->commit(Changes, Deadline);
  std::vector<Result<JobRecord>> Results;
  auto Next = Written.begin();
  for (const std::optional<Error> &Refusal : Refused) {
    if (Refusal)
      Results.emplace_back(*Refusal);
    else
      Results.push_back(*Next++);
  }
  return Results;
}

Result<std::vector<JobRecord>>
JobStore::updateAll(const std::vector<JobRecord> &Records, Millis Timeout) {
  std::vector<JobRecord> Written;
  std::optional<Error> First;
  for (const Result<JobRecord> &Each : updateEach(Records, Timeout)) {
    if (Each)
      Written.push_back(Each.value());
    else if (!First)
      First = Each.error();
  }
  if (Written.empty() && First)
    return *First;
  return Written;
}

Result<std::optional<JobRecord>> JobStore::read(const std::string &JobId,
                                                Millis Timeout) {
  BOOST_OUTCOME_TRY(Row,
                    State_->Rows_.readJob(JobId, State_->deadlineFor(Timeout)));
  if (!Row)
    return std::optional<JobRecord>();
  State_->Cache_.store(JobId, Row->Meta_);
  return std::optional<JobRecord>(std::move(Row->Record_));
}

Result<std::vector<JobRecord>> JobStore::listByHome(const std::string &Node,
                                                    std::int64_t Incarnation,
                                                    Millis Timeout) {
  // Recovery may list many jobs, so its timeout is not bounded as that of a
  // single change.
  const Millis Deadline = State_->Time_.monotonic() + Timeout;
  const std::string Prefix = openPrefix(Node, Incarnation);
  std::vector<JobRecord> Found;
  std::string StartAfter;
  while (true) {
    BOOST_OUTCOME_TRY(Page, State_->Rows_.list(OpenKind, Prefix, StartAfter,
                                               ListPage, Deadline));
    for (const TableRow &Index : Page) {
      BOOST_OUTCOME_TRY(
          Row, State_->readForList(jobIdOfIndex(Index.Key_), Deadline));
      // The job may have finished or moved since the index was listed.
      if (!Row || Row->Meta_.Index_ != Index.Key_)
        continue;
      State_->Cache_.store(Row->Record_.Id_, Row->Meta_);
      Found.push_back(std::move(Row->Record_));
    }
    if (Page.size() < ListPage)
      return Found;
    StartAfter = Page.back().Key_.Id_;
  }
}

} // namespace damaskglade::records
