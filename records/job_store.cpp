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

constexpr std::size_t ListPageSize = 500;
// Failed reads of one row after which a listing fails.
constexpr int MaxListReadAttempts = 3;

Error versionConflict(const JobRecord &Record) {
  return Error{Reason::TableConflict, Effect::None, "commit job row",
               Record.Id_, "the row is missing or has another version"};
}

// A unique suffix keeps a restarted node from mistaking the writes of its
// previous process for its own.
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
    return Time_.monotonic() + std::min(Timeout, Options_.MaxTimeout_);
  }

  RowChange makeChange(const JobRecord &Record,
                       const std::optional<RowMeta> &Previous) {
    const std::string WriteId = Writer_ + "#" + std::to_string(++Sequence_);
    return makeRowChange(Record, Previous, WriteId, Time_.wall());
  }

  // Metadata of the row version that an update replaces.
  Result<RowMeta> findPreviousMeta(const JobRecord &Record, Millis Deadline) {
    if (const auto CachedMeta = Cache_.find(Record.Id_, Record.Version_))
      return *CachedMeta;
    BOOST_OUTCOME_TRY(Row, Rows_.readJob(Record.Id_, Deadline));
    if (!Row || Row->Meta_.Version_ != Record.Version_)
      return versionConflict(Record);
    return Row->Meta_;
  }

  std::vector<Result<JobRecord>> commit(const std::vector<RowChange> &Changes,
                                        Millis Deadline) {
    const std::vector<Status> Outcomes = Queue_.commit(Changes, Deadline);
    std::vector<Result<JobRecord>> Results;
    for (std::size_t Index = 0; Index < Changes.size(); ++Index) {
      const RowChange &Change = Changes[Index];
      if (Outcomes[Index]) {
        Cache_.store(Change.NewRecord_.Id_, Change.NewMeta_);
        Results.emplace_back(Change.NewRecord_);
      } else {
        Cache_.erase(Change.NewRecord_.Id_);
        Results.emplace_back(Outcomes[Index].error());
      }
    }
    return Results;
  }

  Result<std::optional<JobRow>> readJobWithRetries(const std::string &JobId,
                                                   Millis Deadline) {
    auto Row = Rows_.readJob(JobId, Deadline);
    for (int Attempt = 1; Attempt < MaxListReadAttempts && !Row; ++Attempt)
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
  return State_->commit({State_->makeChange(Record, std::nullopt)}, Deadline)
      .front();
}

Result<JobRecord> JobStore::update(const JobRecord &Record, Millis Timeout) {
  const Millis Deadline = State_->deadlineFor(Timeout);
  BOOST_OUTCOME_TRY(Previous, State_->findPreviousMeta(Record, Deadline));
  return State_->commit({State_->makeChange(Record, Previous)}, Deadline)
      .front();
}

std::vector<Result<JobRecord>>
JobStore::updateEach(const std::vector<JobRecord> &Records, Millis Timeout) {
  const Millis Deadline = State_->deadlineFor(Timeout);
  std::vector<std::optional<Error>> LookupErrors(Records.size());
  std::vector<RowChange> Changes;
  for (std::size_t Index = 0; Index < Records.size(); ++Index) {
    const auto Previous = State_->findPreviousMeta(Records[Index], Deadline);
    if (Previous)
      Changes.push_back(State_->makeChange(Records[Index], Previous.value()));
    else
      LookupErrors[Index] = Previous.error();
  }
  const auto Written = State_->commit(Changes, Deadline);
  std::vector<Result<JobRecord>> Results;
  auto NextWritten = Written.begin();
  for (const std::optional<Error> &LookupError : LookupErrors) {
    if (LookupError)
      Results.emplace_back(*LookupError);
    else
      Results.push_back(*NextWritten++);
  }
  return Results;
}

Result<std::vector<JobRecord>>
JobStore::updateAll(const std::vector<JobRecord> &Records, Millis Timeout) {
  std::vector<JobRecord> Written;
  std::optional<Error> FirstError;
  for (const Result<JobRecord> &Updated : updateEach(Records, Timeout)) {
    if (Updated)
      Written.push_back(Updated.value());
    else if (!FirstError)
      FirstError = Updated.error();
  }
  if (Written.empty() && FirstError)
    return *FirstError;
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
  // Recovery may list many jobs, so MaxTimeout_ does not apply.
  const Millis Deadline = State_->Time_.monotonic() + Timeout;
  const std::string Prefix = openIndexPrefix(Node, Incarnation);
  std::vector<JobRecord> OpenJobs;
  std::string StartAfter;
  while (true) {
    BOOST_OUTCOME_TRY(Page, State_->Rows_.list(OpenKind, Prefix, StartAfter,
                                               ListPageSize, Deadline));
    for (const TableRow &Index : Page) {
      BOOST_OUTCOME_TRY(
          Row, State_->readJobWithRetries(jobIdOfIndex(Index.Key_), Deadline));
      // The job may have finished or moved to another home since the index was
      // listed.
      if (!Row || Row->Meta_.Index_ != Index.Key_)
        continue;
      State_->Cache_.store(Row->Record_.Id_, Row->Meta_);
      OpenJobs.push_back(std::move(Row->Record_));
    }
    if (Page.size() < ListPageSize)
      return OpenJobs;
    StartAfter = Page.back().Key_.Id_;
  }
}

} // namespace damaskglade::records
