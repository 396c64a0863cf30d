#ifndef DAMASKGLADE_RECORDS_ROW_READER_H
#define DAMASKGLADE_RECORDS_ROW_READER_H

#include "records/job_row.h"
#include "records/table_budget.h"

#include <optional>
#include <string>
#include <vector>

namespace damaskglade::records {

/// Reads the table within the read budget. Errors have Effect::None:
/// table_unavailable, and what TableStore and decodeJobRow() return.
/// Thread-safe.
class RowReader {
public:
  RowReader(TableStore &Table, TableBudget &Budget, const Clock &Time,
            Millis CallTimeout)
      : Table_(Table), Budget_(Budget), Time_(Time), CallTimeout_(CallTimeout) {
  }

  /// Deadline is a monotonic time, here and below.
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
