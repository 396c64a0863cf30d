#ifndef DAMASKGLADE_TESTS_RECORDS_FAKE_TABLE_H
#define DAMASKGLADE_TESTS_RECORDS_FAKE_TABLE_H

#include "core/thread.h"
#include "ports/table_store.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace damaskglade::records {

/// What happens to one commit call.
enum class Fault {
  None,
  Refused,    ///< Nothing is applied and the caller is told so.
  Dropped,    ///< Nothing is applied; the caller does not learn it.
  AnswerLost, ///< Applied; the caller does not learn it.
  Late,       ///< The caller does not learn it; applied two commits later.
  Slow,       ///< Applied after a delay.
};

/// A table in memory with faults taken from a list, one for each commit.
class FakeTable : public TableStore {
public:
  Result<std::optional<TableRow>> read(const TableKey &Key,
                                       Millis Timeout) override;
  Result<std::vector<TableRow>> list(const std::string &Kind,
                                     const std::string &Prefix,
                                     const std::string &StartAfter,
                                     std::size_t Limit,
                                     Millis Timeout) override;
  Status commit(const std::vector<TableWrite> &Writes, const std::string &Token,
                Millis Timeout) override;

  /// Faults of the next commits.
  void plan(const std::vector<Fault> &Faults);
  /// Until it ends, all calls fail after the given time.
  void setOutage(bool Down, Millis After = Millis{1});
  /// Applies all late writes that are still on their way.
  void deliverLate();
  /// Bodies that each row has held, in order.
  std::map<TableKey, std::vector<std::string>> history();
  std::map<TableKey, TableRow> rows();
  /// Changes a row without any condition.
  void overwrite(const TableRow &Row);
  std::int64_t commits();
  std::int64_t reads();
  std::size_t largestCommit();

private:
  struct LateCall {
    std::vector<TableWrite> Writes_;
    std::string Token_;
    int CommitsLeft_ = 0;
  };

  Status apply(const std::vector<TableWrite> &Writes, const std::string &Token);
  void tick();

  Mutex Mutex_;
  std::map<TableKey, TableRow> Rows_;
  std::map<TableKey, std::vector<std::string>> History_;
  std::set<std::string> Tokens_;
  std::deque<Fault> Faults_;
  std::deque<LateCall> Late_;
  bool Down_ = false;
  Millis DownAfter_{};
  std::int64_t Commits_ = 0;
  std::int64_t Reads_ = 0;
  std::size_t Largest_ = 0;
};

} // namespace damaskglade::records

#endif
