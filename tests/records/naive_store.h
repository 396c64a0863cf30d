#ifndef DAMASKGLADE_TESTS_RECORDS_NAIVE_STORE_H
#define DAMASKGLADE_TESTS_RECORDS_NAIVE_STORE_H

#include "core/codec.h"
#include "ports/table_store.h"

namespace damaskglade::records {

/// Writes one job row at a time, without index, group or read-back.
class NaiveStore {
public:
  explicit NaiveStore(TableStore &Table) : Table_(Table) {}

  /// Expects the version of the argument; 0 creates the row.
  Result<JobRecord> write(const JobRecord &Record) {
    const std::string Token = "naive-" + std::to_string(++Calls_);
    BOOST_OUTCOME_TRY(Table_.commit({{{"job", Record.Id_},
                                      Record.Version_,
                                      encodeJobRecord(Record),
                                      false}},
                                    Token, Millis{1000}));
    JobRecord After = Record;
    ++After.Version_;
    return After;
  }

private:
  TableStore &Table_;
  std::int64_t Calls_ = 0;
};

} // namespace damaskglade::records

#endif
