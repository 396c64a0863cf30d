#ifndef DAMASKGLADE_RECORDS_ROW_CACHE_H
#define DAMASKGLADE_RECORDS_ROW_CACHE_H

#include "core/thread.h"
#include "records/job_row.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace damaskglade::records {

/// Caches the metadata of the rows of unfinished jobs, which saves a read
/// before each update. Thread-safe.
class RowCache {
public:
  /// Metadata of the row at exactly this version, if cached.
  std::optional<RowMeta> find(const std::string &JobId,
                              std::int64_t Version) const;
  /// Caches the metadata, or erases the entry if the job has finished.
  void store(const std::string &JobId, const RowMeta &Meta);
  void erase(const std::string &JobId);

private:
  mutable Mutex Mutex_;
  std::unordered_map<std::string, RowMeta> Rows_;
};

} // namespace damaskglade::records

#endif
