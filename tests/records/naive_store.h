#ifndef DAMASKGLADE_TESTS_RECORDS_NAIVE_STORE_H
#define DAMASKGLADE_TESTS_RECORDS_NAIVE_STORE_H

#include "core/codec.h"
#include "ports/table_store.h"

namespace damaskglade::records {

/// Reference store for the tests: writes one job row at a time, without index
/// rows, grouping or read-back.
class NaiveStore {
public:
  explicit NaiveStore(TableStore &Table) : Table_(Table) {}

  /// Replaces the row whose version is Record.Version_; 0 creates the row.
  Result<JobRecord> write(const JobRecord &Record) {
    const std::string Token = "naive-" + std::to_string(++Calls_);
    BOOST_OUTCOME_TRY(Table_.commit({{{"job", Record.Id_},
                                      Record.Version_,
                                      encodeJobRecord(Record),
                                      false}},
                                    Token, Millis{1000}));
    JobRecord Updated = Record;
    ++Updated.Version_;
    return Updated;
  }

private:
  TableStore &Table_;
  std::int64_t Calls_ = 0;
};

} // namespace damaskglade::records

#endif
