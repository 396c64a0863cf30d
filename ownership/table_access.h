#ifndef DAMASKGLADE_OWNERSHIP_TABLE_ACCESS_H
#define DAMASKGLADE_OWNERSHIP_TABLE_ACCESS_H

#include "ownership/protocol.h"
#include "ports/table_store.h"

#include <string>

namespace damaskglade::ownership {

/// Sends one transaction. Token makes a repeat have no second effect.
CommitResult commitRows(TableStore &Table, const Commit &Write,
                        const std::string &Token, Millis Timeout);

/// Reads all node rows, and all shard rows and the list of the zone on
/// request. Rows that can't be decoded are left out.
RowsRead readRows(TableStore &Table, const std::string &Zone, bool Shards,
                  Millis Started, Millis Timeout);

} // namespace damaskglade::ownership

#endif
