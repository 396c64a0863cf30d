#ifndef DAMASKGLADE_RECORDS_ROW_CACHE_H
#define DAMASKGLADE_RECORDS_ROW_CACHE_H

#include "core/thread.h"
#include "records/job_row.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace damaskglade::records {

/// Latest known state of the rows of unfinished jobs, which saves a read
/// before each update. Safe to call from several threads.
class RowCache {
public:
  /// The state of the row at exactly this version, if known.
  std::optional<RowMeta> find(const std::string &JobId,
                              std::int64_t Version) const;
  /// Stores the state; forgets the job if it has finished.
  void store(const std::string &JobId, const RowMeta &Meta);
  void forget(const std::string &JobId);

private:
  mutable Mutex Mutex_;
  std::unordered_map<std::string, RowMeta> Rows_;
};

} // namespace damaskglade::records

#endif
