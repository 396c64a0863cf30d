#ifndef DAMASKGLADE_PORTS_ROW_STORE_H
#define DAMASKGLADE_PORTS_ROW_STORE_H

#include "core/error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damaskglade {

struct RowName {
  std::string Table_;
  std::string Part_; ///< Rows of one part can change in one transaction.
  std::string Key_;

  friend auto operator<=>(const RowName &, const RowName &) = default;
};

struct StoredRow {
  RowName Name_;
  std::string Value_;
  std::int64_t Version_ = 0; ///< Zero: the row does not exist.

  friend bool operator==(const StoredRow &, const StoredRow &) = default;
};

struct RowCondition {
  RowName Name_;
  std::int64_t Version_ = 0; ///< Zero: the row must not exist.

  friend bool operator==(const RowCondition &, const RowCondition &) = default;
};

struct RowPut {
  RowName Name_;
  std::string Value_;

  friend bool operator==(const RowPut &, const RowPut &) = default;
};

/// Applied as a whole or not at all.
struct RowTransaction {
  std::vector<RowCondition> Conditions_;
  std::vector<RowPut> Puts_;
  std::vector<RowName> Removes_;

  friend bool operator==(const RowTransaction &,
                         const RowTransaction &) = default;
};

struct TransactionOutcome {
  bool Applied_ = false;
  std::int64_t Version_ = 0;       ///< Version of the rows written, if applied.
  std::vector<StoredRow> Current_; ///< Rows of the conditions, if not applied.

  friend bool operator==(const TransactionOutcome &,
                         const TransactionOutcome &) = default;
};

struct RowRange {
  std::string Table_;
  std::string Part_;
  std::string From_; ///< First key, or empty for the beginning.
  int Limit_ = 0;    ///< Most rows of the page; zero: as many as there fit.

  friend bool operator==(const RowRange &, const RowRange &) = default;
};

struct RowPage {
  std::vector<StoredRow> Rows_;
  bool More_ = false;
  std::int64_t Version_ = 0; ///< Newest version of the store.
  bool HistoryLost_ = false; ///< Of a feed: start again with a read.

  friend bool operator==(const RowPage &, const RowPage &) = default;
};

/// Transactional rows of the platform. All calls return at once; the callback
/// gets the outcome. An error with no effect says that nothing was written.
class RowStore {
public:
  virtual ~RowStore() = default;
  virtual void
  transact(const RowTransaction &Change,
           std::function<void(Result<TransactionOutcome>)> Done) = 0;
  virtual void read(const RowRange &Range,
                    std::function<void(Result<RowPage>)> Done) = 0;
  /// Rows of a table that changed after a version; waits up to Wait for one.
  virtual void follow(const std::string &Table, std::int64_t After, Millis Wait,
                      std::function<void(Result<RowPage>)> Done) = 0;
};

} // namespace damaskglade

#endif
