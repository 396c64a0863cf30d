#ifndef DAMASKGLADE_RECORDS_ROW_READER_H
#define DAMASKGLADE_RECORDS_ROW_READER_H

#include "records/job_row.h"
#include "records/table_budget.h"

#include <optional>
#include <string>
#include <vector>

namespace damaskglade::records {

/// Reads of the table within the read budget. Errors: table_unavailable with
/// Effect::None. Safe to call from several threads.
class RowReader {
public:
  RowReader(TableStore &Table, TableBudget &Budget, const Clock &Time,
            Millis CallTimeout)
      : Table_(Table), Budget_(Budget), Time_(Time), CallTimeout_(CallTimeout) {
  }

  /// Deadlines are monotonic times.
  Result<std::optional<JobRow>> readJob(const std::string &JobId,
                                        Millis Deadline);
  Result<std::optional<TableRow>> readRow(const TableKey &Key, Millis Deadline);
  Result<std::vector<TableRow>> list(const std::string &Kind,
                                     const std::string &Prefix,
                                     const std::string &StartAfter,
                                     std::size_t Limit, Millis Deadline);

private:
  Result<Millis> callTimeout(const std::string &Step, Millis Deadline);

  TableStore &Table_;
  TableBudget &Budget_;
  const Clock &Time_;
  const Millis CallTimeout_;
};

} // namespace damaskglade::records

#endif
