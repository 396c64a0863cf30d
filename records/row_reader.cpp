#include "records/row_reader.h"

#include <algorithm>

namespace damaskglade::records {

Result<Millis> RowReader::callTimeout(const std::string &Step,
                                      Millis Deadline) {
  const bool HasReadBudget = Budget_.waitForRead(Deadline);
  const Millis TimeLeft = Deadline - Time_.monotonic();
  if (!HasReadBudget || TimeLeft <= Millis{})
    return Error{Reason::TableUnavailable, Effect::None, Step, "table",
                 "the read budget is exhausted until after the deadline"};
  return std::min(TimeLeft, CallTimeout_);
}

Result<std::optional<TableRow>> RowReader::readRow(const TableKey &Key,
                                                   Millis Deadline) {
  BOOST_OUTCOME_TRY(Timeout, callTimeout("read row", Deadline));
  auto Row = Table_.read(Key, Timeout);
  if (Row)
    return Row;
  // A read has no effect on the table, even if its result was lost.
  Error Failure = Row.error();
  Failure.Effect_ = Effect::None;
  return Failure;
}

Result<std::optional<JobRow>> RowReader::readJob(const std::string &JobId,
                                                 Millis Deadline) {
  BOOST_OUTCOME_TRY(Row, readRow({JobKind, JobId}, Deadline));
  if (!Row)
    return std::optional<JobRow>();
  BOOST_OUTCOME_TRY(Decoded, decodeJobRow(*Row));
  return std::optional<JobRow>(std::move(Decoded));
}

Result<std::vector<TableRow>> RowReader::list(const std::string &Kind,
                                              const std::string &Prefix,
                                              const std::string &StartAfter,
                                              std::size_t Limit,
                                              Millis Deadline) {
  BOOST_OUTCOME_TRY(Timeout, callTimeout("list rows", Deadline));
  auto Rows = Table_.list(Kind, Prefix, StartAfter, Limit, Timeout);
  if (Rows)
    return Rows;
  Error Failure = Rows.error();
  Failure.Effect_ = Effect::None;
  return Failure;
}

} // namespace damaskglade::records
