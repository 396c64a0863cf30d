#ifndef DAMASKGLADE_OWNERSHIP_TABLE_ACCESS_H
#define DAMASKGLADE_OWNERSHIP_TABLE_ACCESS_H

#include "ownership/protocol.h"
#include "ports/table_store.h"

#include <string>

namespace damaskglade::ownership {

/// Sends one transaction. Token is the idempotency key for retries.
CommitResult commitRows(TableStore &Table, const Commit &Write,
                        const std::string &Token, Millis Timeout);

/// Reads all node rows, and with Shards also all shard rows and the zone's
/// list. Skips node and shard rows that can't be decoded; a list that can't be
/// decoded fails the read.
RowsRead readRows(TableStore &Table, const std::string &Zone, bool Shards,
                  Millis Started, Millis Timeout);

} // namespace damaskglade::ownership

#endif
