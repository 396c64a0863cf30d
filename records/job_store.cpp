#include "records/job_store.h"

#include "core/thread.h"
#include "records/job_row.h"

namespace damaskglade::records {

class JobStore::State {
public:
  State(StoreOptions Options, TableStore &Table, const Clock &Time)
      : Options_(std::move(Options)), Table_(Table), Time_(Time) {}

  Result<std::optional<JobRow>> readRow(const std::string &JobId) {
    BOOST_OUTCOME_TRY(Row,
                      Table_.read({JobKind, JobId}, Options_.CallTimeout_));
    if (!Row)
      return std::optional<JobRow>();
    BOOST_OUTCOME_TRY(Decoded, decodeJobRow(*Row));
    return std::optional<JobRow>(std::move(Decoded));
  }

  Result<JobRecord> write(const JobRecord &Record, bool Create) {
    std::optional<RowMeta> Before;
    if (!Create) {
      BOOST_OUTCOME_TRY(Row, readRow(Record.Id_));
      if (!Row || Row->Meta_.Version_ != Record.Version_)
        return Error{Reason::TableConflict, Effect::None, "commit job row",
                     Record.Id_, "the row has moved on"};
      Before = Row->Meta_;
    }
    std::string Stamp;
    {
      const MutexLock Lock(Mutex_);
      Stamp = Options_.Writer_ + "#" + std::to_string(++Sequence_);
    }
    const RowChange Change = makeRowChange(Record, Before, Stamp, Time_.wall());
    BOOST_OUTCOME_TRY(
        Table_.commit(Change.Writes_, Stamp, Options_.CallTimeout_));
    return Change.After_;
  }

  const StoreOptions Options_;
  TableStore &Table_;
  const Clock &Time_;
  Mutex Mutex_;
  std::int64_t Sequence_ = 0;
};

JobStore::JobStore(StoreOptions Options, TableStore &Table, const Clock &Time,
                   MetricsSink &)
    : State_(std::make_unique<State>(std::move(Options), Table, Time)) {}
JobStore::~JobStore() = default;
void JobStore::start() {}
void JobStore::stop() {}

Result<JobRecord> JobStore::create(const JobRecord &Record, Millis) {
  return State_->write(Record, true);
}

Result<JobRecord> JobStore::update(const JobRecord &Record, Millis) {
  return State_->write(Record, false);
}

std::vector<Result<JobRecord>>
JobStore::updateEach(const std::vector<JobRecord> &Records, Millis Timeout) {
  std::vector<Result<JobRecord>> Results;
  for (const JobRecord &Record : Records)
    Results.push_back(update(Record, Timeout));
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
                                                Millis) {
  BOOST_OUTCOME_TRY(Row, State_->readRow(JobId));
  if (!Row)
    return std::optional<JobRecord>();
  return std::optional<JobRecord>(std::move(Row->Record_));
}

Result<std::vector<JobRecord>> JobStore::listByHome(const std::string &Node,
                                                    std::int64_t Incarnation,
                                                    Millis Timeout) {
  std::vector<JobRecord> Found;
  const std::string Prefix = openPrefix(Node, Incarnation);
  BOOST_OUTCOME_TRY(Index,
                    State_->Table_.list(OpenKind, Prefix, "", 100000, Timeout));
  for (const TableRow &Entry : Index) {
    BOOST_OUTCOME_TRY(Row, State_->readRow(jobIdOfIndex(Entry.Key_)));
    if (Row && Row->Meta_.Index_ == Entry.Key_)
      Found.push_back(std::move(Row->Record_));
  }
  return Found;
}

} // namespace damaskglade::records
