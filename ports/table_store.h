#ifndef DAMASKGLADE_PORTS_TABLE_STORE_H
#define DAMASKGLADE_PORTS_TABLE_STORE_H

#include "core/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damaskglade {

/// Key of a row: the kind ("job") is the partition key, the id the sort key.
struct TableKey {
  std::string Kind_;
  std::string Id_;

  friend auto operator<=>(const TableKey &, const TableKey &) = default;
};

struct TableRow {
  TableKey Key_;
  std::int64_t Version_ = 0;
  std::string Body_;

  friend bool operator==(const TableRow &, const TableRow &) = default;
};

/// One conditional write. The row's new version is ExpectedVersion_ + 1.
struct TableWrite {
  TableKey Key_;
  std::int64_t ExpectedVersion_ = 0; ///< 0: the row must not exist.
  std::string Body_;
  bool Remove_ = false;

  friend bool operator==(const TableWrite &, const TableWrite &) = default;
};

/// Maximum writes per transaction.
constexpr std::size_t MaxTransactionWrites = 100;

/// The platform's transactional table service. Calls block. Thread-safe.
/// Errors: table_unavailable with Effect::None if nothing was applied, with
/// Effect::Unknown if it may have been.
class TableStore {
public:
  virtual ~TableStore() = default;

  virtual Result<std::optional<TableRow>> read(const TableKey &Key,
                                               Millis Timeout) = 0;

  /// Rows of a kind whose id begins with Prefix and follows StartAfter, in
  /// order of id, at most Limit.
  virtual Result<std::vector<TableRow>>
  list(const std::string &Kind, const std::string &Prefix,
       const std::string &StartAfter, std::size_t Limit, Millis Timeout) = 0;

  /// Applies all writes or none. Token is an idempotency key: repeating the
  /// call with the same token has no further effect. Errors: table_conflict if
  /// a version did not match.
  virtual Status commit(const std::vector<TableWrite> &Writes,
                        const std::string &Token, Millis Timeout) = 0;
};

} // namespace damaskglade

#endif
