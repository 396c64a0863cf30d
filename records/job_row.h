#ifndef DAMASKGLADE_RECORDS_JOB_ROW_H
#define DAMASKGLADE_RECORDS_JOB_ROW_H

#include "core/error.h"
#include "core/job.h"
#include "ports/table_store.h"

#include <optional>
#include <string>
#include <vector>

namespace damaskglade::records {

constexpr const char *JobKind = "job";
/// Index of unfinished jobs, id "<home>/<incarnation>/<job id>".
constexpr const char *OpenKind = "open";
/// Index of finished jobs, id "<wall ms of the end, 13 digits>/<job id>".
constexpr const char *DoneKind = "done";
/// Version of an index row: it is created once and then removed.
constexpr std::int64_t IndexVersion = 1;
/// Writes that a row remembers, so that a write can still be recognised after
/// other writers have followed it.
constexpr std::size_t TrailLength = 4;

/// What the store keeps in a job row beside the record.
struct RowMeta {
  std::int64_t Version_ = 0;
  TableKey Index_;                 ///< The one index row of this job.
  std::vector<std::string> Trail_; ///< "<writer>#<sequence>", latest first.

  friend bool operator==(const RowMeta &, const RowMeta &) = default;
};

struct JobRow {
  JobRecord Record_;
  RowMeta Meta_;
};

/// Stands for all incarnations of a home.
constexpr std::int64_t AnyIncarnation = -1;

/// Prefix of the index rows of a home's unfinished jobs.
std::string openPrefix(const std::string &Node, std::int64_t Incarnation);

/// Id of a finished job's index row; Ended is wall time.
std::string doneId(Millis Ended, const std::string &JobId);

/// Job id of an index row.
std::string jobIdOfIndex(const TableKey &Index);

/// End of the job according to its index row id, or nothing if malformed.
std::optional<Millis> endOfDoneId(const std::string &Id);

/// Body of a job row.
std::string encodeJobRow(const JobRecord &Record, const RowMeta &Meta);
Result<JobRow> decodeJobRow(const TableRow &Row);

/// The writes of one change to a job and what the row holds after it.
struct RowChange {
  std::vector<TableWrite> Writes_; ///< The job row first.
  std::string Stamp_;              ///< "<writer>#<sequence>".
  JobRecord After_;
  RowMeta MetaAfter_;
};

/// Builds the change of a job row from the state Before (nothing: the row is
/// to be created) to Record. Now is wall time.
RowChange makeRowChange(const JobRecord &Record,
                        const std::optional<RowMeta> &Before,
                        const std::string &Stamp, Millis Now);

enum class WriteOutcome {
  Applied,
  NotYet,    ///< The row is as it was before; the write may still arrive.
  Conflict,  ///< Another write took its place.
  Undecided, ///< The row has moved on too far to tell.
};

/// Outcome of a change according to the row as read back.
WriteOutcome decideOutcome(const RowChange &Change,
                           const std::optional<JobRow> &Found);

} // namespace damaskglade::records

#endif
