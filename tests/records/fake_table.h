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

/// Fault injected into one commit call.
enum class Fault {
  None,
  Refused,    ///< Not applied; fails with Effect::None.
  Dropped,    ///< Not applied; fails with Effect::Unknown.
  AnswerLost, ///< Applied; fails with Effect::Unknown.
  Late,       ///< Fails with Effect::Unknown; applied two commits later.
  Slow,       ///< Applied after a delay.
};

/// An in-memory table that injects faults from a list, one per commit.
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

  /// Sets the faults of the next commits.
  void plan(const std::vector<Fault> &Faults);
  /// While Down, reads and lists fail at once with Effect::None, and commits
  /// fail after the given time with Effect::Unknown.
  void setOutage(bool Down, Millis After = Millis{1});
  /// Applies all late writes that have not been applied yet.
  void deliverLate();
  /// All bodies written to each row, in order.
  std::map<TableKey, std::vector<std::string>> history();
  std::map<TableKey, TableRow> rows();
  /// Sets a row unconditionally.
  void overwrite(const TableRow &Row);
  std::int64_t commits();
  std::int64_t reads();
  std::size_t largestCommit();

private:
  struct LateCommit {
    std::vector<TableWrite> Writes_;
    std::string Token_;
    int CommitsLeft_ = 0;
  };

  Status apply(const std::vector<TableWrite> &Writes, const std::string &Token);
  void deliverDueWrites();

  Mutex Mutex_;
  std::map<TableKey, TableRow> Rows_;
  std::map<TableKey, std::vector<std::string>> History_;
  std::set<std::string> Tokens_;
  std::deque<Fault> Faults_;
  std::deque<LateCommit> Late_;
  bool Down_ = false;
  Millis DownAfter_{};
  std::int64_t Commits_ = 0;
  std::int64_t Reads_ = 0;
  std::size_t LargestCommit_ = 0;
};

} // namespace damaskglade::records

#endif
