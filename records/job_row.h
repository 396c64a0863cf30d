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
/// Version of every index row: index rows are created and removed, never
/// updated.
constexpr std::int64_t IndexVersion = 1;
/// Number of latest write ids kept in a row, so that a write can still be
/// recognised after other writers have changed the row.
constexpr std::size_t MaxRecentWrites = 4;

/// Metadata that the store keeps in a job row in addition to the record.
struct RowMeta {
  std::int64_t Version_ = 0;
  TableKey Index_; ///< The only index row of this job.
  std::vector<std::string>
      RecentWrites_; ///< "<writer>#<sequence>", latest first.

  friend bool operator==(const RowMeta &, const RowMeta &) = default;
};

struct JobRow {
  JobRecord Record_;
  RowMeta Meta_;
};

/// Matches all incarnations of a home.
constexpr std::int64_t AnyIncarnation = -1;

/// Id prefix of the index rows of a home's unfinished jobs.
std::string openIndexPrefix(const std::string &Node, std::int64_t Incarnation);

/// Id of a finished job's index row; EndTime is wall time.
std::string doneIndexId(Millis EndTime, const std::string &JobId);

/// Job id encoded in the id of an index row.
std::string jobIdOfIndex(const TableKey &Index);

/// End time of the job according to its index row id; std::nullopt if the id
/// is malformed.
std::optional<Millis> endTimeOfDoneIndexId(const std::string &Id);

/// Body of a job row.
std::string encodeJobRow(const JobRecord &Record, const RowMeta &Meta);
Result<JobRow> decodeJobRow(const TableRow &Row);

/// The writes of one change to a job and the resulting row content.
struct RowChange {
  std::vector<TableWrite> Writes_; ///< The job row first.
  std::string WriteId_;            ///< "<writer>#<sequence>".
  JobRecord NewRecord_;
  RowMeta NewMeta_;
};

/// Builds the change of a job row from the state Previous (std::nullopt: the
/// row is to be created) to Record. Now is wall time.
RowChange makeRowChange(const JobRecord &Record,
                        const std::optional<RowMeta> &Previous,
                        const std::string &WriteId, Millis Now);

enum class WriteOutcome {
  Applied,
  NotYetApplied, ///< The row is unchanged; the write may still arrive.
  Conflict,      ///< Another write produced this version.
  Undecided,     ///< The row is gone or has too many later writes.
};

/// Outcome of a change according to the row as read back from the table.
WriteOutcome determineOutcome(const RowChange &Change,
                              const std::optional<JobRow> &CurrentRow);

} // namespace damaskglade::records

#endif
