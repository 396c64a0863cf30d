#include "ownership/table_access.h"

namespace damaskglade::ownership {

namespace {

constexpr std::size_t PageSize = 500;

Result<std::vector<TableRow>>
listAllRows(TableStore &Table, const std::string &Kind, Millis Timeout) {
  std::vector<TableRow> Rows;
  std::string LastId;
  while (true) {
    BOOST_OUTCOME_TRY(Page, Table.list(Kind, "", LastId, PageSize, Timeout));
    Rows.insert(Rows.end(), Page.begin(), Page.end());
    if (Page.size() < PageSize)
      return Rows;
    LastId = Page.back().Key_.Id_;
  }
}

Status readShards(TableStore &Table, const std::string &Zone, Millis Timeout,
                  RowsRead &Read) {
  BOOST_OUTCOME_TRY(Shards, listAllRows(Table, ShardKind, Timeout));
  for (const TableRow &Row : Shards)
    if (const auto Shard = decodeShardRow(Row))
      Read.Shards_.push_back({Shard.value(), Row.Version_});
  BOOST_OUTCOME_TRY(ListRow, Table.read(TableKey{ListKind, Zone}, Timeout));
  if (ListRow) {
    BOOST_OUTCOME_TRY(List, decodeZoneList(*ListRow));
    Read.List_ = List;
  }
  return success();
}

Status readNodes(TableStore &Table, Millis Timeout, RowsRead &Read) {
  BOOST_OUTCOME_TRY(Nodes, listAllRows(Table, NodeKind, Timeout));
  for (const TableRow &Row : Nodes)
    if (const auto Node = decodeNodeRow(Row))
      Read.Nodes_.push_back({Node.value(), Row.Version_});
  return success();
}

} // namespace

CommitResult commitRows(TableStore &Table, const Commit &Write,
                        const std::string &Token, Millis Timeout) {
  std::vector<TableWrite> Writes;
  Writes.reserve(Write.Rows_.size());
  for (const RowWrite &Row : Write.Rows_)
    Writes.push_back(encodeRowWrite(Row));
  const Status Outcome = Table.commit(Writes, Token, Timeout);
  if (Outcome)
    return CommitResult::Ok;
  if (Outcome.error().Reason_ == Reason::TableConflict)
    return CommitResult::Conflict;
  return Outcome.error().Effect_ == Effect::None ? CommitResult::Unavailable
                                                 : CommitResult::Unknown;
}

RowsRead readRows(TableStore &Table, const std::string &Zone, bool Shards,
                  Millis Started, Millis Timeout) {
  RowsRead Read;
  Read.Started_ = Started;
  if (Shards && !readShards(Table, Zone, Timeout, Read))
    return Read;
  if (!readNodes(Table, Timeout, Read))
    return Read;
  Read.Ok_ = true;
  Read.HasShards_ = Shards;
  return Read;
}

} // namespace damaskglade::ownership
