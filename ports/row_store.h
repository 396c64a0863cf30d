#ifndef DAMASKGLADE_PORTS_ROW_STORE_H
#define DAMASKGLADE_PORTS_ROW_STORE_H

#include "core/clock.h"
#include "core/error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damaskglade {

struct RowName {
  std::string Table_;
  std::string Partition_; ///< A transaction can change rows of one partition.
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

/// Applied atomically if all conditions hold.
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
  /// The store's steady clock when it answered; zero if it was not sent.
  Millis StoreClock_{};

  friend bool operator==(const TransactionOutcome &,
                         const TransactionOutcome &) = default;
};

struct RowRange {
  std::string Table_;
  std::string Partition_;
  std::string FirstKey_; ///< Empty: from the beginning.
  int Limit_ = 0;        ///< Maximum rows per page; zero: as many as fit.

  friend bool operator==(const RowRange &, const RowRange &) = default;
};

struct RowPage {
  std::vector<StoredRow> Rows_;
  bool HasMore_ = false;
  std::int64_t Version_ = 0; ///< Newest version of the store.
  bool HistoryLost_ = false; ///< Feed only: changes were missed; read again.
  /// The store's steady clock when it answered; zero if it was not sent.
  Millis StoreClock_{};

  friend bool operator==(const RowPage &, const RowPage &) = default;
};

/// The platform's transactional row store. Calls do not block; the callback
/// gets the outcome. An error with Effect::None means that nothing was written.
class RowStore {
public:
  virtual ~RowStore() = default;
  virtual void
  transact(const RowTransaction &Change,
           std::function<void(Result<TransactionOutcome>)> Done) = 0;
  virtual void read(const RowRange &Range,
                    std::function<void(Result<RowPage>)> Done) = 0;
  /// Returns the rows of a table that changed after version After; waits up to
  /// Wait for a change.
  virtual void follow(const std::string &Table, std::int64_t After, Millis Wait,
                      std::function<void(Result<RowPage>)> Done) = 0;
};

} // namespace damaskglade

#endif
